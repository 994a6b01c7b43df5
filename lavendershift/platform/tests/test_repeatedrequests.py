"""Tests of servers that send a refusal twice, to requests that run once at most.

The copy has the id of the request that was refused. If that request is sent again on
the same connection, its id doesn't tell the copy from its own response.
"""

import asyncio
import contextlib
import itertools
import random
import threading
import time
from collections import Counter

import pytest

from lavendershift.connections import MAX_UNANSWERED
from lavendershift.errors import RequestError
from lavendershift.platform import names
from lavendershift.platform.callerresponses import choose_status
from lavendershift.platform.tests.conftest import RecordedResponse
from lavendershift.platform.tests.live_nodes import Platform
from lavendershift.platform.tests.test_staleresponses import (
    KINDS,
    PROMISES,
    answer_own,
)
from lavendershift.serverlimits import LimitState
from lavendershift_standins import refusalcopies
from lavendershift_standins.platformserver import (
    Refusal,
    answer_complete,
    answer_misdirected,
    answer_not_run,
    make_head,
    reset,
    work_first,
)

AT_NEXT_REQUEST = float("inf")
REFUSALS = {
    "421": answer_misdirected,
    "503": answer_not_run,
    "429": Refusal(429),
    "408": Refusal(408),
}
# Times in seconds from a refusal to its copy; a request is answered after 0.03 s.
DELAYS = {"at the next request": AT_NEXT_REQUEST, "late": 0.01}


def choose_in_order(scene, *names):
    """Let the scene's servers be chosen in this order, each one once."""
    scene.servers.choose = lambda service, prompt, excluded, urgency: next(
        (
            listed
            for listed in map(scene.servers.find, names)
            if listed is not None and listed.entry.id not in set(excluded)
        ),
        None,
    )


async def deliver(scene, kind, number=1):
    """Deliver a request of a kind; return the response and the error, if any."""
    options = KINDS[kind]
    target = "/a/stream" if options.get("is_stream") else "/a/plain"
    request = scene.make_request(number)._replace(target=target)
    response, error = RecordedResponse(), None
    try:
        await scene.make_delivery(response, request=request, **options).run()
    except RequestError as raised:
        error = raised
    return response, error


def list_runs(scene, request_id):
    """Return the servers that ran a request."""
    return [
        server.name
        for server in scene.backends
        for run in server.runs
        if run == request_id
    ]


async def add_restarted_server(scene, refusal, delay_s):
    """Add a server that is listed under its old id as well as under its new one.

    It refuses one request and sends that refusal twice.
    """
    server = await scene.add_server(refusal)
    server.default = work_first(answer_own, 0.03)
    server.choose_copy_delay = lambda: delay_s
    scene.servers.update(
        scene.servers.find(server.name).entry._replace(id="i-restarted")
    )
    return server


def check_runs(scene, kind, response, error):
    """Check that a request ran at one server, and was answered from there."""
    assert error is None
    assert len(list_runs(scene, "r1")) == 1
    assert response.is_done and response.status == 200


@pytest.mark.parametrize("is_delisted", [False, True], ids=["two ids", "old id left"])
@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("kind", KINDS)
def test_copied_refusal_is_no_proof_at_an_address_with_two_ids(
    play, kind, refusal, delay, is_delisted
):
    """Guards against a second run after a copied refusal (TWICE)."""

    async def work(scene):
        server = await add_restarted_server(scene, REFUSALS[refusal], DELAYS[delay])
        other = await scene.add_server()
        other.default = answer_own
        choose_in_order(scene, server.name, "i-restarted", other.name)
        if is_delisted:
            scene.on_report = lambda: scene.servers.remove(server.name)
        response, error = await deliver(scene, kind)
        check_runs(scene, kind, response, error)
        assert list_runs(scene, "r1") == [server.name]

    play(work)


@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("kind", KINDS)
def test_copied_refusal_is_not_passed_to_a_caller_whose_request_runs(play, kind, delay):
    """Guards against a promise of "not run" for a request that runs (REFUSED)."""

    async def work(scene):
        server = await add_restarted_server(scene, answer_not_run, DELAYS[delay])
        choose_in_order(scene, server.name, "i-restarted")
        response, error = await deliver(scene, kind)
        check_runs(scene, kind, response, error)

    play(work)


@pytest.mark.parametrize("kind", KINDS)
def test_copies_of_several_refusals_are_no_proof(play, kind):
    """Guards against a copy of the first of two refusals on two connections."""

    async def work(scene):
        server = await add_restarted_server(scene, answer_misdirected, AT_NEXT_REQUEST)
        server.script.append(answer_misdirected)
        entry = scene.servers.find(server.name).entry
        scene.servers.update(entry._replace(id="i-again"))
        other = await scene.add_server()
        other.default = answer_own
        choose_in_order(scene, server.name, "i-restarted", "i-again", other.name)
        response, error = await deliver(scene, kind)
        check_runs(scene, kind, response, error)

    play(work)


@pytest.mark.parametrize("delay", [0.0, 0.005, 0.02, AT_NEXT_REQUEST])
@pytest.mark.parametrize("kind", KINDS)
def test_copied_refusal_of_another_request_ends_no_other(play, kind, delay):
    """Guards against copies that reach the requests after the refused one."""

    async def work(scene):
        server = await scene.add_server(*[answer_not_run] * 3)
        server.default = work_first(answer_own, 0.01)
        server.choose_copy_delay = lambda: delay
        results = [await deliver(scene, kind, number) for number in range(1, 8)]
        for number, (response, error) in enumerate(results, 1):
            runs = len(list_runs(scene, f"r{number}"))
            assert runs == (0 if number <= 3 else 1)
            if error is None:
                assert response.is_done and runs == 1
            else:
                assert choose_status(error.answer) in PROMISES and runs == 0

    play(work)


@pytest.mark.parametrize("kind", KINDS)
def test_request_sent_again_needs_no_more_connections_than_before(play, kind):
    """Guards against a server at its limit of connections that resets one more."""

    async def work(scene):
        server = await scene.add_server(answer_misdirected)

        async def answer_if_alone(received, writer):
            await asyncio.sleep(0.005)
            is_beyond = len(server._writers) > 1
            await (reset if is_beyond else answer_own)(received, writer)

        server.default = answer_if_alone
        entry = scene.servers.find(server.name).entry
        scene.servers.update(entry._replace(id="i-restarted"))
        choose_in_order(scene, server.name, "i-restarted")
        response, error = await deliver(scene, kind)
        check_runs(scene, kind, response, error)

    play(work)


def test_no_refused_id_comes_twice_on_one_connection(play):
    """Guards against an id that a connection carries again, in any delivery."""

    async def work(scene):
        carried = []
        scene.retries = 10_000

        async def refuse(received, writer):
            carried.append((writer.get_extra_info("peername"), received.id))
            await asyncio.sleep(0.01)
            await answer_misdirected(received, writer)

        server = await scene.add_server()
        server.default = refuse
        entry = scene.servers.find(server.name).entry
        for name in ("i-b", "i-c", "i-d"):
            scene.servers.update(entry._replace(id=name))
        choose_in_order(scene, server.name, "i-b", "i-c", "i-d")
        for _ in range(10):
            await asyncio.gather(*[deliver(scene, "once", n) for n in range(1, 6)])
        assert len(carried) > 100
        assert len(set(carried)) == len(carried)

    play(work)


def refuse_and_repeat(refuse):
    """Return a refusing behaviour, and one that sends all copies before its answer."""
    refused = []

    async def refuse_first(received, writer):
        refused.append(received)
        await refuse(received, writer)

    async def copy_first(received, writer):
        for each in refused:
            await refuse(each, writer)
        refused.clear()
        await answer_own(received, writer)

    return refuse_first, work_first(copy_first, 0.01)


@pytest.mark.parametrize("kind", KINDS)
def test_copied_refusal_names_no_limit_again(play, kind):
    """Guards against a limit that has ended and is announced again to all VMs."""

    async def work(scene):
        async def refuse(received, writer):
            await answer_not_run(received._replace(limit="0.3"), writer)

        refusal, default = refuse_and_repeat(refuse)
        server = await scene.add_server(refusal)
        server.default = default
        await deliver(scene, kind, 1)
        incarnation = scene.servers.find(server.name).incarnation
        limits = scene.servers.limits
        assert limits.find(incarnation) == 0.3
        # Another VM has learned from a newer response that there is no limit.
        ended = LimitState(None, limits.find_state(incarnation).version + 1)
        limits.merge(incarnation, ended)
        await deliver(scene, kind, 2)
        assert server.connections == 1
        assert limits.find_state(incarnation) == ended

    play(work)


@pytest.mark.parametrize("count", [8, 9, MAX_UNANSWERED - 1])
@pytest.mark.parametrize("kind", KINDS)
def test_copies_of_many_refusals_end_no_other_request(play, kind, count):
    """Guards against a request that runs and fails, as copies are due before it."""

    async def work(scene):
        refusal, default = refuse_and_repeat(answer_not_run)
        server = await scene.add_server(*[refusal] * count)
        server.default = default
        for number in range(1, count + 1):
            await deliver(scene, kind, number)
        response, error = await deliver(scene, kind, count + 1)
        assert error is None and response.is_done
        assert server.connections == 1

    play(work)


class HeadRefusal(Refusal):
    """Refuses HEAD requests; the responses have no body, but the length of one."""

    async def __call__(self, received, writer):
        headers = {"Content-Length": "120", "X-Lavendershift-Not-Executed": "1"}
        writer.write(make_head(received, 503, headers))


@pytest.mark.parametrize("kind", KINDS)
def test_copied_refusal_of_a_head_request_hides_no_response(play, kind):
    """Guards against a response that is read as the body of a copied refusal."""

    async def work(scene):
        server = await scene.add_server(HeadRefusal(503))
        server.default = work_first(answer_own, 0.01)
        server.choose_copy_delay = lambda: AT_NEXT_REQUEST
        request = scene.make_request(1)._replace(method="HEAD", body=b"")
        with contextlib.suppress(RequestError):
            await scene.deliver(request=request, **KINDS[kind])
        response, error = await deliver(scene, kind, 2)
        assert error is None and response.is_done


@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("change", [refusalcopies.remove_id, refusalcopies.cut_in_head])
@pytest.mark.parametrize("kind", KINDS)
def test_copy_without_an_id_is_no_refusal_of_another_request(play, kind, change, delay):
    """Guards against copies that lack their id, or are joined with a response."""

    async def work(scene):
        servers = [await scene.add_server(answer_not_run) for _ in range(2)]
        for server in servers:
            server.default = work_first(answer_own, 0.03)
            server.choose_copy_delay = lambda: DELAYS[delay]
            server.change_copy = change
        for number in range(1, 6):
            response, error = await deliver(scene, kind, number)
            runs = len(list_runs(scene, f"r{number}"))
            if kind.endswith("once"):
                assert runs <= 1
            if error is not None and choose_status(error.answer) in PROMISES:
                assert runs == 0
        assert sum(server.copies for server in servers) > 0

    play(work)


def test_request_without_an_id_gets_its_own_response_on_a_new_connection(play):
    """Guards against requests that wait until their end for a response with an id."""

    async def answer_without_id(received, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

    async def work(scene):
        server = await scene.add_server()
        server.default = answer_without_id
        for _ in range(3):
            request = scene.make_request()._replace(id="")
            request.headers.clear()
            response = await scene.deliver(request=request)
            assert (response.status, response.body) == (200, b"done")

    play(work)


def test_request_sent_again_to_an_address_is_reported(play):
    """Guards against logs that don't tell a copied refusal from another one."""

    async def work(scene):
        server = await add_restarted_server(scene, answer_misdirected, AT_NEXT_REQUEST)
        choose_in_order(scene, server.name, "i-restarted")
        await deliver(scene, "once")
        first, second = [note.exchange for note in scene.notes]
        assert first.address == second.address == server.address
        assert (first.earlier_sends, second.earlier_sends) == (0, 1)
        assert first.head_delay is not None

    play(work)


def test_copies_are_sent_by_the_stand_in(play):
    async def work(scene):
        server = await scene.add_server(answer_not_run, answer_not_run)
        server.choose_copy_delay = itertools.cycle([0.0, AT_NEXT_REQUEST]).__next__
        for number in range(1, 4):
            await deliver(scene, "once", number)
        await asyncio.sleep(0.02)
        assert server.copies == 2

    play(work)


CALLERS = 6
RESTARTS = 8
OLD_ENTRY_S = 0.6  # time for which an old id stays listed after a restart


@pytest.fixture
def platform(tmp_path):
    """A VM before three servers that send half of their refusals twice."""
    platform = Platform(tmp_path, numbers={"pool": 1, "ledger": 3})
    rng = random.Random(57)
    for server in platform.servers["ledger"]:
        server.checks_name = True
        server.default = work_first(answer_complete, 0.03)
        server.choose_copy_delay = lambda: rng.choice([None, 0.01, AT_NEXT_REQUEST])
    platform.start()
    yield platform
    platform.stop()


def ask_until(platform, stopping, caller, replies):
    """Send requests that run once, one after the other, each with its own id."""
    for number in itertools.count():
        if stopping.is_set():
            return
        request_id = f"c{caller}-{number}"
        reply = platform.nodes[0].ask(request_id, "/record/a", None)
        replies[request_id] = reply.status


def restart_under_another_id(platform, server, number):
    """Restart a server at its address; its old entry stays listed for a time."""
    old = server.name
    platform.thread.call(server.crash)
    server.name = f"i-restarted-{number}"
    server.crashed_at = None
    platform.thread.run(server.start(server.port))
    platform.write_server_entries()
    time.sleep(OLD_ENTRY_S)
    platform.append(names.SERVERS_TOPIC, [(old.encode(), b"")])


def test_requests_run_once_beside_servers_that_restart_and_repeat_refusals(platform):
    """Guards against requests that ran twice on the users' machines (TWICE)."""
    stopping, replies = threading.Event(), {}
    callers = [
        threading.Thread(target=ask_until, args=(platform, stopping, caller, replies))
        for caller in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    servers = platform.servers["ledger"]
    for number in range(RESTARTS):
        restart_under_another_id(platform, servers[number % len(servers)], number)
    stopping.set()
    for caller in callers:
        caller.join()
    runs = Counter(run for server in servers for run in server.runs)
    repeated = {request: count for request, count in runs.items() if count > 1}
    denied = [each for each, status in replies.items() if status in PROMISES]
    assert sum(server.copies for server in servers) > 0
    assert repeated == {}
    assert [request for request in denied if runs[request]] == []
    assert list(replies.values()).count(200) > len(replies) / 2
