"""Tests that servers of evacuated failure domains get no requests."""

import asyncio
import time

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.evacuation.evacuations import EVACUATION_RETRY, Evacuations
from lavendershift.platform import names
from lavendershift.platform.evacuations import apply_evacuations
from lavendershift.platform.store import Record
from lavendershift.platform.tests.live_nodes import Platform, wait_for
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import stream

CONFIGURATION = Record(1, names.CONFIGURATION_KEY, b"{}")


def evacuate(zone, value=b"{}"):
    return Record(2, b"evacuate/" + zone.encode(), value)


def apply(evacuations, *records, is_snapshot=False):
    odd = []
    apply_evacuations(evacuations, list(records), is_snapshot, odd.append)
    return odd


@pytest.fixture
def evacuations():
    evacuations = Evacuations()
    apply(evacuations, CONFIGURATION, evacuate("rennes"), is_snapshot=True)
    return evacuations


def test_an_evacuation_lasts_until_its_record_is_deleted(evacuations):
    apply(evacuations)
    apply(evacuations, CONFIGURATION, evacuate("brest"))
    assert evacuations.includes("rennes")
    apply(evacuations, evacuate("rennes", b""))
    assert not evacuations.includes("rennes")
    assert evacuations.includes("brest")


def test_a_deletion_that_was_missed_is_noticed_by_the_newest_records(evacuations):
    changes = []
    evacuations.on_change = lambda *change: changes.append(change)
    apply(evacuations, CONFIGURATION, is_snapshot=True)
    assert changes == [("rennes", False)]


def test_newest_records_without_a_configuration_end_no_evacuation(evacuations):
    """A store that lost its records is written to one record after the other."""
    apply(evacuations, is_snapshot=True)
    assert evacuations.includes("rennes")


def test_the_newest_of_several_records_counts(evacuations):
    apply(evacuations, evacuate("rennes", b""), evacuate("rennes"), evacuate("lille"))
    apply(evacuations, evacuate("lille", b""))
    assert evacuations.includes("rennes")
    assert not evacuations.includes("lille")


def test_an_odd_key_is_skipped_alone(evacuations):
    assert len(apply(evacuations, evacuate("a\x00b"), evacuate("brest"))) == 1
    assert evacuations.count() == 2


@pytest.mark.parametrize("repeat", list(Repeat))
def test_requests_go_to_other_domains_and_those_in_flight_go_on(play, repeat):
    async def work(scene):
        evacuated = await scene.add_server(stream(5, pause_s=0.1))
        scene.list_server(evacuated, failure_domain="rennes")
        running = asyncio.ensure_future(scene.deliver(is_stream=True, repeat=repeat))
        while not evacuated.received:
            await asyncio.sleep(0.01)
        scene.servers.evacuations.begin("rennes")
        other = await scene.add_server()
        assert await scene.deliver_sequentially(repeat=repeat) == []
        assert (await running).is_done
        assert len(evacuated.received) == 1
        assert len(other.received) == 6

    play(work)


def test_a_resumed_stream_does_not_go_to_an_evacuated_domain(play):
    async def work(scene):
        first = await scene.add_server(stream(8, cut_after=3))
        running = asyncio.ensure_future(
            scene.deliver(is_stream=True, repeat=Repeat.RESUME)
        )
        while not first.received:
            await asyncio.sleep(0.01)
        other = await scene.add_server()
        scene.list_server(other, failure_domain="rennes")
        scene.servers.evacuations.begin("rennes")
        with pytest.raises(RequestError):
            await running
        assert other.received == []

    play(work)


def test_an_evacuation_that_begins_during_a_connect_binds_the_request(play):
    async def work(scene):
        server = await scene.add_server()
        scene.list_server(server, failure_domain="rennes")
        connect = scene.connections.connect

        async def connect_slowly(address, timeout):
            connection = await connect(address, timeout)
            scene.servers.evacuations.begin("rennes")
            return connection

        scene.connections.connect = connect_slowly
        with pytest.raises(RequestError):
            await scene.deliver()
        assert server.received == []
        assert scene.ends == [AttemptEnd.NOT_SENT]
        assert scene.notes[0].reason == "evacuated meanwhile"

    play(work)


def test_callers_are_told_to_return_when_all_servers_are_evacuated(play):
    async def work(scene):
        for _ in range(2):
            server = await scene.add_server()
            scene.list_server(server, failure_domain="rennes")
        scene.servers.evacuations.begin("rennes")
        errors = await scene.deliver_sequentially()
        assert {error.kind for error in errors} == {ErrorKind.NO_SERVER}
        assert {error.answer.ran for error in errors} == {Ran.NO}
        delays = {error.answer.retry_after for error in errors}
        assert min(delays) >= EVACUATION_RETRY
        assert len(delays) == 6

    play(work)


def test_a_node_applies_evacuations_within_a_second_and_at_its_start(tmp_path):
    """A VM served a failure domain that was evacuated before it started."""
    platform = Platform(tmp_path)
    platform.append(names.OPERATOR_TOPIC, [(b"evacuate/rennes", b"{}")])
    platform.start()
    try:
        (node,) = platform.nodes

        def ask(number):
            return node.ask(f"r{number}", path="/read/x", tokens=None).status

        assert ask(1) == 503
        assert node.find_log_lines("domain_evacuated", name="rennes", result="begun")
        metrics = node.get(9464, "/metrics").body.decode()
        assert "lavendershift_domains_evacuated 1.0" in metrics
        platform.append(names.OPERATOR_TOPIC, [(b"evacuate/rennes", b"")])
        wait_for(lambda: ask(2) == 200, "the end of the evacuation")
        assert node.find_log_lines("domain_evacuated", name="rennes", result="ended")
        platform.append(names.OPERATOR_TOPIC, [(b"evacuate/rennes", b"{}")])
        time.sleep(1.0)
        assert [ask(n) for n in range(3, 9)] == [503] * 6
        assert [platform.count_runs(f"r{n}") for n in (1, *range(3, 9))] == [0] * 7
    finally:
        platform.stop()
