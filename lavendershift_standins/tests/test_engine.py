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


def is_whole(text, prompt="Loire"):
    check = check_answer(text, hash_prompt("index-large", prompt))
    return check.own and check.whole


@pytest.mark.parametrize("tokens_per_event", [1, 3])
def test_stream_ends_with_usage(run, tokens_per_event):
    async def scenario(bench):
        engine = await bench.engine(tokens_per_event=tokens_per_event)
        reply = await bench.complete(engine, **USAGE)
        assert reply.status == 200
        assert is_whole(reply.text)
        assert reply.events[-1] == b"[DONE]"
        last = msgspec.json.decode(reply.events[-2])
        assert last["choices"] == []
        usage = {"prompt_tokens": 2, "completion_tokens": 8, "total_tokens": 10}
        assert last["usage"] == usage
        assert len(reply.events) == -(-8 // tokens_per_event) + 2

    run(scenario)


def test_whole_answer_and_limit(run):
    async def scenario(bench):
        engine = await bench.engine()
        reply = await bench.complete(engine, stream=False, max_tokens=3)
        choice = reply.json["choices"][0]
        assert is_whole(choice["text"])
        assert choice["finish_reason"] == "length"
        assert reply.json["usage"]["completion_tokens"] == 3
        assert (await bench.complete(engine, chat=True)).text.endswith(":7$")

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
def test_refusal_runs_nothing(run, fields, headers, status):
    async def scenario(bench):
        engine = await bench.engine()
        reply = await bench.complete(engine, headers=headers, **fields)
        assert (reply.status, reply.headers["Not-Run"]) == (status, "true")
        assert await bench.executions(engine) == []

    run(scenario)


def test_full_queue_refuses(run):
    async def scenario(bench):
        engine = await bench.engine(capacity=1, queue=1, **LONG)
        pending = []
        for n in (1, 2):
            pending.append(asyncio.ensure_future(bench.complete(engine)))
            await wait_until(lambda n=n: len(engine.runs) == n)
            await wait_until(lambda: engine.batch.running)
        reply = await bench.complete(engine)
        assert (reply.status, reply.headers["Not-Run"]) == (429, "true")
        await engine.stop()
        assert all(reply.broken for reply in await asyncio.gather(*pending))

    run(scenario)


def test_cancel_ends_the_stream_with_its_usage(run):
    async def scenario(bench):
        engine = await bench.engine(**LONG)
        headers = {"Request-Id": "r1.1/2"}
        stream = asyncio.ensure_future(bench.complete(engine, headers, **USAGE))
        await wait_until(lambda: engine.runs and engine.runs["r1.1/2"].produced)
        seen = await bench.call(engine, "/control/requests/r1.1%2F2")
        assert seen.json["state"] == "running"
        reply = await bench.call(engine, "/control/cancel/r1.1%2F2", b"")
        events = (await stream).events
        usage = msgspec.json.decode(events[-2])["usage"]
        assert reply.json == {"state": "cancelled", "usage": usage}
        seen = await bench.call(engine, "/control/requests/r1.1%2F2")
        assert seen.json == reply.json
        assert (await bench.call(engine, "/control/cancel/other", b"")).status == 404
        assert (await bench.call(engine, "/control/requests/other")).status == 404

    run(scenario)


def test_cancelled_while_waiting_uses_nothing(run):
    async def scenario(bench):
        engine = await bench.engine(capacity=1, **LONG)
        first = asyncio.ensure_future(bench.complete(engine))
        await wait_until(lambda: engine.batch.running)
        headers = {"Request-Id": "a2"}
        second = asyncio.ensure_future(bench.complete(engine, headers, **USAGE))
        await wait_until(lambda: "a2" in engine.runs)
        reply = await bench.call(engine, "/control/cancel/a2", b"")
        assert reply.json["usage"]["total_tokens"] == 0
        assert (await second).events[-1] == b"[DONE]"
        await engine.stop()
        assert (await first).broken

    run(scenario)


def test_broken_stream_goes_on_and_resumes(run):
    async def scenario(bench):
        engine = await bench.engine()
        await bench.fault(engine, "truncate", length=3, when={"times": 1})
        cut = await bench.complete(engine, {"Request-Id": "a1"})
        assert cut.broken
        assert len(cut.events) == 3
        rest = await bench.call(engine, "/control/requests/a1/stream?from=3")
        assert is_whole(cut.text + rest.text)
        assert rest.events[-1] == b"[DONE]"
        again = await bench.complete(engine, {"Request-Id": "a1"})
        assert again.status == 409
        assert "Not-Run" not in again.headers
        executions = await bench.executions(engine)
        assert [(e["request_id"], e["state"]) for e in executions] == [("a1", "done")]
        assert executions[0]["prompt_hash"] == hash_prompt("index-large", "Loire")

    run(scenario)


@pytest.mark.parametrize("cancels", [True, False])
def test_disconnect(run, cancels):
    async def scenario(bench):
        engine = await bench.engine(cancel_on_disconnect=cancels)
        await bench.fault(engine, "truncate", length=1, when={"times": 1})
        assert (await bench.complete(engine)).broken
        await wait_until(lambda: engine.batch.is_idle)
        state = (await bench.executions(engine))[0]["state"]
        assert state == ("cancelled" if cancels else "done")

    run(scenario)


def test_load_report_lags(run):
    async def scenario(bench):
        clock = ManualClock()
        engine = await bench.engine(clock, load_lag_ms=500, **LONG)
        stream = asyncio.ensure_future(bench.complete(engine))
        await wait_until(lambda: engine.batch.running)
        assert (await bench.call(engine, "/control/load")).json["running"] == 0
        clock.advance(timedelta(seconds=1))
        load = (await bench.call(engine, "/control/load")).json
        assert (load["running"], load["waiting"], load["capacity"]) == (1, 0, 32)
        assert (load["models"], load["role"]) == (["index-large"], "mixed")
        await engine.stop()
        await stream

    run(scenario)


def test_cache_events_are_late_and_have_gaps(run):
    async def scenario(bench):
        clock = ManualClock()
        changes = {"cache_blocks": 4, "cache_event_lag_ms": 1000}
        engine = await bench.engine(clock, cache_event_gaps=0.3, **changes)
        for letter in "abcdef":
            await bench.complete(engine, prompt=letter * 3000)
        path = "/control/cache-events?after=0"
        late = (await bench.call(engine, path)).json
        assert late == {"events": [], "last_seq": 0}
        clock.advance(timedelta(seconds=1))
        body = (await bench.call(engine, path)).json
        assert body["last_seq"] == 12 + 8
        seqs = [event["seq"] for event in body["events"]]
        assert seqs == sorted(set(seqs))
        assert 0 < len(seqs) < 20
        assert {event["kind"] for event in body["events"]} == {"stored", "evicted"}
        newer = (
            await bench.call(engine, f"/control/cache-events?after={seqs[2]}")
        ).json
        assert newer["events"] == body["events"][3:]

    run(scenario)


def test_cached_prefix_saves_prefill(run):
    async def scenario(bench):
        engine = await bench.engine(cache_blocks=8)
        caller = Caller("a1", "", "", 0)
        left = []
        for text in ("a" * 4096, "a" * 4096 + "b" * 40, "c" * 8192, "a" * 4096):
            body = {"model": "index-large", "prompt": text}
            left.append(engine.submit(read_prompt(body, False), caller))
            await wait_until(lambda: engine.batch.is_idle)
        assert [run.cached_tokens for run in left] == [0, 1024, 0, 0]
        assert engine.cache.used_share == 1

    run(scenario)


def test_fence_refuses_old_tokens(run):
    async def scenario(bench):
        engine = await bench.engine(fencing_honoured=True)
        headers = {"Fencing-Holder": "r1.7", "Fencing-Token": "1", "Request-Id": "a1"}
        assert (await bench.complete(engine, headers)).status == 200
        fence = {"holder": "r1.7", "token": 2}
        reply = await bench.call(engine, "/control/fence", fence)
        assert reply.json == {**fence, "usage": {"a1": 10}, "running": []}
        late = await bench.complete(engine, {**headers, "Request-Id": "a2"})
        assert (late.status, late.headers["Not-Run"]) == (409, "true")
        other = {"Fencing-Holder": "r2.1", "Fencing-Token": "1"}
        assert (await bench.complete(engine, other)).status == 200
        lower = {"holder": "r1.7", "token": 1}
        assert (await bench.call(engine, "/control/fence", lower)).json["token"] == 2
        wrong = await bench.call(engine, "/control/fence", {"holder": "r1.7"})
        assert wrong.status == 400

    run(scenario)


def test_ignored_fence_stops_nothing(run):
    async def scenario(bench):
        engine = await bench.engine()
        fence = {"holder": "r1.7", "token": 2}
        assert (await bench.call(engine, "/control/fence", fence)).status == 501
        headers = {"Fencing-Holder": "r1.7", "Fencing-Token": "1"}
        assert (await bench.complete(engine, headers)).status == 200

    run(scenario)


@pytest.mark.parametrize("honoured", [True, False])
def test_orders(run, honoured):
    async def scenario(bench):
        engine = await bench.engine(fencing_honoured=honoured)

        async def order(kind, name, token):
            body = {"order": kind, "name": name, "fencing_token": token}
            return (await bench.call(engine, "/control/orders", body)).status

        assert await order("load_model", "draft", 5) == 202
        assert await order("load_adapter", "brest", 5) == 202
        assert (await bench.complete(engine, model="draft")).status == 404
        await wait_until(lambda: engine.has_model("draft"))
        await wait_until(lambda: engine.has_model("brest"))
        assert (await bench.complete(engine, model="brest")).status == 200
        assert await order("set_role", "prefill", 4) == (409 if honoured else 202)
        load = (await bench.call(engine, "/control/load")).json
        assert load["role"] == ("mixed" if honoured else "prefill")
        assert load["adapters"] == ["brest"]
        assert await order("explode", "x", 9) == 400

    run(scenario)
