"""Silent servers in fleets of several sizes, under random schedules of faults.

A request whose server goes on gets its whole own response, whatever is tried beside
it, and all that is tried stays within the retry bounds of the users' pages.
"""

import functools
import random

import pytest

from lavendershift.attemptlimits import AttemptLimits
from lavendershift.attempts import AttemptEnd
from lavendershift.delivery import Delivery
from lavendershift.preparations import CONNECT_TIMEOUT
from lavendershift.requestends import EndReason, Progress
from lavendershift.requesttimes import RESPONSE_RESERVE, RequestTime
from lavendershift.serverattempts import ServerAttempt
from lavendershift.silences import ServerSilence
from lavendershift.tests.silenceservers import (
    NEVER,
    TICK_S,
    OddResponseError,
    make_body,
)
from lavendershift.tests.silencesimulation import (
    SHARES,
    SIZES,
    SilenceFleet,
    Size,
    count_per_second,
    find_worst_window,
)

CLOSE_S = 0.4  # time until an attempt is ended beside one that goes on
CONNECT_S = CONNECT_TIMEOUT.total_seconds()
RESPONSE_S = 1.2  # longest time of a response without a silence
CLOCK_S = 0.001  # resolution of requests' times
# Reasons for which a request may end without a disruption on its VM.
REASONS = {EndReason.TIME_OVER, EndReason.SERVER_FAILED, EndReason.REPLACED}
RETURN_S = 2.0  # time until a server that goes on is used again
# Requests of one VM to a server within seconds after the VM noted its silence.
MOST_TRIALS = {0.9: 1, 2.9: 2, 6.9: 3}


def find_losses(fleet):
    """Return the requests whose server went on, and that have no whole response.

    A request without a response has to be refused.
    """
    return [
        f"{call.id} {call.kind} on {call.vm.number}: {call.error}"
        for call in fleet.calls.values()
        if not call.is_whole and (not call.error or find_sound(call))
    ]


def find_sound(call):
    """Return the attempts of a request that were given up although they were sound.

    One is rightly ended if another one brings an event, even if that fails later or is
    rightly ended itself, or at the deadline if its server was silent or queued it for
    all but a short part of the time.
    """
    if call.ended_at > call.vm.fleet.find_end(call) - 0.1:
        flights = [
            f
            for f in call.flights
            if f.server.measure_speech(f) > RESPONSE_S + f.queued_s
        ]
    else:
        flights = call.flights
    failed = [f for f in call.flights if f.end == "broken" or f.server.is_dead]
    sound = [f for f in flights if f not in failed and f.end != "refused"]
    return [f for f in sound if not is_replaced(f, call)]


def is_replaced(flight, call):
    """Return whether an attempt ended as another one brought an event."""
    events = [
        at for other in call.flights if other is not flight for at in other.progress
    ]
    return any(0 <= flight.ended_at - at < CLOSE_S for at in events)


def find_joined(fleet):
    """Return the requests that got something else than their own response."""
    return [
        call.id
        for call in fleet.calls.values()
        if not make_body(call.id, call.kind == "stream").startswith(call.body)
    ]


def find_repeated(fleet):
    """Return the requests that may run once and were sent twice."""
    once = [call for call in fleet.calls.values() if call.kind == "once"]
    return [c.id for c in once if sum(f.may_have_run for f in c.flights) > 1]


def find_late_ends(fleet):
    """Return the requests with an attempt that went on beside one with an event."""
    late = []
    for call in fleet.calls.values():
        for at in [at for flight in call.flights for at in flight.progress]:
            going_on = [
                flight.sent_at <= at and flight.ended_at > at + CLOSE_S
                for flight in call.flights
            ]
            if sum(going_on) > (call.ended_at > at + CLOSE_S):
                late.append(f"{call.id} {call.kind}")
                break
    return late


def find_excess(fleet):
    count, bound = find_worst_window(fleet)
    return [f"{count} repeats of {bound:.0f}"] if count > bound else []


def find_eager(fleet):
    """Return the VMs that sent more to a server than finds out whether it goes on.

    One more request may have been under way when the silence was noted.
    """
    eager = []
    for number, (since, vm, server, is_silent) in enumerate(fleet.noted):
        if not is_silent:
            continue
        ends = [n[0] for n in fleet.noted[number + 1 :] if n[1:3] == (vm, server)]
        until = min([*ends, NEVER])
        sent = [
            f.sent_at - since
            for f in fleet.addresses[f"{server}:1"].flights
            if f.vm is vm and since < f.sent_at < until
        ]
        for within, most in MOST_TRIALS.items():
            count = sum(at < within for at in sent)
            if count > most:
                eager.append(f"{count} of {vm.number} to {server} in {within} s")
    return eager


def find_early_ends(fleet):
    """Return the requests that were ended at sound servers before their time.

    A request may end there once another server has delivered, or at the end of its
    time, a little earlier if its response has not begun.
    """
    early = []
    for call in fleet.calls.values():
        end = fleet.find_end(call) - CLOCK_S
        for flight in call.flights:
            if flight.end not in ("closed", "late") or flight.ended_at >= end:
                continue
            if not is_replaced(flight, call):
                early.append(f"{call.id} {call.kind} {flight.end} {flight.ended_at}")
    return early


def find_odd_reasons(fleet):
    """Return the requests that ended for another reason than may happen here."""
    return [
        f"{request} {ending}"
        for request, ending in fleet.reports.endings
        if ending is not None and ending.reason not in REASONS
    ]


CHECKS = [
    find_losses,
    find_joined,
    find_repeated,
    find_late_ends,
    find_excess,
    find_early_ends,
    find_odd_reasons,
]


def check(fleet):
    """Return what is wrong, as the name of the check and its findings."""
    errors = fleet.reports.errors
    assert all(isinstance(error, OddResponseError) for error in errors)
    found = {each.__name__: each(fleet) for each in CHECKS}
    return {name: findings for name, findings in found.items() if findings}


def silence(fleet, at, share, for_s, is_dark=False):
    """Return the schedule of a silence, and of the check of the servers' return."""
    schedule = []
    for server in fleet.servers[: SHARES[share](len(fleet.servers))]:
        schedule.append((at, server.fall_silent, for_s, is_dark))
        if for_s < NEVER:
            end = at + for_s + RETURN_S
            schedule.append((end, fleet.check_return, server, RETURN_S))
    return schedule


@pytest.mark.parametrize("vms", SIZES)
def test_servers_that_fall_silent_and_go_on_cost_no_response(vms):
    fleet = SilenceFleet(1, SIZES[vms])
    schedule = [
        *silence(fleet, 1.0, "one", 1.3),
        *silence(fleet, 4.4, "a tenth", 2.0),
        *silence(fleet, 6.5, "all", 1.5),
    ]
    fleet.run(8.5, schedule)
    assert check(fleet) == {}
    assert all(call.is_whole for call in fleet.calls.values())
    assert fleet.still_avoided == []
    assert fleet.reports.besides > 10
    silent = fleet.servers[0]
    assert max(count_per_second(silent, 1.0, 2)) <= vms


@pytest.mark.parametrize("vms", [8, 66])
def test_a_dead_server_is_left_and_tried_at_growing_intervals(vms):
    fleet = SilenceFleet(2, SIZES[vms])
    fleet.run(9.0, silence(fleet, 1.0, "one", NEVER))
    assert check(fleet) == {}
    assert find_eager(fleet) == []
    usual = fleet.size.demand / len(fleet.servers)
    active = [
        call.ended_at - call.started
        for call in fleet.calls.values()
        if call.vm.is_active and call.kind != "once"
    ]
    assert max(active) < 2.5
    if vms == 8:
        late = count_per_second(fleet.servers[0], 1.0, 8)[3:]
        assert sum(late) / len(late) < usual / 3


@pytest.mark.parametrize("seed", range(8))
def test_a_response_that_ends_together_with_a_refusal_beside_it_is_not_lost(seed):
    """The last token of the retry budget is spent on the attempt beside."""
    fleet = SilenceFleet(seed, Size(1, 1, 2, 0.0))
    fleet.find_vm(0).keep_retries(1.0)
    schedule = [(0.0, fleet.send, "safe")]
    for number, server in enumerate(fleet.servers):
        for_s = 1.5 + number * TICK_S / 4
        schedule += [(0.17, server.fall_silent, for_s)]
        schedule += [(1.0, server.refuse_requests, 1.0)]
    fleet.run(4.0, schedule)
    assert find_losses(fleet) == []


@pytest.mark.parametrize("seed", [3, 6])
def test_one_request_at_a_time_waits_for_a_connection_to_a_dark_server(seed):
    fleet = SilenceFleet(seed, Size(2, 2, 3, 150.0))
    server = fleet.servers[0]
    fleet.run(3.0, [(1.0, server.fall_silent, NEVER, True)])
    noted = {vm: at for at, vm, _, is_silent in fleet.noted if is_silent}
    assert len(noted) == 2
    for vm, since in noted.items():
        connects = [at for at, by in server.connects if by is vm and at > since]
        pairs = zip(connects, connects[1:], strict=False)
        assert [at for before, at in pairs if at - before < CONNECT_S] == []


def test_vms_that_stand_by_try_elsewhere_beside_a_dead_server():
    fleet = SilenceFleet(1, SIZES[66])
    fleet.run(6.0, silence(fleet, 1.0, "one", NEVER))
    lost = [
        f"{call.id} {call.kind} on {call.vm.number}"
        for call in fleet.calls.values()
        if call.kind != "once" and not call.is_whole
    ]
    assert lost == []


def make_faults(fleet, seed):
    """Return a random schedule of silences and other faults."""
    rng = random.Random(f"faults/{seed}")
    schedule = []
    for _ in range(rng.randrange(2, 6)):
        share = rng.choice(["one", "one", "a tenth", "all"])
        at, for_s = rng.uniform(1.0, 5.0), rng.uniform(0.5, 2.0)
        schedule += silence(fleet, at, share, for_s, is_dark=rng.random() < 0.3)
    for _ in range(rng.randrange(1, 8)):
        server = rng.choice(fleet.servers)
        faults = [
            (server.refuse_requests, rng.uniform(0.2, 2.0)),
            (server.refuse_connections, rng.uniform(0.2, 2.0)),
            (server.break_connections,),
            (server.queue_requests, rng.uniform(0.5, 2.0), rng.uniform(0.3, 1.5)),
            (server.send_odd_responses, rng.uniform(0.1, 0.5)),
        ]
        schedule.append((rng.uniform(1.0, 6.0), *rng.choice(faults)))
    for _ in range(rng.randrange(4)):
        schedule.append((rng.uniform(0.0, 6.0), fleet.set_timeout, rng.uniform(1, 6)))
    if rng.random() < 0.5:
        schedule.append((rng.uniform(1, 6), fleet.servers[-1].fall_silent, NEVER))
    return schedule


def run_faults(seed, size):
    fleet = SilenceFleet(seed, size)
    fleet.run(7.0, make_faults(fleet, seed))
    return check(fleet)


@pytest.mark.parametrize("first", range(0, 9, 3))
def test_no_schedule_of_faults_costs_a_response_whose_server_goes_on(first):
    for seed in range(first, first + 3):
        assert run_faults(seed, SIZES[8]) == {}, f"seed {seed}"


@pytest.mark.parametrize("vms", [66, 195])
def test_no_schedule_of_faults_costs_a_response_in_large_fleets(vms):
    assert run_faults(100 + vms, SIZES[vms]) == {}


def end_at_silence(monkeypatch):
    note_silence = ServerAttempt._note_silence

    def end(self):
        note_silence(self)
        self._connection.close()

    monkeypatch.setattr(ServerAttempt, "_note_silence", end)


def need_no_token(monkeypatch):
    monkeypatch.setattr(AttemptLimits, "take_retry_token", lambda self, end: True)


def repeat_always(monkeypatch):
    monkeypatch.setattr(Delivery, "_may_repeat", lambda self: True)
    monkeypatch.setattr(AttemptLimits, "may_send_again", lambda self: self.sends < 4)


def keep_all(monkeypatch):
    monkeypatch.setattr(
        Delivery, "_replace_others", lambda self, successor, progress: None
    )


def forget_silences(monkeypatch):
    monkeypatch.setattr(ServerSilence, "is_avoided", lambda self, now: False)


@functools.cache
def run_busy(share):
    """Run a fleet with more requests than retries while servers are silent."""
    fleet = SilenceFleet(3, Size(8, 4, 6, 100.0))
    fleet.run(4.0, silence(fleet, 1.5, share, 2.0))
    return fleet


@pytest.mark.parametrize(
    "change, share, finds",
    [
        (end_at_silence, "all", find_losses),
        (need_no_token, "all", find_excess),
        (repeat_always, "one", find_repeated),
        (keep_all, "one", find_late_ends),
        (forget_silences, "one", find_eager),
    ],
)
def test_the_checks_find_what_they_are_for(monkeypatch, change, share, finds):
    assert finds(run_busy(share)) == []
    change(monkeypatch)
    assert finds(run_busy.__wrapped__(share)) != []


def replace_at_head(monkeypatch):
    classify = ServerAttempt.classify

    def replace(self, *arguments):
        kind = classify(self, *arguments)
        if self.order.is_beside and self in self._owner._running:
            self._owner._replace_others(self, Progress.EVENT)
        return kind

    monkeypatch.setattr(ServerAttempt, "classify", replace)


def end_early(monkeypatch):
    monkeypatch.setattr(
        RequestTime,
        "find_left",
        lambda self, now, has_begun: self.end - RESPONSE_RESERVE - now,
    )


def keep_first_timeout(monkeypatch):
    monkeypatch.setattr(RequestTime, "extend", lambda self, timeout: False)


def tell_first_timeout(monkeypatch):
    make = RequestTime.__init__

    def make_with_timeout(self, received, deadline, timeout):
        make(self, received, deadline, timeout)
        self.deadline = self.end

    monkeypatch.setattr(RequestTime, "__init__", make_with_timeout)


def fail_at_exception(monkeypatch):
    go_on = Delivery._go_on

    def fail(self, end):
        if end is AttemptEnd.INTERNAL_ERROR:
            raise OddResponseError
        return go_on(self, end)

    monkeypatch.setattr(Delivery, "_go_on", fail)


@functools.cache
def run_changes():
    """Run a fleet with all faults that may end a request too early."""
    fleet = SilenceFleet(4, Size(8, 4, 6, 60.0))
    schedule = [
        *silence(fleet, 1.2, "a tenth", 1.3),
        *silence(fleet, 2.5, "all", 2.2),
        (0.0, fleet.set_timeout, 1.5),
        (3.0, fleet.set_timeout, 3.5),
    ]
    for server in fleet.servers:
        schedule.append((1.3, server.queue_requests, 1.0, 1.0))
    for server in fleet.servers[:3]:
        schedule.append((2.0, server.send_odd_responses, 0.4))
    fleet.run(6.0, schedule)
    return fleet


@pytest.mark.parametrize(
    "change, finds",
    [
        (replace_at_head, find_early_ends),
        (end_early, find_early_ends),
        (keep_first_timeout, find_early_ends),
        (tell_first_timeout, find_early_ends),
        (fail_at_exception, find_odd_reasons),
    ],
)
def test_the_checks_find_each_cause_of_an_early_end(monkeypatch, change, finds):
    assert check(run_changes()) == {}
    change(monkeypatch)
    assert finds(run_changes.__wrapped__()) != []
