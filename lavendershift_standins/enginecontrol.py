"""Handlers of the engine's control API.

They cover load, cancellation, request state, cache events, fencing tokens,
orders and the log of executions.
"""

from collections import deque
from datetime import timedelta
from typing import Any, Literal, NamedTuple

from pydantic import TypeAdapter, ValidationError
from tornado.web import Finish
from typing_extensions import TypedDict

from lavendershift_standins.application import StandInHandler
from lavendershift_standins.batch import Run, RunState
from lavendershift_standins.events import make_usage


class LoadReport(TypedDict):
    """The response to ``GET /control/load``; ``kv_used`` is a share of 1."""

    time_ms: int
    running: int
    waiting: int
    capacity: int
    kv_used: float
    models: list[str]
    adapters: list[str]
    role: str


class DatedReport(NamedTuple):
    """A load report and the time at which it was made."""

    made: timedelta
    report: LoadReport


class LoadHistory:
    """Load reports, which become visible to callers after a lag."""

    def __init__(self, lag: timedelta) -> None:
        self._lag = lag
        self._reports: deque[DatedReport] = deque()

    def add(self, now: timedelta, report: LoadReport) -> None:
        """Add a report and drop those that are no longer returned."""
        self._reports.append(DatedReport(now, report))
        self._drop_superseded(now)

    def find_visible(self, now: timedelta) -> LoadReport:
        """Return the newest report at least as old as the lag, else the oldest."""
        self._drop_superseded(now)
        return self._reports[0].report

    def _drop_superseded(self, now: timedelta) -> None:
        visible_at = now - self._lag
        while len(self._reports) > 1 and self._reports[1].made <= visible_at:
            self._reports.popleft()


class Fences:
    """The highest fencing token of each holder, and that of orders.

    With ``is_enforced`` unset, older tokens are accepted.
    """

    def __init__(self, is_enforced: bool) -> None:
        self.is_enforced = is_enforced
        self._tokens: dict[str, int] = {}
        self._order_token = 0

    def allows(self, holder: str, token: int) -> bool:
        """Return whether a request with ``token`` may run."""
        return not self.is_enforced or token >= self._tokens.get(holder, 0)

    def allows_order(self, token: int) -> bool:
        """Return whether an order with ``token`` may run, and record the token."""
        if self.is_enforced and token < self._order_token:
            return False
        self._order_token = max(self._order_token, token)
        return True

    def raise_token(self, holder: str, token: int) -> int:
        """Raise the token of ``holder`` and return its current value."""
        self._tokens[holder] = max(token, self._tokens.get(holder, 0))
        return self._tokens[holder]


class FenceCall(TypedDict):
    """The body of ``POST /control/fence``."""

    holder: str
    token: int


class OrderCall(TypedDict):
    """The body of ``POST /control/orders``."""

    order: Literal["load_model", "load_adapter", "set_role"]
    name: str
    fencing_token: int


FENCE_CALL: TypeAdapter[FenceCall] = TypeAdapter(FenceCall)
ORDER_CALL: TypeAdapter[OrderCall] = TypeAdapter(OrderCall)


class ControlHandler(StandInHandler):
    """Base of the control handlers; validates bodies and looks up runs."""

    def read_call(self, adapter: TypeAdapter[Any]) -> Any:
        """Return the validated body; end the call with 400 that names the field."""
        try:
            return adapter.validate_python(self.read_json())
        except ValidationError as error:
            first = error.errors()[0]
            location = ".".join(str(part) for part in first["loc"])
            self.answer_error(400, f"{location}: {first['msg']}")
            raise Finish from None

    def find_run(self, request_id: str) -> Run:
        """Return a run; end the call with 404 if the id is unknown."""
        run: Run | None = self.standin.runs.get(request_id)
        if run is None:
            self.answer_error(404, "no such request")
            raise Finish
        return run


class LoadHandler(ControlHandler):
    """Returns the engine's load."""

    async def get(self) -> None:
        """Return the load as of ``load_lag_ms`` ago."""
        await self.reply(self.standin.find_load())


class CancelHandler(ControlHandler):
    """Cancels a request."""

    async def post(self, request_id: str) -> None:
        """Cancel a request and return its state and usage."""
        run = self.find_run(request_id)
        self.standin.batch.cancel(run)
        await self.reply({"state": run.state.value, "usage": make_usage(run)})


class RequestHandler(ControlHandler):
    """Returns the state of a request."""

    async def get(self, request_id: str) -> None:
        """Return the state of a request and its usage so far."""
        run = self.find_run(request_id)
        await self.reply({"state": run.state.value, "usage": make_usage(run)})


class CacheEventsHandler(ControlHandler):
    """Returns the events of the prefix cache."""

    async def get(self) -> None:
        """Return the events after the sequence number ``after``."""
        after = self.get_query_argument("after", "0")
        if not after.isdigit():
            self.answer_error(400, "after: expected a number")
            return
        now = self.standin.clock.elapsed()
        await self.reply(self.standin.cache.list_events(int(after), now))


class FenceHandler(ControlHandler):
    """Raises fencing tokens."""

    async def post(self) -> None:
        """Raise a holder's token; return its usage and its running requests."""
        if not self.standin.fences.is_enforced:
            self.answer_error(501, "fencing tokens are ignored here")
            return
        call = self.read_call(FENCE_CALL)
        token = self.standin.fences.raise_token(call["holder"], call["token"])
        runs = self.standin.list_runs(call["holder"])
        body = {
            "holder": call["holder"],
            "token": token,
            "usage": {
                run.caller.request_id: run.prompt_tokens + run.produced for run in runs
            },
            "running": [
                run.caller.request_id for run in runs if run.state is RunState.RUNNING
            ],
        }
        await self.reply(body)


class OrdersHandler(ControlHandler):
    """Accepts orders to load weights or to change the role."""

    async def post(self) -> None:
        """Accept an order with 202; loading continues in the background."""
        call = self.read_call(ORDER_CALL)
        if not self.standin.fences.allows_order(call["fencing_token"]):
            self.answer_error(409, "the fencing token is old")
            return
        self.standin.execute_order(call["order"], call["name"])
        self.set_status(202)
        await self.reply({"order": call["order"], "name": call["name"]})


class ControlLogHandler(StandInHandler):
    """Lists every request that the engine accepted."""

    affected_by_faults = False

    async def get(self) -> None:
        """Return the requests in order of arrival."""
        self.write_json({"executions": self.standin.list_executions()})
