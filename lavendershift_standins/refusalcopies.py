"""Second copies of a server's refusals, on the connection that carried the first.

A copy is sent while no response is under way: on an idle connection, or after the next
request and before its response::

    copies = RefusalCopies(writer, choose_delay=lambda: 0.02)
    copies.add(refusal)
"""

import asyncio
from collections.abc import Callable

ChooseDelay = Callable[[], float | None]
ChangeCopy = Callable[[bytes], bytes]
ID_LINE = b"x-lavendershift-attempt-id:"
END_OF_HEAD = b"\r\n\r\n"


def send_no_copy() -> None:
    """Choose no copy of a refusal."""


def keep_whole(refusal: bytes) -> bytes:
    """Return a copy that equals its refusal."""
    return refusal


def remove_id(refusal: bytes) -> bytes:
    """Return a copy without the id of the refused request."""
    lines = refusal.split(b"\r\n")
    kept = [line for line in lines if not line.lower().startswith(ID_LINE)]
    return b"\r\n".join(kept)


def cut_in_head(refusal: bytes) -> bytes:
    """Return a copy without an id, cut off at the end of its last header."""
    return remove_id(refusal).removesuffix(END_OF_HEAD)


class RefusalCopies:
    """The copies due on one connection.

    ``choose_delay`` is called for each refusal and returns the seconds after which its
    copy is due, infinity for the next request, or ``None`` if there is no copy.
    ``change_copy`` returns the bytes to send of a refusal, and ``on_copy`` is called
    whenever a copy is sent. ``is_broken`` is set once one without an end was sent: the
    next response can't be told from it.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        choose_delay: ChooseDelay = send_no_copy,
        on_copy: Callable[[], None] = lambda: None,
        change_copy: ChangeCopy = keep_whole,
    ) -> None:
        self.is_broken = False
        self._change_copy = change_copy
        self._writer = writer
        self._choose_delay = choose_delay
        self._on_copy = on_copy
        self._is_responding = False
        self._waiting: list[bytes] = []

    def add(self, refusal: bytes) -> None:
        """Note a refusal that was sent."""
        delay_s = self._choose_delay()
        if delay_s is None:
            return
        if delay_s == float("inf"):
            self._waiting.append(refusal)
        else:
            asyncio.get_running_loop().call_later(delay_s, self._send, refusal)

    def begin_request(self) -> None:
        """Send the copies that wait, as a request has been read."""
        self._is_responding = False
        waiting, self._waiting = self._waiting, []
        for refusal in waiting:
            self._send(refusal)

    def begin_response(self) -> None:
        """Keep copies back from now on, as the response has begun."""
        self._is_responding = True

    def end_response(self) -> None:
        """Let copies be sent on the idle connection."""
        self._is_responding = False

    def _send(self, refusal: bytes) -> None:
        if self._is_responding:
            self._waiting.append(refusal)
        elif not self._writer.is_closing():
            copy = self._change_copy(refusal)
            self.is_broken |= not copy.endswith(END_OF_HEAD)
            self._writer.write(copy)
            self._on_copy()
