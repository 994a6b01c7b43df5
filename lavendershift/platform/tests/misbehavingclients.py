"""Groups of clients that misbehave, and what a router process holds meanwhile."""

import re
import selectors
import socket
import time
from pathlib import Path

BODY_BYTES = 4_194_304  # largest permitted body
PIECE_BYTES = 4096
HEAD_BYTES = 16_384  # largest permitted head
# Time without progress of any client after which the group counts as stuck. It only
# ends the sending: the process may leave bytes unread for good.
STUCK_S = 2.5
MAX_GROUP_S = 25.0  # time after which the group stops sending


def make_head(path, *fields, method="POST"):
    lines = (f"{method} {path} HTTP/1.1", "Host: books.example", *fields, "", "")
    return "\r\n".join(lines).encode()


def make_key():
    return "Authorization: Bearer key-1"


def send_whole(path, size=BODY_BYTES):
    """Send a body in one piece, except for its last byte."""
    head = make_head(path, make_key(), f"Content-Length: {size}")
    return [head, b"x" * (size - 1)]


def send_pieces(path, size=BODY_BYTES):
    """Send a body in small pieces, except for its last byte."""
    head, body = send_whole(path, size)
    pieces = [body[at : at + PIECE_BYTES] for at in range(0, len(body), PIECE_BYTES)]
    return [head, *pieces]


def send_chunks(path, size=BODY_BYTES):
    """Send a chunked body, except for its last chunk."""
    head = make_head(path, make_key(), "Transfer-Encoding: chunked")
    chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
    return [head, *[chunk * 16] * (size // 16_384 - 1)]


def send_short_fields(path):
    """Send a head of very many short fields, and not the body."""
    head = make_head(path, make_key(), "Content-Length: 1")[:-2]
    fields = b"".join(b"%x: \r\n" % number for number in range(100_000))
    end = fields.rindex(b"\r\n", 0, HEAD_BYTES - len(head) - 2) + 2
    return [head + fields[:end] + b"\r\n"]


def send_pipelined(path, count=400):
    """Send many requests without a body, and read no response."""
    return [make_head(path, make_key(), "Content-Length: 0") * count]


def send_part_of_head(path):
    return [make_head(path)[:20]]


def ask_without_reading(path):
    """Send a complete request whose response isn't read."""
    return [make_head(path, make_key(), "Content-Length: 0")]


class Clients:
    """Connections that send as much as the process reads, and stay open."""

    def __init__(self, ip, port, messages):
        self._left = {}
        self._endpoints = []
        self._selector = selectors.DefaultSelector()
        for message in messages:
            endpoint = socket.socket()
            endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            endpoint.settimeout(5)
            endpoint.connect((ip, port))
            endpoint.setblocking(False)
            self._endpoints.append(endpoint)
            self._left[endpoint] = [memoryview(part) for part in reversed(message)]
            self._selector.register(endpoint, selectors.EVENT_WRITE)

    def run(self):
        """Send until all is sent, or until the process reads nothing more."""
        end = time.monotonic() + MAX_GROUP_S
        while self._left and time.monotonic() < end:
            ready = self._selector.select(STUCK_S)
            if not ready:
                return
            for key, _ in ready:
                self._send(key.fileobj)

    def _send(self, endpoint):
        parts = self._left[endpoint]
        try:
            part = parts.pop()
            sent = endpoint.send(part)
            if sent < len(part):
                parts.append(part[sent:])
        except BlockingIOError:
            parts.append(part)
        except OSError:  # the process closed the connection
            parts.clear()
        if not parts:
            del self._left[endpoint]
            self._selector.unregister(endpoint)

    def close(self):
        for endpoint in self._endpoints:
            endpoint.close()
        self._selector.close()


def read_peak_bytes(pid):
    """Return the largest resident size that a process has had."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", text)[1]) * 1024


def count_descriptors(pid):
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
