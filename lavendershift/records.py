"""Record types of the streams in the platform's log service.

Each type is a ``NamedTuple`` that a decorator registers under its kind. On the
wire a record is a JSON array of its kind and its fields in order, which keeps it
short and readable::

    >>> encode_record(Charge("c1", "acme", "r1.7", "acme/k9", 120))
    ['charge', 'c1', 'acme', 'r1.7', 'acme/k9', 120]

The configuration stream holds ``Change`` and ``TopUp`` records, published by
operators. Each ledger stream holds the records of the budgets that hash to
it, written by routers. All readers apply the records of a stream in offset
order and so compute the same verdict for each. Amounts are in tokens.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec
import xxhash

from lavendershift.decoding import Integer
from lavendershift.errors import DecodeError

CONFIG_STREAM = "config"
LEDGER_STREAM_PREFIX = "ledger-"
CHECKPOINT_STREAM_SUFFIX = "-checkpoints"

RECORD_KINDS: dict[str, type] = {}
KIND_OF_RECORD: dict[type, str] = {}

RecordType = TypeVar("RecordType", bound=type)


def register_record(kind: str) -> Callable[[RecordType], RecordType]:
    """Return a decorator that registers a record type under ``kind``."""

    def register(record_type: RecordType) -> RecordType:
        if kind in RECORD_KINDS:
            raise ValueError(f"record kind {kind!r} is registered twice")
        RECORD_KINDS[kind] = record_type
        KIND_OF_RECORD[record_type] = kind
        return record_type

    return register


class Setting(NamedTuple):
    """A value to set on a node of the settings tree.

    A ``value`` of ``None`` removes the key. ``path`` is the node's path: ``""`` for
    the root, for example ``"desks/rennes/plume"`` for a customer.
    """

    path: str
    key: str
    value: str | Integer | float | bool | list[str] | None


@register_record("change")
class Change(NamedTuple):
    """A change to the settings tree.

    It is rejected if a key it touches was changed after ``base_offset``.
    """

    id: str
    base_offset: Integer
    author: str
    settings: list[Setting]


@register_record("top_up")
class TopUp(NamedTuple):
    """Tokens added to a prepaid budget; a duplicate id has no effect."""

    id: str
    budget: str
    tokens: Integer
    author: str


@register_record("join")
class Join(NamedTuple):
    """A router incarnation's request to join a ledger stream."""

    id: str
    incarnation: str
    vm: str
    failure_domain: str
    config_offset: Integer


@register_record("grant")
class Grant(NamedTuple):
    """A router's request for up to ``tokens`` of a budget to spend.

    It takes effect for what the budget has left at the record's offset, which may
    be less than requested or nothing. ``config_offset`` is the configuration
    offset that the router had reached.
    """

    id: str
    budget: str
    incarnation: str
    tokens: Integer
    config_offset: Integer


@register_record("return")
class Return(NamedTuple):
    """Unspent tokens that an incarnation returns to the budget."""

    id: str
    budget: str
    incarnation: str
    tokens: Integer


@register_record("transfer")
class Transfer(NamedTuple):
    """Unspent tokens moved directly from one incarnation to another.

    Sender and receiver may both log it, each under an id of its own sequence. It
    takes effect once per ``loan``, the id of the ``BorrowRequest``.
    """

    id: str
    budget: str
    sender: str
    receiver: str
    tokens: Integer
    loan: str = ""


@register_record("recall")
class Recall(NamedTuple):
    """A request by ``incarnation`` that others return idle tokens of a budget.

    It changes no balance; routers that hold idle tokens respond with ``Return``
    records.
    """

    id: str
    budget: str
    incarnation: str
    tokens: Integer


@register_record("charge")
class Charge(NamedTuple):
    """Tokens that a request consumed from an incarnation's grants.

    ``request`` is the scoped key ``customer/idempotency key``. The first
    charge of a request bills it; a later charge of another attempt consumes
    tokens but bills nothing. ``attempt`` is the attempt's id at the backend
    server; an attempt is charged once.
    """

    id: str
    budget: str
    incarnation: str
    request: str
    tokens: Integer
    attempt: str = ""


@register_record("claim")
class Claim(NamedTuple):
    """A router's claim to run a request that must not run twice.

    ``fingerprint`` is a hash of the request's content. It detects a key that is
    reused for different content.
    """

    id: str
    request: str
    budget: str
    incarnation: str
    fingerprint: str


@register_record("abandon")
class Abandon(NamedTuple):
    """The withdrawal of a claim whose request was never dispatched.

    Any router may claim the key again.
    """

    id: str
    request: str
    incarnation: str


@register_record("outcome")
class Outcome(NamedTuple):
    """The stored response to a claimed request, with the tokens it consumed.

    It bills the request as a ``Charge`` does.
    """

    id: str
    request: str
    budget: str
    incarnation: str
    tokens: Integer
    status: Integer
    content_type: str
    body: str
    attempt: str = ""


@register_record("evict")
class Evict(NamedTuple):
    """An eviction, which bars an incarnation from new grants and claims."""

    id: str
    incarnation: str
    author: str


@register_record("evict_ack")
class EvictAck(NamedTuple):
    """A statement that ``incarnation`` has logged all its transfers from ``evicted``.

    ``incarnation`` accepts no further transfers from ``evicted``.
    """

    id: str
    evicted: str
    incarnation: str


class Unspent(NamedTuple):
    """Unspent tokens of one budget when an incarnation closes."""

    budget: str
    tokens: Integer


@register_record("close")
class Close(NamedTuple):
    """An incarnation's own shutdown, which returns its unspent tokens."""

    id: str
    incarnation: str
    unspent: list[Unspent]


@register_record("release")
class Release(NamedTuple):
    """The release of an evicted incarnation's in-doubt tokens to the budget.

    It takes effect only after every other incarnation has acknowledged the
    eviction. ``evidence`` is a sentence stored for operators.
    """

    id: str
    budget: str
    incarnation: str
    tokens: Integer
    evidence: str
    author: str


@register_record("recover")
class Recover(NamedTuple):
    """The charge of an attempt that an evicted incarnation did not log itself.

    Its author learned the number of tokens from the backend server. It bills as a
    ``Charge`` does; the incarnation's own charge of the attempt may still follow
    and then has no effect.
    """

    id: str
    budget: str
    incarnation: str
    request: str
    tokens: Integer
    attempt: str
    author: str


@register_record("checkpoint")
class Checkpoint(NamedTuple):
    """One part of the replayed state of ``stream`` just before ``next_offset``.

    The ``parts`` records with one ``id`` together hold the state. ``state`` is
    this part's piece of the JSON text that the replaying class defines.
    """

    id: str
    stream: str
    next_offset: Integer
    part: Integer
    parts: Integer
    state: str


Record = (
    Change
    | TopUp
    | Join
    | Grant
    | Return
    | Transfer
    | Recall
    | Charge
    | Claim
    | Abandon
    | Outcome
    | Evict
    | EvictAck
    | Close
    | Release
    | Recover
    | Checkpoint
)


class Entry(NamedTuple):
    """A record read from the log, with its offset and the log's Unix time in ms.

    ``record`` is ``None`` if the stream holds no valid record there; ``fault``
    then holds the location and the reason.
    """

    offset: int
    time_ms: int
    record: Record | None
    fault: str = ""


def encode_record(record: Record) -> list[Any]:
    """Return the JSON form of ``record``: its kind, then its fields."""
    return [KIND_OF_RECORD[type(record)], *msgspec.to_builtins(record)]


def decode_record(data: Any, location: str = "record") -> Record:
    """Return the record whose JSON form is ``data``.

    Raises ``DecodeError`` with ``location`` and the invalid field.
    """
    if not isinstance(data, list) or not data or not isinstance(data[0], str):
        raise DecodeError(location, "expected an array that starts with a kind")
    record_type = RECORD_KINDS.get(data[0])
    if record_type is None:
        raise DecodeError(location, f"unknown record kind {data[0][:40]!r}")
    try:
        record: Record = msgspec.convert(data[1:], record_type)
    except Exception as error:  # the library's documentation doesn't list them all
        raise DecodeError(f"{location}.{data[0]}", str(error)) from None
    tokens = getattr(record, "tokens", 0)
    if tokens < 0:
        raise DecodeError(f"{location}.{data[0]}.tokens", "must not be negative")
    return record


def decode_entry(stream: str, offset: int, time_ms: int, data: Any) -> Entry:
    """Return the entry at ``offset``, with a ``fault`` if its record is invalid."""
    try:
        return Entry(offset, time_ms, decode_record(data, f"{stream}@{offset}"))
    except DecodeError as error:
        return Entry(offset, time_ms, None, str(error))


def find_ledger_stream(budget: str, shards: int) -> str:
    """Return the name of the ledger stream that stores ``budget``."""
    shard = xxhash.xxh64_intdigest(budget.encode()) % shards
    return f"{LEDGER_STREAM_PREFIX}{shard}"


def name_checkpoint_stream(stream: str) -> str:
    """Return the name of the stream that stores checkpoints of ``stream``."""
    return stream + CHECKPOINT_STREAM_SUFFIX
