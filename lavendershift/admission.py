"""Admission: who calls, what it may use, and whether it may start now.

The first stage of every request. It authenticates the caller, reads the
headers that steer the request, and applies the limits of the settings tree.
"""

import re
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Success

from lavendershift.clocks import Clock
from lavendershift.configuration import Configuration
from lavendershift.demands import Demands
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.limits import Limit, Permit, RateLimiter
from lavendershift.nodes import CallerSettings
from lavendershift.requeststates import make_generated_key

KEY_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
PRIORITIES = ("interactive", "batch")
MAX_DEADLINE = timedelta(hours=24)


class RequestContext(NamedTuple):
    """What holds for one admitted request at every later stage.

    ``request`` is the scoped key ``customer/idempotency key``, ``attempt`` the
    id that its attempts are derived from, and ``deadline`` is on the scale of
    ``Clock.elapsed``. ``keyed`` tells whether the caller chose the key.
    """

    caller: CallerSettings
    request: str
    attempt: str
    keyed: bool
    priority: str
    deadline: timedelta
    permit: Permit


class Admission:
    """Admits requests under the configuration in force.

    ``find_fault`` returns the kind of error while the router takes no new
    requests, ``find_least_share`` the part of a customer's limits that it
    enforces at least, however much of the demand others have.
    """

    def __init__(
        self,
        clock: Clock,
        get_configuration: Callable[[], Configuration],
        find_fault: Callable[[], ErrorKind | None],
        demands: Demands,
        find_least_share: Callable[[str], float],
        make_attempt: Callable[[], str],
        max_in_flight: int,
    ) -> None:
        self._clock = clock
        self._get_configuration = get_configuration
        self._find_fault = find_fault
        self._demands = demands
        self._find_least_share = find_least_share
        self._make_attempt = make_attempt
        self._limiter = RateLimiter(clock)
        self._max_in_flight = max_in_flight
        self.in_flight = 0

    def authenticate(self, headers: Mapping[str, str]) -> CallerSettings:
        """Return the caller whose API key the headers carry."""
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
        """Note that an admitted request has ended."""
        self.in_flight -= 1
        self._limiter.release(context.permit)

    def _take_permit(self, caller: CallerSettings) -> Permit:
        limits = self._list_limits(caller)
        self._demands.note_request(caller.customer)
        floor = self._find_least_share(caller.customer)
        share = self._demands.find_share(caller.customer, floor)
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
    """Return the scoped key of a request, made from its attempt without one."""
    if key:
        return f"{customer}/{key}"
    return make_generated_key(customer, attempt)


def parse_key(headers: Mapping[str, str]) -> str:
    """Return the idempotency key, empty where there is none."""
    key = headers.get("Idempotency-Key", "")
    if key and KEY_PATTERN.fullmatch(key) is None:
        raise RequestError(
            ErrorKind.INVALID_REQUEST,
            "header Idempotency-Key: expected 1 to 128 of A-Z a-z 0-9 . _ : -",
        )
    return key


def parse_priority(headers: Mapping[str, str], caller: CallerSettings) -> str:
    """Return the request's priority, by default its caller's."""
    priority = headers.get("Priority", caller.priority)
    if priority not in PRIORITIES:
        raise RequestError(
            ErrorKind.INVALID_REQUEST, "header Priority: expected interactive or batch"
        )
    return priority


def parse_deadline(headers: Mapping[str, str], caller: CallerSettings) -> timedelta:
    """Return the time left for the request, by default its caller's."""
    text = headers.get("Deadline-Ms")
    if text is None:
        return caller.deadline
    if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) == 0:
        raise RequestError(
            ErrorKind.INVALID_REQUEST, "header Deadline-Ms: expected milliseconds"
        )
    return min(timedelta(milliseconds=int(text)), MAX_DEADLINE)
