"""Entries of backend servers, decoded into ``ServerEntry``."""

from typing import Annotated

import msgspec

from lavendershift.serverstates import ServerEntry

STATES = ("ready", "draining")


Natural = Annotated[int, msgspec.Meta(ge=0)]


class _Entry(msgspec.Struct):
    """An entry as servers write it; one that lacks a field is somebody else's."""

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    cold_remaining_ms: float
    sequence: Natural
    born: Natural = 0


def decode_entry(server_id: str, value: bytes) -> ServerEntry | None:
    """Return a server's entry, or ``None`` for one that names no server."""
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
    numbers = host.split(".")
    return (
        len(numbers) == 4
        and all(n.isascii() and n.isdigit() and int(n) < 256 for n in numbers)
        and port.isascii()
        and port.isdigit()
        and 0 < int(port) < 65_536
    )
