"""An HTTP client for tests that records the responses it gets."""

import http.client
import json
import time

from lavendershift_standins.answers import check_answer, hash_prompt

MODEL = "index-large"


class Reply:
    """An HTTP response; ``broken`` if the connection was closed early.

    ``status`` is 0 if there was no response at all.
    """

    def __init__(self, status, headers, body, broken=False):
        self.status, self.headers, self.body = status, headers, body
        self.broken = broken

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def error(self):
        return self.json["error"]

    @property
    def events(self):
        blocks = self.body.decode().split("\n\n")
        return [block.removeprefix("data: ") for block in blocks if block]

    @property
    def is_complete_stream(self):
        return not self.broken and self.events[-1:] == ["[DONE]"]

    @property
    def text(self):
        if self.body.startswith(b"data:"):
            parts = [json.loads(e) for e in self.events if e != "[DONE]"]
        else:
            parts = [self.json]
        choices = [c for part in parts for c in part.get("choices", [])]
        return "".join(choice["text"] for choice in choices)


class Stream:
    """A call whose response is read in steps."""

    def __init__(self, port, method, path, headers, body, timeout=30):
        self.connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
        self.connection.request(method, path, body, headers)
        self.body = b""

    def begin(self):
        self.response = self.connection.getresponse()
        return self

    def read_some(self, size=1):
        """Read until at least ``size`` more bytes have arrived."""
        wanted = len(self.body) + size
        while len(self.body) < wanted:
            chunk = self.response.read1(65536)
            if not chunk:
                break
            self.body += chunk
        return self.body

    def abandon(self):
        """Close the connection without reading the remainder."""
        self.response.close()
        self.connection.close()

    def finish(self):
        broken = False
        try:
            if not hasattr(self, "response"):
                self.begin()
            while chunk := self.response.read1(65536):
                self.body += chunk
        except (http.client.HTTPException, OSError):
            broken = True
        self.connection.close()
        if not hasattr(self, "response"):
            return Reply(0, {}, b"", True)
        return Reply(
            self.response.status, dict(self.response.getheaders()), self.body, broken
        )


class Caller:
    """Call routers with one API key."""

    def __init__(self, api_key):
        self.api_key = api_key

    def open(self, port, method, path, body=None, key="", headers=None, timeout=30):
        fields = {"Authorization": f"Bearer {self.api_key}"}
        if key:
            fields["Idempotency-Key"] = key
        if isinstance(body, dict):
            fields["Content-Type"] = "application/json"
            body = json.dumps(body).encode()
        fields |= headers or {}
        return Stream(port, method, path, fields, body, timeout)

    def call(self, port, method, path, body=None, key="", headers=None, timeout=30):
        try:
            stream = self.open(port, method, path, body, key, headers, timeout)
        except OSError:
            return Reply(0, {}, b"", True)
        return stream.finish()

    def complete(self, port, prompt, key="", max_tokens=16, headers=None, **fields):
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, **fields}
        return self.call(port, "POST", "/v1/completions", body, key, headers)

    def open_stream(self, port, prompt, key="", max_tokens=16):
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        return self.open(port, "POST", "/v1/completions", body, key)


def is_own_whole(reply, prompt):
    check = check_answer(reply.text, hash_prompt(MODEL, prompt))
    return check.own and check.whole


def wait_for(condition, timeout=20, message="condition"):
    """Poll ``condition`` until it is true; return its value."""
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < deadline, f"timed out waiting for {message}"
        time.sleep(0.05)
