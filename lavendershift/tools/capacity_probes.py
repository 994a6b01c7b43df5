"""The registry of capacity probes and how they measure.

A probe measures one slope: what one unit of work costs in processor time, or
what one unit of state holds in memory or sends. It is filed under its name
with the role whose cost it is::

    @register_probe("cached entry", Role.RELAY, "entry")
    def measure_cached_entry() -> Slope:
        ...
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

REPEATS = 3


class Role(Enum):
    """What runs at the stated size."""

    ROUTER = "router"
    RELAY = "relay"
    LOG = "log service"
    COMMAND = "operators' command"


class Slope(NamedTuple):
    """What one unit costs; ``None`` where it was not measured.

    ``us`` is processor time in microseconds, ``held`` memory in bytes,
    ``sent`` bytes in the log or on the network.
    """

    us: float | None = None
    held: float | None = None
    sent: float | None = None


class Probe(NamedTuple):
    """A named measurement of one role."""

    name: str
    role: Role
    unit: str
    measure: Callable[[], Slope]


class Row(NamedTuple):
    """One line of the table."""

    name: str
    role: str
    unit: str
    us: float | None
    held: float | None
    sent: float | None


PROBES: dict[str, Probe] = {}

Measure = Callable[[], Slope]


def register_probe(name: str, role: Role, unit: str) -> Callable[[Measure], Measure]:
    """Return a decorator that files a probe under ``name``."""

    def register(measure: Measure) -> Measure:
        if name in PROBES:
            raise ValueError(f"probe {name!r} is registered twice")
        PROBES[name] = Probe(name, role, unit, measure)
        return measure

    return register


def time_work(work: Callable[[], object], count: int) -> float:
    """Return the least processor time of ``work``, in µs per ``count``."""
    return min(_time_once(work) for _ in range(REPEATS)) / count * 1e6


def time_prepared(prepare: Callable[[], Callable[[], object]], count: int) -> float:
    """Return the same of work that has to be prepared anew each time."""
    return min(_time_once(prepare()) for _ in range(REPEATS)) / count * 1e6


def _time_once(work: Callable[[], object]) -> float:
    gc.collect()
    start = time.process_time()
    work()
    return time.process_time() - start


def measure_memory(build: Callable[[], Any], count: int) -> float:
    """Return the bytes of memory that what ``build`` returns holds per ``count``."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] - before
        del built
    finally:
        tracemalloc.stop()
    return held / count


def run_probe(probe: Probe) -> Row:
    """Measure ``probe``."""
    slope = probe.measure()
    return Row(probe.name, probe.role.value, probe.unit, *slope)
