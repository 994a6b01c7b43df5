"""Simulate one run of the budget experiment: a policy, a trace and its faults."""

from collections.abc import Sequence
from typing import NamedTuple, TypedDict

from lavendershift.holdingpolicies import HOLDING_POLICIES
from lavendershift.ledger import Ledger
from lavendershift.records import Evict
from lavendershift.tools.budget_log import Connectivity, SimulatedLog, Timeline
from lavendershift.tools.budget_router import (
    BUDGET,
    STREAM,
    HoldingSettings,
    RouterEnvironment,
    SimulatedRouter,
)
from lavendershift.tools.traces import (
    DOMAIN_OF_ROUTER,
    Scenario,
    TracedRequest,
    VmFailure,
)

START_S = 1.0  # start of the traffic, by which all routers have joined
DRAIN_S = 120.0  # time after the traffic for requests in flight to finish
EVICT_AFTER_S = 10.0  # delay from a VM failure to the eviction
REPLACE_AFTER_S = 60.0  # delay from a VM failure to the start of a replacement


class RunFigures(TypedDict):
    """Results of one run in tokens, seconds, and counts per 1,000 requests.

    ``false_refusals`` counts refused requests that unreserved tokens could have
    paid for. ``missed`` counts those that could have been paid for if each running
    request had reserved only the tokens that it used in the end. ``unspendable``
    is the fraction of the prepaid tokens that was left at the first refusal, less
    running reservations and the largest single reservation. ``stranded_by_death``
    is the largest fraction of the remainder that one failed router held.
    ``waited`` is the fraction of the started requests that waited for tokens.
    """

    policy: str
    scenario: str
    seed: int
    requests: int
    refused: int
    overspend: int
    false_refusals: float
    missed: float
    unspendable: float | None
    stranded_by_death: float
    in_doubt: int
    appends_per_s: float
    waited: float
    mean_wait_ms: float
    longest_wait_s: float


class Refusal(NamedTuple):
    """A refusal, classified by the true state of the whole fleet."""

    at_s: float
    is_false: bool
    is_missed: bool


class Fleet:
    """The routers, log and callers of one run."""

    def __init__(
        self, policy: str, holding: HoldingSettings, scenario: Scenario
    ) -> None:
        self.scenario = scenario
        self.timeline = Timeline()
        self.log = SimulatedLog(self.timeline)
        self.connectivity = Connectivity(scenario, self.timeline)
        self.refusals: list[Refusal] = []
        self.waits: list[float] = []
        self.consumed = self.reserved = self.pending_usage = 0
        self.overspend = self.largest_request = 0
        self.unspendable: float | None = None
        self.max_stranded = 0.0
        self._config_offsets = [0] * len(DOMAIN_OF_ROUTER)
        self._policy = policy
        self._holding = holding
        self._routers_by_name: dict[str, SimulatedRouter] = {}
        self._starts = 0
        self.routers = [self._start(n) for n in range(len(DOMAIN_OF_ROUTER))]

    def run(self, trace: Sequence[TracedRequest], seed: int) -> RunFigures:
        """Run the trace to its end and return the figures."""
        self.largest_request = max(request.tokens for request in trace)
        for request in trace:
            self.timeline.call_at(
                START_S + request.at_s, self._make_arrival_handler(request)
            )
        for failure in self.scenario.vm_failures:
            self.timeline.call_at(failure.at_s, self._make_failure_handler(failure))
        self.timeline.run(self.scenario.hours * 3600.0 + DRAIN_S)
        return self._report(len(trace), seed)

    def _make_arrival_handler(self, request: TracedRequest):  # type: ignore[no-untyped-def]
        return lambda: self.routers[request.router].handle(request)

    def _make_failure_handler(self, failure: VmFailure):  # type: ignore[no-untyped-def]
        return lambda: self._kill(failure.router)

    def _start(self, index: int) -> SimulatedRouter:
        self._starts += 1
        name = f"r{index}.{self._starts}"
        environment = RouterEnvironment(
            self.timeline,
            self.log,
            self.connectivity,
            self._find_prepaid,
            self._find_config_offset,
            self._routers_by_name.get,
            self._on_refused,
            self._on_started,
            self._on_finished,
        )
        policy = HOLDING_POLICIES[self._policy]
        router = SimulatedRouter(index, name, policy, self._holding, environment)
        self._routers_by_name[name] = router
        router.read()
        return router

    def _kill(self, index: int) -> None:
        router = self.routers[index]
        router.stop()
        ledger = self._replay_log()
        held = ledger.find_held(BUDGET, router.name)
        remainder = self._find_deposited() - self.consumed
        self.max_stranded = max(self.max_stranded, held / max(1, remainder))
        evict = Evict(f"evict-{router.name}", router.name, "experiment")
        self.timeline.call_later(EVICT_AFTER_S, lambda: self.log.append([evict]))
        self.timeline.call_later(REPLACE_AFTER_S, lambda: self._replace(index))

    def _replace(self, index: int) -> None:
        self.routers[index] = self._start(index)

    def _replay_log(self) -> Ledger:
        ledger = Ledger(STREAM, self._find_prepaid)
        for entry in self.log.entries:
            ledger.apply(entry)
        return ledger

    def _find_prepaid(self, budget: str, config_offset: int) -> int:
        return sum(d.tokens for d in self.scenario.deposits[:config_offset])

    def _find_config_offset(self, router: int) -> int:
        if self.connectivity.can_reach_log(router):
            now_s = self.timeline.now_s
            published = [d for d in self.scenario.deposits if d.at_s <= now_s]
            self._config_offsets[router] = len(published)
        return self._config_offsets[router]

    def _find_deposited(self) -> int:
        now_s = self.timeline.now_s
        return sum(d.tokens for d in self.scenario.deposits if d.at_s <= now_s)

    def _on_started(self, request: TracedRequest, waited_s: float) -> None:
        self.waits.append(waited_s)
        self.reserved += request.tokens
        self.pending_usage += request.used

    def _on_finished(self, request: TracedRequest) -> None:
        self.reserved -= request.tokens
        self.pending_usage -= request.used
        self.consumed += request.used
        excess = self.consumed - self._find_deposited()
        self.overspend = max(self.overspend, excess)

    def _on_refused(self, request: TracedRequest, waited_s: float) -> None:
        left = self._find_deposited() - self.consumed
        is_false = request.tokens <= left - self.reserved
        is_missed = request.used <= left - self.pending_usage
        self.refusals.append(Refusal(self.timeline.now_s, is_false, is_missed))
        if self.unspendable is None:
            spendable = left - self.reserved - self.largest_request
            self.unspendable = max(0, spendable) / self._find_deposited()

    def _report(self, requests: int, seed: int) -> RunFigures:
        ledger = self._replay_log()
        budget = ledger.find_budget(BUDGET)
        waited = [wait for wait in self.waits if wait > 0.0]
        false = sum(refusal.is_false for refusal in self.refusals)
        missed = sum(refusal.is_missed for refusal in self.refusals)
        return RunFigures(
            policy=self._policy,
            scenario=self.scenario.name,
            seed=seed,
            requests=requests,
            refused=len(self.refusals),
            overspend=self.overspend + budget.overdrawn,
            false_refusals=1000.0 * false / requests,
            missed=1000.0 * missed / requests,
            unspendable=self.unspendable,
            stranded_by_death=self.max_stranded,
            in_doubt=budget.in_doubt,
            appends_per_s=self.log.appends / (self.scenario.hours * 3600.0),
            waited=len(waited) / max(1, len(self.waits)),
            mean_wait_ms=1000.0 * sum(self.waits) / max(1, len(self.waits)),
            longest_wait_s=max(self.waits, default=0.0),
        )
