"""Odd entries of the soak test: records of another writer in the platform's topics."""

import contextlib

import msgspec

from lavendershift.platform import names
from lavendershift.platform.tests.soak.faults import register_fault

ODD_ENTRIES = {}
DEEP = 100_000  # levels of nesting
DIGITS = b"9" * 5000
HUGE_NUMBERS = (b"9" * 400, DIGITS, b"1e400", b"-1", b"-" + DIGITS, b"0.5e-9999")
ODD_BYTES = (
    b"\x00",
    b"\xff\xfe\x00{",
    b"null",
    b"[]",
    b'"\\ud800"',
    b"{" * DEEP,
    b"[" * DEEP + b"]" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
)
ODD_KEYS = (b"", b"i-pool-9\x00", "\u00e9".encode(), b"k" * 255, b"other")
ODD_ADDRESSES = (
    b"127.0.0.1:99999",
    b"127.0.0.1:0",
    b"127.0.0.1:" + DIGITS,
    DIGITS + b".0.0.1:80",
    "127.0.0.1:\u0661\u0662".encode(),
    b"127.0.0.1:80\\u0000",
    b"[::1]:80",
    b":",
)
OTHER_SERVER = {
    "service": "pool",
    "address": "127.0.0.1:9",
    "zone": "rennes",
    "version": "v1",
    "slots": 8,
    "cold_remaining_ms": 0,
    "state": "ready",
    "sequence": 1,
    "born": 1,
}
OTHER_VM = {
    "address": "127.0.0.1:9",
    "domain": "rennes",
    "incarnation": "other-1",
    "renewal": 1,
    "leaving": False,
    "demand": {"plume": 1.0},
    "peer": "127.0.0.1:9",
    "capacity": 10.0,
    "arrivals": 1.0,
    "active": True,
}


@register_fault(3, 0.0, ODD_ENTRIES)
def write_odd_server_entry(world, rng):
    value = spoil_entry(OTHER_SERVER, rng)
    world.append(names.SERVERS_TOPIC, [(rng.choice(ODD_KEYS), value)])


@register_fault(3, 4.0, ODD_ENTRIES)
def spoil_server_entry(world, rng):
    """Write an odd value under the id of a server, which its next entry repairs."""
    server = rng.choice(world.servers[rng.choice(list(world.servers))])
    if world.odd:
        return None
    with world.lock:
        world.odd.add(server.name)
        world.sequence += 1
        value = spoil_entry(world.make_entry(server), rng)
        world.append(names.SERVERS_TOPIC, [(server.name.encode(), value)])

    def undo():
        with world.lock:
            world.odd.discard(server.name)
            world.write_server_entries()

    return undo


@register_fault(2, 0.0, ODD_ENTRIES)
def write_odd_vm_row(world, rng):
    """Write an odd row under an unknown name, or that of a VM, which writes it anew."""
    entries = {key: OTHER_VM for key in ODD_KEYS}
    for key, row in world.store.state.read(names.VMS_TOPIC, 0, 0):
        with contextlib.suppress(msgspec.MsgspecError, RecursionError, ValueError):
            if key not in ODD_KEYS:
                entries[key] = msgspec.json.decode(row, type=dict)
    key = rng.choice(list(entries))
    world.append(names.VMS_TOPIC, [(key, spoil_entry(entries[key], rng))])


@register_fault(1, 0.0, ODD_ENTRIES)
def write_odd_operator_record(world, rng):
    """Write odd records to the operator's topic, a good configuration after them."""
    odd = [(rng.choice(ODD_KEYS), rng.choice(ODD_BYTES))]
    odd += [(names.CONFIGURATION_KEY, rng.choice(ODD_BYTES))]
    with world.lock:
        world.append(names.OPERATOR_TOPIC, odd)
        world.configure()


def spoil_entry(entry, rng):
    """Return odd bytes, or the entry with one field that no reader can use."""
    if rng.random() < 0.4:
        return rng.choice(ODD_BYTES)
    fields = {name: msgspec.json.encode(value) for name, value in entry.items()}
    name = rng.choice(list(fields))
    if name in ("address", "peer"):
        fields[name] = b'"' + rng.choice(ODD_ADDRESSES) + b'"'
    elif isinstance(entry[name], (int, float)) and not isinstance(entry[name], bool):
        fields[name] = rng.choice(HUGE_NUMBERS)
    else:
        fields[name] = b"[" * DEEP + b"]" * DEEP
    pairs = (b'"%s":%s' % (name.encode(), value) for name, value in fields.items())
    return b"{" + b",".join(pairs) + b"}"
