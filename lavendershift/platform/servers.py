"""Decoding of the entries that backend servers write to the store."""

from typing import Annotated, Literal

import msgspec

from lavendershift.decoding import (
    Count,
    decode_identifier,
    decode_json,
    make_duration,
    parse_address,
)
from lavendershift.errors import DecodeError
from lavendershift.serverstates import ServerEntry

MAX_ENTRY_BYTES = 16_384  # entries have a few hundred bytes
MAX_SLOTS = 1_000_000


class _Entry(msgspec.Struct):
    """An entry as servers write it.

    An entry without one of the required fields was written by another program, and is
    ignored.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: Count
    born: Count = 0


def decode_entry(key: bytes, value: bytes) -> ServerEntry:
    """Decode the entry of the server with the id ``key``.

    Raises ``DecodeError``. A malformed entry names no server to use. It isn't a notice
    that the server has left either: the last valid entry stays until a newer one or
    the removal of the key.
    """
    server_id = decode_identifier(key, "server")
    wire = decode_json(value, _Entry, "server", MAX_ENTRY_BYTES)
    if parse_address(wire.address) is None:
        raise DecodeError("server", "the address is no IPv4 address with a port")
    return ServerEntry(
        id=server_id,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        slots=wire.slots,
        is_leaving=wire.state != "ready",
        born=wire.born,
        sequence=wire.sequence,
        cold_remaining=make_duration(wire.cold_remaining_ms / 1000),
    )
