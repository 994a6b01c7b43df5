from datetime import timedelta

from lavendershift.clocks import ManualClock

MEMBER = {
    "name": "r1",
    "address": "127.0.0.1:7110",
    "role": "router",
    "failure_domain": "rennes",
    "state": "live",
}


def test_list_is_visible_after_its_lag(run):
    async def scenario(standins):
        clock = ManualClock()
        app = await standins.members(clock, lag_ms=2000)
        body = {"members": [MEMBER]}
        assert (await standins.call(app, "/control/members", body)).json == body
        assert (await standins.call(app, "/members")).json == {"members": []}
        clock.advance(timedelta(seconds=2))
        assert (await standins.call(app, "/members")).json == body

    run(scenario)


def test_error_names_the_invalid_member_field(run):
    async def scenario(standins):
        app = await standins.members()
        body = {"members": [MEMBER, {**MEMBER, "state": "gone"}]}
        reply = await standins.call(app, "/control/members", body)
        assert reply.status == 400
        assert "members.1.state" in reply.json["error"]["message"]

    run(scenario)
