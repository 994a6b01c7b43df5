"""Client of the platform's store, a partitioned log with conditional appends.

All components of a process share one ``StoreClient``. Every call has its own timeout,
as a connection may fall silent without an error::

    store = StoreClient("10.200.1.7:8223", connections, clock)
    batch = await store.read("keyed.op", 0, offset=12)
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from typing import NamedTuple
from urllib.parse import urlencode

from tornado.httputil import HTTPHeaders

from lavendershift.clocks import Clock
from lavendershift.connections import (
    ConnectError,
    Connection,
    ConnectionPool,
    ServerRequest,
)
from lavendershift.connectors import Connector
from lavendershift.decoding import parse_count
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.platform import names
from lavendershift.platform.storerecords import (
    AppendResult,
    Batch,
    Record,
    decode_append_response,
    decode_batch,
    decode_page,
    encode_record,
)
from lavendershift.storehistories import History, StoreRestoredError
from lavendershift.timeouts import Timeout

# Interval between attempts to connect, as the kernel repeats a lost packet after 1 s.
CONNECT_INTERVAL = timedelta(milliseconds=600)
# Timeout of connecting for a reading; packets may wait for long at a congested link.
CONNECT_TIMEOUT = timedelta(milliseconds=2400)
# Timeout of connecting for an append, for which a request may wait.
APPEND_CONNECT_TIMEOUT = timedelta(milliseconds=1200)
# Timeout of a call that receives no bytes: calls take 4 ms, slow ones 100 times that.
CALL_TIMEOUT = timedelta(milliseconds=1500)
# Longest duration of a call that keeps receiving bytes: a record may have 256 KiB.
MAX_CALL_DURATION = timedelta(seconds=15)
MAX_ERA = 2**53  # bound on the number of the store's last restore
# Response statuses of calls that were not executed.
REJECTED_STATUSES = frozenset({400, 403, 404, 409, 413, 429, 503, 507})


class StoreUnreachableError(LogUnavailableError):
    """No connection to the store could be made, so the call was not executed."""


class _Response(NamedTuple):
    """A complete response of the store, and the history from which it comes."""

    status: int
    body: bytes
    history: History


ByteListener = Callable[[], None]


class _ResponseCollector:
    """Collects status, era and body of a response, and reports progress.

    ``era`` is ``None`` if the response names none.
    """

    def __init__(self, on_bytes: ByteListener) -> None:
        self.needs_body = True
        self.status = 0
        self.era: int | None = None
        self.chunks: list[bytes] = []
        self.on_bytes = on_bytes

    def start(self, status: int, headers: HTTPHeaders) -> None:
        self.status = status
        self.era = parse_count(headers.get(names.STORE_ERA, ""), MAX_ERA)
        self.on_bytes()

    def add(self, chunk: bytes) -> Awaitable[None] | None:
        self.chunks.append(chunk)
        self.on_bytes()
        return None


CallListener = Callable[[str, str, timedelta], None]


class StoreClient:
    """Calls the store at ``address``.

    ``on_call`` gets the name, outcome and duration of each call.
    ``history`` is the newest one of any response, and ``on_history`` is called when it
    changes. Responses of an older history are dropped, as they may arrive late.

    A damaged response may name an era that the store never had. Responses to calls that
    began after it can't be from before a restore, so two of these in a row that name
    the same lower era replace it.
    """

    def __init__(
        self,
        address: str,
        connections: ConnectionPool,
        clock: Clock,
        on_call: CallListener = lambda call, outcome, duration: None,
    ) -> None:
        self.address = address
        self._connections = connections
        self._clock = clock
        self._on_call = on_call
        self.history = History()
        self._lower_era: int | None = None  # that of a response to a newer call
        self.on_history: Callable[[History], None] = lambda history: None
        self._connector = self._make_connector()

    def _make_connector(self) -> Connector:
        return Connector(
            self._connections, self.address, CONNECT_INTERVAL, CONNECT_TIMEOUT
        )

    def follow(self, address: str) -> None:
        """Call the store at ``address`` from now on, if it is another one.

        What was read at the previous address is of another history.
        """
        if address == self.address:
            return
        self._connections.drop(self.address)
        self.address = address
        self._connector = self._make_connector()
        self._set_history(History(self.history.moves + 1))

    def _set_history(self, history: History) -> None:
        self.history = history
        self._lower_era = None
        self.on_history(history)

    def _note_response(self, begun_in: History, era: int | None) -> History:
        """Return the history of a response to a call that began in ``begun_in``.

        Raises ``StoreRestoredError`` if it is older than that of another response. One
        without an era is taken as one of the newest history.
        """
        newest = self.history
        history = History(begun_in.moves, newest.era if era is None else era)
        if history < newest:
            if begun_in != newest or self._lower_era != history.era:
                if begun_in == newest:
                    self._lower_era = history.era
                raise StoreRestoredError("the response is from before a restore")
            history = History(newest.moves + 1, history.era)
        elif era is not None:
            self._lower_era = None
        if history > newest:
            self._set_history(history)
        return history

    async def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait: timedelta = timedelta(),
        on_bytes: ByteListener = lambda: None,
        is_hedge: bool = False,
        on_connect: ByteListener = lambda: None,
        max_kilobytes: int | None = None,
    ) -> Batch:
        """Return the records from ``offset`` on, waiting up to ``wait`` for one.

        More than one are returned only if they take at most ``max_kilobytes``.
        ``on_connect`` is called once there is a connection, ``on_bytes`` whenever bytes
        arrive. A hedge of a call that hangs is made on a new connection.

        Raises ``RecordsExpiredError`` if records at ``offset`` were deleted by the
        store's retention, and ``LogUnavailableError``.
        """
        query: dict[str, object] = {"topic": topic, "part": partition, "from": offset}
        if wait:
            query["wait_ms"] = wait // timedelta(milliseconds=1)
        if max_kilobytes is not None:
            query["max_kb"] = max_kilobytes
        response = await self._call(
            "GET", "/log-read", query, b"", wait, on_bytes, is_hedge, on_connect
        )
        if response.status == 410:
            raise RecordsExpiredError(topic, offset)
        self._require_ok(response)
        batch = decode_batch(response.body, offset)
        return batch._replace(history=response.history)

    async def read_newest(
        self,
        topic: str,
        partition: int,
        on_bytes: ByteListener = lambda: None,
        is_hedge: bool = False,
        on_connect: ByteListener = lambda: None,
    ) -> Batch:
        """Return the newest record of each key; ``read`` explains ``is_hedge``.

        ``next_offset`` is the partition's end from before the first page was made:
        records from there on may be newer than those returned, and later pages may
        already hold some of them. Raises ``LogUnavailableError``, also if the store is
        restored between two pages.
        """
        records: list[Record] = []
        history: History | None = None
        end_before: int | None = None
        after = ""
        seen: set[str] = set()
        while True:
            query: dict[str, object] = {"topic": topic, "part": partition}
            if after:
                query["after"] = after
            response = await self._call(
                "GET",
                "/log-newest",
                query,
                on_bytes=on_bytes,
                is_hedge=is_hedge and not seen,
                on_connect=on_connect,
            )
            self._require_ok(response)
            if history not in (None, response.history):
                raise StoreRestoredError(f"{topic}: restored between two pages")
            history = response.history
            found, page = decode_page(response.body, topic)
            records += found
            if end_before is None:
                end_before = page.end
            if not page.truncated:
                return Batch(records, end_before, page.end, history)
            if not page.items:
                raise LogUnavailableError(f"{topic}: an empty page marked as truncated")
            seen.add(after)
            after = page.items[-1].key
            if after in seen:
                raise LogUnavailableError(
                    f"{topic}: a page that ends with the key of an earlier one"
                )

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[tuple[bytes, bytes]],
        end: int | None = None,
        history: History | None = None,
    ) -> tuple[AppendResult, int | None]:
        """Append keyed records; with ``end``, only if the partition ends there.

        An append without a response is ``UNKNOWN``, as the store may still execute
        it, and so is one whose response names another offset than ``end``. Returns
        the result and the partition's end, if the response holds it.

        ``history`` is that in which ``end`` was read. In another one the append isn't
        sent, as the partition may end there by chance, and if the store was restored
        meanwhile the result is ``UNKNOWN``.
        """
        if history is not None and history != self.history:
            return AppendResult.MOVED, None
        query: dict[str, object] = {"topic": topic, "part": partition}
        if end is not None:
            query["at"] = end
        body = b"".join(encode_record(key, value) for key, value in records)
        try:
            response = await self._call("POST", "/log-append", query, body)
        except StoreUnreachableError:
            return AppendResult.NOT_DONE, None
        except LogUnavailableError:
            return AppendResult.UNKNOWN, None
        if history is not None and response.history != history:
            return AppendResult.UNKNOWN, None
        written = decode_append_response(response.body)
        if response.status == 200:
            if end is not None and (written is None or written.offset != end):
                return AppendResult.UNKNOWN, None
            return AppendResult.DONE, written.end if written else None
        if response.status == 412:
            return AppendResult.MOVED, written.end if written else None
        if response.status in REJECTED_STATUSES:
            return AppendResult.NOT_DONE, None
        return AppendResult.UNKNOWN, None

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: bytes = b"",
        wait: timedelta = timedelta(),
        on_bytes: ByteListener = lambda: None,
        is_hedge: bool = False,
        on_connect: ByteListener = lambda: None,
    ) -> _Response:
        """Make one call; raises ``LogUnavailableError``.

        ``wait`` is the time that the store may wait for records, which is added to
        the timeout of the call.
        """
        call = path.strip("/")
        address, connector, begun_in = self.address, self._connector, self.history
        headers = HTTPHeaders({"Host": address})
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        request = ServerRequest(method, f"{path}?{urlencode(query)}", headers, body)
        started = self._clock.elapsed()
        try:
            connection = None
            if not is_hedge:
                connection = self._connections.take(address)
            if connection is None:
                connection = await connector.connect(
                    APPEND_CONNECT_TIMEOUT if method == "POST" else CONNECT_TIMEOUT
                )
        except ConnectError as error:
            self._on_call(call, "unreachable", self._clock.elapsed() - started)
            raise StoreUnreachableError(str(error)) from None
        on_connect()
        delay = self._clock.elapsed() - started
        response = await self._exchange(
            connection, request, CALL_TIMEOUT + delay + wait, on_bytes
        )
        outcome = str(response.status) if response else "no answer"
        self._on_call(call, outcome, self._clock.elapsed() - started - wait)
        if response is None:
            raise LogUnavailableError(f"{call}: no answer")
        history = self._note_response(begun_in, response.era)
        return _Response(response.status, b"".join(response.chunks), history)

    async def _exchange(
        self,
        connection: Connection,
        request: ServerRequest,
        timeout: timedelta,
        on_bytes: ByteListener,
    ) -> _ResponseCollector | None:
        """Return the response, or ``None`` if it is missing or incomplete.

        Progress extends the timeout: a large response on a saturated link takes long,
        and would take longer if it were requested again.
        """
        loop = asyncio.get_running_loop()
        collector = _ResponseCollector(on_bytes)
        latest_end = loop.time() + MAX_CALL_DURATION.total_seconds()

        def note_progress() -> None:
            on_bytes()
            extended = loop.time() + CALL_TIMEOUT.total_seconds()
            watchdog.extend(min(extended, latest_end))

        try:
            async with Timeout(timeout.total_seconds()) as watchdog:
                collector.on_bytes = note_progress
                exchange = await connection.exchange(request, collector)
        except TimeoutError:
            connection.close()
            # Idle connections to the store may have fallen silent as well.
            self._connections.drop(connection.address)
            return None
        except BaseException:
            connection.close()
            if not collector.status:
                self._connections.drop(connection.address)
            raise
        if not exchange.is_complete:
            connection.close()
            return None
        self._connections.give_back(connection)
        return collector

    def _require_ok(self, response: _Response) -> None:
        if response.status != 200:
            raise LogUnavailableError(f"status {response.status}")
