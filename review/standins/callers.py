"""Callers of the system, which follow the pages on requests and answers."""

import asyncio
import contextlib
import itertools
from typing import NamedTuple

HOST = "books.example"
ids = itertools.count(1)


class Answer(NamedTuple):
    """A status, the body, and whether the answer was complete."""

    status: int
    body: bytes
    is_whole: bool

    @property
    def events(self) -> int:
        """The number of complete events in the body."""
        return self.body.count(b"data:")


NO_ANSWER = Answer(0, b"", False)


def split(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def ask(
    address: str,
    path: str,
    key: str,
    tokens: tuple[int, int] | None = None,
    deadline_s: float = 4.0,
    request_id: str = "",
) -> Answer:
    """Send one request on a new connection and read its answer."""
    request_id = request_id or f"r{next(ids):06d}"
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Lavendershift-Attempt-Id: {request_id}",
        f"X-Lavendershift-Deadline-Ms: {int(deadline_s * 1000)}",
        f"Authorization: Bearer {key}",
        "Content-Length: 8",
    ]
    if tokens is not None:
        lines += [
            "X-Lavendershift-Model: m",
            f"X-Lavendershift-Token-Usage: {tokens[0]},{tokens[1]}",
            f"X-Lavendershift-Prompt-Prefix: {request_id}:{tokens[0]}",
        ]
    message = ("\r\n".join(lines) + "\r\n\r\nquestion").encode()
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(*split(address))
            try:
                writer.write(message)
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return NO_ANSWER


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer, with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.split("\r\n")
    status = int(first.split(" ")[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if "content-length" in headers:
        return Answer(
            status, await reader.readexactly(int(headers["content-length"])), True
        )
    body = b""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        return Answer(status, body, True)
    return Answer(status, body, False)
