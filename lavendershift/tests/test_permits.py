import asyncio
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.datagrams import Datagrams
from lavendershift.permits import (
    MAX_SAVED_PERMITS,
    MAX_UNANSWERED,
    MIN_RATE,
    PERMIT_VALIDITY,
    PermitBucket,
    PermitReply,
    Permits,
)
from lavendershift.serverlimits import LimitState, ServerLimits
from lavendershift.tests.virtualloop import VirtualLoop

SERVER = ("i-1", 1000)
MS = timedelta(milliseconds=1)


def count_granted(bucket, rate, urgency, seconds, step_ms=10, start_ms=0):
    """Return how many permits steady requests get from a bucket."""
    times = range(start_ms, start_ms + int(seconds * 1000), step_ms)
    return sum(not bucket.take(rate, urgency, at * MS) for at in times)


@pytest.mark.parametrize("rate", [0.5, 1.2, 4.0, 20.0])
@pytest.mark.parametrize("urgency", [0, 1, 5])
def test_steady_requests_get_the_rate_of_a_limit(rate, urgency):
    granted = count_granted(PermitBucket(timedelta()), rate, urgency, 20)
    assert 0.9 * rate * 20 - 2 <= granted <= rate * 20


def test_requests_after_a_pause_get_the_saved_permits_only():
    bucket = PermitBucket(timedelta())
    granted = [not bucket.take(4.0, 0, 60_000 * MS) for _ in range(10)]
    assert sum(granted) == MAX_SAVED_PERMITS


def test_a_bucket_starts_without_permits():
    """Another keeper may have granted permits just before."""
    bucket = PermitBucket(timedelta())
    assert bucket.take(4.0, 0, timedelta()) == 250 * MS


def test_urgent_requests_get_permits_that_others_leave():
    """Load: too many requests of a low rank, and an urgent one now and then."""
    bucket = PermitBucket(timedelta())
    granted = []
    for at in range(0, 20_000, 10):
        bucket.take(1.2, 5, at * MS)
        if at and at % 2_000 == 0:
            granted.append(not bucket.take(1.2, 0, at * MS))
    assert all(granted)


def test_a_refusal_tells_when_a_permit_is_due():
    bucket = PermitBucket(timedelta())
    wait = bucket.take(1.2, 3, 100 * MS)
    assert bucket.take(1.2, 3, 100 * MS + wait - MS)
    assert not bucket.take(1.2, 3, 100 * MS + wait + MS)


@pytest.mark.parametrize("rate", [0.0, 1e-9])
def test_a_limit_of_zero_lets_requests_through_that_may_learn_its_end(rate):
    granted = count_granted(PermitBucket(timedelta()), rate, 0, 60)
    assert granted == pytest.approx(60 * MIN_RATE, abs=1)


def pause(loop, seconds):
    """Let the event loop handle nothing for some time."""
    loop.selector.now += seconds


class Node:
    """Permits of one VM; messages to the others are passed to their handlers."""

    def __init__(self, loop, nodes, name, keeper):
        self.limits = ServerLimits(loop)
        self.datagrams = Datagrams()
        self.datagrams.send = self._send
        self.loop, self.nodes, self.name, self.keeper = loop, nodes, name, keeper
        self.is_silent = False
        self.delay_s = 0.001
        self.copies = 1
        self.outcomes = []
        self.permits = Permits(loop, self.limits, self.datagrams, self._find_keeper)
        self.permits.on_taken = self.outcomes.append
        nodes[name] = self

    def _find_keeper(self, server):
        return None if self.keeper == self.name else (self.keeper, 1)

    def _send(self, message, peers):
        for name, _ in peers:
            node = self.nodes[name]
            if not node.is_silent:
                handler = node.datagrams._handlers[type(message)]
                for _ in range(self.copies):
                    self.loop.call_later(self.delay_s, handler, message, (self.name, 1))

    def name_limit(self, rate):
        self.limits.note_response(SERVER, rate, self.loop.elapsed())


@pytest.fixture
def play():
    """Return a function that runs a coroutine function with nodes in virtual time."""

    def run(work, **keepers):
        loop = VirtualLoop()
        nodes = {}
        for name, keeper in keepers.items():
            Node(loop, nodes, name, keeper)
        try:
            return loop.run_until_complete(work(loop, nodes))
        finally:
            loop.close()

    return run


def test_a_vm_gets_permits_from_the_keeper_at_the_rate_of_the_limit(play):
    async def work(loop, nodes):
        nodes["a"].name_limit(2.0)
        granted = 0
        for _ in range(1000):
            granted += await nodes["a"].permits.take(SERVER, 0)
            await asyncio.sleep(0.01)
        return granted / loop.time(), nodes["b"].limits.find(SERVER)

    rate, known = play(work, a="b", b="b")
    assert 1.7 <= rate <= 2.0
    assert known == 2.0


def test_no_permit_is_needed_without_a_limit(play):
    async def work(loop, nodes):
        return [await nodes["a"].permits.take(SERVER, 0) for _ in range(50)]

    assert all(play(work, a="b", b="b"))


@pytest.mark.parametrize("lost", ["request", "reply"])
def test_no_request_is_sent_without_a_reply(play, lost):
    """The keeper is stopped or cut off, or a datagram is lost."""

    async def work(loop, nodes):
        node = nodes["a"]
        node.name_limit(100.0)
        nodes["b" if lost == "request" else "a"].is_silent = True
        started = loop.time()
        granted = await node.permits.take(SERVER, 0)
        waited = loop.time() - started
        return granted, waited, node.limits.find_wait(SERVER, 0), node.outcomes

    granted, waited, wait, outcomes = play(work, a="b", b="b")
    assert not granted
    assert waited <= 0.11
    assert timedelta() < wait <= 200 * MS
    assert outcomes == ["no_reply"]


def test_a_request_for_a_permit_is_forwarded_to_the_keeper_once(play):
    """VMs may disagree on the keeper while VMs join and leave."""

    async def work(loop, nodes):
        nodes["a"].name_limit(10.0)
        await nodes["a"].permits.take(SERVER, 0)
        await asyncio.sleep(1)
        return await nodes["a"].permits.take(SERVER, 0)

    assert play(work, a="b", b="c", c="c")


def test_vms_that_name_each_other_as_keeper_grant_nothing(play):
    async def work(loop, nodes):
        nodes["a"].name_limit(10.0)
        results = []
        for _ in range(20):
            results.append(await nodes["a"].permits.take(SERVER, 0))
            await asyncio.sleep(0.1)
        return results

    assert not any(play(work, a="b", b="c", c="b"))


def test_the_keeper_and_its_askers_know_the_newest_limit(play):
    async def work(loop, nodes):
        one, keeper = nodes["a"], nodes["b"]
        one.name_limit(10.0)
        keeper.limits.merge(SERVER, LimitState(0.5, 7))
        await one.permits.take(SERVER, 0)
        lowered = one.limits.find(SERVER)
        one.name_limit(None)
        assert await one.permits.take(SERVER, 0)
        one.name_limit(3.0)
        await one.permits.take(SERVER, 0)
        return lowered, keeper.limits.find(SERVER)

    assert play(work, a="b", b="b") == (0.5, 3.0)


def test_a_limit_that_the_keeper_knows_to_have_ended_needs_no_permit(play):
    async def work(loop, nodes):
        nodes["a"].name_limit(0.1)
        nodes["b"].limits.merge(SERVER, LimitState(None, 5))
        granted = await nodes["a"].permits.take(SERVER, 0)
        return granted, nodes["a"].limits.find(SERVER)

    assert play(work, a="b", b="b") == (True, None)


def test_a_bucket_counts_no_time_twice():
    clock = ManualClock()
    limits = ServerLimits(clock)
    limits.note_response(SERVER, 1.0, clock.elapsed())
    bucket = PermitBucket(clock.elapsed())
    granted = count_granted(bucket, 1.0, 0, 10)
    assert granted + count_granted(bucket, 1.0, 0, 10, start_ms=10_000) <= 20


@pytest.mark.parametrize("delay_ms", [120, 250, 400])
@pytest.mark.parametrize("rate", [1.2, 4.0])
def test_permits_in_late_replies_are_used(play, delay_ms, rate):
    """The keeper's event loop is behind: all replies come after their time-out.

    Each permit was lost, so that nothing was sent to the server.
    """

    async def work(loop, nodes):
        nodes["a"].name_limit(rate)
        nodes["b"].delay_s = delay_ms / 1000
        granted = 0
        for _ in range(1000):
            if not nodes["a"].limits.find_wait(SERVER, 0):
                granted += await nodes["a"].permits.take(SERVER, 0)
            await asyncio.sleep(0.03)
        return granted / loop.time()

    # The first permit is due 1 / rate after the start, and each waits for a request.
    assert 0.6 * rate <= play(work, a="b", b="b") <= rate


@pytest.mark.parametrize("copies", [2, 3])
def test_a_repeated_late_reply_grants_one_permit(play, copies):
    async def work(loop, nodes):
        node, keeper = nodes["a"], nodes["b"]
        node.name_limit(4.0)
        await asyncio.sleep(1)
        await node.permits.take(SERVER, 0)  # makes the keeper's bucket
        await asyncio.sleep(1)
        keeper.delay_s, keeper.copies = 0.15, copies
        assert not await node.permits.take(SERVER, 0)
        await asyncio.sleep(0.1)
        keeper.is_silent = True
        return [await node.permits.take(SERVER, 0) for _ in range(3)]

    assert play(work, a="b", b="b") == [True, False, False]


def test_a_late_permit_is_not_used_once_it_is_old(play):
    """Old permits and those granted since would together exceed a limit."""

    async def work(loop, nodes):
        node, keeper = nodes["a"], nodes["b"]
        node.name_limit(4.0)
        await node.permits.take(SERVER, 0)
        await asyncio.sleep(1)
        keeper.delay_s = 0.15
        assert not await node.permits.take(SERVER, 0)
        await asyncio.sleep(PERMIT_VALIDITY.total_seconds())
        keeper.is_silent = True
        return await node.permits.take(SERVER, 0)

    assert not play(work, a="b", b="b")


def test_a_permit_that_arrived_during_a_long_pause_is_not_used(play):
    """The VM that asked was paused, and its reply was read before its time-out ran."""

    async def work(loop, nodes):
        node = nodes["a"]
        node.name_limit(4.0)
        await node.permits.take(SERVER, 0)
        await asyncio.sleep(1)
        loop.call_later(0.0015, pause, loop, 0.6)
        return await node.permits.take(SERVER, 0)

    assert not play(work, a="b", b="b")


def test_a_late_permit_of_a_request_that_was_cancelled_is_used(play):
    """Its caller has left; the permit was lost with the request."""

    async def work(loop, nodes):
        node, keeper = nodes["a"], nodes["b"]
        node.name_limit(4.0)
        await node.permits.take(SERVER, 0)
        await asyncio.sleep(1)
        keeper.delay_s = 0.05
        asking = loop.create_task(node.permits.take(SERVER, 0))
        await asyncio.sleep(0.01)
        asking.cancel()
        await asyncio.sleep(0.1)
        keeper.is_silent = True
        return [await node.permits.take(SERVER, 0) for _ in range(2)]

    assert play(work, a="b", b="b") == [True, False]


@pytest.mark.parametrize("changes", [{"born": 999}, {"server": "i-2"}, {"number": 99}])
def test_a_late_reply_to_another_request_grants_nothing(play, changes):
    """It may be one to a request of the process that had this address before."""

    async def work(loop, nodes):
        node = nodes["a"]
        node.name_limit(4.0)
        sent = []
        node.datagrams.send = lambda message, peers: sent.append(message.number)
        assert not await node.permits.take(SERVER, 0)
        fields = {"number": sent[0], "server": SERVER[0], "born": SERVER[1]} | changes
        reply = PermitReply(**fields, rate=4.0, version=1, wait_s=0.0)
        node.datagrams._handlers[PermitReply](reply, ("b", 1))
        return await node.permits.take(SERVER, 0)

    assert not play(work, a="b", b="b")


def test_a_permit_of_the_process_before_a_restart_is_not_taken(play):
    """It was taken as the reply to the question that had the same number."""

    async def work(loop, nodes):
        node, keeper = nodes["a"], nodes["b"]
        node.name_limit(4.0)
        keeper.name_limit(4.0)
        await keeper.permits.take(SERVER, 0)  # makes the keeper's bucket
        await asyncio.sleep(1)
        node.delay_s = 0.05
        asking = loop.create_task(node.permits.take(SERVER, 0))
        await asyncio.sleep(0.02)
        asking.cancel()
        restarted = Node(loop, nodes, "a", "b")
        restarted.datagrams.send = lambda message, peers: None
        other = ("i-2", 1000)
        restarted.limits.note_response(other, 0.1, loop.elapsed())
        return await restarted.permits.take(other, 0)

    assert not play(work, a="b", b="b")


def test_a_late_permit_of_an_urgent_request_is_left_to_urgent_ones(play):
    async def work(loop, nodes):
        node, keeper = nodes["a"], nodes["b"]
        node.name_limit(4.0)
        await node.permits.take(SERVER, 0)
        await asyncio.sleep(1)
        keeper.delay_s = 0.15
        assert not await node.permits.take(SERVER, 1)
        await asyncio.sleep(0.1)
        keeper.is_silent = True
        return [await node.permits.take(SERVER, rank) for rank in (2, 0)]

    assert play(work, a="b", b="b") == [False, True]


def test_unanswered_requests_are_kept_in_bounded_memory(play):
    async def work(loop, nodes):
        node = nodes["a"]
        node.name_limit(4.0)
        nodes["b"].is_silent = True
        asking = [node.permits.take(SERVER, 0) for _ in range(MAX_UNANSWERED + 50)]
        await asyncio.gather(*asking)
        return len(node.permits._late._unanswered)

    assert play(work, a="b", b="b") == MAX_UNANSWERED


def test_a_vm_that_is_the_keeper_again_starts_without_permits(play):
    """Its saved permits would add to those that another keeper granted meanwhile.

    On a busy machine, VMs miss each other for moments, and the keeper changes often.
    """

    async def work(loop, nodes):
        node, other = nodes["a"], nodes["b"]
        node.name_limit(1.0)
        node.keeper = other.keeper = "a"
        await node.permits.take(SERVER, 0)
        node.keeper = other.keeper = "b"
        await node.permits.take(SERVER, 0)
        await asyncio.sleep(4)
        granted = [await node.permits.take(SERVER, 0) for _ in range(4)]
        node.keeper = other.keeper = "a"
        return granted + [await node.permits.take(SERVER, 0) for _ in range(4)]

    granted = play(work, a="a", b="b")
    assert sum(granted) == MAX_SAVED_PERMITS
