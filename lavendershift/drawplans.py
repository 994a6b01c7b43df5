"""Plans of draws: how many tokens of each customer this VM draws or returns.

``DrawPlans`` combines the totals, the quota records, the demand here and at the other
VMs and the waiting requests into a ``DrawView``, from which ``prepaid`` computes the
tokens. It does no I/O.
"""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import BootClock
from lavendershift.partitions import find_partition
from lavendershift.pendingtokens import PendingTokens, TokenRequest
from lavendershift.prepaid import (
    LARGE_FLEET,
    DrawView,
    PrepaidAccount,
    bound_draw,
    find_hold_factor,
    find_urgent_reserve,
    plan_draw,
)
from lavendershift.quotarecords import QuotaRecords

# Largest age of the quota records behind a refusal.
MAX_AGE_TO_REFUSE = timedelta(milliseconds=100)
# Time from the start in which tokens are drawn only if requests wait. Meanwhile the VM
# reads which other VMs there are, as the share that it draws ahead depends on them.
STARTUP_DELAY = timedelta(seconds=2)
# Time of fleet demand that the tokens held for loans cover.
LOAN_RESERVE_TIME = timedelta(milliseconds=500)
# Upper bound of the reserve for loans, as a fraction of the ungranted tokens.
LOAN_RESERVE_FRACTION = 0.1


class FleetView(NamedTuple):
    """What the planning needs to know of the fleet, read at each use.

    ``prepaid`` returns the newest totals, ``vms`` the number of VMs that draw ahead
    and ``others_rate`` the demand of a customer at the other VMs, in tokens/s.
    ``draws_ahead`` returns whether this VM draws before requests arrive, and
    ``find_rank`` its position among those that hold a customer's tokens.
    ``lost_fraction`` returns the fraction of the VMs that recently lost tokens.
    """

    prepaid: Callable[[], Mapping[str, int]]
    vms: Callable[[], int]
    others_rate: Callable[[str], float]
    draws_ahead: Callable[[], bool]
    find_rank: Callable[[str], int]
    lost_fraction: Callable[[], float]


class DrawPlans:
    """The plans of one VM; ``is_lender`` tells whether it lends to the others."""

    def __init__(
        self,
        clock: BootClock,
        fleet: FleetView,
        records: Sequence[QuotaRecords],
        pending: PendingTokens,
        find_account: Callable[[str], PrepaidAccount],
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._records = records
        self._pending = pending
        self._find_account = find_account
        self._draws_ahead_from = clock.elapsed() + STARTUP_DELAY
        self.is_lender: Callable[[str], bool] = lambda customer: True
        self.returns_all = False

    def find_partition(self, customer: str) -> int:
        """Return the partition with the quota record of ``customer``."""
        return find_partition(customer, len(self._records))

    def find_records(self, customer: str) -> QuotaRecords:
        """Return the quota records of the partition of ``customer``."""
        return self._records[self.find_partition(customer)]

    def find_total(self, customer: str) -> int:
        """Return the prepaid total of ``customer``."""
        return self._fleet.prepaid().get(customer, 0)

    def draws_itself(self, customer: str) -> bool:
        """Return whether this VM draws a customer's tokens from the store."""
        return self._fleet.vms() < LARGE_FLEET or self.is_lender(customer)

    def count_left(self, customer: str) -> int:
        """Return the tokens of the total that are not granted to any VM.

        These are 0 if the number of grants is unknown.
        """
        if customer in self.find_records(customer).invalid:
            return 0
        granted = self.find_records(customer).granted.get(customer, 0)
        return self.find_total(customer) - granted

    def count_usable(self, customer: str, is_urgent: bool) -> int:
        """Return the tokens of the total that a request may still draw."""
        reserved = 0 if is_urgent else self._count_urgent_reserve(customer)
        return max(self.count_left(customer) - reserved, 0)

    def _count_urgent_reserve(self, customer: str) -> int:
        """Return the last part of the total, which only urgent requests may draw."""
        if not self._pending.expects_urgent(customer, self._clock.elapsed()):
            return 0
        return find_urgent_reserve(self.find_total(customer))

    def may_have_tokens(self, request: TokenRequest) -> bool:
        """Return whether enough tokens may be left.

        Quota records older than ``MAX_AGE_TO_REFUSE`` do not prove the contrary.
        """
        if request.tokens > self.find_total(request.customer):
            return False
        usable = self.count_usable(request.customer, request.is_urgent)
        if usable + self._find_account(request.customer).free >= request.tokens:
            return True
        return self.find_records(request.customer).is_older_than(MAX_AGE_TO_REFUSE)

    def is_bound_by_lease(self, partition: int) -> bool:
        """Return whether a request waits although its tokens are free here.

        The terms of the newest lease snapshot do not allow spending them yet.
        """
        now = self._clock.since_boot()
        for customer, wanted in self._pending.all.items():
            account = self._find_account(customer)
            if self.find_partition(customer) == partition and account.count_spendable(
                now
            ) < min(wanted, account.free):
                return True
        return False

    def leaves_missing(self, records: QuotaRecords, deltas: Mapping[str, int]) -> bool:
        """Return whether ``deltas`` leave a request without its tokens."""
        return any(
            self.count_missing(customer) > deltas.get(customer, 0)
            for customer in self._pending.all
            if self.find_records(customer) is records
        )

    def plan(self, records: QuotaRecords, is_urgent: bool) -> dict[str, int]:
        """Return the tokens to draw for the customers of a partition.

        Negative numbers are tokens to return, none in an urgent round.
        """
        deltas = {}
        now = self._clock.elapsed()
        for customer in self._fleet.prepaid():
            if self.find_records(customer) is not records:
                continue
            if customer in records.invalid:
                continue
            view = self.make_view(customer, now)
            delta = self._choose_delta(view, now)
            if delta > 0 or (delta and not is_urgent):
                deltas[customer] = delta
        return deltas

    def count_missing(self, customer: str) -> int:
        """Return the tokens that requests wait for beyond the free ones."""
        return self._pending.count_missing(customer, self._find_account(customer).free)

    def make_view(self, customer: str, now: timedelta) -> DrawView:
        """Return the inputs to the planning for ``customer``."""
        account = self._find_account(customer)
        rate = account.find_rate(now)
        fleet_rate = self._fleet.others_rate(customer) + rate
        vms = self._fleet.vms()
        prepaid = self.find_total(customer)
        granted = self.find_records(customer).granted.get(customer, 0)
        loan_reserve = 0
        if vms >= LARGE_FLEET and self.is_lender(customer):
            ahead = int(fleet_rate * LOAN_RESERVE_TIME.total_seconds())
            loan_reserve = min(
                ahead, int(max(prepaid - granted, 0) * LOAN_RESERVE_FRACTION)
            )
        missing = self.count_missing(customer)
        return DrawView(
            prepaid=prepaid,
            granted=granted,
            free=account.free,
            wanted=missing,
            urgent_wanted=min(self._pending.urgent[customer], missing),
            urgent_reserve=self._count_urgent_reserve(customer),
            rate=rate,
            fleet_rate=fleet_rate,
            largest_request=account.largest_request,
            vms=vms,
            is_measured=account.is_measured(now),
            loan_reserve=loan_reserve,
            rank=self._fleet.find_rank(customer),
            hold_factor=find_hold_factor(self._fleet.lost_fraction()),
        )

    def _choose_delta(self, view: DrawView, now: timedelta) -> int:
        """Return the tokens to draw, or a negative number to return."""
        if self.returns_all or not self._fleet.draws_ahead():
            return bound_draw(view, view.wanted) if view.wanted else -view.free
        if now < self._draws_ahead_from and not view.wanted:
            return 0
        return plan_draw(view)
