"""Stand-in for a model engine.

It batches continuously, caches prompt prefixes, schedules by priority, resumes
and cancels streams, reports its load with a lag, publishes cache events late
and with gaps, and executes orders to load models and adapters or to change its
role. Completions are a function of prompt and model, see
``lavendershift_standins.answers``.
"""

import asyncio
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple, TypedDict

from lavendershift.clocks import Clock
from lavendershift_standins.application import StandInApp
from lavendershift_standins.batch import Batch, Caller, Run, RunState
from lavendershift_standins.commandline import run_program
from lavendershift_standins.completions import CompletionHandler, ResumeHandler
from lavendershift_standins.enginecontrol import (
    CacheEventsHandler,
    CancelHandler,
    ControlLogHandler,
    FenceHandler,
    Fences,
    LoadHandler,
    LoadHistory,
    LoadReport,
    OrdersHandler,
    RequestHandler,
)
from lavendershift_standins.prefixcache import PrefixCache
from lavendershift_standins.prompts import BLOCK_TOKENS, Prompt
from lavendershift_standins.steploop import StepLoop
from lavendershift_standins.weights import WeightStore


class EngineSettings(NamedTuple):
    """Settings of the model engine and their defaults.

    A completion has between ``min_output_tokens`` and ``max_output_tokens``
    tokens, derived from the hash of the prompt, and never more than the request
    allows. ``time_scale`` multiplies the duration of steps and of loading;
    ``queue`` is the maximum number of queued requests.
    """

    name: str = "engine"
    address: str = "127.0.0.1"
    port: int = 0
    models: list[str] = ["index-large"]
    adapters: list[str] = []
    role: str = "mixed"
    capacity: int = 32
    queue: int = 256
    step_ms: float = 10.0
    prefill_tokens_per_ms: float = 20.0
    time_scale: float = 1.0
    tokens_per_event: int = 1
    min_output_tokens: int = 16
    max_output_tokens: int = 256
    cache_blocks: int = 1024
    cache_event_lag_ms: int = 1000
    cache_event_gaps: float = 0.05
    load_lag_ms: int = 500
    fencing_honoured: bool = False
    load_model_ms: int = 2000
    load_adapter_ms: int = 500
    cancel_on_disconnect: bool = False


class Execution(TypedDict):
    """A request that the engine accepted, as listed for test checkers.

    ``state`` is the state that the protocol reports, or ``waiting`` as long as
    the request is queued.
    """

    request_id: str
    idempotency_key: str
    holder: str
    model: str
    prompt_hash: str
    prompt_tokens: int
    completion_tokens: int
    state: str
    started_ms: int


class EngineApp(StandInApp):
    """Serves the OpenAI API and the control API of an engine.

    Without a ``weights`` store the engine creates one of its own that serves one
    load at a time.
    """

    program = "engine"

    def __init__(
        self,
        settings: EngineSettings,
        clock: Clock,
        rng: Random,
        weights: WeightStore | None = None,
    ) -> None:
        super().__init__(settings, clock, rng)
        self.weights = weights or WeightStore(parallel_loads=1)
        self.models = list(settings.models)
        self.adapters = list(settings.adapters)
        self.role = settings.role
        self.runs: dict[str, Run] = {}
        self.fences = Fences(settings.fencing_honoured)
        self.cache = PrefixCache(
            settings.cache_blocks,
            timedelta(milliseconds=settings.cache_event_lag_ms),
            settings.cache_event_gaps,
            rng,
        )
        self.batch = Batch(
            settings.capacity,
            settings.prefill_tokens_per_ms * settings.step_ms,
            self._start_run,
        )
        self._load_history = LoadHistory(timedelta(milliseconds=settings.load_lag_ms))
        self._steps = StepLoop(self._step, self._find_interval_s)
        self._loading: set[asyncio.Task[None]] = set()

    def list_routes(self) -> list[tuple[Any, ...]]:
        """Return the routes."""
        return [
            (r"/v1/completions", CompletionHandler, {"is_chat": False}),
            (r"/v1/chat/completions", CompletionHandler, {"is_chat": True}),
            (r"/control/load", LoadHandler),
            (r"/control/cancel/([^/]+)", CancelHandler),
            (r"/control/requests/([^/]+)", RequestHandler),
            (r"/control/requests/([^/]+)/stream", ResumeHandler),
            (r"/control/cache-events", CacheEventsHandler),
            (r"/control/fence", FenceHandler),
            (r"/control/orders", OrdersHandler),
            (r"/control/log", ControlLogHandler),
        ]

    async def on_start(self) -> None:
        """Record the first load report."""
        self._report_load()

    async def on_stop(self) -> None:
        """Stop the step loop and cancel the loads in progress."""
        self._steps.stop()
        for task in self._loading:
            task.cancel()

    @property
    def now_s(self) -> int:
        """The wall-clock time as a Unix timestamp in seconds."""
        return self.now_ms // 1000

    @property
    def is_queue_full(self) -> bool:
        """Whether the queue has no room for another request."""
        return self.batch.waiting >= self.settings.queue

    def has_model(self, name: str) -> bool:
        """Return whether a model or adapter is loaded."""
        return name in self.models or name in self.adapters

    def make_request_id(self) -> str:
        """Return an id for a request without a ``Request-Id``."""
        return f"{self.settings.name}-{self.rng.getrandbits(64):016x}"

    def submit(self, prompt: Prompt, caller: Caller) -> Run:
        """Queue a request and return its run."""
        run = Run(prompt, caller, self._find_output_tokens(prompt))
        self.runs[caller.request_id] = run
        self.batch.add(run)
        self._report_load()
        self._steps.wake()
        return run

    def handle_disconnect(self, run: Run) -> None:
        """Cancel an unfinished run if ``cancel_on_disconnect`` is set."""
        if self.settings.cancel_on_disconnect:
            self.batch.cancel(run)

    def find_load(self) -> LoadReport:
        """Return the load report as of ``load_lag_ms`` ago."""
        return self._load_history.find_visible(self.clock.elapsed())

    def list_runs(self, holder: str) -> list[Run]:
        """Return the runs of all requests whose ``Fencing-Holder`` is ``holder``."""
        return [run for run in self.runs.values() if run.caller.holder == holder]

    def list_executions(self) -> list[Execution]:
        """Return all requests in order of arrival."""
        return [self._describe(run) for run in self.runs.values()]

    def execute_order(self, order: str, name: str) -> None:
        """Execute an order: change the role now, or load weights in the background."""
        if order == "set_role":
            self.role = name
            self._report_load()
        elif order == "load_model":
            self._start_loading(self.models, name, self.settings.load_model_ms)
        else:
            self._start_loading(self.adapters, name, self.settings.load_adapter_ms)

    def _start_loading(self, loaded: list[str], name: str, load_ms: int) -> None:
        duration_s = load_ms * self.settings.time_scale / 1000
        task = asyncio.ensure_future(self._load_weights(loaded, name, duration_s))
        self._loading.add(task)
        task.add_done_callback(self._loading.discard)

    async def _load_weights(
        self, loaded: list[str], name: str, duration_s: float
    ) -> None:
        if name in loaded:
            return
        await self.weights.load(duration_s * self.faults.slow_factor)
        if name not in loaded:
            loaded.append(name)
        self._report_load()

    def _find_output_tokens(self, prompt: Prompt) -> int:
        low, high = self.settings.min_output_tokens, self.settings.max_output_tokens
        tokens: int = low + int(prompt.hash[:8], 16) % (high - low + 1)
        return min(tokens, prompt.max_tokens) if prompt.max_tokens else tokens

    def _start_run(self, run: Run) -> int:
        run.started_ms = self.now_ms
        cached = self.cache.look_up(run.prompt.prefixes)
        self.cache.store(run.prompt.prefixes, self.clock.elapsed())
        # The list of prefix hashes is long and isn't used again.
        run.prompt = run.prompt._replace(prefixes=[])
        return cached * BLOCK_TOKENS

    def _step(self) -> bool:
        self.batch.step()
        self._report_load()
        return not self.batch.is_idle

    def _find_interval_s(self) -> float:
        step_ms: float = self.settings.step_ms * self.settings.time_scale
        return step_ms * self.faults.slow_factor / 1000

    def _report_load(self) -> None:
        report = LoadReport(
            time_ms=self.now_ms,
            running=len(self.batch.running),
            waiting=self.batch.waiting,
            capacity=self.settings.capacity,
            kv_used=self.cache.used_share,
            models=self.models[:],
            adapters=self.adapters[:],
            role=self.role,
        )
        self._load_history.add(self.clock.elapsed(), report)

    def _describe(self, run: Run) -> Execution:
        state = run.state.value
        if run.state is RunState.RUNNING and not run.started:
            state = "waiting"
        return Execution(
            request_id=run.caller.request_id,
            idempotency_key=run.caller.idempotency_key,
            holder=run.caller.holder,
            model=run.prompt.model,
            prompt_hash=run.prompt.hash,
            prompt_tokens=run.prompt_tokens,
            completion_tokens=run.produced,
            state=state,
            started_ms=run.started_ms,
        )


def main() -> None:
    """Run the model engine."""
    run_program(EngineApp, EngineSettings)
