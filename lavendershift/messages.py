"""Message types exchanged between the processes of the fleet.

Each message is a ``NamedTuple`` in a registry. It is sent as a MessagePack array
of its kind and its fields, over pynng request and reply sockets::

    >>> decode_message(encode_message(Heartbeat("r1", "r1.7", "rennes", True, 40, 7)))
    Heartbeat(vm='r1', incarnation='r1.7', ...)

A relay replies to ``AppendRequest`` with ``Appended`` and to ``ReadRequest`` with
``ReadReply`` or ``Expired``. A router replies to a peer's ``Heartbeat`` with its own,
to ``BorrowRequest`` with ``LoanGrant`` and to ``AttemptsNotice`` with ``NoticeAck``.
The reply to any request may be ``Failure``.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec

from lavendershift.decoding import run_decoder
from lavendershift.errors import DecodeError

MAX_MESSAGE_BYTES = 8 * 1024 * 1024  # longest message that is decoded

MESSAGE_KINDS: dict[str, type] = {}
KIND_OF_MESSAGE: dict[type, str] = {}

MessageType = TypeVar("MessageType", bound=type)


def register_message(kind: str) -> Callable[[MessageType], MessageType]:
    """Return a decorator that registers a message type under ``kind``."""

    def register(message_type: MessageType) -> MessageType:
        if kind in MESSAGE_KINDS:
            raise ValueError(f"message kind {kind!r} is registered twice")
        MESSAGE_KINDS[kind] = message_type
        KIND_OF_MESSAGE[message_type] = kind
        return message_type

    return register


@register_message("append")
class AppendRequest(NamedTuple):
    """A request to append records, in their JSON form, to a stream."""

    stream: str
    records: list[Any]


@register_message("appended")
class Appended(NamedTuple):
    """The reply to an ``AppendRequest``, with the offset of its first record."""

    first_offset: int


@register_message("read")
class ReadRequest(NamedTuple):
    """A read of up to ``limit`` entries, waiting up to ``wait_ms`` for the first."""

    stream: str
    offset: int
    limit: int
    wait_ms: int


@register_message("entries")
class ReadReply(NamedTuple):
    """Entries as ``[offset, time_ms, record in its JSON form]``.

    ``confirmed_ms`` is when the log service was asked for ``end_offset``, in
    milliseconds after the request arrived; it is negative for an earlier time.
    """

    entries: list[Any]
    next_offset: int
    end_offset: int
    confirmed_ms: int


@register_message("expired")
class Expired(NamedTuple):
    """The requested records have expired; ``first_offset`` is the first retained."""

    first_offset: int


class CustomerDemand(NamedTuple):
    """Requests per second that a customer sends to one router."""

    customer: str
    requests_per_s: float


@register_message("heartbeat")
class Heartbeat(NamedTuple):
    """A router's state, sent to its peers about once a second.

    ``config_offset`` is the offset up to which the router has replayed the
    configuration, ``ledger_offset`` that of its first ledger stream. ``demands``
    lists the customers with the highest request rates there.
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
    """A request to a peer for tokens of a budget while the log is unavailable.

    A retry has the same ``id``, and the lender replies to it with the same loan.
    """

    id: str
    budget: str
    incarnation: str
    tokens: int


@register_message("lent")
class LoanGrant(NamedTuple):
    """A loan deducted from the lender's own tokens; a refusal has 0 ``tokens``."""

    id: str
    budget: str
    sender: str
    receiver: str
    tokens: int


class AttemptNote(NamedTuple):
    """An attempt that was sent to an engine and is not charged yet.

    ``request`` is the scoped key ``customer/idempotency key`` and ``server`` the
    engine's ``IP:PORT``.
    """

    incarnation: str
    attempt: str
    request: str
    budget: str
    server: str


@register_message("attempts")
class AttemptsNotice(NamedTuple):
    """Attempts that an incarnation sent to engines since its previous notice.

    If ``whole`` is set, ``sent`` holds all attempts not charged yet and replaces
    those of earlier notices. ``charged`` lists the ids of attempts whose charge the
    log has confirmed.
    """

    incarnation: str
    whole: bool
    sent: list[AttemptNote]
    charged: list[str]


@register_message("noted")
class NoticeAck(NamedTuple):
    """The acknowledgement of an ``AttemptsNotice``."""

    incarnation: str


@register_message("failure")
class Failure(NamedTuple):
    """The reply to a request that failed; ``reason`` is from a fixed set."""

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
    | LoanGrant
    | AttemptsNotice
    | NoticeAck
    | Failure
)


def encode_message(message: Message) -> bytes:
    """Return ``message`` encoded as MessagePack."""
    return msgspec.msgpack.encode([KIND_OF_MESSAGE[type(message)], *message])


def decode_message(data: bytes) -> Message:
    """Return the message encoded in ``data``.

    Raises ``DecodeError`` if it is too long, malformed or of an unknown kind.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise DecodeError("message", f"longer than {MAX_MESSAGE_BYTES} bytes")
    parts = run_decoder(lambda: msgspec.msgpack.decode(data, type=list), "message")
    if not parts:
        raise DecodeError("message", "expected an array that starts with a kind")
    kind, *fields = parts
    message_type = MESSAGE_KINDS.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        raise DecodeError("message", f"unknown kind {str(kind)[:40]!r}")
    message: Message = run_decoder(
        lambda: msgspec.convert(fields, message_type), f"message.{kind}"
    )
    return message
