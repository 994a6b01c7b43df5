"""Run a scenario of the routing experiment and summarize its outcomes."""

import random
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from lavendershift.loads import LoadReport
from lavendershift.prefixes import CacheEvent
from lavendershift.tools.routing_fleet import OracleRouter, Outcome, SimulatedRouter
from lavendershift.tools.routing_model import (
    DECODE_S,
    PREFILL_S,
    STEP_S,
    Engine,
    Timeline,
)
from lavendershift.tools.routing_workload import Arrival, Load, Traffic

# Policies that know the true engine states.
ORACLES = ("oracle_least_loaded", "oracle_affinity")
# Faults of a run, of which "late" delays all reports.
FAULTS = ("none", "slow", "failing", "leaving", "late")
WARMUP_S = 10.0  # initial period of a run that its figures leave out
FAULT_AT_S = 20.0  # start of the fault
SLOWNESS = 5.0  # factor on the step duration of the slow engine
REPORT_INTERVAL_S = 1.0  # interval between two load reports of an engine
REPORT_LAG_S = 0.3  # delay from a load report until the routers receive it
LATE_REPORT_LAG_S = 5.0  # delay of load reports under the fault "late"
LOST_EVENTS = 0.1  # fraction of the batches of cache events that is lost
DOMAINS = 3


class Scenario(NamedTuple):
    """Parameters of one run.

    ``load`` is a multiple of ``capacity``, which is in requests per second. If
    ``later_load`` is set, it replaces ``load`` from ``change_at`` seconds on.
    """

    policy: str
    load: float
    fault: str = "none"
    capacity: float = 0.0
    seed: int = 1
    duration: float = 90.0
    routers: int = 8
    engines: int = 6
    later_load: float | None = None
    change_at: float = 0.0
    batch: bool = True
    fifo: bool = False


class Fleet:
    """The engines, routers and traffic of one run."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.timeline = Timeline()
        self.outcomes: list[Outcome] = []
        self.late_starts = 0
        self._rng = random.Random(scenario.seed + 1000)
        names = [f"e{number}" for number in range(scenario.engines)]
        self.engines = {
            name: Engine(self.timeline, name, scenario.fifo) for name in names
        }
        self.routers: list[SimulatedRouter] = []
        self.oracle: OracleRouter | None = None
        self._build_routers()

    def _build_routers(self) -> None:
        scenario = self.scenario
        if scenario.policy in ORACLES:
            self.oracle = OracleRouter(
                self.timeline, self.engines, scenario.policy, self.outcomes.append
            )
            return
        for number in range(scenario.routers):
            router = SimulatedRouter(
                self.timeline,
                self.engines,
                scenario.policy,
                random.Random(f"{scenario.seed}/{number}"),
                scenario.routers,
                f"d{number % DOMAINS}",
                self.outcomes.append,
            )
            self.routers.append(router)

    def run(self) -> None:
        """Run the traffic and inject the fault, until all requests have ended."""
        scenario = self.scenario
        later = scenario.load if scenario.later_load is None else scenario.later_load
        capacity = scenario.capacity
        load = Load(scenario.load * capacity, scenario.change_at, later * capacity)
        if scenario.later_load is None:
            load = load._replace(change_at=scenario.duration)
        for arrival in Traffic(scenario.seed).generate(load, scenario.duration):
            if scenario.batch or arrival.priority != "batch":
                self.timeline.call_at(arrival.time, self._submit, arrival)
        self.timeline.call_at(REPORT_INTERVAL_S, self._publish_load)
        self.timeline.call_at(FAULT_AT_S, self._inject_fault)
        self.timeline.run(scenario.duration + 150)

    def _submit(self, arrival: Arrival) -> None:
        if self.oracle is not None:
            self.oracle.submit(arrival)
            return
        number = int(arrival.customer[1:])
        choices = range(number % DOMAINS, len(self.routers), DOMAINS)
        self.routers[self._rng.choice(list(choices)[:2])].submit(arrival)

    def _publish_load(self) -> None:
        late = self.scenario.fault == "late"
        lag = LATE_REPORT_LAG_S if late else REPORT_LAG_S
        time = self.timeline.time
        for engine in self.engines.values():
            counts = (engine.running, engine.waiting)
            events = engine.take_events()
            if self._rng.random() < LOST_EVENTS:
                events = []
            for router in self.routers:
                args = (router, engine.name, counts, time, events, engine.last_seq)
                self.timeline.call_at(time + lag, self._deliver_report, *args)
        if time < self.scenario.duration + 30:
            self.timeline.call_at(time + REPORT_INTERVAL_S, self._publish_load)

    def _deliver_report(
        self,
        router: SimulatedRouter,
        name: str,
        counts: tuple[int, int],
        time: float,
        events: list[CacheEvent],
        last_seq: int,
    ) -> None:
        age = self.timeline.elapsed() - Timeline.convert(time)
        router.pool.record_load(name, LoadReport(*counts, age))
        router.pool.record_cache_events(name, events, last_seq)

    def _inject_fault(self) -> None:
        engine = self.engines["e0"]
        fault = self.scenario.fault
        engine.slowness = SLOWNESS if fault == "slow" else 1.0
        engine.failing = fault == "failing"
        if fault != "leaving":
            return
        states = {name: "live" for name in self.engines} | {"e0": "leaving"}
        engine.closed_at = self.timeline.time + 2
        if self.oracle is not None:
            self.oracle.leaving.add("e0")
        for router in self.routers:
            time = self.timeline.time + self._rng.random()
            self.timeline.call_at(time, router.pool.update_membership, states)


class Summary(NamedTuple):
    """Figures of one run; times are in ms.

    ``p50``, ``p95`` and ``p99`` are the time to first token of interactive requests.
    ``goodput`` is the nominal work of the requests that completed within their
    deadline, as a multiple of the fleet's capacity. ``retries`` is per request, and
    ``hit_rate`` is the cached fraction of the prompt tokens.
    """

    policy: str
    load: float
    fault: str
    p50: float
    p95: float
    p99: float
    batch_p95: float
    goodput: float
    completed_per_s: float
    retries: float
    hit_rate: float
    late_starts: int
    refusals: dict[str, int]


def estimate_work(arrival: Arrival) -> float:
    """Return the nominal engine time of a request in seconds."""
    prefill = arrival.prompt_tokens * PREFILL_S
    return prefill + arrival.output_tokens * (DECODE_S + STEP_S / 16)


def find_percentiles(outcomes: Iterable[Outcome], priority: str) -> list[float]:
    """Return p50, p95 and p99 of the time to first token in ms."""
    histogram = HdrHistogram(1, 600_000_000, 3)
    for outcome in outcomes:
        if outcome.first_token is None or outcome.arrival.priority != priority:
            continue
        microseconds = (outcome.first_token - outcome.arrival.time) * 1e6
        histogram.record_value(max(int(microseconds), 1))
    return [histogram.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)]


def summarize(fleet: Fleet) -> Summary:
    """Return the figures of a finished run, leaving out its warm-up."""
    scenario = fleet.scenario
    outcomes = [o for o in fleet.outcomes if o.arrival.time >= WARMUP_S]
    good = [o for o in outcomes if not o.refusal]
    seconds = scenario.duration - WARMUP_S
    in_time = [o for o in good if WARMUP_S <= o.ended < scenario.duration]
    work = sum(estimate_work(o.arrival) for o in outcomes) / max(len(outcomes), 1)
    done = sum(estimate_work(o.arrival) for o in in_time) / seconds
    prompt = sum(o.arrival.prompt_tokens for o in good) or 1
    p50, p95, p99 = find_percentiles(outcomes, "interactive")
    return Summary(
        scenario.policy,
        scenario.load,
        scenario.fault,
        p50,
        p95,
        p99,
        find_percentiles(outcomes, "batch")[1],
        done / (work * scenario.capacity),
        len(in_time) / seconds,
        sum(o.retries for o in outcomes) / max(len(outcomes), 1),
        sum(o.cached_tokens for o in good) / prompt,
        sum(engine.late_starts for engine in fleet.engines.values()),
        dict(Counter(o.refusal for o in outcomes if o.refusal)),
    )


def run_scenario(scenario: Scenario) -> Summary:
    """Run one scenario and return its figures."""
    fleet = Fleet(scenario)
    fleet.run()
    return summarize(fleet)


def find_capacity(seed: int, engines: int) -> float:
    """Return the requests per second that saturated engines complete.

    The engines serve requests in order of arrival, so that the completed requests
    have the same mix of priorities as the offered ones.
    """
    duration, rate = 60.0, 40.0
    scenario = Scenario(
        "oracle_least_loaded",
        1.0,
        capacity=rate,
        seed=seed,
        duration=duration,
        engines=engines,
        fifo=True,
    )
    fleet = Fleet(scenario)
    fleet.run()
    done = [o for o in fleet.outcomes if WARMUP_S <= o.ended < duration]
    return len(done) / (duration - WARMUP_S)
