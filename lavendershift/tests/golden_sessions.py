"""Golden sessions: each runs a small fleet and records its transcript.

The docstring of a session is the title of its transcript, and the notes in it are
headings, so both are part of the golden file.
"""

import tempfile
from asyncio import run_coroutine_threadsafe
from pathlib import Path
from typing import Any

import openai

from lavendershift.configuration import Configuration
from lavendershift.records import decode_entry
from lavendershift.tests.callers import Caller, wait_for
from lavendershift.tests.live_fleet import Fleet
from lavendershift.tests.live_tree import API_KEY, CUSTOMER
from lavendershift.tests.transcripts import Transcript

GOLDEN_PATH = Path(__file__).with_name("golden")
SPLIT = {"ledger": {"holding_policy": "equal_split"}}
PER_REQUEST = {"ledger": {"holding_policy": "per_request"}}

SESSIONS: dict[str, tuple[Any, dict[str, Any]]] = {}


def register_session(name, **options):
    """Register a session under ``name`` with the ``options`` of its fleet."""

    def register(play):
        SESSIONS[name] = (play, options)
        return play

    return register


def play_session(name):
    """Run the session ``name`` and return its transcript as text."""
    play, options = SESSIONS[name]
    options = {"engines": 1, "sections": SPLIT, "in_process": True, **options}
    with (
        tempfile.TemporaryDirectory() as path,
        Fleet(Path(path), **options) as fleet,
    ):
        transcript = Transcript(fleet, play.__doc__.strip().rstrip("."))
        play(fleet, transcript)
        wait_confirmed(fleet)
        return transcript.finish()


def wait_confirmed(fleet):
    for name in fleet.applications:
        wait_for(
            lambda name=name: (
                not any(
                    ledger["unconfirmed_records"]
                    for ledger in fleet.status(name)["ledgers"]
                )
            ),
            message="records to be confirmed",
        )


def wait_runs_done(fleet, engine):
    wait_for(
        lambda: all(run["state"] == "done" for run in fleet.list_executions()[engine]),
        message=f"the runs of {engine} to end",
    )


def wait_log_reachable(fleet, router, reachable):
    wait_for(
        lambda: fleet.status(router)["ledgers"][0]["log_reachable"] is reachable,
        message=f"log_reachable of {router} to be {reachable}",
    )


@register_session("completions")
def play_completions(fleet, transcript):
    """Completions, plain and streamed, each with its grant and charge."""
    transcript.complete("r1", "Index the bees", "plain")
    transcript.complete("r2", "Index the bees", "streamed", stream=True)
    options = {"include_usage": True}
    transcript.complete(
        "r1", "Index the hives", "usage", stream=True, stream_options=options
    )
    body = {"model": "index-large", "messages": [{"role": "user", "content": "Bees?"}]}
    body["max_completion_tokens"] = 3
    transcript.call("r1", "POST", "/v1/chat/completions", body, "chat")


@register_session("openai_client", routers=1)
def play_openai_client(fleet, transcript):
    """The unmodified openai client."""
    url = f"http://127.0.0.1:{fleet.ports['r1']}/v1"
    client = openai.OpenAI(api_key=API_KEY, base_url=url, max_retries=0)
    transcript.note("client.models.list()")
    transcript.lines += [f"< {model.id}" for model in client.models.list()]
    messages = [{"role": "user", "content": "Index the bees"}]
    transcript.note("client.chat.completions.create(...)")
    answer = client.chat.completions.create(
        model="index-large", messages=messages, max_tokens=4
    )
    transcript.lines += [
        f"< {answer.choices[0].message.content}",
        f"< {answer.usage.prompt_tokens} and {answer.usage.completion_tokens} tokens",
    ]
    transcript.note("client.chat.completions.create(stream=True, ...)")
    with client.chat.completions.create(
        model="index-large",
        messages=messages,
        max_tokens=4,
        stream=True,
        stream_options={"include_usage": True},
    ) as stream:
        for chunk in stream:
            text = chunk.choices[0].delta.content if chunk.choices else None
            usage = chunk.usage and chunk.usage.total_tokens
            transcript.lines.append(f"< text {text!r}, usage {usage}")
    for fields in ({"model": "missing"}, {"model": "index-large", "max_tokens": 10**6}):
        transcript.note(f"client.completions.create({fields}, prompt of 200,000 bytes)")
        try:
            client.completions.create(prompt="x" * 200_000, **fields)
        except openai.APIStatusError as error:
            kind = type(error).__name__
            transcript.lines.append(f"< {kind} {error.status_code} {error.code}")


@register_session("budget", routers=1, top_ups={"plume": 60}, sections=PER_REQUEST)
def play_budget(fleet, transcript):
    """A budget runs out, is topped up and serves again."""
    for count, key in enumerate(("first", "second"), 1):
        transcript.complete("r1", "Index the bees", key)
        wait_for(lambda count=count: len(fleet.list_records("return")) == count)
    transcript.complete("r1", "Index the bees", "third", max_tokens=64)
    transcript.note("a top-up of 1,000 tokens, published twice")
    for _ in range(2):
        fleet.top_up("second", "plume", 1_000)
    wait_for(lambda: fleet.status("r1")["config_offset"] == 4, message="the top-up")
    transcript.complete("r1", "Index the bees", "third", max_tokens=64)
    wait_for(lambda: len(fleet.list_records("return")) == 3)
    transcript.complete("r1", "Index the bees", "fourth", max_tokens=1_000)
    wait_for(lambda: len(fleet.list_records("return")) == 4)


@register_session("non_repeatable_calls")
def play_non_repeatable_calls(fleet, transcript):
    """Proof approvals run once; a repeated key gets the recorded answer."""
    transcript.approve("r1")
    transcript.approve("r1", "approval-1")
    transcript.approve("r1", "approval-1")
    transcript.approve("r2", "approval-1")
    transcript.note("the same key for another proof")
    transcript.approve("r2", "approval-1", proof="13")
    transcript.note("the service refuses, then accepts")
    fleet.add_fault("service", "refuse", when={"path": "/proofs", "times": 1})
    transcript.approve("r1", "approval-2")
    transcript.approve("r1", "approval-2")
    transcript.note("the service runs the call and breaks the connection")
    fleet.add_fault("service", "lose_reply", when={"path": "/proofs", "times": 1})
    transcript.approve("r1", "approval-3")


@register_session("lookup_retried", routers=1)
def play_lookup_retried(fleet, transcript):
    """A catalogue lookup is retried when a server fails."""
    second = {
        "kind": "service",
        "address": f"127.0.0.1:{fleet.service.port}",
        "failure_domain": "rennes",
        "service": "catalogue",
        "capacity": 16,
    }
    settings = [["servers/catalogue-2", key, value] for key, value in second.items()]
    fleet.append("config", ["change", "second", 2, "test", settings])
    wait_for(lambda: "catalogue-2" in fleet.status("r1")["servers"])
    fleet.add_fault("service", "fail_after", when={"path": "/titles", "times": 1})
    transcript.call("r1", "GET", "/services/catalogue/titles/7?full=1")
    transcript.note("both servers fail")
    fleet.add_fault("service", "fail_after", when={"path": "/titles"})
    transcript.call("r1", "GET", "/services/catalogue/titles/8")


@register_session("broken_streams", routers=1)
def play_broken_streams(fleet, transcript):
    """A broken stream is resumed, or ends with an error and no end mark."""
    fleet.add_fault("engine-1", "truncate", length=2, when={"times": 1})
    transcript.complete("r1", "Index the bees", "resumed", stream=True)
    transcript.note("the engine cannot be reached again")
    fleet.add_fault("engine-1", "truncate", length=2, when={"times": 1})
    fleet.add_fault("engine-1", "close", when={"path": "/control/"})
    transcript.complete("r1", "Index the hives", "broken", stream=True)
    # A cancellation that arrives before the last token would change the charge.
    wait_runs_done(fleet, "engine-1")
    transcript.note("the engine answers again and tells what was used")
    fleet.end_faults("engine-1")
    wait_for(lambda: len(fleet.list_records("charge")) == 2, message="the charge")


@register_session("engine_refuses", routers=1, engines=2)
def play_engine_refuses(fleet, transcript):
    """An engine refuses with Not-Run and the retry goes elsewhere."""
    first, second = fleet.engines.values()
    # The fault applies to the first attempt, at either engine.
    second.faults = first.faults
    fleet.add_fault("engine-1", "refuse", status=429, when={"path": "/v1/", "times": 1})
    transcript.complete("r1", "Index the bees", "retried")
    transcript.note("both refuse")
    fleet.add_fault("engine-1", "refuse", status=429, when={"path": "/v1/"})
    transcript.complete("r1", "Index the bees", "refused")


@register_session("refusals", routers=1)
def play_refusals(fleet, transcript):
    """Requests that are malformed, unknown, unauthorised or too large."""
    path = "/v1/completions"
    transcript.complete("r1", "x", model="missing")
    transcript.call("r1", "POST", path, {}, caller=Caller("wrong"))
    transcript.call("r1", "GET", "/v1/models", caller=Caller(""))
    transcript.call("r1", "POST", path, b"{")
    transcript.call("r1", "POST", path, {"model": "index-large", "prompt": 7})
    transcript.complete("r1", "x", max_tokens=0)
    transcript.complete("r1", "x", "a key")
    body = {"model": "index-large", "prompt": "x"}
    transcript.call("r1", "POST", path, body, headers={"Deadline-Ms": "soon"})
    transcript.call("r1", "POST", path, body, headers={"Priority": "first"})
    transcript.call("r1", "GET", "/services/missing/x")
    transcript.call("r1", "POST", "/services/approvals/x/../proofs/1", b"{}", "k")
    transcript.call("r1", "GET", "/elsewhere")
    transcript.call("r1", "PUT", path, body)
    transcript.note("a body of 20 MB is announced")
    headers = {"Content-Length": "20000000"}
    transcript.call("r1", "POST", path, headers=headers)


@register_session("log_outage", routers=1)
def play_log_outage(fleet, transcript):
    """What is served and refused while the log is away."""
    transcript.complete("r1", "Index the bees", "before")
    transcript.note("the log service answers 503")
    fleet.add_fault("log", "outage")
    transcript.complete("r1", "Index the hives", "during")
    wait_log_reachable(fleet, "r1", False)
    transcript.approve("r1", "approval")
    transcript.call("r1", "GET", "/services/catalogue/titles/7")
    transcript.complete("r1", "x" * 200_000, "too-much")
    transcript.note("the log service is back")
    fleet.end_faults("log")
    wait_log_reachable(fleet, "r1", True)
    transcript.approve("r1", "approval")


@register_session("graceful_shutdown", engine_options={"step_ms": 250.0})
def play_graceful_shutdown(fleet, transcript):
    """A router that stops finishes its stream and hands its tokens back."""
    body = {"model": "index-large", "prompt": "Bees", "max_tokens": 14, "stream": True}
    transcript.show_request("r1", "POST", "/v1/completions", body, "long")
    stream = fleet.open_stream("r1", "Bees", "long", 14).begin()
    stream.read_some()
    draining = run_coroutine_threadsafe(
        fleet.applications["r1"].drain(), fleet.thread.loop
    )
    wait_for(lambda: not fleet.is_ready("r1"), message="the router to stop")
    transcript.show_reply(stream.finish())
    transcript.note("while it stops")
    transcript.complete("r1", "Index the bees", "late")
    draining.result(30)
    fleet.stop_router("r1")
    transcript.note("another router spends what was handed back")
    transcript.complete("r2", "Index the bees", "late", max_tokens=2)


@register_session("racing_operators", routers=1)
def play_racing_operators(fleet, transcript):
    """Of two changes to the same key made against one state, the first wins."""
    for name, tokens in (("left", 2), ("right", 3)):
        setting = [CUSTOMER, "max_output_tokens", tokens]
        fleet.append("config", ["change", name, 2, name, [setting]])
    other = [CUSTOMER, "max_output_tokens", "many"]
    fleet.append("config", ["change", "invalid", 4, "left", [other]])
    wait_for(lambda: fleet.status("r1")["config_offset"] == 5, message="the changes")
    transcript.note("both are published, then an invalid one; the verdicts:")
    configuration = Configuration()
    for entry in fleet.read_stream("config"):
        configuration.apply(decode_entry("config", *entry))
    for verdict in configuration.verdicts()[2:]:
        text = f"{verdict.id}: {verdict.status.value} {verdict.reason}".rstrip()
        transcript.lines.append(text)
    transcript.lines.append("")
    transcript.complete("r1", "Index the bees", "after", max_tokens=9)


@register_session("leaving_server", routers=1, engines=2)
def play_leaving_server(fleet, transcript):
    """An engine that the list calls leaving gets no new work."""
    fleet.publish_members(engine_1="leaving")
    wait_for(lambda: not fleet.status("r1")["servers"]["engine-1"])
    for i in range(4):
        transcript.complete("r1", f"Index the bees {i}", f"key-{i}")
    transcript.note("it is live again and the other one leaves")
    fleet.publish_members(engine_2="leaving")
    wait_for(lambda: fleet.status("r1")["servers"]["engine-1"])
    wait_for(lambda: not fleet.status("r1")["servers"]["engine-2"])
    transcript.complete("r1", "Index the bees", "back")
