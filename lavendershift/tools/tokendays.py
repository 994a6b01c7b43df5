"""A day of prepaid requests in virtual time, to compare ways of holding tokens.

VMs with the product's accounts, draws and promises serve the callers of some failure
domains. Twice a day all VMs lose the store, customers surge, totals are raised, and
in the end all processes are killed or lose their power. Servers and links are left
out, so that nothing but tokens refuses a request::

    figures = TokenDay(SITES["small"], Variant(), seed=7).run()
    print(figures["credit"])

``Variant.is_oracle`` plays VMs that share one purse without any message, which bounds
what any way of holding tokens can reach.
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

DAY_S = 49.0  # of traffic
STARTED_S = 10.0  # before it, when the VMs start
CLOSING_S = 34.0  # when all processes end
CUTS_S = ((6.0, 14.0), (24.0, 32.0))
SURGE_S = (16.0, 22.0)
RAISES_S = (16.0, 21.0)
FIRST_PART = 0.6  # of a customer's total that it has from the start
ROUND_S = 1.0
RESTART_S = {"kill": 0.7, "power": 1.5}
SETTLED_S = 1.5  # in which an ended request still counts at its most
OWED_PART = 0.97  # of a total
RETURN_PART = 1 / 3  # of the time left, which callers wait at most
AGAIN_PRICE = 0.3  # of the worth of a request that is refused twice
ON_TIME_PART = 0.6  # of the target, in which a request has to find its tokens
MAX_LENDERS = 3


class Variant(NamedTuple):
    """What is compared; ``active`` VMs of a domain serve, or all of them at 0.

    ``is_isolated`` cuts the VMs from each other as well.
    """

    active: int = 1
    listed: int = 2
    is_isolated: bool = False
    is_oracle: bool = False
    end: str = "kill"


class DayFigures(TypedDict):
    """``credit`` is earned over owed, ``again`` the price of second refusals.

    ``refused`` and ``in_cuts`` are parts of the requests, ``lost`` of the totals.
    """

    credit: float
    again: float
    refused: float
    in_cuts: float
    lost: float


class _Customer(NamedTuple):
    name: str
    weight: float
    home: int | None


class _Request(NamedTuple):
    kind: RequestClass
    customer: str
    domain: int
    prompt_tokens: int
    came: float
    value: float

    @property
    def most(self) -> int:
        return self.prompt_tokens + self.kind.max_output_tokens


class TokenDay:
    """One seeded day."""

    def __init__(self, site: Site, variant: Variant, seed: int) -> None:
        self._site, self._variant = site, variant
        self._rng = random.Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._customers = self._draw_customers()
        self._vms = [
            TokenVm(f"vm-{domain}-{n}", domain)
            for domain in range(site.domains)
            for n in range(variant.active or site.vms)
        ]
        self.totals = {c.name: self._find_first_total(c) for c in self._customers}
        self.granted: Counter[str] = Counter()
        self.consumed: Counter[str] = Counter()
        self._running: Counter[str] = Counter()
        self._owed = self._earned = self._again = 0.0
        self._refused: Counter[str] = Counter()
        self._asked = 0

    def run(self) -> DayFigures:
        """Play the day."""
        self._plan()
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            if self._now > DAY_S:
                break
            action()
        kept = sum(vm.count_held() for vm in self._vms)
        lost = sum(self.granted.values()) - sum(self.consumed.values()) - kept
        return DayFigures(
            credit=self._earned / self._owed,
            again=self._again / self._owed,
            refused=sum(self._refused.values()) / self._asked,
            in_cuts=self._refused["cut"] / self._asked,
            lost=lost / sum(self.totals.values()),
        )

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    @property
    def _clock(self) -> timedelta:
        return timedelta(seconds=self._now + STARTED_S)

    @property
    def _is_cut(self) -> bool:
        """Whether the VMs reach the store."""
        return any(begin <= self._now < end for begin, end in CUTS_S)

    def _draw_customers(self) -> list[_Customer]:
        weights = [1 / (n + 1) ** 0.7 for n in range(self._site.customers)]
        customers = []
        for n, weight in enumerate(weights):
            is_stuck = self._rng.random() < self._site.single_domain_share
            home = self._rng.randrange(self._site.domains) if is_stuck else None
            customers.append(_Customer(f"c{n}", weight / sum(weights), home))
        return customers

    def _find_first_total(self, customer: _Customer) -> int:
        mean = sum(
            kind.share * (kind.prompt_tokens + kind.max_output_tokens / 2)
            for kind in CLASSES
        )
        usual = self._site.prompt_rate * mean * customer.weight * DAY_S
        return int(usual * self._site.supply_ratio * FIRST_PART)

    def _plan(self) -> None:
        surging_customers = {
            c.name for c in self._customers[: self._site.surging_customers]
        }
        for raised in RAISES_S:
            self._at(raised, self._raise_totals)
        for vm in self._vms:
            self._plan_rounds(vm)
        self._at(CLOSING_S, self._close)
        for customer in self._customers:
            self._plan_requests(customer, customer.name in surging_customers)

    def _plan_rounds(self, vm: TokenVm) -> None:
        phase, page_s = self._rng.random(), SNAPSHOT_INTERVAL.total_seconds()
        for n in range(int((STARTED_S + DAY_S) / ROUND_S)):
            when = (n + phase) * ROUND_S - STARTED_S
            self._at(when, lambda: self._run_round(vm))
        for n in range(int((STARTED_S + DAY_S) / page_s)):
            when = (n + phase) * page_s - STARTED_S
            self._at(when, lambda: self._write_page(vm))

    def _plan_requests(self, customer: _Customer, surges: bool) -> None:
        peak = self._site.surge_factor if surges else 1.0
        when = 0.0
        while True:
            when += self._rng.expovariate(
                self._site.prompt_rate * customer.weight * peak
            )
            if when > DAY_S:
                return
            is_calm = not SURGE_S[0] <= when < SURGE_S[1]
            if is_calm and self._rng.random() > 1 / peak:
                continue
            self._plan_request(self._draw_request(customer, when))

    def _plan_request(self, request: _Request) -> None:
        self._at(request.came, lambda: self._ask(request, None))

    def _draw_request(self, customer: _Customer, when: float) -> _Request:
        kind = self._rng.choices(CLASSES, [kind.share for kind in CLASSES])[0]
        size = self._rng.lognormvariate(
            -PROMPT_SIZE_SIGMA * PROMPT_SIZE_SIGMA / 2, PROMPT_SIZE_SIGMA
        )
        domain = customer.home
        if domain is None:
            domain = self._rng.randrange(self._site.domains)
        prompt_tokens = max(int(kind.prompt_tokens * size), 1)
        value = kind.value * min(0.3 + 0.7 * size, 4.0)
        return _Request(kind, customer.name, domain, prompt_tokens, when, value)

    def _raise_totals(self) -> None:
        for customer in self._customers:
            self.totals[customer.name] += self._find_first_total(customer) // 3

    def _list_for(self, domain: int) -> list[TokenVm]:
        """Return the VMs that callers of a domain are told of."""
        if not self._variant.active:
            return self._vms
        own = [vm for vm in self._vms if vm.domain == domain]
        others = [vm for vm in self._vms[:: self._variant.active] if vm not in own]
        others.sort(key=lambda vm: (vm.domain - domain) % self._site.domains)
        return own + others[: max(self._variant.listed - len(own), 0)]

    def _ask(self, request: _Request, refuser: TokenVm | None) -> None:
        """Let a caller ask for the first time, or again after ``refuser``."""
        customer = request.customer
        if refuser is None:
            self._asked += 1
            used = self.consumed[customer] + self._running[customer]
            if used + request.most > OWED_PART * self.totals[customer]:
                return
            self._owed += request.value
        listed = self._list_for(request.domain)
        up = [vm for vm in listed if vm.is_up and vm is not refuser]
        if not up:
            self._refused["after"] += 1
            return
        vm = self._rng.choice(up)
        if self._reserve(vm, request):
            self._serve(vm, request)
        else:
            self._refuse(request, refuser, vm)

    def _reserve(self, vm: TokenVm, request: _Request) -> bool:
        account = vm.find_account(request.customer)
        account.note_demand(request.most, self._clock)
        if self._variant.is_oracle:
            return self._reserve_from_all(vm, request)
        if account.reserve(request.most, self._clock):
            return True
        if not self._is_cut:
            view = self._make_view(vm, request.customer, request)
            self._change(vm, request.customer, plan_draw(view))
            vm.write_snapshot(self._clock, {request.customer: request.most})
            if account.reserve(request.most, self._clock):
                return True
        elif self._variant.is_isolated:
            return False
        return self._borrow(vm, request)

    def _reserve_from_all(self, vm: TokenVm, request: _Request) -> bool:
        customer = request.customer
        if self.totals[customer] - self.granted[customer] < request.most:
            return False
        account = vm.find_account(customer)
        account.limits = []
        self._change(vm, customer, request.most)
        return account.reserve(request.most, self._clock)

    def _borrow(self, vm: TokenVm, request: _Request) -> bool:
        account = vm.find_account(request.customer)
        lenders = [other for other in self._vms if other is not vm and other.is_up]
        stocks = [other.find_account(request.customer) for other in lenders]
        stocks.sort(key=lambda stock: stock.free, reverse=True)
        del stocks[MAX_LENDERS:]
        missing = request.most - account.free
        if sum(stock.free for stock in stocks) < missing:
            return False
        for stock in stocks:
            part = min(missing, stock.free)
            if part > 0 and stock.lend(part, self._clock):
                account.credit_drawn(part)
                missing -= part
        return account.reserve(request.most, self._clock)

    def _serve(self, vm: TokenVm, request: _Request) -> None:
        kind, start = request.kind, vm.starts
        is_late = self._now - request.came > kind.target * ON_TIME_PART
        part = kind.late_value / kind.value if is_late else 1.0
        used = request.prompt_tokens + int(
            kind.max_output_tokens * self._rng.uniform(0.3, 1.0)
        )
        end = self._now + kind.duration
        self._running[request.customer] += request.most

        def finish() -> None:
            self.consumed[request.customer] += used
            if vm.starts == start:
                vm.find_account(request.customer).settle(request.most, used)
                self._earned += request.value * part

        def forget() -> None:
            self._running[request.customer] -= request.most

        self._at(end, finish)
        self._at(end + SETTLED_S, forget)

    def _refuse(self, request: _Request, refuser: TokenVm | None, vm: TokenVm) -> None:
        if refuser is not None:
            self._refused["cut" if self._is_cut else "after"] += 1
            self._again += AGAIN_PRICE * request.value
            return
        customer = request.customer
        others = [other for other in self._vms if other is not vm]
        shortage = TokenShortage(
            request.most,
            vm.find_account(customer).free,
            max(self.totals[customer] - self.granted[customer], 0),
            not self._is_cut,
            max((other.find_account(customer).free for other in others), default=0),
        )
        after = choose_retry_delay(shortage, self._rng).total_seconds()
        left = request.came + request.kind.deadline - self._now
        when = self._now + min(after, left * RETURN_PART)
        self._at(when, lambda: self._ask(request, vm))

    def _make_view(
        self, vm: TokenVm, customer: str, request: _Request | None = None
    ) -> DrawView:
        account = vm.find_account(customer)
        rates = {
            v.name: v.find_account(customer).find_rate(self._clock) for v in self._vms
        }
        missing = max(request.most - account.free, 0) if request else 0
        is_urgent = request is not None and request.kind.is_urgent
        ranked = rank_by_hash(list(rates), customer)
        ranked.sort(key=lambda name: rates[name], reverse=True)
        return DrawView(
            prepaid=self.totals[customer],
            granted=self.granted[customer],
            free=account.free,
            wanted=missing,
            rate=rates[vm.name],
            fleet_rate=sum(rates.values()),
            largest_request=account.largest_request,
            vms=len(self._vms),
            is_measured=account.is_measured(self._clock),
            rank=ranked.index(vm.name),
            urgent_wanted=missing if is_urgent else 0,
            urgent_reserve=find_urgent_reserve(self.totals[customer]),
        )

    def _change(self, vm: TokenVm, customer: str, delta: int) -> None:
        """Draw tokens, or return some."""
        account = vm.find_account(customer)
        delta = max(delta, -account.free)
        if delta < 0:
            account.credit(delta)
        else:
            account.credit_drawn(delta)
        self.granted[customer] += delta

    def _run_round(self, vm: TokenVm) -> None:
        if self._is_cut or not vm.is_up or self._variant.is_oracle:
            return
        for customer in self._customers:
            view = self._make_view(vm, customer.name)
            delta = plan_draw(view)
            if delta:
                self._change(vm, customer.name, bound_draw(view, delta))

    def _write_page(self, vm: TokenVm) -> None:
        if not self._is_cut and vm.is_up:
            vm.write_snapshot(self._clock, {})

    def _close(self) -> None:
        """End all processes at once."""
        for vm in self._vms:
            self._end(vm)

    def _end(self, vm: TokenVm) -> None:
        vm.end()
        self._at(self._now + RESTART_S[self._variant.end], lambda: self._restart(vm))

    def _restart(self, vm: TokenVm) -> None:
        vm.start(self._clock, adopts_tokens=self._variant.end == "kill")
