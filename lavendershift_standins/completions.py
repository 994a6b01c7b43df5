"""The engine's handlers for completions: streamed, unstreamed and resumed."""

import asyncio
from typing import Any

from tornado.web import Finish

from lavendershift_standins.application import StandInHandler
from lavendershift_standins.batch import Caller, Run, RunState
from lavendershift_standins.events import EventWriter, make_completion
from lavendershift_standins.faults import Silence, Truncate
from lavendershift_standins.prompts import Prompt, PromptError, read_prompt


class EventPump:
    """Writes the events of a run to one connection, with backpressure.

    Nothing is written while the connection's send buffer is full; the events
    produced in the meantime follow in one write.
    """

    def __init__(
        self,
        handler: StandInHandler,
        run: Run,
        first_event: int,
        fault: Truncate | Silence | None,
    ) -> None:
        app = handler.standin
        self._handler = handler
        self._connection: Any = handler.request.connection
        self._run = run
        self._events = EventWriter(run, app.settings.tokens_per_event, app.now_s)
        self._next = first_event
        self._event_limit = self._find_event_limit(fault)
        self._is_writing = False
        self.ended = asyncio.Event()

    async def send(self) -> bool:
        """Send all events; return ``False`` if a fault interrupted the stream."""
        self._run.listeners.append(self.pump)
        try:
            self.pump()
            await self.ended.wait()
        finally:
            self._run.listeners.remove(self.pump)
        return self._event_limit is None or self._next < self._event_limit

    def pump(self) -> None:
        """Write the events that are ready, unless a write is pending."""
        if self._is_writing or self.ended.is_set():
            return
        count = self._events.count_events()
        if self._event_limit is not None:
            count = min(count, self._event_limit)
        parts = [self._events.make_event(n) for n in range(self._next, count)]
        self._next = max(self._next, count)
        is_truncated = self._event_limit is not None and count >= self._event_limit
        if self._run.state is not RunState.RUNNING and not is_truncated:
            parts.append(self._events.make_end())
            self.ended.set()
        if is_truncated:
            self.ended.set()
        if parts:
            self._write(b"".join(parts))

    @property
    def next_event(self) -> int:
        """The number of the first event that wasn't sent."""
        return self._next

    def _find_event_limit(self, fault: Truncate | Silence | None) -> int | None:
        """Return the number of events after which the stream is interrupted."""
        if fault is None:
            return None
        return -(-fault.length // self._handler.standin.settings.tokens_per_event)

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
    """Base of the handlers that stream a run."""

    pump: EventPump | None = None

    async def stream_run(self, run: Run, first_event: int) -> None:
        """Stream the events of ``run`` from event ``first_event`` on."""
        fault = self.standin.faults.find_body_fault(self)
        self.request.connection.stream.set_nodelay(True)  # type: ignore[union-attr]
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        await self.flush()
        self.pump = EventPump(self, run, first_event, fault)
        is_complete = await self.pump.send()
        if isinstance(fault, Silence) and not is_complete:
            await asyncio.sleep(fault.silence_ms / 1000)
            self.pump = EventPump(self, run, self.pump.next_event, None)
            is_complete = await self.pump.send()
        if is_complete:
            return
        if isinstance(fault, Truncate) and fault.answer == "hang":
            await self.wait_closed()
        self.close_connection()

    def on_connection_close(self) -> None:
        """End the stream when the client disconnects."""
        super().on_connection_close()
        if self.pump is not None:
            self.pump.ended.set()


class CompletionHandler(StreamHandler):
    """Runs chat and text completions."""

    def initialize(self, is_chat: bool) -> None:  # type: ignore[override]
        """Store whether this route serves chat or text completions."""
        super().initialize()
        self.is_chat = is_chat

    async def post(self) -> None:
        """Run a completion and send it, as a stream or as one JSON body."""
        prompt = self.read_request()
        caller = self.read_caller()
        self.check_request(prompt, caller)
        run = self.standin.submit(prompt, caller)
        try:
            await self.apply_reply_faults()
            if prompt.stream:
                await self.stream_run(run, 0)
            else:
                await self.send_completion(run)
        finally:
            self.standin.handle_disconnect(run)

    def read_request(self) -> Prompt:
        """Return the prompt in the body; end the call with 400 if it is invalid."""
        try:
            return read_prompt(self.read_json(), self.is_chat)
        except PromptError as error:
            self.answer_error(400, str(error), not_run=True)
            raise Finish from None

    def read_caller(self) -> Caller:
        """Return the caller from the headers; end the call with 400 if invalid."""
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
        """End the call with an error if the engine must not run it."""
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

    async def send_completion(self, run: Run) -> None:
        """Wait until the run ends, then send it as one JSON body."""

        def on_change() -> None:
            if run.state is not RunState.RUNNING:
                self.closed.set()

        run.listeners.append(on_change)
        await self.closed.wait()
        if run.state is not RunState.RUNNING:
            self.write_json(make_completion(run, self.standin.now_s))


class ResumeHandler(StreamHandler):
    """Resumes the stream of a request."""

    async def get(self, request_id: str) -> None:
        """Stream a run from event ``from`` on; respond 404 to an unknown id."""
        run = self.standin.runs.get(request_id)
        first_event = self.get_query_argument("from", "0")
        if run is None:
            self.answer_error(404, "no such request")
        elif not first_event.isdigit():
            self.answer_error(400, "from: expected a number")
        else:
            await self.apply_reply_faults()
            await self.stream_run(run, int(first_event))
