from datetime import timedelta

from lavendershift.clocks import ManualClock

MEMBER = {
    "name": "r1",
    "address": "127.0.0.1:7110",
    "role": "router",
    "failure_domain": "rennes",
    "state": "live",
}


def test_list_lags(run):
    async def scenario(standins):
        clock = ManualClock()
        app = await standins.members(clock, lag_ms=2000)
        body = {"members": [MEMBER]}
        assert (await standins.call(app, "/control/members", body)).json == body
        assert (await standins.call(app, "/members")).json == {"members": []}
        clock.advance(timedelta(seconds=2))
        assert (await standins.call(app, "/members")).json == body

    run(scenario)


def test_wrong_member_is_located(run):
    async def scenario(standins):
        app = await standins.members()
        body = {"members": [MEMBER, {**MEMBER, "state": "gone"}]}
        reply = await standins.call(app, "/control/members", body)
        assert reply.status == 400
        assert "members.1.state" in reply.json["error"]["message"]

    run(scenario)
