"""Tests of what ends requests that are at servers, in virtual time."""

import asyncio
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from lavendershift.attempts import AttemptEnd
from lavendershift.delivery import RESPONSE_RESERVE
from lavendershift.requestends import EndReason
from lavendershift.serverresponses import EVENT_STREAM
from lavendershift.tests.silenceservers import (
    EVENTS,
    NEVER,
    TICK_S,
    SimulatedConnection,
    make_body,
    make_event,
)
from lavendershift.tests.silencesimulation import (
    DEADLINE,
    SilenceFleet,
    Size,
    make_table,
)

DEADLINE_S = DEADLINE.total_seconds()


def make_fleet(seed=1, vms=1, servers=1):
    return SilenceFleet(seed, Size(vms, vms, servers, 0.0))


def end_requests(fleet):
    assert fleet.find_vm(0).gateway.end_requests() == 1


@pytest.mark.parametrize(
    "kind, silent_at, at, error",
    [
        ("stream", 0.0, 0.1, "STOPPING"),
        ("once", 0.0, 0.1, "STOPPING"),
        ("once", 0.1, 0.2, "OUTCOME_UNKNOWN"),
        ("safe", 0.1, 0.2, "SERVER_FAILED"),
        ("stream", 0.01, 0.02, "SERVER_FAILED"),
        ("stream", 0.3, 0.4, "aborted"),
    ],
)
def test_request_in_flight_at_the_end_of_a_stop_gets_a_definite_end(
    kind, silent_at, at, error
):
    fleet = make_fleet()
    was_sent = silent_at > 0
    silence = (silent_at, fleet.servers[0].fall_silent, NEVER, not was_sent)
    schedule = [silence, (0.001, fleet.send, kind), (at, end_requests, fleet)]
    fleet.run(at + 0.1, schedule)
    [call] = fleet.calls.values()
    assert call.error == error and not call.is_done
    assert call.ended_at == pytest.approx(at, abs=0.01)
    assert [flight.end for flight in call.flights] == ["closed"] * was_sent


@pytest.mark.parametrize("kind", ["stream", "safe", "once"])
@pytest.mark.parametrize("reason", [EndReason.STOPPED, EndReason.TIME_OVER])
def test_complete_response_in_the_turn_of_an_end_is_not_lost(kind, reason):
    """The caller got an error although the whole response had been read."""
    fleet = make_fleet()
    gateway = fleet.find_vm(0).gateway
    report = fleet.reports.report_attempt

    def report_attempt(request, attempt):
        report(request, attempt)
        for delivery in gateway._deliveries:
            delivery.end(reason)

    fleet.reports.report_attempt = report_attempt
    fleet.run(DEADLINE_S, [(0.0, fleet.send, kind)])
    [call] = fleet.calls.values()
    assert fleet.reports.ends == {AttemptEnd.ANSWERED: 1}
    assert call.is_whole and call.error is None


@pytest.mark.parametrize("left_s", [RESPONSE_RESERVE.total_seconds(), 0.0])
def test_request_whose_time_ends_with_a_stop_does_not_cut_the_others(left_s):
    """An exception ended the stop, and with it all other requests."""
    fleet = make_fleet()
    fleet.servers[0].fall_silent(NEVER)
    ended = []

    def end_all():
        ended.append(fleet.find_vm(0).gateway.end_requests())

    # The loop runs timers that are this near in the same turn, in their order.
    end_s = DEADLINE_S - left_s + TICK_S / 2
    others = [(1.0, fleet.send, kind) for kind in ("safe", "once", "stream")]
    fleet.run(DEADLINE_S, [(0.0, fleet.send, "safe"), *others, (end_s, end_all)])
    first, *others = fleet.calls.values()
    assert first.error == "DEADLINE_EXCEEDED"
    assert len(ended) == 1 and ended[0] >= len(others)
    assert [call.ended_at for call in others] == pytest.approx([end_s] * 3)


def test_request_that_waits_for_tokens_at_the_end_of_a_stop_is_refused():
    """Nothing was sent for it, so that it may say so."""
    fleet = make_fleet()
    gateway = fleet.find_vm(0).gateway

    async def wait_for_trial(parts):
        await fleet.loop.create_future()

    gateway._check_quarantine = wait_for_trial
    fleet.run(0.3, [(0.0, fleet.send, "stream"), (0.1, end_requests, fleet)])
    [call] = fleet.calls.values()
    assert (call.error, call.flights) == ("STOPPING", [])


def stop_admission(fleet):
    fleet.find_vm(0).gateway.stop_admission()


@pytest.mark.parametrize("wait_s", [0.0, 0.05, 0.3])
def test_request_that_was_not_sent_in_time_is_not_begun_in_a_stop(wait_s):
    """One that waited for tokens was sent late, and cut at the end."""
    fleet = make_fleet()
    gateway = fleet.find_vm(0).gateway

    async def wait_for_trial(parts):
        await asyncio.sleep(wait_s)

    gateway._check_quarantine = wait_for_trial
    schedule = [
        (0.001, fleet.send, "stream"),
        (0.1, gateway.stop_admission),
        (0.2, fleet.send, "once"),
    ]
    fleet.run(2.0, schedule)
    early, late = fleet.calls.values()
    assert (late.error, late.flights) == ("STOPPING", [])
    if wait_s < 0.1:
        assert early.is_done
    else:
        assert (early.error, early.flights) == ("STOPPING", [])


@pytest.mark.parametrize("kind", ["stream", "safe", "once"])
def test_request_is_not_sent_in_the_turn_in_which_a_stop_refuses_it(kind):
    """It was sent to a server and cut in the next turn."""
    fleet = make_fleet()
    [server] = fleet.servers
    accept = server.accept

    async def accept_in_stop(vm, timeout_s):
        await accept(vm, timeout_s)
        stop_admission(fleet)

    server.accept = accept_in_stop
    fleet.run(1.0, [(0.0, fleet.send, kind)])
    [call] = fleet.calls.values()
    assert (call.error, call.flights) == ("STOPPING", [])


def respond_until(server, end_s):
    """Let a server send the last event, or a whole plain response, at a given time."""

    async def respond(flight, connection, reader):
        until = min(end_s, flight.sent_at + flight.told_s)
        if flight.is_stream:
            headers = {"Content-Type": EVENT_STREAM, "Transfer-Encoding": "chunked"}
            reader.start(200, HTTPHeaders(headers))
            for number in range(flight.after + 1, EVENTS):
                await server._send(
                    connection, reader, make_event(flight.request_id, number)
                )
        await asyncio.sleep(until - server.loop.time())
        if until < end_s:
            flight.finish("broken", server.loop.time())  # past the deadline it was told
            return
        if flight.is_stream:
            await server._send(
                connection, reader, make_event(flight.request_id, EVENTS)
            )
        else:
            body = make_body(flight.request_id, False)
            reader.start(200, HTTPHeaders({"Content-Length": str(len(body))}))
            await server._send(connection, reader, body)
        flight.finish("answered", server.loop.time())

    server.respond = respond


def set_timeout(fleet, seconds):
    fleet.version = getattr(fleet, "version", 0) + 1
    table = make_table(fleet.version, timedelta(seconds=seconds))
    fleet.find_vm(0).gateway.table = table


def test_stream_that_ends_just_before_its_time_is_not_cut():
    fleet = make_fleet()
    respond_until(fleet.servers[0], DEADLINE_S - 0.01)
    fleet.run(DEADLINE_S + 1, [(0.0, fleet.send, "stream")])
    [call] = fleet.calls.values()
    assert call.is_whole, call.error


@pytest.mark.parametrize("kind", ["stream", "safe", "once"])
@pytest.mark.parametrize(
    "timeouts, end_s",
    [
        ([2, 5], 3.5),
        ([2, 5], 4.9),
        ([5, 1], 4.5),
        ([3, 1, 5], 4.5),
        ([3, 1, 2], 2.9),
    ],
)
def test_request_in_flight_has_the_longest_timeout_that_was_in_force(
    kind, timeouts, end_s
):
    """It ended at the timeout of its admission, though a later version allowed more."""
    fleet = make_fleet()
    respond_until(fleet.servers[0], end_s)
    set_timeout(fleet, timeouts[0])
    changes = [
        (0.5 * number, set_timeout, fleet, timeout)
        for number, timeout in enumerate(timeouts[1:], start=1)
    ]
    fleet.run(DEADLINE_S, [(0.0, fleet.send, kind), *changes])
    [call] = fleet.calls.values()
    assert call.is_whole, (call.error, call.ended_at)
    assert len(call.flights) == 1


@pytest.mark.parametrize("kind", ["stream", "safe", "once"])
def test_response_that_came_in_a_pause_of_the_loop_is_not_too_late(kind):
    """The timer of the request's time ran before the response was read."""
    fleet = make_fleet()
    respond_until(fleet.servers[0], DEADLINE_S - 0.1)

    def pause():
        fleet.loop.selector.now += 0.3

    fleet.run(DEADLINE_S, [(0.0, fleet.send, kind), (DEADLINE_S - 0.15, pause)])
    [call] = fleet.calls.values()
    assert call.is_whole, call.error


def test_lowered_timeout_applies_to_new_requests():
    fleet = make_fleet()
    respond_until(fleet.servers[0], 4.0)
    set_timeout(fleet, 5)
    schedule = [(0.5, set_timeout, fleet, 1), (0.6, fleet.send, "once")]
    fleet.run(DEADLINE_S, schedule)
    [call] = fleet.calls.values()
    assert call.error == "DEADLINE_EXCEEDED"
    assert call.ended_at == pytest.approx(1.6, abs=0.05)


def fail(flight, connection, reader):
    raise RuntimeError("odd response")


@pytest.mark.parametrize("kind", ["stream", "safe"])
def test_exception_in_one_attempt_lets_another_server_answer(kind):
    fleet = make_fleet(servers=2)
    failing, _ = fleet.servers
    failing.respond = fail
    for number in range(8):
        fleet.loop.call_later(0.01 * number, fleet.send, kind)
    fleet.run(2.0)
    assert failing.flights
    assert all(call.is_whole for call in fleet.calls.values())
    assert len(fleet.reports.errors) == len(failing.flights)


@pytest.mark.parametrize("kind", ["stream", "safe"])
def test_exception_in_an_attempt_beside_a_silent_one_costs_no_response(kind):
    fleet = make_fleet(servers=2)
    fleet.run(
        4.0,
        [
            (0.0, fleet.send, kind),
            *[(0.15, server.fall_silent, 1.5) for server in fleet.servers],
            *[(0.16, setattr, server, "respond", fail) for server in fleet.servers],
        ],
    )
    [call] = fleet.calls.values()
    assert len(call.flights) == 2 and len(fleet.reports.errors) == 1
    assert call.is_whole, call.error


@pytest.mark.parametrize("kind", ["stream", "safe"])
def test_exception_in_a_replaced_attempt_costs_no_response(monkeypatch, kind):
    fleet = make_fleet(servers=2)
    close = SimulatedConnection.close

    def fail_to_close(connection):
        close(connection)
        raise RuntimeError("odd close")

    monkeypatch.setattr(SimulatedConnection, "close", fail_to_close)

    def silence_used():
        for server in fleet.servers:
            if server.flights:
                server.fall_silent(3.0)

    fleet.run(4.0, [(0.0, fleet.send, kind), (0.15, silence_used)])
    [call] = fleet.calls.values()
    assert len(call.flights) == 2 and len(fleet.reports.errors) == 1
    assert call.is_whole, call.error


def test_request_without_time_is_refused_and_not_sent():
    fleet = make_fleet()
    schedule = [
        (0.0, fleet.send, "safe"),
        (1.0, set_timeout, fleet, 0.01),
        (1.1, fleet.send, "safe"),
    ]
    fleet.run(2.0, schedule)
    answered, refused = fleet.calls.values()
    assert answered.is_whole
    assert (refused.error, refused.flights) == ("DEADLINE_UNREACHABLE", [])


@pytest.mark.parametrize("kind", ["stream", "safe"])
def test_server_of_an_attempt_that_was_not_sent_can_be_tried_later(kind):
    """A silence that ended had cost a server, and a failure then left none."""
    fleet = make_fleet(servers=2)

    def find_servers():
        [call] = fleet.calls.values()
        first = call.flights[0].server
        [other] = [server for server in fleet.servers if server is not first]
        return first, other

    def fall_silent():
        first, other = find_servers()
        first.fall_silent(1.0)
        accept = other.accept

        async def accept_late(vm, timeout_s):
            await asyncio.sleep(0.15)
            await accept(vm, timeout_s)

        other.accept = accept_late

    def break_off():
        first, other = find_servers()
        assert len(other.connects) == (kind == "safe") and not other.flights
        first.break_connections()

    fleet.run(3.0, [(0.0, fleet.send, kind), (0.05, fall_silent), (1.12, break_off)])
    [call] = fleet.calls.values()
    assert call.is_whole, call.error
    assert len(call.flights) == 2
