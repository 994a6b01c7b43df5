"""A stand-in for the platform's store: keyed logs with conditional appends.

``StoreState`` holds the logs alone, for tests in virtual time. ``StoreServer``
serves it over HTTP, with faults: ``is_unavailable`` rejects all calls with 503,
``is_silent`` leaves them without a response, ``delay_s`` is the time that each waits
before, and ``lost_response_share`` is the share of appends that take effect but get no
response. ``restore`` puts back a copy of the state, as an operator does after a loss::

    copy = server.state.copy()
    server.restore(copy)  # raises the era by one
"""

import asyncio
import base64
import json
import random
import struct
from urllib.parse import parse_qs, urlsplit

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
POLL_INTERVAL_S = 0.01  # interval at which a waiting read checks for new records


class EndMismatchError(Exception):
    """The partition doesn't end at the offset that a conditional append expects."""


DEFAULT_MAX_KILOBYTES = 1024  # of the records that a read returns, if there are several


class ExpiredError(Exception):
    """Records from the requested offset on were deleted."""


class AheadError(Exception):
    """The partition ends before the requested offset."""


class StoreState:
    """Partitions of records, each a key and a value.

    ``first`` holds the first readable offset of partitions with expired records.
    ``era`` rises by one with each restore of a copy.
    """

    def __init__(self) -> None:
        self.logs: dict[tuple[str, int], list[tuple[bytes, bytes]]] = {}
        self.first: dict[tuple[str, int], int] = {}
        self.era = 1

    def copy(self) -> "StoreState":
        """Return a copy of the records, to be put back by ``restore``."""
        copied = StoreState()
        copied.logs = {key: list(log) for key, log in self.logs.items()}
        copied.first = dict(self.first)
        return copied

    def restore(self, copy: "StoreState") -> None:
        """Put back the records of ``copy``, and begin a new era."""
        restored = copy.copy()
        self.logs, self.first = restored.logs, restored.first
        self.era += 1

    def append(
        self,
        topic: str,
        part: int,
        records: list[tuple[bytes, bytes]],
        at: int | None = None,
    ) -> int:
        """Append all records or none; return the end offset of the partition.

        Raises ``EndMismatchError`` unless the partition ends at ``at``, if given.
        """
        log = self.logs.setdefault((topic, part), [])
        if at is not None and at != len(log):
            raise EndMismatchError
        log.extend(records)
        return len(log)

    def end(self, topic: str, part: int) -> int:
        """Return the end offset of the partition."""
        return len(self.logs.get((topic, part), []))

    def read(self, topic: str, part: int, offset: int) -> list[tuple[bytes, bytes]]:
        """Return the records from ``offset`` on.

        Raises ``ExpiredError`` if they were deleted, and ``AheadError`` for an offset
        above the end.
        """
        if offset < self.first.get((topic, part), 0):
            raise ExpiredError
        if offset > self.end(topic, part):
            raise AheadError
        return self.logs.get((topic, part), [])[offset:]

    def list_newest(self, topic: str, part: int) -> list[tuple[bytes, bytes, int]]:
        """Return key, value and offset of the newest record of each key.

        Keys whose newest value is empty are left out.
        """
        found: dict[bytes, tuple[bytes, int]] = {}
        for offset, (key, value) in enumerate(self.logs.get((topic, part), [])):
            found[key] = (value, offset)
        return [(key, value, at) for key, (value, at) in found.items() if value]

    def expire(self, topic: str, part: int) -> None:
        """Delete all records but the newest of each key.

        Afterwards ``read`` fails below the current end; ``list_newest`` is unaffected.
        """
        self.first[topic, part] = self.end(topic, part)


class StoreServer:
    """Serves a ``StoreState`` over HTTP; ``calls`` counts requests by path.

    Responses have a ``Store-Era`` header unless ``has_era`` is false, as with a store
    of an older version.
    """

    def __init__(self, rng: random.Random) -> None:
        self.state = StoreState()
        self.is_unavailable = False
        self.is_silent = False
        self.delay_s = 0.0
        self.lost_response_share = 0.0
        self.has_era = True
        self.calls: dict[str, int] = {}
        self.rng = rng
        self._http = HTTPServer(self._serve)
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, port: int) -> None:
        """Listen on ``port`` of the loopback interface."""
        self._http.listen(port, address="127.0.0.1")

    def stop(self) -> None:
        """Stop listening; calls in progress get no response."""
        self._http.stop()
        for task in self._tasks:
            task.cancel()

    def restore(self, copy: StoreState) -> None:
        """Put back a copy of the state; reads that wait answer from it."""
        self.state.restore(copy)

    def _serve(self, request: HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._respond(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(self, request: HTTPServerRequest) -> None:
        url = urlsplit(request.uri or "")
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls[url.path] = self.calls.get(url.path, 0) + 1
        if self.is_silent:
            return
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.is_unavailable:
            self._send(request, 503, b"")
        elif url.path == "/log-append":
            self._append(request, query)
        elif url.path == "/log-read":
            await self._read(request, query)
        elif url.path == "/log-newest":
            self._send_newest(request, query)
        else:
            self._send(request, 404, b"")

    def _append(self, request: HTTPServerRequest, query: dict[str, str]) -> None:
        topic, part = query["topic"], int(query["part"])
        at = int(query["at"]) if "at" in query else None
        offset = self.state.end(topic, part)
        try:
            end = self.state.append(topic, part, split_records(request.body), at)
        except EndMismatchError:
            end = self.state.end(topic, part)
            self._send(request, 412, json.dumps({"end": end}).encode())
            return
        if self.rng.random() < self.lost_response_share:
            return
        self._send(request, 200, json.dumps({"offset": offset, "end": end}).encode())

    async def _read(self, request: HTTPServerRequest, query: dict[str, str]) -> None:
        topic, part, offset = query["topic"], int(query["part"]), int(query["from"])
        remaining_s = float(query.get("wait_ms", 0)) / 1000
        try:
            records = self.state.read(topic, part, offset)
            while not records and remaining_s > 0 and not self.is_unavailable:
                await asyncio.sleep(POLL_INTERVAL_S)
                remaining_s -= POLL_INTERVAL_S
                records = self.state.read(topic, part, offset)
        except (ExpiredError, AheadError):
            self._send(request, 410, b'{"first":0}')
            return
        most = 1024 * int(query.get("max_kb", DEFAULT_MAX_KILOBYTES))
        size = 0
        encoded: list[bytes] = []
        for key, value in records:
            data = bytes([len(key)]) + key + value
            size += RECORD_LENGTH.size + len(data)
            if encoded and size > most:
                break
            encoded.append(RECORD_LENGTH.pack(len(data)) + data)
        head = READ_HEADER.pack(self.state.end(topic, part), 0)
        self._send(request, 200, head + b"".join(encoded))

    def _send_newest(self, request: HTTPServerRequest, query: dict[str, str]) -> None:
        topic, part = query["topic"], int(query["part"])
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, value, offset in self.state.list_newest(topic, part)
        ]
        end = self.state.end(topic, part)
        body = {"items": items, "truncated": False, "end": end}
        self._send(request, 200, json.dumps(body).encode())

    def _send(self, request: HTTPServerRequest, status: int, body: bytes) -> None:
        connection = request.connection
        assert connection is not None
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        if self.has_era:
            headers["Store-Era"] = str(self.state.era)
        connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, "-"), headers, body
        )
        connection.finish()


def split_records(body: bytes) -> list[tuple[bytes, bytes]]:
    """Return the keys and values in the body of an append."""
    records = []
    while body:
        (length,) = RECORD_LENGTH.unpack_from(body)
        data, body = body[4 : 4 + length], body[4 + length :]
        records.append((data[1 : 1 + data[0]], data[1 + data[0] :]))
    return records
