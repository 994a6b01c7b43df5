import asyncio
from datetime import timedelta

import msgspec
import pytest

from lavendershift.clocks import ManualClock
from lavendershift_standins.answers import check_answer, hash_prompt
from lavendershift_standins.batch import Caller
from lavendershift_standins.prompts import read_prompt
from lavendershift_standins.tests.conftest import wait_until

LONG = {"min_output_tokens": 10_000, "max_output_tokens": 10_000}
USAGE = {"stream_options": {"include_usage": True}}


def is_complete(text, prompt="Loire"):
    check = check_answer(text, hash_prompt("index-large", prompt))
    return check.own and check.whole


@pytest.mark.parametrize("tokens_per_event", [1, 3])
def test_stream_ends_with_usage(run, tokens_per_event):
    async def scenario(standins):
        engine = await standins.engine(tokens_per_event=tokens_per_event)
        reply = await standins.complete(engine, **USAGE)
        assert reply.status == 200
        assert is_complete(reply.text)
        assert reply.events[-1] == b"[DONE]"
        last = msgspec.json.decode(reply.events[-2])
        assert last["choices"] == []
        usage = {"prompt_tokens": 2, "completion_tokens": 8, "total_tokens": 10}
        assert last["usage"] == usage
        assert len(reply.events) == -(-8 // tokens_per_event) + 2

    run(scenario)


def test_unstreamed_completion_respects_max_tokens(run):
    async def scenario(standins):
        engine = await standins.engine()
        reply = await standins.complete(engine, stream=False, max_tokens=3)
        choice = reply.json["choices"][0]
        assert is_complete(choice["text"])
        assert choice["finish_reason"] == "length"
        assert reply.json["usage"]["completion_tokens"] == 3
        assert (await standins.complete(engine, chat=True)).text.endswith(":7$")

    run(scenario)


@pytest.mark.parametrize(
    ("fields", "headers", "status"),
    [
        ({"model": "none"}, {}, 404),
        ({"model": 3}, {}, 400),
        ({"prompt": ["a", "b"]}, {}, 400),
        ({"max_tokens": 0}, {}, 400),
        ({"n": 2}, {}, 400),
        ({}, {"Priority": "high"}, 400),
        ({}, {"Fencing-Token": "-1"}, 400),
    ],
)
def test_rejected_request_is_not_run(run, fields, headers, status):
    async def scenario(standins):
        engine = await standins.engine()
        reply = await standins.complete(engine, headers=headers, **fields)
        assert (reply.status, reply.headers["Not-Run"]) == (status, "true")
        assert await standins.executions(engine) == []

    run(scenario)


def test_full_queue_rejects_requests(run):
    async def scenario(standins):
        engine = await standins.engine(capacity=1, queue=1, **LONG)
        pending = []
        for n in (1, 2):
            pending.append(asyncio.ensure_future(standins.complete(engine)))
            await wait_until(lambda n=n: len(engine.runs) == n)
            await wait_until(lambda: engine.batch.running)
        reply = await standins.complete(engine)
        assert (reply.status, reply.headers["Not-Run"]) == (429, "true")
        await engine.stop()
        assert all(reply.is_broken for reply in await asyncio.gather(*pending))

    run(scenario)


def test_cancel_ends_the_stream_with_its_usage(run):
    async def scenario(standins):
        engine = await standins.engine(**LONG)
        headers = {"Request-Id": "r1.1/2"}
        stream = asyncio.ensure_future(standins.complete(engine, headers, **USAGE))
        await wait_until(lambda: engine.runs and engine.runs["r1.1/2"].produced)
        found = await standins.call(engine, "/control/requests/r1.1%2F2")
        assert found.json["state"] == "running"
        reply = await standins.call(engine, "/control/cancel/r1.1%2F2", b"")
        events = (await stream).events
        usage = msgspec.json.decode(events[-2])["usage"]
        assert reply.json == {"state": "cancelled", "usage": usage}
        found = await standins.call(engine, "/control/requests/r1.1%2F2")
        assert found.json == reply.json
        assert (await standins.call(engine, "/control/cancel/other", b"")).status == 404
        assert (await standins.call(engine, "/control/requests/other")).status == 404

    run(scenario)


def test_request_cancelled_in_the_queue_uses_no_tokens(run):
    async def scenario(standins):
        engine = await standins.engine(capacity=1, **LONG)
        first = asyncio.ensure_future(standins.complete(engine))
        await wait_until(lambda: engine.batch.running)
        headers = {"Request-Id": "a2"}
        second = asyncio.ensure_future(standins.complete(engine, headers, **USAGE))
        await wait_until(lambda: "a2" in engine.runs)
        reply = await standins.call(engine, "/control/cancel/a2", b"")
        assert reply.json["usage"]["total_tokens"] == 0
        assert (await second).events[-1] == b"[DONE]"
        await engine.stop()
        assert (await first).is_broken

    run(scenario)


def test_truncated_stream_keeps_running_and_resumes(run):
    async def scenario(standins):
        engine = await standins.engine()
        await standins.add_fault(engine, "truncate", length=3, when={"times": 1})
        truncated = await standins.complete(engine, {"Request-Id": "a1"})
        assert truncated.is_broken
        assert len(truncated.events) == 3
        remainder = await standins.call(engine, "/control/requests/a1/stream?from=3")
        assert is_complete(truncated.text + remainder.text)
        assert remainder.events[-1] == b"[DONE]"
        repeated = await standins.complete(engine, {"Request-Id": "a1"})
        assert repeated.status == 409
        assert "Not-Run" not in repeated.headers
        executions = await standins.executions(engine)
        assert [(e["request_id"], e["state"]) for e in executions] == [("a1", "done")]
        assert executions[0]["prompt_hash"] == hash_prompt("index-large", "Loire")

    run(scenario)


@pytest.mark.parametrize("length", [0, 3])
def test_silent_stream_goes_on_where_it_was(run, length):
    async def scenario(standins):
        engine = await standins.engine()
        fields = {"length": length, "silence_ms": 300, "when": {"times": 1}}
        await standins.add_fault(engine, "silence", **fields)
        started = asyncio.get_running_loop().time()
        reply = await standins.complete(engine)
        assert asyncio.get_running_loop().time() - started >= 0.3
        assert not reply.is_broken
        assert is_complete(reply.text)
        assert reply.events.count(b"[DONE]") == 1

    run(scenario)


@pytest.mark.parametrize("cancels", [True, False])
def test_disconnect_cancels_if_configured(run, cancels):
    async def scenario(standins):
        engine = await standins.engine(cancel_on_disconnect=cancels)
        await standins.add_fault(engine, "truncate", length=1, when={"times": 1})
        assert (await standins.complete(engine)).is_broken
        await wait_until(lambda: engine.batch.is_idle)
        state = (await standins.executions(engine))[0]["state"]
        assert state == ("cancelled" if cancels else "done")

    run(scenario)


def test_load_report_is_visible_after_its_lag(run):
    async def scenario(standins):
        clock = ManualClock()
        engine = await standins.engine(clock, load_lag_ms=500, **LONG)
        stream = asyncio.ensure_future(standins.complete(engine))
        await wait_until(lambda: engine.batch.running)
        assert (await standins.call(engine, "/control/load")).json["running"] == 0
        clock.advance(timedelta(seconds=1))
        load = (await standins.call(engine, "/control/load")).json
        assert (load["running"], load["waiting"], load["capacity"]) == (1, 0, 32)
        assert (load["models"], load["role"]) == (["index-large"], "mixed")
        await engine.stop()
        await stream

    run(scenario)


def test_cache_events_are_late_and_have_gaps(run):
    async def scenario(standins):
        clock = ManualClock()
        changes = {"cache_blocks": 4, "cache_event_lag_ms": 1000}
        engine = await standins.engine(clock, cache_event_gaps=0.3, **changes)
        for letter in "abcdef":
            await standins.complete(engine, prompt=letter * 3000)
        path = "/control/cache-events?after=0"
        early = (await standins.call(engine, path)).json
        assert early == {"events": [], "last_seq": 0}
        clock.advance(timedelta(seconds=1))
        body = (await standins.call(engine, path)).json
        assert body["last_seq"] == 12 + 8
        seqs = [event["seq"] for event in body["events"]]
        assert seqs == sorted(set(seqs))
        assert 0 < len(seqs) < 20
        assert {event["kind"] for event in body["events"]} == {"stored", "evicted"}
        newer = (
            await standins.call(engine, f"/control/cache-events?after={seqs[2]}")
        ).json
        assert newer["events"] == body["events"][3:]

    run(scenario)


def test_cached_prefix_saves_prefill(run):
    async def scenario(standins):
        engine = await standins.engine(cache_blocks=8)
        caller = Caller("a1", "", "", 0)
        runs = []
        for text in ("a" * 4096, "a" * 4096 + "b" * 40, "c" * 8192, "a" * 4096):
            body = {"model": "index-large", "prompt": text}
            runs.append(engine.submit(read_prompt(body, False), caller))
            await wait_until(lambda: engine.batch.is_idle)
        assert [run.cached_tokens for run in runs] == [0, 1024, 0, 0]
        assert engine.cache.used_share == 1

    run(scenario)


def test_raised_fence_rejects_older_tokens(run):
    async def scenario(standins):
        engine = await standins.engine(fencing_honoured=True)
        headers = {"Fencing-Holder": "r1.7", "Fencing-Token": "1", "Request-Id": "a1"}
        assert (await standins.complete(engine, headers)).status == 200
        fence = {"holder": "r1.7", "token": 2}
        reply = await standins.call(engine, "/control/fence", fence)
        assert reply.json == {**fence, "usage": {"a1": 10}, "running": []}
        stale = await standins.complete(engine, {**headers, "Request-Id": "a2"})
        assert (stale.status, stale.headers["Not-Run"]) == (409, "true")
        other = {"Fencing-Holder": "r2.1", "Fencing-Token": "1"}
        assert (await standins.complete(engine, other)).status == 200
        lower = {"holder": "r1.7", "token": 1}
        assert (await standins.call(engine, "/control/fence", lower)).json["token"] == 2
        wrong = await standins.call(engine, "/control/fence", {"holder": "r1.7"})
        assert wrong.status == 400

    run(scenario)


def test_unenforced_fence_rejects_nothing(run):
    async def scenario(standins):
        engine = await standins.engine()
        fence = {"holder": "r1.7", "token": 2}
        assert (await standins.call(engine, "/control/fence", fence)).status == 501
        headers = {"Fencing-Holder": "r1.7", "Fencing-Token": "1"}
        assert (await standins.complete(engine, headers)).status == 200

    run(scenario)


@pytest.mark.parametrize("honoured", [True, False])
def test_orders_load_weights_and_set_the_role(run, honoured):
    async def scenario(standins):
        engine = await standins.engine(fencing_honoured=honoured)

        async def order(kind, name, token):
            body = {"order": kind, "name": name, "fencing_token": token}
            return (await standins.call(engine, "/control/orders", body)).status

        assert await order("load_model", "draft", 5) == 202
        assert await order("load_adapter", "brest", 5) == 202
        assert (await standins.complete(engine, model="draft")).status == 404
        await wait_until(lambda: engine.has_model("draft"))
        await wait_until(lambda: engine.has_model("brest"))
        assert (await standins.complete(engine, model="brest")).status == 200
        assert await order("set_role", "prefill", 4) == (409 if honoured else 202)
        load = (await standins.call(engine, "/control/load")).json
        assert load["role"] == ("mixed" if honoured else "prefill")
        assert load["adapters"] == ["brest"]
        assert await order("explode", "x", 9) == 400

    run(scenario)
