"""Records of callers, backend servers and the log as input of the checker."""

import json
import time

from lavendershift.configuration import Configuration
from lavendershift.ledger import Ledger
from lavendershift.records import decode_entry
from lavendershift.tests import checker
from lavendershift.tests.callers import MODEL
from lavendershift.tests.live_standins import LEDGER
from lavendershift.tests.live_tree import CUSTOMER
from lavendershift_standins.answers import hash_prompt, make_token

PRICE_TOKENS = 10


class Observer:
    """Calls a fleet's routers and records every reply.

    Each key has one prompt, and each router gets one call per key, so that the
    servers' execution logs identify the call of each execution.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.requests = {}  # by prompt hash
        self.replies = []

    def open_stream(self, vm, key, max_tokens=16):
        self._record_prompt(key)
        return self.fleet.open_stream(vm, make_prompt(key), key, max_tokens)

    def complete(self, vm, key, **fields):
        self._record_prompt(key)
        reply = self.fleet.complete(vm, make_prompt(key), key, **fields)
        return self.record_reply(vm, key, reply)

    def approve(self, vm, key, **fields):
        reply = self.fleet.approve(vm, key, **fields)
        return self.record_reply(vm, key, reply, is_call=True)

    def record_reply(self, vm, key, reply, is_call=False):
        kind, body, whole = describe_reply(reply, is_call)
        self.replies.append(
            checker.Reply(
                int(time.time() * 1000),
                f"{scope_key(key)}@{vm}",
                scope_key(key),
                kind,
                body,
                whole,
            )
        )
        return reply

    def _record_prompt(self, key):
        self.requests[hash_prompt(MODEL, make_prompt(key))] = scope_key(key)

    def find_violations(self, drained=True):
        """Return the violations that the checker finds.

        ``drained`` is false if charges may still be missing in the log.
        """
        log = self.fleet.read_stream(LEDGER)
        ledger = replay_ledger(self.fleet)
        bills = {
            request: state.billed
            for request, state in ledger.requests.states.items()
            if state.billed is not None
        }
        overdrawn = {
            name: ledger.find_budget(name).overdrawn for name in ledger.list_budgets()
        }
        return checker.check_run(
            checker.Run(
                list_deposits(self.fleet),
                self.list_executions(),
                self.replies,
                [entry for entry in log if isinstance(entry[2], list)],
                bills,
                overdrawn,
                drained,
            )
        )

    def list_executions(self):
        return [
            *(
                self._describe_execution(run)
                for runs in self.fleet.list_executions().values()
                for run in runs
                if run["state"] != "waiting"
            ),
            *(describe_call(call) for call in self.fleet.list_calls()),
        ]

    def _describe_execution(self, run):
        request = self.requests[run["prompt_hash"]]
        count = run["completion_tokens"]
        tokens = [
            make_token(run["prompt_hash"], i, i == count - 1) for i in range(count)
        ]
        return checker.Execution(
            run["started_ms"],
            f"{request}@{find_vm(run['request_id'])}",
            request,
            run["request_id"],
            "plume",
            run["prompt_tokens"] + count,
            True,
            "".join(tokens),
        )

    def sum_consumed(self):
        return sum(execution.tokens for execution in self.list_executions())


def make_prompt(key):
    return f"Index the manuscript {key}"


def scope_key(key):
    return f"{CUSTOMER}/{key}"


def find_vm(attempt):
    return attempt.partition(".")[0]


def describe_reply(reply, is_call):
    """Return the kind, body and completeness of a reply for the checker."""
    if reply.status == 200 and is_call:
        return "answer", reply.body.decode(), not reply.broken
    if reply.status == 200:
        is_stream = reply.body.startswith(b"data:")
        whole = reply.is_complete_stream if is_stream else not reply.broken
        return "answer", reply.text if whole else "", whole
    if reply.status and reply.headers.get("Ran") == "no":
        return "refused", "", True
    return "unknown", "", False


def describe_call(call):
    request = call["idempotency_key"]
    fields = ("method", "path", "body_hash", "idempotency_key")
    body = {name: call[name] for name in fields}
    return checker.Execution(
        call["time_ms"],
        f"{request}@{find_vm(call['request_id'])}",
        request,
        call["request_id"],
        "plume",
        PRICE_TOKENS,
        False,
        json.dumps(body, separators=(",", ":")),
    )


def list_deposits(fleet):
    return [
        checker.Deposit(time_ms, record[2], record[3])
        for _, time_ms, record in fleet.read_stream("config")
        if isinstance(record, list) and record[0] == "top_up"
    ]


def replay_ledger(fleet):
    """Return the ledger as the code under test computes it from the log."""
    configuration = Configuration()
    for entry in fleet.read_stream("config"):
        configuration.apply(decode_entry("config", *entry))
    ledger = Ledger(LEDGER, configuration.prepaid)
    for entry in fleet.read_stream(LEDGER):
        ledger.apply(decode_entry(LEDGER, *entry))
    return ledger
