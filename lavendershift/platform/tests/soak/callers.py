"""Callers that ask which address to use, keep the answer and connect."""

import http.client
import json
import threading
import time
from typing import NamedTuple

DEADLINE_S = 4.0
RESOLVE_S = 1.0  # for which an answer is kept
KINDS = {"index": 5, "record": 3, "read": 2}  # weights
KEYS = {"key-1": 3, "key-2": 6, "key-3": 1}  # small, large, withdrawn later
OUTPUT_TOKENS = 40


class Seen(NamedTuple):
    """One request as its caller saw it; times are monotonic.

    ``status`` is 0 where no answer began, ``has_left`` where the caller closed
    early, and ``input_tokens`` 0 for plain services.
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
    is_whole: bool
    is_reused: bool
    has_left: bool
    input_tokens: int


class Caller(threading.Thread):
    """Sends one request after the other until told to stop."""

    def __init__(self, number, rng, nodes):
        super().__init__(daemon=True)
        self._number = number
        self._rng = rng
        self._nodes = nodes
        self._sent = 0
        self._addresses = {}
        self._resolved_at = -RESOLVE_S
        self._connections = {}
        self._stopping = threading.Event()
        self.seen = []

    def stop(self):
        self._stopping.set()

    def run(self):
        while not self._stopping.is_set():
            node = self._choose_node()
            if node is not None:
                self.seen.append(self._call(node))
            self._stopping.wait(self._rng.uniform(0.0, 0.05))
        for connection in self._connections.values():
            connection.close()

    def _choose_node(self):
        now = time.monotonic()
        if now - self._resolved_at > RESOLVE_S:
            self._resolve()
            self._resolved_at = now
        nodes = [n for n in self._nodes if f"{n.ip}:{n.callers}" in self._addresses]
        return self._rng.choice(nodes) if nodes else None

    def _resolve(self):
        for node in self._rng.sample(self._nodes, len(self._nodes)):
            connection = http.client.HTTPConnection(node.ip, node.directory, timeout=1)
            try:
                connection.request("GET", "/resolve?name=books.example&zone=rennes")
                answer = connection.getresponse()
                if answer.status == 200:
                    self._addresses = set(json.loads(answer.read())["addresses"])
                    return
            except (OSError, http.client.HTTPException, ValueError):
                continue
            finally:
                connection.close()

    def _call(self, node):
        rng = self._rng
        self._sent += 1
        request_id = f"c{self._number}-{self._sent}"
        kind = rng.choices(list(KINDS), KINDS.values())[0]
        key = rng.choices(list(KEYS), KEYS.values())[0]
        tokens = rng.randint(50, 900) if kind == "index" else 0
        headers = {
            "Host": "books.example",
            "X-Lavendershift-Attempt-Id": request_id,
            "X-Lavendershift-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "x-lavendershift-tenant": "forged",
            "Authorization": f"Bearer {key}",
        }
        if tokens:
            headers["X-Lavendershift-Token-Usage"] = f"{tokens},{OUTPUT_TOKENS}"
            headers["X-Lavendershift-Prompt-Prefix"] = f"ab:40,{request_id}:10"
        connection = self._connections.pop(node.name, None)
        is_reused = connection is not None
        if connection is None:
            connection = http.client.HTTPConnection(
                node.ip, node.callers, timeout=DEADLINE_S + 1
            )
        started = time.monotonic()
        status, fields, body, is_whole = 0, {}, b"", False
        has_left = rng.random() < 0.04
        try:
            connection.request("POST", f"/{kind}/a", b"question", headers)
            if has_left:
                time.sleep(rng.uniform(0, 0.1))
                raise ConnectionError
            answer = connection.getresponse()
            status, fields = answer.status, dict(answer.headers)
            while part := answer.read1():
                body += part
            answer.read()  # lets the connection be used again
            is_whole = not answer.length  # what a body of given length lacks
        except (OSError, http.client.HTTPException):
            pass  # what the request's record shows as an answer that ended early
        if is_whole and fields.get("Connection", "").lower() != "close":
            self._connections[node.name] = connection
        else:
            connection.close()
        return Seen(
            request_id,
            kind,
            key,
            node.name,
            started,
            time.monotonic(),
            status,
            fields,
            body,
            is_whole,
            is_reused,
            has_left,
            tokens,
        )
