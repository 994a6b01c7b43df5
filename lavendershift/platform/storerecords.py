"""Records of the store's topics, and the bodies of its calls that hold them."""

import base64
import struct
from enum import Enum
from typing import NamedTuple

import msgspec

from lavendershift.decoding import Count, decode_json
from lavendershift.errors import DecodeError, LogUnavailableError
from lavendershift.storehistories import History

MAX_PAGE_BYTES = 67_108_864  # longest page of newest records
READ_HEADER = struct.Struct(">QQ")  # the partition's end and its first retained offset
RECORD_LENGTH = struct.Struct(">I")  # number of bytes of the record that follows


class Record(NamedTuple):
    """A record of a keyed topic; an empty value deletes its key."""

    offset: int
    key: bytes
    value: bytes


class Batch(NamedTuple):
    """Records that were read, the offset to read next, and the partition's end.

    The offsets are valid in ``history`` only.
    """

    records: list[Record]
    next_offset: int
    end: int
    history: History = History()


class AppendResult(Enum):
    """Outcome of an append, which may be conditional on the partition's end."""

    DONE = "done"
    MOVED = "moved"  # append that was not done, as the partition ends elsewhere
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"  # append that may have been executed, or may still be


class AppendResponse(msgspec.Struct):
    """The response to an append, whose condition may have failed."""

    end: Count
    offset: Count | None = None  # offset of the first record that was appended


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: Count


class NewestPage(msgspec.Struct):
    """A page of the newest records; ``truncated`` if more pages follow."""

    items: list[_NewestItem]
    end: Count
    truncated: bool = False


def decode_append_response(body: bytes) -> AppendResponse | None:
    """Decode the response to an append; ``None`` if it is malformed."""
    try:
        return decode_json(body, AppendResponse, "append")
    except DecodeError:
        return None


def decode_page(body: bytes, topic: str) -> tuple[list[Record], NewestPage]:
    """Decode a page of newest records; raises ``LogUnavailableError``."""
    try:
        page = decode_json(body, NewestPage, topic, MAX_PAGE_BYTES)
        records = [
            Record(i.offset, i.key.encode(), base64.b64decode(i.value))
            for i in page.items
        ]
    except ValueError as error:  # DecodeError is one
        raise LogUnavailableError(f"{topic}: {error}") from None
    return records, page


def encode_record(key: bytes, value: bytes) -> bytes:
    """Encode a record of a keyed topic for an append."""
    return (
        RECORD_LENGTH.pack(1 + len(key) + len(value)) + bytes([len(key)]) + key + value
    )


def decode_batch(body: bytes, offset: int) -> Batch:
    """Decode the response to a read that began at ``offset``.

    A record whose key can't be decoded gets an empty key. Raises
    ``LogUnavailableError`` for a truncated body.
    """
    if len(body) < READ_HEADER.size:
        raise LogUnavailableError("a read that ends within its 16-byte header")
    end, _ = READ_HEADER.unpack_from(body)
    records: list[Record] = []
    position = READ_HEADER.size
    while position < len(body):
        if position + RECORD_LENGTH.size > len(body):
            raise LogUnavailableError("a read that ends within a record's length")
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        data = body[position : position + length]
        if len(data) < length:
            raise LogUnavailableError("a read that ends within a record")
        position += length
        records.append(Record(offset + len(records), *_split_record(data)))
    return Batch(records, offset + len(records), end)


def _split_record(data: bytes) -> tuple[bytes, bytes]:
    if not data or len(data) < 1 + data[0]:
        return b"", b""
    return data[1 : 1 + data[0]], data[1 + data[0] :]
