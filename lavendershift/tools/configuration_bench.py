"""Measures the configuration fold at a given number of customers.

Run ``python -m lavendershift.tools.configuration_bench --customers 95000``. Each
customer has a budget, an API key and one top-up; then single changes, top-ups,
look-ups and a checkpoint are timed.
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
    """One measured figure."""

    name: str
    value: float
    unit: str


class Stopwatch:
    """CPU time of the process over a block."""

    def __init__(self) -> None:
        self.seconds = 0.0

    @contextmanager
    def run(self) -> Iterator[None]:
        """Measure the block."""
        start = time.process_time()
        yield
        self.seconds = time.process_time() - start


class Load:
    """A configuration that grows by records."""

    def __init__(self) -> None:
        self.configuration = Configuration()

    def fold(self, record: Record) -> None:
        """Fold ``record``, which has to be accepted."""
        offset = self.configuration.next_offset
        verdict = self.configuration.apply(Entry(offset, offset, record))
        assert verdict.accepted, verdict

    def change(self, path: str, key: str, value: str | float | list[str]) -> None:
        """Fold a change of one value."""
        offset = self.configuration.next_offset
        setting = Setting(path, key, value)
        self.fold(Change(f"c{offset}", offset, "bench", [setting]))

    def add_customer(self, number: int) -> None:
        """Fold a customer's node and its first top-up."""
        offset = self.configuration.next_offset
        path = name_customer(number)
        digest = hashlib.sha256(f"key{number}".encode()).hexdigest()
        settings = [
            Setting(path, "budget", f"budget{number}"),
            Setting(path, "api_key_hashes", [digest]),
        ]
        self.fold(Change(f"c{offset}", offset, "bench", settings))
        self.fold(TopUp(f"t{offset}", f"budget{number}", 1_000_000, "bench"))


def name_customer(number: int) -> str:
    """Return a customer's path."""
    return f"desks/desk{number % DESKS}/customer{number}"


def measure(customers: int) -> list[Figure]:
    """Return the figures at ``customers`` customers."""
    load = Load()
    watch = Stopwatch()
    figures: list[Figure] = []

    def note(name: str, count: int, work: Callable[[], None]) -> None:
        with watch.run():
            work()
        figures.append(Figure(name, round(watch.seconds / count * 1e6, 1), "us"))

    def run_all(work: Callable[[int], object], count: int) -> Callable[[], None]:
        def run() -> None:
            for number in range(count):
                work(number)

        return run

    def look_up(number: int) -> None:
        caller = load.configuration.find_caller(f"key{number % customers}")
        assert caller is not None

    def change_and_look_up(number: int) -> None:
        load.change("desks/desk1", "weight", 1.0 + number)
        look_up(number)

    note(
        "fold of a customer and a top-up",
        customers,
        run_all(load.add_customer, customers),
    )
    note("first look-up of a caller", LOOKUPS, run_all(look_up, LOOKUPS))
    note("look-up of a caller again", LOOKUPS, run_all(look_up, LOOKUPS))
    note(
        "change of a desk, then a look-up",
        CHANGES,
        run_all(change_and_look_up, CHANGES),
    )
    states: list[str] = []
    encode = load.configuration.encode_state
    note("encoding a checkpoint", 1, lambda: states.append(encode()))
    longest = measure_longest_slice(load.configuration)
    figures.append(Figure("longest slice of it", round(longest * 1e6, 1), "us"))
    note(
        "restoring a checkpoint", 1, lambda: _discard(Configuration.restore(states[0]))
    )
    figures.append(Figure("size of a checkpoint", len(states[0].encode()), "bytes"))
    return figures


def measure_longest_slice(configuration: Configuration) -> float:
    """Return the CPU time of the longest step of encoding, in seconds."""
    longest = 0.0
    start = time.process_time()
    for _ in configuration.encode_slices():
        end = time.process_time()
        longest = max(longest, end - start)
        start = end
    return longest


def _discard(value: object) -> None:
    """Take a result that is not needed."""


@cappa.command(name="configuration-bench")
class ConfigurationBench(msgspec.Struct):
    """Measure the configuration fold."""

    customers: Annotated[int, cappa.Arg(long=True, help="Customers")] = 95_000
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON")] = False

    def __call__(self) -> None:
        """Print the figures."""
        title = f"CPU time at {self.customers:,} customers"
        print_rows(title, measure(self.customers), self.json)


if __name__ == "__main__":
    cappa.invoke(ConfigurationBench)
