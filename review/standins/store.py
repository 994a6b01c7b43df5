"""A stand-in for the platform's store, as its page describes it.

Answers take ``ANSWER_S``, or ``slowness`` times as long while the store is slow. An
append is executed when it arrives, after those that wait in its partition, and its
answer follows later. While answers are lost, ``lost_share`` of the appends are executed
and not answered, and their connections return nothing more.
"""

import asyncio
import base64
import json
import random
import struct
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")
ANSWER_S = 0.004  # time of an answer
APPEND_S = 0.002  # time that a partition takes for an append
PAGE = 500  # records of a page of newest records
REASONS = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}


class Store:
    """The logs, and a server for them on a loopback address.

    ``on_append`` is called with topic, partition, records and the first offset of each
    append that was executed, and ``on_conflict`` with topic, partition and records of
    each whose condition did not hold. ``on_lost`` is called with topic, partition and
    records of each that was executed and is not answered.
    """

    def __init__(self) -> None:
        self.logs: dict[tuple[str, int], list[tuple[bytes, bytes]]] = {}
        self.slowness = 1.0
        self.port = 0
        self.on_append: Callable[..., None] = lambda *args: None
        self.on_conflict: Callable[..., None] = lambda *args: None
        self.on_lost: Callable[..., None] = lambda *args: None
        self.lost_share = 0.0
        self._changed = asyncio.Condition()
        self._locks: dict[tuple[str, int], asyncio.Lock] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def append(
        self,
        topic: str,
        part: int,
        records: list[tuple[bytes, bytes]],
        at: int | None = None,
    ) -> tuple[int, dict[str, int]]:
        """Append records; return the status and the body of the answer."""
        key = (topic, part)
        async with self._locks.setdefault(key, asyncio.Lock()):
            await asyncio.sleep(APPEND_S)
            log = self.logs.setdefault(key, [])
            if at is not None and at != len(log):
                self.on_conflict(topic, part, records)
                return 412, {"end": len(log)}
            offset = len(log)
            log.extend(records)
            self.on_append(topic, part, records, offset)
        async with self._changed:
            self._changed.notify_all()
        return 200, {"offset": offset, "end": offset + len(records)}

    def find_newest(self, topic: str, part: int) -> dict[bytes, tuple[bytes, int]]:
        """Return value and offset of the newest record of each key."""
        newest: dict[bytes, tuple[bytes, int]] = {}
        for offset, (key, value) in enumerate(self.logs.get((topic, part), [])):
            newest.pop(key, None)
            if value:
                newest[key] = value, offset
        return newest

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                status, body = await self._handle(reader)
                if not status:
                    await reader.read()
                    return
                await asyncio.sleep(ANSWER_S * self.slowness)
                head = f"HTTP/1.1 {status} {REASONS[status]}\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(self, reader: asyncio.StreamReader) -> tuple[int, bytes]:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        first, *lines = head.split("\r\n")
        length = 0
        for line in lines:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        data = await reader.readexactly(length)
        url = urlsplit(first.split(" ")[1])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        topic, part = query["topic"], int(query["part"])
        if url.path == "/log-append":
            at = int(query["at"]) if "at" in query else None
            records = split_records(data)
            status, answer = await self.append(topic, part, records, at)
            if status == 200 and random.random() < self.lost_share:
                self.on_lost(topic, part, records)
                return 0, b""
            return status, json.dumps(answer).encode()
        if url.path == "/log-read":
            return 200, await self._read(topic, part, query)
        if url.path == "/log-newest":
            return 200, self._list_newest(topic, part, query.get("after", ""))
        return 404, b""

    async def _read(self, topic: str, part: int, query: dict[str, str]) -> bytes:
        offset, wait_s = int(query["from"]), float(query.get("wait_ms", 0)) / 1000
        log = self.logs.setdefault((topic, part), [])
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: len(log) > offset)
        except TimeoutError:
            pass
        body = HEADER.pack(len(log), 0)
        for key, value in log[offset:]:
            record = bytes([len(key)]) + key + value
            body += LENGTH.pack(len(record)) + record
        return body

    def _list_newest(self, topic: str, part: int, after: str) -> bytes:
        newest = sorted(self.find_newest(topic, part).items())
        rest = [entry for entry in newest if entry[0].decode() > after]
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in rest[:PAGE]
        ]
        end = len(self.logs.get((topic, part), []))
        page = {"items": items, "truncated": len(rest) > PAGE, "end": end}
        return json.dumps(page).encode()


def split_records(data: bytes) -> list[tuple[bytes, bytes]]:
    """Return the keys and values in the body of an append to a keyed topic."""
    records = []
    while data:
        (length,) = LENGTH.unpack_from(data)
        record, data = data[4 : 4 + length], data[4 + length :]
        records.append((record[1 : 1 + record[0]], record[1 + record[0] :]))
    return records
