"""Measure the cost of the replayed configuration for a number of customers.

Run ``python -m lavendershift.tools.configuration_bench --customers 95000``. It
adds the customers, each with a budget, an API key and one top-up, and times
this, look-ups of callers, single changes and a checkpoint.
"""

import hashlib
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Annotated, NamedTuple

import cappa
import msgspec

from lavendershift.commands.output import print_rows
from lavendershift.configuration import Configuration
from lavendershift.records import Change, Entry, Record, Setting, TopUp

DESKS = 40
CHANGES = 200
LOOKUPS = 20_000


class Figure(NamedTuple):
    """A measured value with its name and unit."""

    name: str
    value: float
    unit: str


class Stopwatch:
    """Measures the CPU time of the process during a block."""

    def __init__(self) -> None:
        self.seconds = 0.0

    @contextmanager
    def run(self) -> Iterator[None]:
        """Measure the enclosed block and set ``seconds``."""
        start = time.process_time()
        yield
        self.seconds = time.process_time() - start


class ConfigurationBuilder:
    """Builds a configuration by applying records."""

    def __init__(self) -> None:
        self.configuration = Configuration()

    def apply(self, record: Record) -> None:
        """Apply ``record``; fail if the configuration rejects it."""
        offset = self.configuration.next_offset
        verdict = self.configuration.apply(Entry(offset, offset, record))
        assert verdict.accepted, verdict

    def change(self, path: str, key: str, value: str | float | list[str]) -> None:
        """Apply a change of one value."""
        offset = self.configuration.next_offset
        setting = Setting(path, key, value)
        self.apply(Change(f"c{offset}", offset, "bench", [setting]))

    def add_customer(self, number: int) -> None:
        """Apply a change that adds a customer, and its first top-up."""
        offset = self.configuration.next_offset
        path = name_customer(number)
        digest = hashlib.sha256(f"key{number}".encode()).hexdigest()
        settings = [
            Setting(path, "budget", f"budget{number}"),
            Setting(path, "api_key_hashes", [digest]),
        ]
        self.apply(Change(f"c{offset}", offset, "bench", settings))
        self.apply(TopUp(f"t{offset}", f"budget{number}", 1_000_000, "bench"))


def name_customer(number: int) -> str:
    """Return the path of a customer in the tree."""
    return f"desks/desk{number % DESKS}/customer{number}"


def measure(customers: int) -> list[Figure]:
    """Return the figures for ``customers`` customers.

    The first look-up of each API key and a repeated one are timed separately.
    """
    builder = ConfigurationBuilder()
    stopwatch = Stopwatch()
    figures: list[Figure] = []

    def record_time(name: str, count: int, work: Callable[[], None]) -> None:
        with stopwatch.run():
            work()
        figures.append(Figure(name, round(stopwatch.seconds / count * 1e6, 1), "us"))

    def run_all(work: Callable[[int], object], count: int) -> Callable[[], None]:
        def run() -> None:
            for number in range(count):
                work(number)

        return run

    def look_up(number: int) -> None:
        caller = builder.configuration.find_caller(f"key{number % customers}")
        assert caller is not None

    def change_and_look_up(number: int) -> None:
        builder.change("desks/desk1", "weight", 1.0 + number)
        look_up(number)

    record_time(
        "fold of a customer and a top-up",
        customers,
        run_all(builder.add_customer, customers),
    )
    record_time("first look-up of a caller", LOOKUPS, run_all(look_up, LOOKUPS))
    record_time("look-up of a caller again", LOOKUPS, run_all(look_up, LOOKUPS))
    record_time(
        "change of a desk, then a look-up",
        CHANGES,
        run_all(change_and_look_up, CHANGES),
    )
    states: list[str] = []
    encode = builder.configuration.encode_state
    record_time("encoding a checkpoint", 1, lambda: states.append(encode()))
    longest = measure_longest_slice(builder.configuration)
    figures.append(Figure("longest slice of it", round(longest * 1e6, 1), "us"))
    record_time(
        "restoring a checkpoint", 1, lambda: _ignore(Configuration.restore(states[0]))
    )
    figures.append(Figure("size of a checkpoint", len(states[0].encode()), "bytes"))
    return figures


def measure_longest_slice(configuration: Configuration) -> float:
    """Return the CPU time of the longest slice of an encoded state, in seconds.

    The event loop is blocked for as long as one slice takes.
    """
    longest = 0.0
    start = time.process_time()
    for _ in configuration.encode_slices():
        end = time.process_time()
        longest = max(longest, end - start)
        start = end
    return longest


def _ignore(value: object) -> None:
    """Ignore a result, so that a lambda returns ``None``."""


@cappa.command(name="configuration-bench")
class ConfigurationBench(msgspec.Struct):
    """Measure the CPU time of the configuration's records and checkpoint."""

    customers: Annotated[int, cappa.Arg(long=True, help="Number of customers")] = 95_000
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON")] = False

    def __call__(self) -> None:
        """Measure and print the figures."""
        title = f"CPU time at {self.customers:,} customers"
        print_rows(title, measure(self.customers), self.json)


if __name__ == "__main__":
    cappa.invoke(ConfigurationBench)
