"""Protocol of backend servers: encodes requests, and classifies responses."""

import math
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from lavendershift.attempts import Attempt, CallerRequest, ResponseKind
from lavendershift.connections import ServerRequest
from lavendershift.decoding import MAX_RATE
from lavendershift.platform import names
from lavendershift.serverresponses import SUCCESSES
from lavendershift.serversignals import ServerSignal

MISDIRECTED_REQUEST = 421  # status of a server that is not the expected one
SERVICE_UNAVAILABLE = 503  # status whose Retry-After pauses a server
MAX_PAUSE = timedelta(days=1)  # longest pause that a server may ask for
MAX_URGENCY = 9


class PlatformServerWire:
    """Encodes requests to servers and reads the heads of their responses."""

    def encode(
        self, request: CallerRequest, attempt: Attempt, now: timedelta
    ) -> ServerRequest:
        """Return the request that ``attempt`` sends to its server."""
        headers = request.headers.copy()
        remaining_ms = (attempt.deadline - now) // timedelta(milliseconds=1)
        headers[names.DEADLINE_MS] = str(max(remaining_ms, 1))
        headers[names.EXPECTED_SERVER] = attempt.server
        if attempt.customer:
            headers[names.CUSTOMER] = attempt.customer
        if request.prompt is not None:
            headers[names.URGENCY] = str(min(max(attempt.urgency, 0), MAX_URGENCY))
        if attempt.resume_after:
            headers[names.LAST_EVENT_ID] = attempt.resume_after
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        return ServerRequest(request.method, request.target, headers, request.body)

    def classify(
        self, request: CallerRequest, status: int, headers: HTTPHeaders, is_fresh: bool
    ) -> ResponseKind:
        """Return whose response this is, and whether ``request`` was executed.

        A response may lack the request's id only on a new connection (``is_fresh``),
        and a success only if the request has none either.
        """
        response_id = headers.get(names.REQUEST_ID)
        if response_id is not None and response_id != request.id:
            return ResponseKind.FOREIGN
        if response_id is None and not is_fresh:
            return ResponseKind.FOREIGN
        if response_id is None and request.id and status in SUCCESSES:
            return ResponseKind.FOREIGN
        if status == MISDIRECTED_REQUEST:
            return ResponseKind.WRONG_SERVER
        if names.NOT_RUN in headers:
            return ResponseKind.NOT_RUN
        return ResponseKind.OWN

    def read_signal(self, status: int, headers: HTTPHeaders) -> ServerSignal:
        """Return the signals in the head of a response."""
        is_leaving = headers.get(names.LEAVING, "").strip() not in ("", "0")
        pause = None
        if status == SERVICE_UNAVAILABLE and names.RETRY_AFTER in headers:
            pause = parse_seconds(headers[names.RETRY_AFTER])
        limit = None
        if names.LIMIT in headers:
            limit = parse_rate(headers[names.LIMIT])
        has_invalid_limit = names.LIMIT in headers and limit is None
        return ServerSignal(is_leaving, pause, limit, has_invalid_limit)

    def select_response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a server's response that are passed to a caller."""
        selected = HTTPHeaders()
        for name, value in headers.get_all():
            if name.lower() not in names.CONNECTION_HEADERS:
                selected.add(name, value)
        return selected


def parse_rate(value: str) -> float | None:
    """Parse a number of requests per second, which may have a fraction.

    Returns ``None`` for a malformed or negative number, or one above ``MAX_RATE``.
    """
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if 0 <= rate <= MAX_RATE else None


def parse_seconds(value: str) -> timedelta | None:
    """Parse a number of seconds, which may have a fraction.

    Returns at most ``MAX_PAUSE``, and ``None`` for a malformed, negative or infinite
    number.
    """
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not 0 <= seconds < math.inf:
        return None
    return timedelta(seconds=min(seconds, MAX_PAUSE.total_seconds()))
