"""Simulate a day of prepaid requests, to compare strategies of holding tokens.

VMs with the product's accounts, draws and lease terms serve the callers of several
failure domains, in virtual time. In each day the store is unreachable twice, some
customers send a surge of requests, and totals are topped up. Later all processes are
killed or lose power at the same time. Servers and network latency are not simulated,
so that a request is refused only for lack of tokens or of a running VM::

    figures = TokenDay(SITES["small"], Variant(), seed=7).run()
    print(figures["credit"])

With ``Variant.is_oracle`` all VMs draw from one shared total without messages, which
is an upper bound for every strategy of holding tokens.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple, TypedDict

from lavendershift.hashing import rank_by_hash
from lavendershift.leases import SNAPSHOT_INTERVAL
from lavendershift.prepaid import DrawView, bound_draw, find_urgent_reserve, plan_draw
from lavendershift.tokenshortages import TokenShortage, choose_retry_delay
from lavendershift.tools.tokensites import (
    CLASSES,
    PROMPT_SIZE_SIGMA,
    RequestClass,
    Site,
)
from lavendershift.tools.tokenvms import TokenVm

DAY_S = 49.0  # duration of the traffic
WARM_UP_S = 10.0  # time from the start of the VMs to the start of the traffic
PROCESSES_END_S = 34.0  # time at which all processes end
STORE_OUTAGES_S = ((6.0, 14.0), (24.0, 32.0))  # starts and ends of the store's outages
SURGE_S = (16.0, 22.0)  # start and end of the surge
TOP_UPS_S = (16.0, 21.0)  # times at which all totals are topped up
INITIAL_SHARE = 0.6  # share of a customer's full total before the top-ups
DRAW_INTERVAL_S = 1.0  # interval between two planned draws or returns of a VM
RESTART_S = {"kill": 0.7, "power": 1.5}  # time from the end of a process to the next
SETTLE_DELAY_S = 1.5  # time after a request's end for which its maximum counts
OWED_SHARE = 0.97  # share of a total up to which no request should be refused
MAX_RETRY_DELAY_SHARE = 1 / 3  # maximum retry delay over the time to the deadline
SECOND_REFUSAL_COST = 0.3  # cost over the value of a request that is refused twice
ON_TIME_SHARE = 0.6  # share of the latency target within which tokens are due
MAX_LENDERS = 3  # maximum number of VMs that one request borrows from


class Variant(NamedTuple):
    """A strategy of holding tokens and how the processes end.

    ``active`` VMs of each domain serve requests, or all of them if it is 0. Callers
    choose among the active VMs of their domain and, up to ``listed`` VMs, those of
    other domains. With ``is_isolated`` the VMs can't borrow from each other while the
    store is unreachable. With ``is_oracle`` they share one total. ``end`` is "kill",
    after which a restarted process adopts tokens, or "power", after which it can't.
    """

    active: int = 1
    listed: int = 2
    is_isolated: bool = False
    is_oracle: bool = False
    end: str = "kill"


class DayFigures(TypedDict):
    """Figures of one day, as fractions.

    ``credit`` is the earned value and ``again`` the cost of second refusals, both over
    the value of the requests that the totals pay for. ``refused`` is the fraction of
    the requests that were refused twice or found no running VM, ``in_cuts`` the
    fraction that was refused twice, the second time while the store was unreachable.
    ``lost`` is the fraction of the totals that was granted but neither used nor held.
    """

    credit: float
    again: float
    refused: float
    in_cuts: float
    lost: float


class _Customer(NamedTuple):
    name: str
    weight: float
    only_domain: int | None


class _Request(NamedTuple):
    kind: RequestClass
    customer: str
    domain: int
    prompt_tokens: int
    arrived_s: float
    value: float

    @property
    def max_tokens(self) -> int:
        return self.prompt_tokens + self.kind.max_output_tokens


class TokenDay:
    """Simulates one day of a site with seeded traffic."""

    def __init__(self, site: Site, variant: Variant, seed: int) -> None:
        self._site, self._variant = site, variant
        self._rng = random.Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._customers = self._draw_customers()
        self._vms = [
            TokenVm(f"vm-{domain}-{n}", domain)
            for domain in range(site.domains)
            for n in range(variant.active or site.vms)
        ]
        self.totals = {c.name: self._find_initial_total(c) for c in self._customers}
        self.granted: Counter[str] = Counter()
        self.consumed: Counter[str] = Counter()
        self._running_tokens: Counter[str] = Counter()
        self._owed_value = self._earned_value = self._second_refusal_cost = 0.0
        self._refused: Counter[str] = Counter()
        self._submitted = 0

    def run(self) -> DayFigures:
        """Simulate the day and return its figures."""
        self._schedule_day()
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            if self._now > DAY_S:
                break
            action()
        held = sum(vm.count_held() for vm in self._vms)
        lost = sum(self.granted.values()) - sum(self.consumed.values()) - held
        return DayFigures(
            credit=self._earned_value / self._owed_value,
            again=self._second_refusal_cost / self._owed_value,
            refused=sum(self._refused.values()) / self._submitted,
            in_cuts=self._refused["cut"] / self._submitted,
            lost=lost / sum(self.totals.values()),
        )

    def _schedule(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._sequence_numbers), action))

    @property
    def _time_since_start(self) -> timedelta:
        return timedelta(seconds=self._now + WARM_UP_S)

    @property
    def _is_store_unreachable(self) -> bool:
        """Whether the VMs can't reach the store."""
        return any(start <= self._now < end for start, end in STORE_OUTAGES_S)

    def _draw_customers(self) -> list[_Customer]:
        weights = [1 / (n + 1) ** 0.7 for n in range(self._site.customers)]
        customers = []
        for n, weight in enumerate(weights):
            has_single_domain = self._rng.random() < self._site.single_domain_share
            only_domain = (
                self._rng.randrange(self._site.domains) if has_single_domain else None
            )
            customers.append(_Customer(f"c{n}", weight / sum(weights), only_domain))
        return customers

    def _find_initial_total(self, customer: _Customer) -> int:
        mean = sum(
            kind.share * (kind.prompt_tokens + kind.max_output_tokens / 2)
            for kind in CLASSES
        )
        usual = self._site.prompt_rate * mean * customer.weight * DAY_S
        return int(usual * self._site.supply_ratio * INITIAL_SHARE)

    def _schedule_day(self) -> None:
        surging_customers = {
            c.name for c in self._customers[: self._site.surging_customers]
        }
        for top_up_s in TOP_UPS_S:
            self._schedule(top_up_s, self._top_up_totals)
        for vm in self._vms:
            self._schedule_maintenance(vm)
        self._schedule(PROCESSES_END_S, self._end_all_processes)
        for customer in self._customers:
            self._schedule_requests(customer, customer.name in surging_customers)

    def _schedule_maintenance(self, vm: TokenVm) -> None:
        phase, snapshot_s = self._rng.random(), SNAPSHOT_INTERVAL.total_seconds()
        for n in range(int((WARM_UP_S + DAY_S) / DRAW_INTERVAL_S)):
            time_s = (n + phase) * DRAW_INTERVAL_S - WARM_UP_S
            self._schedule(time_s, lambda: self._rebalance(vm))
        for n in range(int((WARM_UP_S + DAY_S) / snapshot_s)):
            time_s = (n + phase) * snapshot_s - WARM_UP_S
            self._schedule(time_s, lambda: self._write_snapshot(vm))

    def _schedule_requests(self, customer: _Customer, is_surging: bool) -> None:
        peak = self._site.surge_factor if is_surging else 1.0
        time_s = 0.0
        while True:
            time_s += self._rng.expovariate(
                self._site.prompt_rate * customer.weight * peak
            )
            if time_s > DAY_S:
                return
            is_calm = not SURGE_S[0] <= time_s < SURGE_S[1]
            if is_calm and self._rng.random() > 1 / peak:
                continue
            self._schedule_request(self._draw_request(customer, time_s))

    def _schedule_request(self, request: _Request) -> None:
        self._schedule(request.arrived_s, lambda: self._submit(request, None))

    def _draw_request(self, customer: _Customer, time_s: float) -> _Request:
        kind = self._rng.choices(CLASSES, [kind.share for kind in CLASSES])[0]
        size = self._rng.lognormvariate(
            -PROMPT_SIZE_SIGMA * PROMPT_SIZE_SIGMA / 2, PROMPT_SIZE_SIGMA
        )
        domain = customer.only_domain
        if domain is None:
            domain = self._rng.randrange(self._site.domains)
        prompt_tokens = max(int(kind.prompt_tokens * size), 1)
        value = kind.value * min(0.3 + 0.7 * size, 4.0)
        return _Request(kind, customer.name, domain, prompt_tokens, time_s, value)

    def _top_up_totals(self) -> None:
        for customer in self._customers:
            self.totals[customer.name] += self._find_initial_total(customer) // 3

    def _list_for_callers(self, domain: int) -> list[TokenVm]:
        """Return the VMs that callers of a domain can choose from."""
        if not self._variant.active:
            return self._vms
        own = [vm for vm in self._vms if vm.domain == domain]
        others = [vm for vm in self._vms[:: self._variant.active] if vm not in own]
        others.sort(key=lambda vm: (vm.domain - domain) % self._site.domains)
        return own + others[: max(self._variant.listed - len(own), 0)]

    def _submit(self, request: _Request, refused_by: TokenVm | None) -> None:
        """Submit a request, or its retry after a refusal by ``refused_by``."""
        customer = request.customer
        if refused_by is None:
            self._submitted += 1
            used = self.consumed[customer] + self._running_tokens[customer]
            if used + request.max_tokens > OWED_SHARE * self.totals[customer]:
                return
            self._owed_value += request.value
        listed = self._list_for_callers(request.domain)
        candidates = [vm for vm in listed if vm.is_up and vm is not refused_by]
        if not candidates:
            self._refused["after"] += 1
            return
        vm = self._rng.choice(candidates)
        if self._reserve(vm, request):
            self._serve(vm, request)
        else:
            self._refuse(request, refused_by, vm)

    def _reserve(self, vm: TokenVm, request: _Request) -> bool:
        account = vm.find_account(request.customer)
        account.note_demand(request.max_tokens, self._time_since_start)
        if self._variant.is_oracle:
            return self._reserve_from_total(vm, request)
        if account.reserve(request.max_tokens, self._time_since_start):
            return True
        if not self._is_store_unreachable:
            view = self._make_view(vm, request.customer, request)
            self._change_holding(vm, request.customer, plan_draw(view))
            vm.write_snapshot(
                self._time_since_start, {request.customer: request.max_tokens}
            )
            if account.reserve(request.max_tokens, self._time_since_start):
                return True
        elif self._variant.is_isolated:
            return False
        return self._borrow(vm, request)

    def _reserve_from_total(self, vm: TokenVm, request: _Request) -> bool:
        customer = request.customer
        if self.totals[customer] - self.granted[customer] < request.max_tokens:
            return False
        account = vm.find_account(customer)
        account.limits = []
        self._change_holding(vm, customer, request.max_tokens)
        return account.reserve(request.max_tokens, self._time_since_start)

    def _borrow(self, vm: TokenVm, request: _Request) -> bool:
        account = vm.find_account(request.customer)
        others = [other for other in self._vms if other is not vm and other.is_up]
        lenders = [other.find_account(request.customer) for other in others]
        lenders.sort(key=lambda lender: lender.free, reverse=True)
        del lenders[MAX_LENDERS:]
        shortfall = request.max_tokens - account.free
        if sum(lender.free for lender in lenders) < shortfall:
            return False
        for lender in lenders:
            tokens = min(shortfall, lender.free)
            if tokens > 0 and lender.lend(tokens, self._time_since_start):
                account.credit_drawn(tokens)
                shortfall -= tokens
        return account.reserve(request.max_tokens, self._time_since_start)

    def _serve(self, vm: TokenVm, request: _Request) -> None:
        kind, start = request.kind, vm.starts
        is_late = self._now - request.arrived_s > kind.target * ON_TIME_SHARE
        value_share = kind.late_value / kind.value if is_late else 1.0
        used = request.prompt_tokens + int(
            kind.max_output_tokens * self._rng.uniform(0.3, 1.0)
        )
        end = self._now + kind.duration
        self._running_tokens[request.customer] += request.max_tokens

        def finish() -> None:
            self.consumed[request.customer] += used
            if vm.starts == start:
                vm.find_account(request.customer).settle(request.max_tokens, used)
                self._earned_value += request.value * value_share

        def release() -> None:
            self._running_tokens[request.customer] -= request.max_tokens

        self._schedule(end, finish)
        self._schedule(end + SETTLE_DELAY_S, release)

    def _refuse(
        self, request: _Request, refused_by: TokenVm | None, vm: TokenVm
    ) -> None:
        if refused_by is not None:
            self._refused["cut" if self._is_store_unreachable else "after"] += 1
            self._second_refusal_cost += SECOND_REFUSAL_COST * request.value
            return
        customer = request.customer
        others = [other for other in self._vms if other is not vm]
        shortage = TokenShortage(
            request.max_tokens,
            vm.find_account(customer).free,
            max(self.totals[customer] - self.granted[customer], 0),
            not self._is_store_unreachable,
            max((other.find_account(customer).free for other in others), default=0),
        )
        delay_s = choose_retry_delay(shortage, self._rng).total_seconds()
        left = request.arrived_s + request.kind.deadline - self._now
        time_s = self._now + min(delay_s, left * MAX_RETRY_DELAY_SHARE)
        self._schedule(time_s, lambda: self._submit(request, vm))

    def _make_view(
        self, vm: TokenVm, customer: str, request: _Request | None = None
    ) -> DrawView:
        account = vm.find_account(customer)
        rates = {
            v.name: v.find_account(customer).find_rate(self._time_since_start)
            for v in self._vms
        }
        shortfall = max(request.max_tokens - account.free, 0) if request else 0
        is_urgent = request is not None and request.kind.is_urgent
        ranked = rank_by_hash(list(rates), customer)
        ranked.sort(key=lambda name: rates[name], reverse=True)
        return DrawView(
            prepaid=self.totals[customer],
            granted=self.granted[customer],
            free=account.free,
            wanted=shortfall,
            rate=rates[vm.name],
            fleet_rate=sum(rates.values()),
            largest_request=account.largest_request,
            vms=len(self._vms),
            is_measured=account.is_measured(self._time_since_start),
            rank=ranked.index(vm.name),
            urgent_wanted=shortfall if is_urgent else 0,
            urgent_reserve=find_urgent_reserve(self.totals[customer]),
        )

    def _change_holding(self, vm: TokenVm, customer: str, delta: int) -> None:
        """Draw ``delta`` tokens, or return free ones if it is negative."""
        account = vm.find_account(customer)
        delta = max(delta, -account.free)
        if delta < 0:
            account.credit(delta)
        else:
            account.credit_drawn(delta)
        self.granted[customer] += delta

    def _rebalance(self, vm: TokenVm) -> None:
        if self._is_store_unreachable or not vm.is_up or self._variant.is_oracle:
            return
        for customer in self._customers:
            view = self._make_view(vm, customer.name)
            delta = plan_draw(view)
            if delta:
                self._change_holding(vm, customer.name, bound_draw(view, delta))

    def _write_snapshot(self, vm: TokenVm) -> None:
        if not self._is_store_unreachable and vm.is_up:
            vm.write_snapshot(self._time_since_start, {})

    def _end_all_processes(self) -> None:
        """End all processes at the same time."""
        for vm in self._vms:
            self._end_process(vm)

    def _end_process(self, vm: TokenVm) -> None:
        vm.end()
        self._schedule(
            self._now + RESTART_S[self._variant.end], lambda: self._restart(vm)
        )

    def _restart(self, vm: TokenVm) -> None:
        vm.start(self._time_since_start, adopts_tokens=self._variant.end == "kill")
