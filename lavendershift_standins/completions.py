"""The engine's handlers for completions: streamed, whole and resumed."""

import asyncio
from typing import Any

from tornado.web import Finish

from lavendershift_standins.application import StandInHandler
from lavendershift_standins.batch import Caller, Run, RunState
from lavendershift_standins.events import EventWriter, make_answer
from lavendershift_standins.faults import Truncate
from lavendershift_standins.prompts import Prompt, PromptError, read_prompt


class EventPump:
    """Writes the events of a run to one connection as fast as it takes them.

    While the connection is full nothing is written; what was produced in the
    meantime follows in one write.
    """

    def __init__(
        self, handler: StandInHandler, run: Run, first: int, cut: Truncate | None
    ) -> None:
        app = handler.standin
        self._handler = handler
        self._connection: Any = handler.request.connection
        self._run = run
        self._events = EventWriter(run, app.settings.tokens_per_event, app.now_s)
        self._next = first
        self._limit = self._find_limit(cut)
        self._is_writing = False
        self.ended = asyncio.Event()

    async def send(self) -> bool:
        """Send all events; return ``False`` where the answer was cut off."""
        self._run.listeners.append(self.pump)
        try:
            self.pump()
            await self.ended.wait()
        finally:
            self._run.listeners.remove(self.pump)
        return self._limit is None or self._next < self._limit

    def pump(self) -> None:
        """Write what is there to write."""
        if self._is_writing or self.ended.is_set():
            return
        count = self._events.count_events()
        if self._limit is not None:
            count = min(count, self._limit)
        parts = [self._events.make_event(n) for n in range(self._next, count)]
        self._next = max(self._next, count)
        is_cut = self._limit is not None and count >= self._limit
        if self._run.state is not RunState.RUNNING and not is_cut:
            parts.append(self._events.make_end())
            self.ended.set()
        if is_cut:
            self.ended.set()
        if parts:
            self._write(b"".join(parts))

    def _find_limit(self, cut: Truncate | None) -> int | None:
        """Return the number of events after which the answer breaks off."""
        if cut is None:
            return None
        return -(-cut.length // self._handler.standin.settings.tokens_per_event)

    def _write(self, data: bytes) -> None:
        if self._connection.stream.closed():
            self.ended.set()
            return
        future = self._connection.write(data)
        if not self._connection.stream.writing():
            return
        self._is_writing = True
        future.add_done_callback(self._on_written)

    def _on_written(self, future: Any) -> None:
        self._is_writing = False
        if future.exception() is None:
            self.pump()
        else:
            self.ended.set()


class StreamHandler(StandInHandler):
    """A handler that can stream a run."""

    pump: EventPump | None = None

    async def stream_run(self, run: Run, first: int) -> None:
        """Stream the events of ``run`` from event ``first`` on."""
        cut = self.standin.faults.find_truncation(self)
        self.request.connection.stream.set_nodelay(True)  # type: ignore[union-attr]
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        await self.flush()
        self.pump = EventPump(self, run, first, cut)
        is_whole = await self.pump.send()
        if is_whole:
            return
        if cut is not None and cut.answer == "hang":
            await self.wait_closed()
        self.close_connection()

    def on_connection_close(self) -> None:
        """End the stream when the other side is gone."""
        super().on_connection_close()
        if self.pump is not None:
            self.pump.ended.set()


class CompletionHandler(StreamHandler):
    """Runs a completion."""

    def initialize(self, is_chat: bool) -> None:  # type: ignore[override]
        """Remember which of the two forms is served."""
        super().initialize()
        self.is_chat = is_chat

    async def post(self) -> None:
        """Run a completion and answer it, streamed or whole."""
        prompt = self.read_request()
        caller = self.read_caller()
        self.check_request(prompt, caller)
        run = self.standin.submit(prompt, caller)
        try:
            await self.apply_reply_faults()
            if prompt.stream:
                await self.stream_run(run, 0)
            else:
                await self.answer_whole(run)
        finally:
            self.standin.handle_disconnect(run)

    def read_request(self) -> Prompt:
        """Return the prompt in the body; ends the call with 400."""
        try:
            return read_prompt(self.read_json(), self.is_chat)
        except PromptError as error:
            self.answer_error(400, str(error), not_run=True)
            raise Finish from None

    def read_caller(self) -> Caller:
        """Return what the headers say of the caller; ends the call with 400."""
        headers = self.request.headers
        try:
            priority = int(headers.get("Priority", "0"))
        except ValueError:
            self.answer_error(400, "Priority: expected an integer", not_run=True)
            raise Finish from None
        return Caller(
            headers.get("Request-Id", "") or self.standin.make_request_id(),
            headers.get("Idempotency-Key", ""),
            headers.get("Fencing-Holder", ""),
            priority,
        )

    def check_request(self, prompt: Prompt, caller: Caller) -> None:
        """End the call with a refusal where the engine may not run it."""
        token = self.request.headers.get("Fencing-Token", "0")
        if not token.isdigit():
            self.answer_error(400, "Fencing-Token: expected a number", not_run=True)
        elif not self.standin.fences.allows(caller.holder, int(token)):
            self.answer_error(409, "the fencing token is old", not_run=True)
        elif caller.request_id in self.standin.runs:
            self.answer_error(409, "the request id was used before")
        elif not self.standin.has_model(prompt.model):
            self.answer_error(404, f"no model {prompt.model!r}", not_run=True)
        elif self.standin.is_queue_full:
            self.answer_error(429, "the queue is full", not_run=True)
        else:
            return
        raise Finish

    async def answer_whole(self, run: Run) -> None:
        """Wait for the end of the run and answer it in one piece."""

        def notice() -> None:
            if run.state is not RunState.RUNNING:
                self.closed.set()

        run.listeners.append(notice)
        await self.closed.wait()
        if run.state is not RunState.RUNNING:
            self.write_json(make_answer(run, self.standin.now_s))


class ResumeHandler(StreamHandler):
    """Resumes a stream."""

    async def get(self, request_id: str) -> None:
        """Stream a run from event ``from`` on; 404 for an unknown id."""
        run = self.standin.runs.get(request_id)
        first = self.get_query_argument("from", "0")
        if run is None:
            self.answer_error(404, "no such request")
        elif not first.isdigit():
            self.answer_error(400, "from: expected a number")
        else:
            await self.apply_reply_faults()
            await self.stream_run(run, int(first))
