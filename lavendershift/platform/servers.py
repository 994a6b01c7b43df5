"""Entries of backend servers, decoded into ``ServerEntry``."""

import msgspec

from lavendershift.serverstates import ServerEntry

STATES = ("ready", "draining")


class _Entry(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 1
    sequence: int = 0
    born: int = 0


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
        slots=max(wire.slots, 1),
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
