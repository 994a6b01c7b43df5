"""Stand-in for the platform's log service.

Streams are held in memory. Appends are rate-limited; a read at the end of a
stream waits for the next append (long polling); entries expire by age or number.
"""

import asyncio
from datetime import timedelta
from random import Random
from typing import Any, NamedTuple

import msgspec
from tornado.web import Finish

from lavendershift.clocks import Clock
from lavendershift_standins.application import StandInApp, StandInHandler
from lavendershift_standins.commandline import run_program
from lavendershift_standins.logstream import ReadPage, Retention, Stream

DEFAULT_READ_LIMIT = 1000
MAX_READ_LIMIT = 10_000
MAX_WAIT_MS = 30_000


class LogSettings(NamedTuple):
    """Settings of the log service and their defaults.

    ``retention_ms`` and ``retention_records`` of 0 retain entries forever;
    ``appends_per_s`` of 0 sets no rate limit.
    """

    name: str = "log"
    address: str = "127.0.0.1"
    port: int = 0
    appends_per_s: float = 300.0
    append_burst: float = 300.0
    retention_ms: int = 0
    retention_records: int = 0
    delay_ms: int = 1


class RateLimiter:
    """A token bucket of ``burst`` calls that refills by ``per_s`` calls per second."""

    def __init__(self, per_s: float, burst: float, clock: Clock) -> None:
        self._per_s = per_s
        self._burst = max(burst, 1.0)
        self._clock = clock
        self._available = self._burst
        self._refilled_at = clock.elapsed()

    def try_acquire(self) -> bool:
        """Take one call from the bucket; return whether it held one."""
        if self._per_s <= 0:
            return True
        now = self._clock.elapsed()
        elapsed_s = (now - self._refilled_at) / timedelta(seconds=1)
        self._refilled_at = now
        self._available = min(self._burst, self._available + elapsed_s * self._per_s)
        if self._available < 1:
            return False
        self._available -= 1
        return True


class RecordsHandler(StandInHandler):
    """Appends to a stream and reads from it."""

    async def post(self, name: str) -> None:
        """Append an array of records atomically."""
        try:
            raw = msgspec.json.decode(self.request.body, type=list[msgspec.Raw])
        except msgspec.DecodeError as error:
            self.answer_error(400, f"body: {error}")
            return
        if not self.standin.rate_limit.try_acquire():
            self.answer_error(429, "over the rate limit of appends")
            return
        await self.standin.simulate_latency()
        first = self.standin.append(name, [bytes(record) for record in raw])
        await self.reply({"first_offset": first, "count": len(raw)})

    async def get(self, name: str) -> None:
        """Return entries from ``offset`` on; wait up to ``wait_ms`` for the first one.

        For an offset that is no longer retained, respond 410 with the first retained.
        """
        offset = self.read_count("offset", 0)
        limit = min(self.read_count("limit", DEFAULT_READ_LIMIT), MAX_READ_LIMIT)
        wait_ms = min(self.read_count("wait_ms", 0), MAX_WAIT_MS)
        await self.standin.simulate_latency()
        page = await self.standin.read(name, offset, limit, wait_ms)
        if page is None:
            self.set_status(410)
            first = self.standin.find_first_offset(name)
            await self.reply({"first_offset": first})
            return
        await self.apply_reply_faults()
        self.write_page(page)

    def write_page(self, page: ReadPage) -> None:
        """Write a page of entries that are already encoded."""
        self.set_header("Content-Type", "application/json")
        self.write(
            b'{"entries":[%s],"next_offset":%d,"end_offset":%d}'
            % (b",".join(page.entries), page.next_offset, page.end_offset)
        )

    def read_count(self, name: str, default: int) -> int:
        """Return a non-negative query argument; end the call with 400 if invalid."""
        text = self.get_query_argument(name, str(default))
        if not text.isascii() or not text.isdigit():
            self.answer_error(400, f"{name}: expected a whole number, not negative")
            raise Finish
        return int(text)


class ControlStreamsHandler(StandInHandler):
    """Lists the streams."""

    affected_by_faults = False

    async def get(self) -> None:
        """Return the first and end offset of each stream, and the count of appends."""
        streams = {
            name: {"first_offset": s.first_offset, "end_offset": s.end_offset}
            for name, s in self.standin.streams.items()
        }
        self.write_json({"streams": streams, "appends": self.standin.appends})


class LogApp(StandInApp):
    """Serves append-only streams."""

    program = "log"

    def __init__(self, settings: LogSettings, clock: Clock, rng: Random) -> None:
        super().__init__(settings, clock, rng)
        self.streams: dict[str, Stream] = {}
        self.appends = 0
        self.rate_limit = RateLimiter(
            settings.appends_per_s, settings.append_burst, clock
        )
        self._retention = Retention(
            settings.retention_ms or None, settings.retention_records or None
        )

    def list_routes(self) -> list[tuple[Any, ...]]:
        """Return the routes."""
        return [
            (r"/streams/([A-Za-z0-9._-]+)/records", RecordsHandler),
            (r"/control/streams", ControlStreamsHandler),
        ]

    def append(self, name: str, records: list[bytes]) -> int:
        """Append ``records`` to a stream, creating it if needed.

        Returns the offset of the first record.
        """
        self.appends += 1
        stream = self._find_stream(name)
        stream.expire(self.now_ms)
        return stream.append(records, self.now_ms)

    async def read(
        self, name: str, offset: int, limit: int, wait_ms: int
    ) -> ReadPage | None:
        """Return a page, or ``None`` if ``offset`` is no longer retained.

        At the end of the stream it waits up to ``wait_ms`` for an append.
        """
        end = self.clock.elapsed() + timedelta(milliseconds=wait_ms)
        while True:
            page = self.read_now(name, offset, limit)
            if page is None or page.entries or limit == 0:
                return page
            remaining_s = (end - self.clock.elapsed()) / timedelta(seconds=1)
            if remaining_s <= 0:
                return page
            await self._find_stream(name).wait_appended(remaining_s)

    def read_now(self, name: str, offset: int, limit: int) -> ReadPage | None:
        """Return a page without waiting; ``None`` if ``offset`` isn't retained."""
        stream = self._find_stream(name)
        stream.expire(self.now_ms)
        if offset < stream.first_offset:
            return None
        return stream.read(offset, limit)

    def find_first_offset(self, name: str) -> int:
        """Return the first retained offset of a stream."""
        return self._find_stream(name).first_offset

    def _find_stream(self, name: str) -> Stream:
        """Return a stream, creating an empty one if it doesn't exist."""
        return self.streams.setdefault(name, Stream(self._retention))

    async def simulate_latency(self) -> None:
        """Sleep for the configured delay, multiplied by an active ``slow`` fault."""
        delay_ms = self.settings.delay_ms * self.faults.slow_factor
        if delay_ms > 0:
            await asyncio.sleep(delay_ms / 1000)


def main() -> None:
    """Run the log service."""
    run_program(LogApp, LogSettings)
