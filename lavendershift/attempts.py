"""What a delivery works with: requests, attempts, answers and how they end.

``ResponseWriter`` and ``ServerWire`` are the two sides that an adapter provides: where
an answer goes, and how requests and answers look on the way to a server.
"""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple, Protocol

from tornado.httputil import HTTPHeaders

from lavendershift.connections import ServerRequest
from lavendershift.errors import RequestError
from lavendershift.notices import ServerSignal
from lavendershift.serverstates import PromptShape, ServerKnowledge


class CallerRequest(NamedTuple):
    """A plain HTTP request; times are on the scale of ``Clock.elapsed``.

    ``headers`` are those passed on. ``prompt`` is set for requests to model
    engines, ``resumed_after`` is the last event that the caller already has.
    """

    id: str
    method: str
    target: str
    host: str
    headers: HTTPHeaders
    body: bytes
    key: str
    received: timedelta
    deadline: timedelta
    prompt: PromptShape | None = None
    resumed_after: str = ""


class Attempt(NamedTuple):
    """One sending of a request to one server."""

    server: str
    customer: str
    urgency: int
    deadline: timedelta
    resume_after: str = ""


class ResponseKind(Enum):
    """What the head of an answer says of the request."""

    OWN = "own"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    FOREIGN = "foreign"  # belongs to another request


class ResponseWriter(Protocol):
    """Where the answer to one request goes."""

    has_started: bool

    def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a whole answer."""
        ...

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Begin an answer that follows in parts."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send a part; returns once it was taken."""
        ...

    def finish(self) -> None:
        """End the answer as complete."""
        ...

    def abort(self) -> None:
        """End the answer as incomplete."""
        ...

    def refuse(self, error: RequestError) -> None:
        """Send the answer of an error kind."""
        ...


class ServerWire(Protocol):
    """How requests and answers look on the way to a backend server."""

    def encode(
        self, request: CallerRequest, attempt: Attempt, now: timedelta
    ) -> ServerRequest:
        """Return ``request`` as ``attempt`` sends it."""
        ...

    def classify(
        self, request: CallerRequest, status: int, headers: HTTPHeaders, is_fresh: bool
    ) -> ResponseKind:
        """Return whose answer this is and whether the request ran."""
        ...

    def read_signal(self, status: int, headers: HTTPHeaders) -> ServerSignal:
        """Return what the head of an answer says of its server."""
        ...

    def select_response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers that the caller gets."""
        ...


class AttemptEnd(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    SERVER_ERROR = "server_error"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    BROKEN = "broken"
    SILENT = "silent"
    INSIDE_EVENT = "inside_event"  # a clean end in the middle of an event
    OTHER_KIND = "other_kind"  # a plain answer in place of the rest of a stream
    OUT_OF_PLACE = "out_of_place"  # events that don't follow those handed on
    GIVEN_UP = "given_up"  # by the caller, or as the time ran out

    @property
    def did_not_run(self) -> bool:
        """Whether the server certainly did not run the request."""
        return self in (
            AttemptEnd.NOT_SENT,
            AttemptEnd.NOT_RUN,
            AttemptEnd.WRONG_SERVER,
        )


class StreamNote(NamedTuple):
    """What an attempt read of a stream.

    ``resumed_after`` is the event that it was asked to go on after, ``events``
    how many whole events it brought, ``partial_bytes`` what came after them.
    """

    resumed_after: str = ""
    events: int = 0
    partial_bytes: int = 0
    media_type: str = ""


class AttemptNote(NamedTuple):
    """An attempt that ended, for the log; ``stream`` is set on streaming routes.

    ``knowledge`` is what was known of the server when it was chosen, ``connecting`` the
    time from then until the request was sent, ``None`` where it was not.
    """

    server: str
    end: AttemptEnd
    reason: str
    status: int
    duration: timedelta
    expected: timedelta
    stream: StreamNote | None = None
    knowledge: ServerKnowledge = ServerKnowledge()
    connecting: timedelta | None = None
