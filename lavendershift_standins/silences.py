"""Behaviours of a sound server that falls silent for a time and goes on.

``fall_silent`` interrupts any other behaviour at one point of its response::

    server.script.append(fall_silent(1.3, after_events(3), stream(8)))

``PlatformServer.fall_silent`` interrupts all responses of a server at once.
"""

import asyncio

from lavendershift_standins.heldwriters import InterruptedWriter, SilencePoint
from lavendershift_standins.platformserver import (
    LAST_CHUNK,
    Behaviour,
    ReceivedRequest,
    answer_complete,
)

HEAD_END = b"\r\n\r\n"


def fall_silent(
    seconds: float, point: SilencePoint, behaviour: Behaviour = answer_complete
) -> Behaviour:
    """Respond like ``behaviour``, with a silence of ``seconds`` at ``point``.

    A response that never reaches the point has its silence at its end, before the
    connection may be closed.
    """

    async def behave(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        interrupted = InterruptedWriter(writer, seconds, point)
        if point(b"") == 0:
            interrupted.begin_silence()
            await interrupted.wait_released()
        try:
            await behaviour(received, interrupted)
        finally:
            interrupted.begin_silence()
            await interrupted.wait_released()

    return behave


def before_head(written: bytes) -> int | None:
    """Fall silent before the first byte of the response."""
    return 0


def after_head(written: bytes) -> int | None:
    """Fall silent between the head and the body."""
    end = written.find(HEAD_END)
    return end + len(HEAD_END) if end >= 0 else None


def after_events(count: int) -> SilencePoint:
    """Fall silent after ``count`` events, 1 or more, of an event stream."""

    def find(written: bytes) -> int | None:
        ends = written.split(b"\n\n", count)
        return len(written) - len(ends[-1]) if len(ends) > count else None

    return find


def within_event(count: int, partial: int = 7) -> SilencePoint:
    """Fall silent after ``count`` events and ``partial`` bytes of the next one."""

    def find(written: bytes) -> int | None:
        parts = written.split(b"id: ", count + 1)
        at = len(written) - len(parts[-1]) - len(b"id: ") + partial
        return at if len(parts) > count + 1 and at <= len(written) else None

    return find


def within_body(partial: int = 3) -> SilencePoint:
    """Fall silent after the head and ``partial`` bytes of the body, framing included.

    It suits bodies with a ``Content-Length``.
    """

    def find(written: bytes) -> int | None:
        at = after_head(written)
        is_reached = at is not None and at + partial <= len(written)
        return at + partial if at is not None and is_reached else None

    return find


def before_end(written: bytes) -> int | None:
    """Fall silent before the last chunk or the last byte of the body.

    A body without a length has its silence before the connection is closed.
    """
    head, _, body = written.partition(HEAD_END)
    if body.endswith(LAST_CHUNK):
        return len(written) - len(LAST_CHUNK)
    _, has_length, rest = head.lower().partition(b"content-length:")
    if has_length and 0 < int(rest.partition(b"\r\n")[0]) == len(body):
        return len(written) - 1
    return None
