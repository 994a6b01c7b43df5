"""Callers that resolve router addresses, cache them and send random requests."""

import http.client
import json
import threading
import time
from typing import NamedTuple

from lavendershift.platform.tests.soak.endings import SERVICES

ADDRESS_TTL_S = 1.0  # time for which resolved addresses are cached
KIND_WEIGHTS = {"index": 5, "record": 3, "read": 2}
# API keys of customers with a small budget, a large one, and one whose key a
# later configuration revokes.
KEY_WEIGHTS = {"key-1": 3, "key-2": 6, "key-3": 1}
OUTPUT_TOKENS = 40


class CallRecord(NamedTuple):
    """A request and its response as the caller saw them; times are monotonic.

    ``status`` is 0 if no response began. ``is_complete`` is true if the whole body
    arrived, ``is_reused`` if the connection had served a request before, and
    ``closed_early`` if the caller closed it on purpose before the response.
    ``input_tokens`` is 0 for plain services. ``whole_at`` is the time at which the
    whole request was sent, if it was.
    """

    id: str
    kind: str
    key: str
    node: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict
    body: bytes
    is_complete: bool
    is_reused: bool
    closed_early: bool
    input_tokens: int
    deadline_s: float
    whole_at: float | None


class Caller(threading.Thread):
    """Sends one request at a time until it is stopped."""

    ttl_s = ADDRESS_TTL_S
    kind_weights = KIND_WEIGHTS
    pause_s = 0.05  # longest pause between two requests
    deadlines_s = dict.fromkeys(SERVICES, 4.0)

    def __init__(self, number, rng, world):
        super().__init__(daemon=True)
        self._number = number
        self._rng = rng
        self._nodes = world.nodes
        self._world = world
        self._sent = 0
        self._addresses = {}
        self._resolved_at = float("-inf")
        self._connections = {}
        self._stopping = threading.Event()
        self.calls = []

    def stop(self):
        self._stopping.set()

    def run(self):
        while not self._stopping.is_set():
            node = self._choose_node()
            if node is not None:
                self.calls.append(self._call(node))
            self._stopping.wait(self._rng.uniform(0.0, self.pause_s))
        for connection in self._connections.values():
            connection.close()

    def _choose_node(self):
        now = time.monotonic()
        if now - self._resolved_at > self.ttl_s:
            self._resolve()
            self._resolved_at = now
        nodes = [n for n in self._nodes if f"{n.ip}:{n.callers}" in self._addresses]
        return self._rng.choice(nodes) if nodes else None

    def _resolve(self):
        for node in self._rng.sample(self._nodes, len(self._nodes)):
            connection = http.client.HTTPConnection(node.ip, node.directory, timeout=1)
            try:
                connection.request("GET", "/resolve?name=books.example&zone=rennes")
                response = connection.getresponse()
                if response.status == 200:
                    self._addresses = set(json.loads(response.read())["addresses"])
                    return
            except (OSError, http.client.HTTPException, ValueError):
                continue
            finally:
                connection.close()

    def _make_body(self):
        """Return the body of a request, or an iterator over its pieces."""
        return b"question"

    def _wait_before_reading(self):
        """Wait until the response is read."""

    def _call(self, node):
        rng = self._rng
        self._sent += 1
        request_id = f"c{self._number}-{self._sent}"
        kind = rng.choices(list(self.kind_weights), self.kind_weights.values())[0]
        key = rng.choices(list(KEY_WEIGHTS), KEY_WEIGHTS.values())[0]
        tokens = rng.randint(50, 900) if SERVICES[kind] == "pool" else 0
        deadline_s = self.deadlines_s[kind]
        headers = {
            "Host": "books.example",
            "X-Lavendershift-Attempt-Id": request_id,
            "X-Lavendershift-Deadline-Ms": str(int(deadline_s * 1000)),
            "Content-Length": "8",
            "x-lavendershift-tenant": "forged",
            "Authorization": f"Bearer {key}",
        }
        if tokens:
            headers["X-Lavendershift-Token-Usage"] = f"{tokens},{OUTPUT_TOKENS}"
            part = self._world.sent_part
            shared = f"ab:20,{part}:20" if part and rng.random() < 0.2 else "ab:40"
            headers["X-Lavendershift-Prompt-Prefix"] = f"{shared},{request_id}:10"
        connection = self._connections.pop(node.name, None)
        is_reused = connection is not None
        if connection is None:
            connection = http.client.HTTPConnection(
                node.ip, node.callers, timeout=deadline_s + 1
            )
        started = time.monotonic()
        status, fields, body, is_complete, whole_at = 0, {}, b"", False, None
        closed_early = rng.random() < 0.04
        try:
            connection.request("POST", f"/{kind}/a", self._make_body(), headers)
            whole_at = time.monotonic()
            if closed_early:
                time.sleep(rng.uniform(0, 0.1))
                raise ConnectionError
            self._wait_before_reading()
            response = connection.getresponse()
            status, fields = response.status, dict(response.headers)
            while part := response.read1():
                body += part
            response.read()  # consumes the end of the body: the connection is reusable
            is_complete = not response.length  # bytes of Content-Length not received
        except (OSError, http.client.HTTPException):
            pass  # recorded as an incomplete response
        if is_complete and fields.get("Connection", "").lower() != "close":
            self._connections[node.name] = connection
        else:
            connection.close()
        return CallRecord(
            request_id,
            kind,
            key,
            node.name,
            started,
            time.monotonic(),
            status,
            fields,
            body,
            is_complete,
            is_reused,
            closed_early,
            tokens,
            deadline_s,
            whole_at,
        )
