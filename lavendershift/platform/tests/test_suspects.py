"""Tests of deliveries to servers that crash on parts of prompts."""

import asyncio

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.platform.tests.conftest import RecordedResponse
from lavendershift.quarantine import QuarantineState
from lavendershift.routes import Repeat
from lavendershift.serverstates import PromptPart, PromptShape
from lavendershift_standins.platformserver import (
    CrashOutput,
    answer_error,
    close,
    keep_silent,
    make_event,
    reset,
    send_invalid_http,
    stream,
)

MAX_CRASHES = 5  # crashes after which requests with the part have to stop
STABLE_WINDOW_S = 3.0  # time until they have to
MAX_LATE = 3  # requests that may still reach servers after that


def make_prompt(*parts):
    return PromptShape(tuple(PromptPart(part, 10) for part in parts), 30, 10)


async def add_crashing(scene, output=CrashOutput.HEAD):
    server = await scene.add_server()
    server.default = stream(4)
    server.crash_parts = {"dead"}
    server.crash_output = output
    return server


def make_request(scene, number, *parts):
    request = scene.make_request(number)._replace(prompt=make_prompt(*parts))
    entries = ",".join(f"{part}:10" for part in parts)
    request.headers["X-Lavendershift-Prompt-Prefix"] = entries
    return request


async def send(scene, number, *parts, **options):
    """Deliver a request and return its error kind, ``None`` if there was none."""
    request = make_request(scene, number, *parts)
    options = {"is_stream": True, "repeat": Repeat.RESUME, "attempts": 2} | options
    try:
        await scene.deliver(request=request, **options)
    except RequestError as error:
        return error.kind
    return None


@pytest.mark.parametrize("output", [CrashOutput.HEAD, CrashOutput.PARTIAL_EVENT])
def test_a_request_that_may_have_crashed_its_server_is_not_repeated(play, output):
    async def work(scene):
        servers = [await add_crashing(scene, output) for _ in range(4)]
        assert await send(scene, 1, "a", "dead", "x") is ErrorKind.SERVER_FAILED
        assert sum(server.crashed_at is not None for server in servers) == 1

    play(work)


def test_the_second_crash_of_a_repeated_request_counts_as_begun(play):
    """All servers crash in one wave before any of them has sent a head."""

    async def work(scene):
        crashes = []
        scene.crashes.on_crash = lambda *crash: crashes.append(crash)
        for _ in range(4):
            await add_crashing(scene, CrashOutput.NOTHING)
        assert await send(scene, 1, "a", "dead", "x", attempts=4) is not None
        assert [suspect.has_begun for _, (suspect,) in crashes] == [False, True]

    play(work)


@pytest.mark.parametrize("resets", [True, False])
@pytest.mark.parametrize("output", [CrashOutput.HEAD, CrashOutput.PARTIAL_EVENT])
def test_a_crash_in_a_stream_without_a_length_is_no_end_of_it(play, output, resets):
    """A process that ends may close its connections as after a complete stream."""

    async def work(scene):
        crashes = []
        scene.crashes.on_crash = lambda *crash: crashes.append(crash)
        server = await add_crashing(scene, output)
        server.resets_at_crash = resets
        answer = RecordedResponse()
        request = make_request(scene, 1, "a", "dead", "x")
        with pytest.raises(RequestError):
            await scene.make_delivery(answer, request=request, is_stream=True).run()
        assert not answer.is_done
        assert answer.body == b""
        ((_, (suspect,)),) = crashes
        assert suspect.has_begun

    play(work)


@pytest.mark.parametrize("resumed_events", [0, 2])
@pytest.mark.parametrize("partial", [0, 5])
def test_a_stream_without_a_length_that_ends_too_early_is_resumed(
    play, resumed_events, partial
):
    """The first server ends inside an event, the second before or inside its first."""

    async def work(scene):
        cut = stream(
            6, cut_after=resumed_events, partial=5, cut=close, is_chunked=False
        )
        again = stream(6, cut_after=0, partial=partial, cut=close, is_chunked=False)
        await scene.add_server(cut)
        await scene.add_server(again)
        last = await scene.add_server()
        last.default = stream(6, is_chunked=False)
        scene.servers.choose = lambda service, prompt, excluded, urgency: (
            scene.servers.find(f"i-{len(excluded)}")
        )
        answer = await scene.deliver(is_stream=True, repeat=Repeat.RESUME, attempts=3)
        assert answer.is_done
        assert answer.body == b"".join(make_event(number) for number in range(1, 7))

    play(work)


@pytest.mark.parametrize("partial", [0, 5])
def test_a_stream_that_may_not_be_resumed_and_ends_too_early_is_an_error(play, partial):
    async def work(scene):
        behaviour = stream(6, cut_after=0, partial=partial, cut=close, is_chunked=False)
        await scene.add_server(behaviour)
        answer = RecordedResponse()
        with pytest.raises(RequestError):
            await scene.make_delivery(answer, is_stream=True).run()
        assert not answer.is_done

    play(work)


@pytest.mark.parametrize("count", [1, 4])
def test_a_stream_without_a_length_ends_with_its_connection(play, count):
    async def work(scene):
        await scene.add_server(stream(count, is_chunked=False))
        answer = await scene.deliver(is_stream=True)
        assert answer.is_done
        assert answer.body.count(b"\n\n") == count

    play(work)


@pytest.mark.parametrize("output", list(CrashOutput))
def test_few_servers_crash_and_sound_prompts_are_served(play, output):
    async def work(scene):
        servers = [await add_crashing(scene, output) for _ in range(24)]
        for number in range(30):
            await send(scene, number, "a", "dead", f"x{number}")
            assert await send(scene, 100 + number, "a", f"y{number}", "z") is None
            await asyncio.sleep(0.15)
        crashes = sorted(s.crashed_at for s in servers if s.crashed_at is not None)
        late = [
            at
            for at in crashes[MAX_CRASHES:]
            if at > crashes[MAX_CRASHES - 1] + STABLE_WINDOW_S
        ]
        assert len(late) <= MAX_LATE
        with pytest.raises(RequestError) as caught:
            request = make_request(scene, 99, "b", "dead", "x")
            await scene.deliver(request=request, is_stream=True)
        assert caught.value.kind is ErrorKind.QUARANTINED
        assert caught.value.answer.ran is Ran.NO

    play(work)


def test_a_sound_request_that_a_crash_breaks_off_goes_on_at_another_server(play):
    async def work(scene):
        crashing = await add_crashing(scene)
        crashing.default = keep_silent
        waiting = asyncio.ensure_future(send(scene, 1, "a", "b", "own"))
        while not crashing.received:
            await asyncio.sleep(0.01)
        other = await add_crashing(scene)
        crashing.crash()
        assert await waiting is None
        assert [received.id for received in other.received] == ["r1"]

    play(work)


def test_a_known_sound_request_that_had_begun_is_repeated(play):
    async def work(scene):
        other = await add_crashing(scene)
        assert await send(scene, 1, "a", "b", "own1") is None
        other.default = stream(4, cut_after=0, partial=3, cut=keep_silent)
        waiting = asyncio.ensure_future(send(scene, 2, "a", "b", "own2"))
        while len(other.received) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        sound = await add_crashing(scene)
        other.crash()
        assert await waiting is None
        assert [received.id for received in sound.received] == ["r2"]

    play(work)


def test_requests_in_flight_with_a_quarantined_part_are_stopped(play):
    async def work(scene):
        server = await add_crashing(scene)
        server.read_s = 0.3
        waiting = asyncio.ensure_future(send(scene, 1, "a", "dead", "own"))
        while not server.received:
            await asyncio.sleep(0.01)
        at = scene.clock.elapsed() * 2
        scene.quarantine.on_change = lambda parts, *_: scene.crashes.stop_exposed(parts)
        scene.quarantine.merge(("dead",), QuarantineState(True, 1, 0, at))
        assert await waiting is ErrorKind.SERVER_FAILED
        await asyncio.sleep(0.4)
        assert server.crashed_at is None
        # The end of the connection is not booked to the server.
        listed = scene.servers.find(server.name)
        assert not scene.servers.is_avoided(listed)
        assert await send(scene, 2, "a", "b", "own") is None

    play(work)


def test_a_part_quarantined_during_a_connect_is_not_sent(play):
    async def work(scene):
        server = await add_crashing(scene)
        connect = scene.connections.connect

        async def connect_slowly(address, timeout):
            connection = await connect(address, timeout)
            at = scene.clock.elapsed() * 2
            scene.quarantine.merge(("dead",), QuarantineState(True, 1, 0, at))
            return connection

        scene.connections.connect = connect_slowly
        assert await send(scene, 1, "a", "dead", "x") is ErrorKind.QUARANTINED
        assert server.received == []
        assert scene.ends == [AttemptEnd.QUARANTINED]

    play(work)


@pytest.mark.parametrize(
    "behaviour",
    [
        reset,
        answer_error,
        send_invalid_http,
        stream(4, cut_after=0, partial=0),
        stream(4, cut_after=0, partial=5),
        stream(4, cut_after=2),
    ],
)
def test_a_server_that_goes_on_has_not_crashed(play, behaviour):
    async def work(scene):
        crashes = []
        scene.crashes.on_crash = lambda *crash: crashes.append(crash)
        await scene.add_server(*[behaviour] * 6)
        for number in range(6):
            await send(scene, number, "a", "b", f"x{number}")
        assert crashes == []

    play(work)


def test_a_server_that_leaves_has_not_crashed(play):
    async def work(scene):
        crashes = []
        scene.crashes.on_crash = lambda *crash: crashes.append(crash)
        server = await add_crashing(scene)
        server.default = keep_silent
        waiting = asyncio.ensure_future(send(scene, 1, "a", "b", "own"))
        while not server.received:
            await asyncio.sleep(0.01)
        scene.list_server(server, is_leaving=True, sequence=2)
        server.crash()
        assert await waiting is not None
        assert crashes == []

    play(work)


def test_streams_with_events_are_no_suspects_of_a_crash(play):
    async def work(scene):
        crashes = []
        scene.crashes.on_crash = lambda *crash: crashes.append(crash)
        server = await add_crashing(scene)
        server.default = stream(4, cut_after=2, cut=keep_silent)
        waiting = asyncio.ensure_future(
            send(scene, 1, "a", "b", "own", repeat=Repeat.NEVER)
        )
        while not server.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        server.crash()
        assert await waiting is ErrorKind.ANSWER_TRUNCATED
        assert crashes == []

    play(work)
