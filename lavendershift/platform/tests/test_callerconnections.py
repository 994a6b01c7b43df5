import asyncio
from datetime import timedelta

import pytest

from lavendershift.connectionreports import (
    ConnectionEnd,
    ConnectionReports,
    EndCause,
    Stage,
)
from lavendershift.instruments import Instruments
from lavendershift.platform.tests.listeners import RecordedLog, play
from lavendershift.platform.tests.test_callers import make_request


def start_request(name, size, **extra):
    """Return a request whose body of ``size`` bytes is missing."""
    whole = make_request(name, body=b"x" * size, **extra)
    return whole[: len(whole) - size]


async def ask(caller, name, path="/whole"):
    caller.send(make_request(name, path))
    await caller.read_until(b"done " + name.encode())


ENDS = {
    "idle": (b"", None, EndCause.IDLE_TIMER, Stage.IDLE, ""),
    "slow header": (b"POST /", None, EndCause.HEADER_TIMER, Stage.HEADER, ""),
    "closed": (b"", "close", EndCause.CALLER, Stage.IDLE, ""),
    "closed in the header": (b"POST /", "close", EndCause.CALLER, Stage.HEADER, ""),
    "closed in the body": (
        start_request("r1", 9),
        "close",
        EndCause.CALLER,
        Stage.BODY,
        "r1",
    ),
    "closed in flight": (
        make_request("r1", "/slow"),
        "close",
        EndCause.CALLER,
        Stage.IN_FLIGHT,
        "r1",
    ),
    "reset in flight": (
        make_request("r1", "/slow"),
        "reset",
        EndCause.CALLER,
        Stage.IN_FLIGHT,
        "r1",
    ),
    "truncated": (
        make_request("r1", "/truncated"),
        None,
        EndCause.TRUNCATED,
        Stage.IN_FLIGHT,
        "r1",
    ),
    "asked to close": (
        make_request("r1", Connection="close"),
        None,
        EndCause.RESPONSE,
        Stage.IDLE,
        "r1",
    ),
    "malformed": (b"what is this\r\n\r\n", None, EndCause.MALFORMED, Stage.IDLE, ""),
    "malformed chunk": (
        make_request("r1", Transfer_Encoding="chunked").replace(b"Content", b"Other")
        + b"x" * 100,
        None,
        EndCause.MALFORMED,
        Stage.BODY,
        "r1",
    ),
    "large header": (
        make_request("r1", Filler="x" * 1_100_000),
        None,
        EndCause.LARGE_HEADER,
        Stage.HEADER,
        "",
    ),
}


@pytest.mark.parametrize("case", ENDS)
def test_the_end_of_a_connection_has_its_cause_and_stage(case):
    data, action, cause, stage, request_id = ENDS[case]

    async def work(listener):
        caller = listener.connect()
        await caller.send_all(data)
        await asyncio.sleep(0.1)
        if action:
            getattr(caller, action)()
        return await listener.wait_end()

    end = play(work)
    assert (end.cause, end.stage, end.request_id) == (cause, stage, request_id)


def test_a_connection_ended_by_a_stop_has_its_requests_and_idle_time():
    async def work(listener):
        caller = listener.connect()
        await ask(caller, "r1")
        await ask(caller, "r2")
        await asyncio.sleep(0.1)
        await listener.end_connections(timedelta(seconds=1))
        return await listener.wait_end()

    end = play(work)
    assert (end.cause, end.stage, end.served) == (EndCause.STOP, Stage.IDLE, 2)
    assert timedelta(seconds=0.09) < end.idle < end.age


def test_a_request_cancelled_by_the_process_has_its_own_cause():
    async def work(listener):
        caller = listener.connect()
        caller.send(make_request("r1", "/slow"))
        await asyncio.sleep(0.1)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            if "_serve" in repr(task) and "callers.py" in repr(task):
                task.cancel()
        return await listener.wait_end()

    end = play(work)
    assert (end.cause, end.stage) == (EndCause.CANCELLED, Stage.IN_FLIGHT)


@pytest.mark.parametrize("stage", Stage)
@pytest.mark.parametrize("cause", EndCause)
def test_only_connections_that_end_idle_for_an_ordinary_cause_are_not_logged(
    cause, stage
):
    log, instruments = RecordedLog(), Instruments()
    reports = ConnectionReports(log, instruments, lambda: 7)
    second = timedelta(seconds=1)
    reports.report(ConnectionEnd(cause, stage, "r1", 2, 9 * second, second, 0, ""))
    ordinary = {"caller", "idle_timer", "response", "stop"}
    if stage is Stage.IDLE and cause.value in ordinary:
        assert log.lines == []
    else:
        ((event, fields),) = log.lines
        assert event == "connection_ended"
        assert fields["request"] == "r1"
        assert (fields["cause"], fields["version"]) == (cause.value, 7)
    text = instruments.render().decode()
    labels = f'cause="{cause.value}",stage="{stage.value}"'
    assert f"lavendershift_connections_ended_total{{{labels}}} 1.0" in text
    is_cut = stage.value in {"header", "body", "in_flight", "sending"}
    is_cut &= cause.value not in {"malformed", "header_timer", "body_timer", "memory"}
    cut = f'lavendershift_requests_cut_total{{cause="{cause.value}"}} 1.0'
    assert (cut in text) is is_cut
