"""Types of a delivery: requests, attempts, responses and how attempts end.

An adapter implements ``ResponseWriter``, which sends a response to the caller, and
``ServerWire``, which encodes requests to servers and decodes their responses.
"""

from collections.abc import Sequence
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, Protocol

from tornado.httputil import HTTPHeaders

from lavendershift.connections import ServerRequest
from lavendershift.errors import RequestError
from lavendershift.requestends import AttemptEnding
from lavendershift.serversignals import ServerSignal
from lavendershift.serverstates import PromptShape, ServerKnowledge


class CallerRequest(NamedTuple):
    """A plain HTTP request of a caller, with times as of ``Clock.elapsed``.

    ``headers`` are the ones to forward. ``prompt`` is set for requests to model
    engines, and ``resumed_after`` is the caller's Last-Event-ID.
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
    """One attempt to send a request to a server, which is told the ``deadline``."""

    server: str
    customer: str
    urgency: int
    deadline: timedelta
    resume_after: str = ""


class ResponseKind(Enum):
    """Which request a response belongs to, and whether that ran."""

    OWN = "own"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    FOREIGN = "foreign"  # response to an earlier request on the connection


class ResponseWriter(Protocol):
    """Sends the response to one request."""

    has_started: bool

    def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a complete response."""
        ...

    def send_pieces(
        self, status: int, headers: HTTPHeaders, pieces: Sequence[bytearray]
    ) -> None:
        """Send a complete response with a long body; ``pieces`` must not change."""
        ...

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Start a response whose body follows in chunks."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send a chunk; return once the caller has taken it."""
        ...

    def finish(self) -> None:
        """End the response as complete."""
        ...

    def abort(self) -> None:
        """End the response so that it is seen to be incomplete."""
        ...

    def refuse(self, error: RequestError) -> None:
        """Send the response for an error."""
        ...


class ServerWire(Protocol):
    """Encodes requests to backend servers and decodes their responses."""

    def encode(
        self, request: CallerRequest, attempt: Attempt, now: timedelta
    ) -> ServerRequest:
        """Return ``request`` as ``attempt`` sends it."""
        ...

    def classify(
        self, request: CallerRequest, status: int, headers: HTTPHeaders, is_fresh: bool
    ) -> ResponseKind:
        """Return which request a response belongs to and whether that ran."""
        ...

    def read_signal(self, status: int, headers: HTTPHeaders) -> ServerSignal:
        """Return the signals of a response head."""
        ...

    def select_response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the response headers to forward to the caller."""
        ...


class AttemptEnd(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    SERVER_ERROR = "server_error"
    NOT_SENT = "not_sent"
    NO_PERMIT = "no_permit"  # the server's limit allows no request at this time
    QUARANTINED = "quarantined"  # the prompt has a part that crashed servers
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    BROKEN = "broken"
    SILENT = "silent"  # no progress, until another attempt went on in its place
    REPLACED = "replaced"  # not needed any more, as another attempt went on
    INSIDE_EVENT = "inside_event"  # clean end of the response within an event
    OTHER_KIND = "other_kind"  # another status or media type than the stream's
    OUT_OF_PLACE = "out_of_place"  # events that don't follow the forwarded ones
    NO_ROOM = "no_room"  # this VM has no memory for the response
    INTERNAL_ERROR = "internal_error"  # an exception that nothing handles
    GIVEN_UP = "given_up"  # disconnected caller or passed deadline

    @property
    def did_not_run(self) -> bool:
        """Whether the server certainly did not execute the request."""
        return self in (
            AttemptEnd.NOT_SENT,
            AttemptEnd.NO_PERMIT,
            AttemptEnd.QUARANTINED,
            AttemptEnd.NOT_RUN,
            AttemptEnd.WRONG_SERVER,
        )

    @property
    def is_unfinished(self) -> bool:
        """Whether there is no complete response: the connection can't be reused."""
        return self in (
            AttemptEnd.BROKEN,
            AttemptEnd.INSIDE_EVENT,
            AttemptEnd.OTHER_KIND,
            AttemptEnd.OUT_OF_PLACE,
            AttemptEnd.NO_ROOM,
        )


class StreamReport(NamedTuple):
    """Report of the stream read by an attempt.

    ``resumed_after`` is the Last-Event-ID sent to the server, ``events`` the number of
    complete events read, ``partial_bytes`` the number of bytes read after them.
    """

    resumed_after: str = ""
    events: int = 0
    partial_bytes: int = 0
    media_type: str = ""


class ExchangeReport(NamedTuple):
    """Report of the connection of an attempt whose request was sent.

    ``number`` is the connection's in this process, ``position`` the place of the
    exchange among all on it, from 1. ``head_delay`` is the time from the request until
    the head of its response, ``None`` without one, and ``skipped`` the number of
    responses before it. ``earlier_sends`` counts how often the delivery had sent the
    request to this address before.
    """

    address: str
    number: int
    position: int
    head_delay: timedelta | None
    skipped: int
    earlier_sends: int


class AttemptReport(NamedTuple):
    """Report of a finished attempt; ``stream`` is set on streaming routes.

    ``knowledge`` is what the VM knew of the server when it selected it, ``connecting``
    the time from then until the request was sent, ``None`` if it was not sent.
    ``known_limit`` is the server's limit in requests/s that the VM knew when it sent
    the request, ``named_limit`` the one in the response; ``None`` if there is none.
    ``parts`` are the ids of the prompt's parts. ``silence`` is the longest time without
    progress, ``None`` if the attempt never fell silent. ``is_beside`` is set if it was
    started while another attempt was silent. ``ending`` is set if this VM ended it.
    ``exchange`` is ``None`` if the request was not sent.
    """

    server: str
    end: AttemptEnd
    reason: str
    status: int
    duration: timedelta
    expected: timedelta
    stream: StreamReport | None = None
    knowledge: ServerKnowledge = ServerKnowledge()
    connecting: timedelta | None = None
    known_limit: float | None = None
    named_limit: float | None = None
    parts: tuple[str, ...] = ()
    silence: timedelta | None = None
    is_beside: bool = False
    ending: AttemptEnding | None = None
    exchange: ExchangeReport | None = None
