"""Compare the cost of rebuilding a ledger by full replay and from a checkpoint.

Prints the bytes read and the CPU seconds, including decoding, of a replay of all
records and of a restored checkpoint with a replay of the records after it::

    python -m lavendershift.tools.replay --records 100000 --tail 2000
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import cappa
import msgspec

from lavendershift.ledger import Ledger
from lavendershift.records import (
    Charge,
    Checkpoint,
    Grant,
    Join,
    Record,
    decode_entry,
    decode_record,
    encode_record,
)

STREAM = "ledger-0"
ROUTERS = 8
GRANT_INTERVAL = 100  # number of records of one router from a grant to its next
RECORD_INTERVAL_MS = 400  # interval between two entries of the stream
PREPAID = 10**12  # number of tokens beyond what the generated records spend


class Cost(NamedTuple):
    """Bytes read and CPU time of one way to rebuild the ledger."""

    way: str
    bytes_read: int
    cpu_s: float


def find_prepaid(budget: str, config_offset: int) -> int:
    """Return a prepaid total that the generated records can't exhaust."""
    return PREPAID


def make_records(count: int) -> Iterator[Record]:
    """Yield grants and charges of several routers, interleaved."""
    names = [f"r{n}.1767225600000-abcdef" for n in range(ROUTERS)]
    for name in names:
        yield Join(f"{name}/0", name, name[:2], "d0", 0)
    for number in range(count - ROUTERS):
        name, seq = names[number % ROUTERS], number // ROUTERS + 1
        record_id, budget = f"{name}/{seq}", f"budget{number % 10}"
        if seq % GRANT_INTERVAL == 1:
            yield Grant(record_id, budget, name, 10**6, 0)
        else:
            request, attempt = f"customer/key-{number:012d}", f"{name}-a{seq}"
            yield Charge(record_id, budget, name, request, 1000, attempt)


def encode_entries(records: Iterator[Record]) -> list[bytes]:
    """Return the entries in the JSON form of the log's responses."""
    return [
        msgspec.json.encode(
            [offset, offset * RECORD_INTERVAL_MS, encode_record(record)]
        )
        for offset, record in enumerate(records)
    ]


def apply_entries(ledger: Ledger, entries: list[bytes]) -> None:
    """Decode ``entries`` and apply them to ``ledger``."""
    for entry in entries:
        ledger.apply(decode_entry(STREAM, *msgspec.json.decode(entry)))


def measure_replay(entries: list[bytes]) -> tuple[Cost, Ledger]:
    """Rebuild the ledger from all records."""
    start_s = time.process_time()
    ledger = Ledger(STREAM, find_prepaid)
    apply_entries(ledger, entries)
    cpu_s = time.process_time() - start_s
    return Cost("full replay", sum(map(len, entries)), cpu_s), ledger


def measure_checkpoint(entries: list[bytes], tail: int) -> tuple[Cost, Ledger]:
    """Rebuild the ledger from a checkpoint and the last ``tail`` records."""
    earlier = Ledger(STREAM, find_prepaid)
    apply_entries(earlier, entries[:-tail])
    parts = [
        msgspec.json.encode(encode_record(part))
        for part in earlier.make_checkpoint("c")
    ]
    start_s = time.process_time()
    checkpoint = [decode_record(msgspec.json.decode(part)) for part in parts]
    typed = [part for part in checkpoint if isinstance(part, Checkpoint)]
    ledger = Ledger.restore(typed, find_prepaid)
    apply_entries(ledger, entries[-tail:])
    cpu_s = time.process_time() - start_s
    bytes_read = sum(map(len, parts)) + sum(map(len, entries[-tail:]))
    return Cost("checkpoint and tail", bytes_read, cpu_s), ledger


@cappa.command(name="lavendershift-replay")
@dataclass
class Replay:
    """Measure the cost of rebuilding a ledger."""

    records: Annotated[int, cappa.Arg(long=True, help="Number of records.")] = 100_000
    tail: Annotated[int, cappa.Arg(long=True, help="Records after the checkpoint.")] = (
        2_000
    )

    def __call__(self) -> None:
        """Measure and print both costs."""
        entries = encode_entries(make_records(self.records))
        full, replayed = measure_replay(entries)
        partial, restored = measure_checkpoint(entries, self.tail)
        assert replayed.make_checkpoint("x") == restored.make_checkpoint("x")
        for cost in (full, partial):
            print(f"{cost.way}: {cost.bytes_read:,} bytes, {cost.cpu_s:.2f} s")


if __name__ == "__main__":
    cappa.invoke(Replay)
