import pytest


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "PATCH", "DELETE"])
def test_every_execution_is_counted(run, method):
    async def scenario(standins):
        app = await standins.service()
        body = None if method == "GET" else b"x"
        headers = {"Idempotency-Key": "k1", "Request-Id": "a1"}
        replies = [
            await standins.call(app, "/proofs/12?x=1", body, method, headers)
            for _ in range(2)
        ]
        assert [reply.status for reply in replies] == [200, 200]
        assert replies[0].body == replies[1].body
        log = (await standins.call(app, "/control/log")).json
        assert [e["request_id"] for e in log["executions"]] == ["a1", "a1"]
        assert log["executions"][0]["path"] == "/proofs/12?x=1"
        assert log["counts"] == [
            {"idempotency_key": "k1", "path": "/proofs/12", "count": 2}
        ]

    run(scenario)
