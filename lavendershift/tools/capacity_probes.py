"""The registry of capacity probes and the functions that they measure with.

A probe measures one slope: the processor time of one unit of work, or the memory
or sent bytes of one unit of state. It is registered under its name, with the
role of the process that bears the cost::

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
    """A kind of process whose costs are listed."""

    ROUTER = "router"
    RELAY = "relay"
    LOG = "log service"
    COMMAND = "operators' command"


class Slope(NamedTuple):
    """The costs of one unit; ``None`` where a cost is not measured.

    ``us`` is processor time in microseconds, ``held`` memory in bytes, ``sent``
    the bytes stored in the log or sent over the network.
    """

    us: float | None = None
    held: float | None = None
    sent: float | None = None


class Probe(NamedTuple):
    """A named measurement of a process with ``role``; costs are per ``unit``."""

    name: str
    role: Role
    unit: str
    measure: Callable[[], Slope]


class Row(NamedTuple):
    """One row of the printed table."""

    name: str
    role: str
    unit: str
    us: float | None
    held: float | None
    sent: float | None


PROBES: dict[str, Probe] = {}

Measure = Callable[[], Slope]


def register_probe(name: str, role: Role, unit: str) -> Callable[[Measure], Measure]:
    """Return a decorator that registers a probe under ``name``.

    The decorator raises ``ValueError`` if the name is already registered.
    """

    def register(measure: Measure) -> Measure:
        if name in PROBES:
            raise ValueError(f"probe {name!r} is registered twice")
        PROBES[name] = Probe(name, role, unit, measure)
        return measure

    return register


def time_work(work: Callable[[], object], count: int) -> float:
    """Return the processor time of ``work`` divided by ``count``, in µs.

    It is the minimum of several runs, to reduce the effect of other processes.
    """
    return min(_time_once(work) for _ in range(REPEATS)) / count * 1e6


def time_prepared(prepare: Callable[[], Callable[[], object]], count: int) -> float:
    """Time the work that ``prepare`` returns, as ``time_work`` does.

    For work that changes its input: ``prepare`` is called before each run and is
    not timed.
    """
    return min(_time_once(prepare()) for _ in range(REPEATS)) / count * 1e6


def _time_once(work: Callable[[], object]) -> float:
    gc.collect()
    start = time.process_time()
    work()
    return time.process_time() - start


def measure_memory(build: Callable[[], Any], count: int) -> float:
    """Return the memory of what ``build`` returns, in bytes per ``count``."""
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
    """Run ``probe`` and return its row of the table."""
    slope = probe.measure()
    return Row(probe.name, probe.role.value, probe.unit, *slope)
