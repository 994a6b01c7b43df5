"""Decoding of the entries that backend servers write to the store."""

from typing import Annotated

import msgspec

from lavendershift.serverstates import ServerEntry

STATES = ("ready", "draining")


NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class _Entry(msgspec.Struct):
    """An entry as servers write it.

    An entry without one of the required fields was written by another program, and is
    ignored.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    cold_remaining_ms: float
    sequence: NonNegativeInt
    born: NonNegativeInt = 0


def decode_entry(server_id: str, value: bytes) -> ServerEntry | None:
    """Decode a server's entry; return ``None`` if it is malformed."""
    try:
        wire = msgspec.json.decode(value, type=_Entry)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    if wire.state not in STATES or not _is_address(wire.address):
        return None
    return ServerEntry(
        id=server_id,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        slots=wire.slots,
        is_leaving=wire.state != "ready",
        born=wire.born,
        sequence=wire.sequence,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    return (
        len(octets) == 4
        and all(n.isascii() and n.isdigit() and int(n) < 256 for n in octets)
        and port.isascii()
        and port.isdigit()
        and 0 < int(port) < 65_536
    )
