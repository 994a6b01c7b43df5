"""The wire towards backend servers: requests encoded, answers judged."""

import math
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from lavendershift.attempts import Attempt, CallerRequest, ResponseKind
from lavendershift.connections import ServerRequest
from lavendershift.platform import names
from lavendershift.serversignals import ServerSignal

MISDIRECTED = 421
TURNED_AWAY = 503
LONGEST_PAUSE = timedelta(days=1)  # that a server may ask for
MAX_URGENCY = 9


class PlatformServers:
    """Encodes requests to servers and reads the heads of their answers."""

    def encode(
        self, request: CallerRequest, attempt: Attempt, now: timedelta
    ) -> ServerRequest:
        """Return ``request`` as ``attempt`` sends it."""
        headers = request.headers.copy()
        left = (attempt.deadline - now) // timedelta(milliseconds=1)
        headers[names.DEADLINE_MS] = str(max(left, 1))
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
        """Return whose answer this is and whether the request ran."""
        answered = headers.get(names.REQUEST_ID)
        if answered is not None and answered != request.id:
            return ResponseKind.FOREIGN
        if answered is None and not is_fresh:
            return ResponseKind.FOREIGN
        if status == MISDIRECTED:
            return ResponseKind.WRONG_SERVER
        if names.NOT_RUN in headers:
            return ResponseKind.NOT_RUN
        return ResponseKind.OWN

    def read_signal(self, status: int, headers: HTTPHeaders) -> ServerSignal:
        """Return what the head of an answer says of its server."""
        is_leaving = headers.get(names.LEAVING, "").strip() not in ("", "0")
        pause = None
        if status == TURNED_AWAY and names.RETRY_AFTER in headers:
            pause = parse_seconds(headers[names.RETRY_AFTER])
        return ServerSignal(is_leaving, pause)

    def select_response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a server's answer that a caller gets."""
        selected = HTTPHeaders()
        for name, value in headers.get_all():
            if name.lower() not in names.CONNECTION_HEADERS:
                selected.add(name, value)
        return selected


def parse_seconds(value: str) -> timedelta | None:
    """Return a time in seconds, which may have a fraction; ``None`` if it is none."""
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not 0 <= seconds < math.inf:
        return None
    return timedelta(seconds=min(seconds, LONGEST_PAUSE.total_seconds()))
