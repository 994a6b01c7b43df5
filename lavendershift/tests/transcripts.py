"""Transcripts of golden sessions: replies, log records and executions as text.

Ports, incarnations and times are replaced by placeholders, incarnations numbered
in the order of their first appearance, so that the same session always gives the
same text.
"""

import json
import re

from lavendershift.tests.live_standins import LEDGER

SHOWN_HEADERS = ("Content-Type", "Request-Attempt", "Ran", "Retry-After")
INCARNATION = re.compile(r"\b(r\d)\.\d{13}-[0-9a-f]{6}")
CREATED = re.compile(r'"created":\d+')
RUN_FIELDS = ("request_id", "prompt_tokens", "completion_tokens", "state")
CALL_FIELDS = ("request_id", "idempotency_key", "method", "path")


class Transcript:
    """Sends the requests of a session and records them with their replies."""

    def __init__(self, fleet, title):
        self.fleet = fleet
        self.lines = [f"# {title}", ""]
        self.first_offset = len(fleet.read_stream("config"))
        self._names = {}
        self._ports = {port: f"<{name}>" for name, port in fleet.ports.items()}

    def note(self, text):
        """Add a heading."""
        if self.lines[-1]:
            self.lines.append("")
        self.lines += [f"-- {text}", ""]

    def call(self, router, method, path, body=None, key="", headers=None, caller=None):
        caller = caller or self.fleet.caller
        self.show_request(router, method, path, body, key, headers)
        port = self.fleet.ports[router]
        reply = caller.call(port, method, path, body, key, headers)
        return self.show_reply(reply)

    def complete(self, router, prompt, key="", **fields):
        body = {"model": "index-large", "prompt": prompt, "max_tokens": 4, **fields}
        return self.call(router, "POST", "/v1/completions", body, key)

    def approve(self, router, key="", proof="12"):
        path = f"/services/approvals/proofs/{proof}"
        return self.call(router, "POST", path, {"proof": proof}, key)

    def show_request(self, router, method, path, body, key, headers=None):
        self.lines.append(f"> {router} {method} {path}")
        shown = ({"Idempotency-Key": key} if key else {}) | (headers or {})
        self.lines += [f"> {name}: {shorten(value)}" for name, value in shown.items()]
        if body is not None:
            text = json.dumps(body) if isinstance(body, dict) else body.decode()
            self.lines.append(f"> {shorten(text)}")

    def show_reply(self, reply):
        self.lines.append(f"< {reply.status}")
        for name in SHOWN_HEADERS:
            if name in reply.headers:
                self.lines.append(f"< {name}: {reply.headers[name]}")
        body = reply.body.decode().strip()
        self.lines += [f"< {line}" for line in body.splitlines() if line]
        if reply.broken:
            self.lines.append("< (connection closed)")
        self.lines.append("")
        return reply

    def finish(self):
        """Return the text with the records appended and the executions at servers."""
        if self.lines[-1]:
            self.lines.append("")
        self._show_log()
        self._show_servers()
        text = "\n".join(self.lines).rstrip() + "\n"
        text = CREATED.sub('"created":<time>', text)
        text = INCARNATION.sub(self._name_incarnation, text)
        return re.sub(r"127\.0\.0\.1:(\d+)", self._name_port, text)

    def _show_log(self):
        config = self.fleet.read_stream("config")[self.first_offset :]
        for stream, entries in (
            ("config", config),
            (LEDGER, self.fleet.read_stream(LEDGER)),
        ):
            if entries:
                self.lines.append(f"== appended to {stream}")
                self.lines += [json.dumps(record) for _, _, record in entries]
                self.lines.append("")

    def _show_servers(self):
        for name, runs in self.fleet.list_executions().items():
            if runs:
                self._show_rows(name, runs, RUN_FIELDS)
        calls = self.fleet.list_calls()
        if calls:
            self._show_rows("the plain services", calls, CALL_FIELDS)

    def _show_rows(self, name, rows, fields):
        self.lines.append(f"== ran on {name}")
        self.lines += [json.dumps({f: row[f] for f in fields}) for row in rows]
        self.lines.append("")

    def _name_incarnation(self, match):
        if match[0] not in self._names:
            count = sum(
                name.startswith(f"<{match[1]}.") for name in self._names.values()
            )
            self._names[match[0]] = f"<{match[1]}.{count + 1}>"
        return self._names[match[0]]

    def _name_port(self, match):
        return self._ports.get(int(match[1]), "<address>")


def shorten(text):
    return text if len(text) <= 200 else f"{text[:60]}... ({len(text)} characters)"
