"""Admission control, the first stage of every request.

It authenticates the caller, parses the headers for idempotency key, priority
and deadline, and applies the rate and concurrency limits of the settings tree.
"""

import re
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Success

from lavendershift.clocks import Clock
from lavendershift.configuration import Configuration
from lavendershift.demands import DemandTracker
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.limits import Limit, Permit, RateLimiter
from lavendershift.nodes import CallerSettings
from lavendershift.requeststates import make_generated_key

KEY_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
PRIORITIES = ("interactive", "batch")
MAX_DEADLINE = timedelta(hours=24)


class RequestContext(NamedTuple):
    """Properties of one admitted request, passed to all later stages.

    ``request`` is the scoped key ``customer/idempotency key``. ``attempt`` is
    the id from which the ids of the request's attempts are derived. ``deadline``
    is a time of ``Clock.elapsed``. ``keyed`` is set if the caller sent a key.
    """

    caller: CallerSettings
    request: str
    attempt: str
    keyed: bool
    priority: str
    deadline: timedelta
    permit: Permit


class Admission:
    """Admits requests under the active configuration.

    ``find_fault`` returns the kind of error while the router accepts no new
    requests, ``None`` otherwise. ``find_min_share`` returns the minimum share of
    a customer's limits that this router may use, whatever part of the demand
    arrives at other routers.
    """

    def __init__(
        self,
        clock: Clock,
        get_configuration: Callable[[], Configuration],
        find_fault: Callable[[], ErrorKind | None],
        demands: DemandTracker,
        find_min_share: Callable[[str], float],
        make_attempt: Callable[[], str],
        max_in_flight: int,
    ) -> None:
        self._clock = clock
        self._get_configuration = get_configuration
        self._find_fault = find_fault
        self._demands = demands
        self._find_min_share = find_min_share
        self._make_attempt = make_attempt
        self._limiter = RateLimiter(clock)
        self._max_in_flight = max_in_flight
        self.in_flight = 0

    def authenticate(self, headers: Mapping[str, str]) -> CallerSettings:
        """Return the caller that owns the bearer API key in ``headers``."""
        fault = self._find_fault()
        if fault is not None and fault is not ErrorKind.STOPPING:
            raise RequestError(fault)
        scheme, _, api_key = headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not api_key:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "no bearer key")
        caller = self._get_configuration().find_caller(api_key.strip())
        if caller is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED)
        return caller

    def admit(self, headers: Mapping[str, str]) -> RequestContext:
        """Admit a request or raise ``RequestError``; pair with ``release``."""
        fault = self._find_fault()
        if fault is not None:
            raise RequestError(fault)
        caller = self.authenticate(headers)
        key = parse_key(headers)
        priority = parse_priority(headers, caller)
        deadline = self._clock.elapsed() + parse_deadline(headers, caller)
        if self.in_flight >= self._max_in_flight:
            raise RequestError(ErrorKind.OVERLOADED, "requests in flight")
        permit = self._take_permit(caller)
        self.in_flight += 1
        attempt = self._make_attempt()
        return RequestContext(
            caller=caller,
            request=make_request(caller.customer, key, attempt),
            attempt=attempt,
            keyed=bool(key),
            priority=priority,
            deadline=deadline,
            permit=permit,
        )

    def release(self, context: RequestContext) -> None:
        """Release the permit of an admitted request that has ended."""
        self.in_flight -= 1
        self._limiter.release(context.permit)

    def _take_permit(self, caller: CallerSettings) -> Permit:
        limits = self._list_limits(caller)
        self._demands.record_request(caller.customer)
        floor = self._find_min_share(caller.customer)
        share = self._demands.find_demand_share(caller.customer, floor)
        match self._limiter.admit(limits, share):
            case Success(permit):
                return permit
            case Failure(error):
                raise error
        raise AssertionError("a result is a success or a failure")

    def _list_limits(self, caller: CallerSettings) -> list[Limit]:
        paths = dict.fromkeys([caller.customer, caller.path])
        return [self._make_limit(path) for path in paths]

    def _make_limit(self, path: str) -> Limit:
        configuration = self._get_configuration()
        rate = configuration.resolve(path, "requests_per_s")
        concurrent = configuration.resolve(path, "concurrent_requests")
        return Limit(path, rate, concurrent)


def make_request(customer: str, key: str, attempt: str) -> str:
    """Return the scoped key of a request, generated if the caller sent no key."""
    if key:
        return f"{customer}/{key}"
    return make_generated_key(customer, attempt)


def parse_key(headers: Mapping[str, str]) -> str:
    """Return the idempotency key, or an empty string if there is none."""
    key = headers.get("Idempotency-Key", "")
    if key and KEY_PATTERN.fullmatch(key) is None:
        raise RequestError(
            ErrorKind.INVALID_REQUEST,
            "header Idempotency-Key: expected 1 to 128 of A-Z a-z 0-9 . _ : -",
        )
    return key


def parse_priority(headers: Mapping[str, str], caller: CallerSettings) -> str:
    """Return the request's priority, which defaults to its caller's."""
    priority = headers.get("Priority", caller.priority)
    if priority not in PRIORITIES:
        raise RequestError(
            ErrorKind.INVALID_REQUEST, "header Priority: expected interactive or batch"
        )
    return priority


def parse_deadline(headers: Mapping[str, str], caller: CallerSettings) -> timedelta:
    """Return the time until the deadline, which defaults to the caller's."""
    text = headers.get("Deadline-Ms")
    if text is None:
        return caller.deadline
    if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) == 0:
        raise RequestError(
            ErrorKind.INVALID_REQUEST, "header Deadline-Ms: expected milliseconds"
        )
    return min(timedelta(milliseconds=int(text)), MAX_DEADLINE)
