"""Admission of requests while the event loop can't handle the load.

What is refused, in this order: requests that can't be served in the time left, and as
many others as it takes for the rest to be served on time. Customers share what can be
served evenly, and of a customer's requests those that return after a refusal go first,
then the more urgent ones; of each kind, the more valuable ones are admitted more often.
While most refused callers return to this VM, nothing is refused (``returns``)::

    admission = OverloadAdmission(clock, rng, meter.find_excess, lambda: meter.lag)
    admission.admit(work)  # raises RequestError
    admission.note_delivery(work, arrival_time, wait_for_tokens, clock.elapsed())
"""

import math
import random
from collections import OrderedDict, defaultdict
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.overload.returns import ReturnShare
from lavendershift.overload.servicetimes import LateShare, ServiceTimes
from lavendershift.overload.shares import divide_evenly, divide_in_order
from lavendershift.overload.works import Work

# Refused requests for each request of excess load, as a refusal takes a fifth of the
# processor time of a served request.
REFUSALS_PER_EXCESS = 1.25
MAX_REFUSED = 0.95
# Fraction of late deliveries from which on the whole excess is refused. Below it, less
# is, as a refused request is worth less than one that is on time in spite of the lag.
LATE_LIMIT = 0.25
# Fraction of the target latency from which on a delivery counts as late here, as it
# would be too late to refuse only what follows deliveries that missed the target.
LATE_FRACTION = 0.5
# Fraction of the mean admission that each customer and each kind of request gets at
# least. The requirement is a quarter.
MIN_SHARE = 0.3
RATE_TIME = timedelta(
    milliseconds=400
)  # memory of arrivals, for shares within a second
# Recent arrivals below which requests aren't the load: 10 to 12 a second, where the
# smallest VM serves 38. On a busy machine, other work may keep the loop late.
MIN_ARRIVALS = 5
PLAN_INTERVAL = timedelta(milliseconds=50)
MIN_DEMAND = 0.01  # smallest number of recent requests that is remembered
# Value of a request, relative to the mean of its kind: a fixed part, and one by size.
FIXED_VALUE, SIZE_VALUE = 0.3, 0.7
MAX_SIZE = 4.0  # largest size that counts, relative to the mean
# Part of the admission of a request that depends on its value. The least valuable
# requests are admitted 0.83 times as often as the mean of their kind.
VALUE_SHARE = 0.25
# Fractions of the target latency after which a refused caller should return, so that it
# may still be served on time, here or by another VM.
RETRY_FRACTIONS = (0.15, 0.45)
REPEATED_RETRY_FRACTIONS = (0.05, 0.2)
DEFAULT_TARGET = timedelta(seconds=1)  # of routes without a target latency
ACCEPTED_FRACTION = 0.3  # of the time left; callers accept up to a third
MIN_RETRY_DELAY = timedelta(milliseconds=50)
MAX_RETRY_DELAY = timedelta(seconds=3)
MAX_REFUSED_KEPT = 4096  # refused requests that are recognized if they return
RETURN_TIME = timedelta(seconds=10)  # time for which they are


class Cause(Enum):
    """Why a request was refused."""

    LOAD = "load"  # the VM can't serve all requests
    TIME = "time"  # it can't be served in the time left
    WAIT = "wait"  # the same, after it waited for tokens


class OverloadError(RequestError):
    """A request that a VM under overload refuses."""

    def __init__(self, cause: Cause, excess: float, retry_after: timedelta) -> None:
        super().__init__(ErrorKind.VM_OVERLOADED, cause.value, retry_after)
        self.cause = cause
        self.excess = excess


class _Group(NamedTuple):
    """Requests that are admitted alike; groups are ordered, the first goes first."""

    is_new: bool
    urgency: int
    kind: str


class OverloadAdmission:
    """Decides which requests a VM serves while its load is too high.

    ``find_excess`` returns the fraction of the load beyond what the VM can handle.
    While that is 0, all requests are admitted.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        find_excess: Callable[[], float],
        find_lag: Callable[[], timedelta],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self.find_excess = find_excess
        self.find_lag = find_lag
        self._times = ServiceTimes(clock)
        self._times_after_wait = ServiceTimes(clock)
        self._late = LateShare(clock)
        self._returns = ReturnShare(clock)
        self._demands: defaultdict[str, dict[_Group, float]] = defaultdict(dict)
        self._sizes: dict[str, tuple[float, float]] = {}  # number and sum, by kind
        self._rates: dict[tuple[str, _Group], float] = {}
        self._rate = 1.0
        self._planned_at = clock.elapsed() - PLAN_INTERVAL
        # Refused requests and when they were refused, the oldest first.
        self._refused: OrderedDict[int, timedelta] = OrderedDict()

    def admit(self, work: Work) -> None:
        """Decide at a request's arrival; raises ``OverloadError`` if it is refused."""
        is_returning = bool(self._refused) and self._take_refused(work)
        excess = self.find_excess()
        if not excess:
            if self._demands:
                self._demands.clear()
                self._sizes.clear()
            return
        self._returns.note(is_returning)
        group = _Group(not is_returning, work.urgency, work.kind)
        demands = self._demands[work.customer]
        demands[group] = demands.get(group, 0.0) + 1
        factor = self._find_value_factor(work)
        if not self._returns.helps():
            return
        if self._is_hopeless(work, self._times):
            raise self._refuse(work, Cause.TIME, excess, is_returning)
        self._plan(excess)
        rate = self._rates.get((work.customer, group), self._rate)
        if self._rng.random() >= rate * factor:
            raise self._refuse(work, Cause.LOAD, excess, is_returning)

    def check_after_wait(self, work: Work) -> None:
        """Decide again after a wait; raises ``OverloadError`` if it is refused."""
        excess = self.find_excess()
        if not excess or not self._returns.helps():
            return
        if self._is_hopeless(work, self._times_after_wait):
            raise self._refuse(work, Cause.WAIT, excess, is_returning=False)

    def note_delivery(
        self,
        work: Work,
        received: timedelta,
        waited: timedelta,
        delivered: timedelta | None,
    ) -> None:
        """Note when a request's response began, ``None`` if its caller got none.

        ``waited`` is how long the request waited for tokens.
        """
        if delivered is None:
            self._late.note(True)
            return
        duration = delivered - received
        self._times.note(work.kind, duration)
        self._times_after_wait.note(work.kind, duration - waited)
        # A request waits for about the lag before it is read.
        time = duration + self.find_lag()
        self._late.note(bool(work.target) and time > work.target * LATE_FRACTION)

    def _is_hopeless(self, work: Work, times: ServiceTimes) -> bool:
        """Whether a request can't be served before its deadline."""
        needed = times.estimate(work.kind)
        if needed is None:
            return False
        return self._clock.elapsed() + needed > work.deadline

    def _find_value_factor(self, work: Work) -> float:
        """Return how often a request is admitted, relative to its kind's mean."""
        if not work.size:
            return 1.0
        number, total = self._sizes.get(work.kind, (0.0, 0.0))
        number, total = number + 1, total + work.size
        self._sizes[work.kind] = number, total
        size = min(work.size * number / total, MAX_SIZE)
        value = FIXED_VALUE + SIZE_VALUE * size
        return 1 - VALUE_SHARE + VALUE_SHARE * value

    def _plan(self, excess: float) -> None:
        """Divide what can be served, if that is due."""
        now = self._clock.elapsed()
        since = now - self._planned_at
        if since < PLAN_INTERVAL:
            return
        self._planned_at = now
        late = min(self._late.measure() / LATE_LIMIT, 1.0)
        refused = min(excess * REFUSALS_PER_EXCESS * late, MAX_REFUSED)
        demands = {name: sum(d.values()) for name, d in self._demands.items()}
        total = sum(demands.values())
        self._rate = 1 - refused if total >= MIN_ARRIVALS else 1.0
        floor = self._rate * MIN_SHARE
        parts = divide_evenly(demands, total * self._rate, floor)
        self._rates.clear()
        for customer, part in parts.items():
            groups = sorted(self._demands[customer].items())
            numbers = [number for _, number in groups]
            for (group, number), admitted in zip(
                groups, divide_in_order(numbers, part, floor), strict=True
            ):
                self._rates[customer, group] = admitted / number
        self._forget(math.exp(-since / RATE_TIME))

    def _forget(self, decay: float) -> None:
        """Let earlier arrivals count less."""
        for customer, groups in list(self._demands.items()):
            self._demands[customer] = {
                group: number * decay
                for group, number in groups.items()
                if number * decay >= MIN_DEMAND
            }
            if not self._demands[customer]:
                del self._demands[customer]
        self._sizes = {
            kind: (number * decay, total * decay)
            for kind, (number, total) in self._sizes.items()
            if number * decay >= MIN_DEMAND
        }

    def _refuse(
        self, work: Work, cause: Cause, excess: float, is_returning: bool
    ) -> OverloadError:
        """Return the error for a request, and remember it in case it returns."""
        now = self._clock.elapsed()
        self._refused[hash(work.identity)] = now
        while len(self._refused) > MAX_REFUSED_KEPT:
            self._refused.popitem(last=False)
        fractions = REPEATED_RETRY_FRACTIONS if is_returning else RETRY_FRACTIONS
        delay = (work.target or DEFAULT_TARGET) * self._rng.uniform(*fractions)
        delay = min(delay, (work.deadline - now) * ACCEPTED_FRACTION, MAX_RETRY_DELAY)
        delay = max(delay, MIN_RETRY_DELAY)
        return OverloadError(cause, excess, delay)

    def _take_refused(self, work: Work) -> bool:
        """Whether a request was refused before; its next return is a new request."""
        oldest = self._clock.elapsed() - RETURN_TIME
        while self._refused:
            identity, refused = next(iter(self._refused.items()))
            if refused >= oldest:
                break
            del self._refused[identity]
        return self._refused.pop(hash(work.identity), None) is not None
