"""Periodic tasks, and pollers of the membership list and the servers' load."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Annotated, Any

import msgspec

from lavendershift.decoding import Count, decode_json, run_decoder
from lavendershift.errors import DecodeError
from lavendershift.loads import LoadReport
from lavendershift.membership import Member, Membership
from lavendershift.nodes import ServerSettings
from lavendershift.prefixes import CacheEvent
from lavendershift.servers import ServerPool
from lavendershift.upstreams import UpstreamClient

CALL_TIMEOUT = timedelta(seconds=2)
MAX_REPORT_BYTES = 4_194_304  # longest report of an engine that is read
# A time whose distance from now a ``timedelta`` can hold.
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**15)]
POLL_TIME = timedelta(milliseconds=200)  # time that a poll of the engines waits for all


class Periodic:
    """Runs ``work`` repeatedly, ``interval`` after it last ended.

    An exception of ``work`` is passed to ``report`` and does not end the task.
    """

    def __init__(
        self,
        interval: timedelta,
        work: Callable[[], Awaitable[None]],
        report: Callable[[BaseException], None],
    ) -> None:
        self._interval = interval
        self._work = work
        self._report = report
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Cancel the task and wait for its end."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        while True:
            try:
                await self._work()
            except Exception as error:
                self._report(error)
            await asyncio.sleep(self._interval.total_seconds())


class _MembersAnswer(msgspec.Struct):
    members: list[Member]


class MembersWatcher:
    """Polls the platform's membership list and updates ``membership`` and ``pool``."""

    def __init__(
        self,
        url: str,
        client: UpstreamClient,
        membership: Membership,
        pool: ServerPool,
    ) -> None:
        self._url = f"{url.rstrip('/')}/members"
        self._client = client
        self._membership = membership
        self._pool = pool

    async def poll(self) -> None:
        """Read the list once; after an invalid response the previous list is kept."""
        response = await self._client.fetch("GET", self._url, CALL_TIMEOUT)
        if response.code != 200:
            return
        members = decode_members(response.body)
        if members is None:
            return
        self._membership.update_list(members)
        servers = {m.name: m.state for m in members if m.role == "server"}
        self._pool.update_membership(servers)


def decode_members(body: bytes) -> list[Member] | None:
    """Return the members in a response body, or ``None`` if it is invalid."""

    def decode() -> list[Member]:
        rows = msgspec.json.decode(body)["members"]
        return [msgspec.convert(_pick_fields(row), Member) for row in rows]

    try:
        return run_decoder(decode, "members")
    except DecodeError:
        return None


def _pick_fields(row: Any) -> list[Any]:
    return [row[field] for field in Member._fields]


class _LoadAnswer(msgspec.Struct):
    time_ms: Milliseconds
    running: Count
    waiting: Count
    kv_used: float = 0.0
    adapters: list[str] = []
    models: list[str] | None = None


class _EventsAnswer(msgspec.Struct):
    events: list[dict[str, Any]]
    last_seq: Count


class LoadWatcher:
    """Polls load reports and cache events of the engines and updates ``pool``.

    An engine that doesn't respond is polled again after the timeout of its calls, and
    delays the polls of the others by ``POLL_TIME`` at most.
    """

    def __init__(
        self,
        client: UpstreamClient,
        pool: ServerPool,
        list_servers: Callable[[], list[ServerSettings]],
        now_ms: Callable[[], int],
    ) -> None:
        self._client = client
        self._pool = pool
        self._list_servers = list_servers
        self._now_ms = now_ms
        self._last_seqs: dict[str, int] = {}
        self._polls: dict[str, asyncio.Task[None]] = {}

    async def poll(self) -> None:
        """Poll all engines concurrently, except for those still being polled."""
        for server in self._list_servers():
            if server.kind == "engine" and server.name not in self._polls:
                task = asyncio.ensure_future(self._poll_engine(server))
                self._polls[server.name] = task
        if self._polls:
            timeout = POLL_TIME.total_seconds()
            await asyncio.wait(self._polls.values(), timeout=timeout)
        for name in [name for name, task in self._polls.items() if task.done()]:
            self._polls.pop(name).result()

    async def stop(self) -> None:
        """Cancel the polls that are under way."""
        for task in self._polls.values():
            task.cancel()
        await asyncio.gather(*self._polls.values(), return_exceptions=True)

    async def _poll_engine(self, engine: ServerSettings) -> None:
        base = self._client.make_url(engine.address, "/control")
        response = await self._client.fetch("GET", f"{base}/load", CALL_TIMEOUT)
        if response.code != 200:
            return
        with contextlib.suppress(DecodeError):
            load = decode_json(response.body, _LoadAnswer, "load", MAX_REPORT_BYTES)
            age = timedelta(milliseconds=max(0, self._now_ms() - load.time_ms))
            report = LoadReport(
                load.running,
                load.waiting,
                age,
                load.kv_used,
                tuple(load.adapters),
                None if load.models is None else tuple(load.models),
            )
            self._pool.record_load(engine.name, report)
        after = self._last_seqs.get(engine.name, 0)
        response = await self._client.fetch(
            "GET", f"{base}/cache-events?after={after}", CALL_TIMEOUT
        )
        if response.code == 200:
            self._record_events(engine.name, response.body)

    def _record_events(self, engine: str, body: bytes) -> None:
        with contextlib.suppress(DecodeError, msgspec.ValidationError):
            report = decode_json(body, _EventsAnswer, "events", MAX_REPORT_BYTES)
            rows = [
                [e.get("seq"), e.get("kind"), e.get("prefix")] for e in report.events
            ]
            events = msgspec.convert(rows, list[CacheEvent])
            self._pool.record_cache_events(engine, events, report.last_seq)
            self._last_seqs[engine] = report.last_seq
