"""Messages between the processes of the fleet.

Each message is a ``NamedTuple`` in a registry and travels as a MessagePack
array of its kind and its fields, over pynng request and reply sockets::

    >>> decode_message(encode_message(Heartbeat("r1", "r1.7", "rennes", True, 40, 7)))
    Heartbeat(vm='r1', incarnation='r1.7', ...)

A relay answers ``AppendRequest`` with ``Appended`` and ``ReadRequest`` with
``ReadReply``. Routers answer each other's ``Heartbeat`` with their own and
``BorrowRequest`` with ``Lent`` and ``AttemptsNotice`` with ``Noted``. Any of them
may answer ``Failure``.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec

from lavendershift.errors import DecodeError

MAX_MESSAGE_BYTES = 8 * 1024 * 1024

MESSAGE_KINDS: dict[str, type] = {}
KIND_OF_MESSAGE: dict[type, str] = {}

MessageType = TypeVar("MessageType", bound=type)


def register_message(kind: str) -> Callable[[MessageType], MessageType]:
    """Return a decorator that files a message type under ``kind``."""

    def register(message_type: MessageType) -> MessageType:
        if kind in MESSAGE_KINDS:
            raise ValueError(f"message kind {kind!r} is registered twice")
        MESSAGE_KINDS[kind] = message_type
        KIND_OF_MESSAGE[message_type] = kind
        return message_type

    return register


@register_message("append")
class AppendRequest(NamedTuple):
    """Records, in their JSON form, to append to a stream."""

    stream: str
    records: list[Any]


@register_message("appended")
class Appended(NamedTuple):
    """The offset of the first record of an ``AppendRequest``."""

    first_offset: int


@register_message("read")
class ReadRequest(NamedTuple):
    """A read of up to ``limit`` entries, waiting up to ``wait_ms`` for one."""

    stream: str
    offset: int
    limit: int
    wait_ms: int


@register_message("entries")
class ReadReply(NamedTuple):
    """Entries as ``[offset, time_ms, record in its JSON form]``.

    ``confirmed_ms`` says when the log was asked for what is told here, in
    milliseconds after the request came; it is negative for a time before.
    """

    entries: list[Any]
    next_offset: int
    end_offset: int
    confirmed_ms: int


@register_message("expired")
class Expired(NamedTuple):
    """The records asked for are gone; ``first_offset`` is still there."""

    first_offset: int


class CustomerDemand(NamedTuple):
    """Requests per second that a customer offers to one router."""

    customer: str
    requests_per_s: float


@register_message("heartbeat")
class Heartbeat(NamedTuple):
    """A router's state, sent to its peers about once a second.

    ``config_offset`` is the offset up to which it has folded the
    configuration, ``ledger_offset`` the same of its first ledger stream.
    ``demands`` names the customers that use it most.
    """

    vm: str
    incarnation: str
    failure_domain: str
    ready: bool
    config_offset: int
    ledger_offset: int
    demands: list[CustomerDemand] = []


@register_message("borrow")
class BorrowRequest(NamedTuple):
    """A router's plea for tokens of a budget while the log is out of reach.

    ``id`` stays the same when the request is repeated; the lender answers a
    repeated id with the same loan.
    """

    id: str
    budget: str
    incarnation: str
    tokens: int


@register_message("lent")
class Lent(NamedTuple):
    """The transfer a lender has deducted from itself; 0 tokens is a refusal."""

    id: str
    budget: str
    sender: str
    receiver: str
    tokens: int


class AttemptNote(NamedTuple):
    """An attempt that was sent to an engine and is not yet charged.

    ``request`` is the scoped key, ``server`` the engine's ``IP:PORT``.
    """

    incarnation: str
    attempt: str
    request: str
    budget: str
    server: str


@register_message("attempts")
class AttemptsNotice(NamedTuple):
    """What an incarnation sent to engines since its last notice.

    With ``whole`` set, ``sent`` are all attempts not yet charged and replace
    what was told before; ``charged`` are those whose charge the log confirmed.
    """

    incarnation: str
    whole: bool
    sent: list[AttemptNote]
    charged: list[str]


@register_message("noted")
class Noted(NamedTuple):
    """A notice was taken in."""

    incarnation: str


@register_message("failure")
class Failure(NamedTuple):
    """A request that could not be served, with a closed reason."""

    reason: str
    detail: str = ""


Message = (
    AppendRequest
    | Appended
    | ReadRequest
    | ReadReply
    | Expired
    | Heartbeat
    | BorrowRequest
    | Lent
    | AttemptsNotice
    | Noted
    | Failure
)


def encode_message(message: Message) -> bytes:
    """Return the bytes that carry ``message``."""
    return msgspec.msgpack.encode([KIND_OF_MESSAGE[type(message)], *message])


def decode_message(data: bytes) -> Message:
    """Return the message in ``data``; raises ``DecodeError``."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise DecodeError("message", f"longer than {MAX_MESSAGE_BYTES} bytes")
    try:
        kind, *fields = msgspec.msgpack.decode(data, type=list)
    except (msgspec.DecodeError, ValueError) as error:
        raise DecodeError("message", str(error)) from None
    message_type = MESSAGE_KINDS.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        raise DecodeError("message", f"unknown kind {str(kind)[:40]!r}")
    try:
        message: Message = msgspec.convert(fields, message_type)
    except msgspec.ValidationError as error:
        raise DecodeError(f"message.{kind}", str(error)) from None
    return message
