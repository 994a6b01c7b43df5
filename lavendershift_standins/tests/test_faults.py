import asyncio

import pytest

from lavendershift_standins.faults import FAULT_KINDS


async def check_refuse(standins, app):
    await standins.add_fault(app, "refuse", status=429, when={"times": 1})
    reply = await standins.call(app, "/a", b"x")
    assert (reply.status, reply.headers["Not-Run"]) == (429, "true")
    return 0


async def check_fail(standins, app):
    await standins.add_fault(app, "fail", when={"times": 1})
    reply = await standins.call(app, "/a", b"x")
    assert reply.status == 500
    assert "Not-Run" not in reply.headers
    return 0


async def check_hang(standins, app):
    await standins.add_fault(app, "hang", when={"times": 1})
    assert (await standins.call(app, "/a", b"x", timeout_s=0.2)).is_broken
    return 0


async def check_close(standins, app):
    await standins.add_fault(app, "close", when={"times": 1})
    assert (await standins.call(app, "/a", b"x")).is_broken
    return 0


async def check_outage(standins, app):
    for answer, status in (("503", 503), ("close", 599), ("hang", 599)):
        await standins.add_fault(app, "outage", answer=answer, when={"times": 1})
        assert (await standins.call(app, "/a", b"x", timeout_s=0.3)).status == status
    return 0


async def check_delay(standins, app):
    await standins.add_fault(app, "delay", delay_ms=300, when={"times": 1})
    pending = asyncio.ensure_future(standins.call(app, "/a", b"x"))
    while not app.executions:
        await asyncio.sleep(0.005)
    assert not pending.done()
    assert (await pending).status == 200
    return 1


async def check_lose_reply(standins, app):
    await standins.add_fault(app, "lose_reply", when={"times": 1})
    assert (await standins.call(app, "/a", b"x")).is_broken
    return 1


async def check_fail_after(standins, app):
    await standins.add_fault(app, "fail_after", status=502, when={"times": 1})
    reply = await standins.call(app, "/a", b"x")
    assert reply.status == 502
    assert "Not-Run" not in reply.headers
    return 1


async def check_truncate(standins, app):
    for answer in ("close", "hang"):
        when = {"times": 1}
        await standins.add_fault(app, "truncate", length=5, answer=answer, when=when)
        reply = await standins.call(app, "/a", b"x", timeout_s=0.3)
        assert (reply.is_broken, len(reply.body)) == (True, 5)
    return 2


async def check_silence(standins, app):
    whole = (await standins.call(app, "/a", b"x")).body
    when = {"times": 1}
    await standins.add_fault(app, "silence", length=5, silence_ms=300, when=when)
    start = asyncio.get_running_loop().time()
    reply = await standins.call(app, "/a", b"x")
    assert (reply.status, reply.body) == (200, whole)
    assert asyncio.get_running_loop().time() - start >= 0.3
    return 2


async def check_slow(standins, app):
    await standins.add_fault(app, "slow", factor=100.0, when={"duration_ms": 60_000})
    assert (await standins.call(app, "/a", b"x", timeout_s=0.1)).is_broken
    await standins.call(app, "/control/faults/slow", method="DELETE")
    return 1


CHECKS = {
    name.removeprefix("check_"): check
    for name, check in globals().items()
    if name.startswith("check_")
}


@pytest.mark.parametrize("name", FAULT_KINDS)
def test_fault_affects_a_call_and_expires(run, name):
    async def scenario(standins):
        app = await standins.service()
        executed = await CHECKS[name](standins, app)
        assert len(app.executions) == executed
        assert (await standins.call(app, "/control/faults")).json == {"faults": []}
        assert (await standins.call(app, "/a", b"x")).status == 200

    run(scenario)


@pytest.mark.parametrize(
    ("body", "location"),
    [
        ({"fault": "explode"}, "fault"),
        ({}, "fault"),
        ([], "body"),
        ({"fault": "refuse", "status": "many"}, "status"),
        ({"fault": "refuse", "state": 503}, "state"),
        ({"fault": "hang", "when": {"time": 1}}, "when.time"),
        ({"fault": "hang", "when": {"probability": 2}}, "when.probability"),
    ],
)
def test_error_names_the_invalid_fault_field(run, body, location):
    async def scenario(standins):
        app = await standins.service()
        reply = await standins.call(app, "/control/faults", body)
        assert (reply.status, reply.json["error"]["location"]) == (400, location)

    run(scenario)


def test_fault_affects_only_matching_calls(run):
    async def scenario(standins):
        app = await standins.log()
        when = {"path": "/streams/a/", "method": "POST"}
        await standins.add_fault(app, "outage", when=when)
        assert (await standins.call(app, "/streams/a/records", [1])).status == 503
        assert (await standins.call(app, "/streams/a/records")).status == 200
        assert (await standins.call(app, "/streams/b/records", [1])).status == 200
        reply = await standins.call(app, "/control/faults", {"fault": "truncate"})
        assert reply.status == 400

    run(scenario)
