"""Tests of responses that look like a refusal of a request that runs."""

import asyncio

import pytest

from lavendershift.platform.callerresponses import choose_status
from lavendershift.platform.tests.test_repeatedrequests import (
    choose_in_order,
    deliver,
    list_runs,
)
from lavendershift.platform.tests.test_staleresponses import (
    EMPTY,
    KINDS,
    NOT_RUN,
    PROMISES,
    answer_own,
    make_refusal,
    write_before,
)
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import (
    answer_complete,
    make_head,
    write_chunk,
)

ONCE = [kind for kind, options in KINDS.items() if options["repeat"] is Repeat.NEVER]
ID = b"X-Lavendershift-Attempt-Id: "
OWN = ID + b"r1\r\n"
OTHER = ID + b"r0\r\n"
# Each is no refusal of request r1.
HEADS = {
    "two ids": (OWN, OTHER),
    "two ids, own last": (OTHER, OWN),
    "own id twice": (OWN, OWN),
    "ids in one header": (ID + b"r1, r0\r\n",),
    "capital letter": (ID + b"R1\r\n",),
    "space within": (ID + b"r 1\r\n",),
    "quoted": (ID + b'"r1"\r\n',),
    "longer": (ID + b"r10\r\n",),
    "part": (ID + b"r\r\n",),
    "empty": (ID + b"\r\n",),
    "folded": (ID + b"r1\r\n r0\r\n",),
}


def check_once(scene, response, error):
    """Check that a request ran at one server, and that its end denies no run."""
    assert len(list_runs(scene, "r1")) == 1
    assert response.status not in PROMISES
    assert error is None or choose_status(error.answer) not in PROMISES


async def deliver_to_one_of_two(scene, behaviour, kind="once", is_kept=False):
    """Deliver r1 to a server with a behaviour; another one would answer."""
    server = await scene.add_server()
    server.default = behaviour
    other = await scene.add_server()
    other.default = answer_own
    choose_in_order(scene, server.name, other.name)
    if is_kept:
        server.script.append(answer_complete)
        await deliver(scene, kind, 5)
    return await deliver(scene, kind)


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("status", [503, 421])
def test_refusal_with_another_spelling_of_the_id_is_no_proof(
    play, status, head, is_kept
):
    """Guards against a second run after a refusal of another request (TWICE)."""

    async def work(scene):
        refusal = make_refusal(status, *HEADS[head], NOT_RUN, EMPTY)
        behaviour = write_before(refusal)
        result = await deliver_to_one_of_two(scene, behaviour, is_kept=is_kept)
        check_once(scene, *result)

    play(work)


async def answer_cut(received, writer):
    """Begin a chunked response, and go on with a refusal of the same request."""
    headers = {"Transfer-Encoding": "chunked", "Content-Type": "text/event-stream"}
    writer.write(make_head(received, 200, headers))
    write_chunk(writer, b"id: 1\n")
    await writer.drain()
    await asyncio.sleep(0.01)
    writer.write(make_refusal(503, OWN, NOT_RUN, EMPTY))


@pytest.mark.parametrize("kind", ONCE)
def test_refusal_after_the_begin_of_a_response_is_no_proof(play, kind):
    """Guards against a refusal that is read in the place of a chunk (TWICE)."""

    async def work(scene):
        check_once(scene, *await deliver_to_one_of_two(scene, answer_cut, kind))

    play(work)


INTERIM = {
    "103": b"HTTP/1.1 103 Early Hints\r\n" + OWN + NOT_RUN + b"\r\n",
    "100": b"HTTP/1.1 100 Continue\r\n" + OWN + NOT_RUN + b"\r\n",
    "100, length": b"HTTP/1.1 100 Continue\r\n" + OWN + NOT_RUN + EMPTY + b"\r\n",
    "199": b"HTTP/1.1 199 -\r\n" + OWN + NOT_RUN + b"\r\n",
}


@pytest.mark.parametrize("interim", INTERIM)
@pytest.mark.parametrize("kind", ONCE)
def test_informational_response_is_no_refusal(play, kind, interim):
    """Guards against a second run after an informational response (TWICE)."""

    async def work(scene):
        behaviour = write_before(INTERIM[interim])
        check_once(scene, *await deliver_to_one_of_two(scene, behaviour, kind))

    play(work)


async def answer_head(received, writer):
    writer.write(make_head(received, 200, {"Content-Length": "500"}))


HEAD_STALE = {
    "empty": make_refusal(503, OTHER, NOT_RUN, EMPTY),
    "with a body": make_refusal(503, OTHER, NOT_RUN, b"Content-Length: 4\r\n")
    + b"full",
    "without its body": make_refusal(421, OTHER, b"Content-Length: 4\r\n"),
    "a refusal as its body": make_refusal(503, OTHER, b"Content-Length: 200\r\n")
    + make_refusal(503, NOT_RUN, EMPTY),
    "without an id": make_refusal(503, NOT_RUN, EMPTY),
}


@pytest.mark.parametrize("stale", HEAD_STALE)
def test_refusal_of_an_earlier_request_is_no_proof_for_head(play, stale):
    """Guards against refusals read as part of the reply to HEAD (TWICE)."""

    async def work(scene):
        server = await scene.add_server(answer_complete)
        server.default = write_before(HEAD_STALE[stale], answer=answer_head)
        other = await scene.add_server()
        other.default = answer_head
        choose_in_order(scene, server.name, other.name)
        await deliver(scene, "once", 5)
        make_request = scene.make_request
        scene.make_request = lambda number: make_request(number)._replace(method="HEAD")
        check_once(scene, *await deliver(scene, "once"))

    play(work)


async def refuse_twice(received, writer):
    refusal = make_refusal(503, ID + received.id.encode() + b"\r\n", NOT_RUN, EMPTY)
    writer.write(refusal * 2)


def test_two_refusals_in_one_segment_refuse_one_request(play):
    """Guards against the second one being read by the next request (REFUSED)."""

    async def work(scene):
        server = await scene.add_server(refuse_twice)
        server.default = answer_own
        choose_in_order(scene, server.name)
        await deliver(scene, "once", 5)
        response, error = await deliver(scene, "once")
        check_once(scene, response, error)
        assert response.status == 200

    play(work)
