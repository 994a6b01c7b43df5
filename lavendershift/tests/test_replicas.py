import asyncio
from datetime import timedelta

from lavendershift.clocks import ManualClock
from lavendershift.completions import Usage
from lavendershift.messages import AttemptNote, AttemptsNotice, Heartbeat
from lavendershift.records import Recover
from lavendershift.replicas import NOTE_LIFETIME, AttemptReplica, AttemptSender

NOTE = AttemptNote("r1.1-a", "r1.1-a-1", "desks/a/b/k1", "acme", "127.0.0.1:1")
OTHER_NOTE = NOTE._replace(attempt="r1.1-a-2", request="desks/a/b/k2")


class Peer:
    """A peer that applies notices, unless it is lost."""

    def __init__(self, clock):
        self.lost = False
        self.clock = clock
        self.submitted = []
        self.replica = AttemptReplica("r2", self, self._submit, clock)

    def _submit(self, budget, make_record):
        self.submitted.append(make_record(f"r2.1-b/{len(self.submitted) + 1}"))

    async def wait_usage(self, address, attempt):
        await asyncio.sleep(0)
        return Usage(10, 5) if attempt == NOTE.attempt else None

    async def notify(self, vm, notice):
        if not self.lost:
            self.replica.apply_notice(notice)
        return not self.lost


def make_sender(peers):
    heartbeats = {
        vm: Heartbeat(vm, f"{vm}.1-x", domain, True, 0, 0)
        for vm, domain in [("r2", "quimper"), ("r3", "rennes")]
    }

    async def notify(vm, notice):
        return await peers[vm].notify(vm, notice)

    clock = peers["r2"].clock
    return AttemptSender("rennes", lambda: "r1.1-a", lambda: heartbeats, notify, clock)


async def evict(peer):
    peer.replica.recover("r1.1-a")
    for _ in range(5):
        await asyncio.sleep(0)
    return peer.submitted


def test_uncharged_attempts_of_an_evicted_router_are_charged_by_its_peer():
    async def run():
        peers = {"r2": Peer(ManualClock()), "r3": Peer(ManualClock())}
        sender = make_sender(peers)
        sender.note_sent(NOTE)
        sender.note_sent(OTHER_NOTE)
        await sender.flush()
        assert await evict(peers["r3"]) == []  # in the router's own failure domain
        submitted = await evict(peers["r2"])
        expected = Recover(
            "r2.1-b/1", "acme", "r1.1-a", NOTE.request, 15, NOTE.attempt, "r2"
        )
        assert submitted == [expected]
        assert await evict(peers["r2"]) == [expected]

    asyncio.run(run())


def test_a_charged_attempt_is_not_charged_again():
    async def run():
        peers = {"r2": Peer(ManualClock()), "r3": Peer(ManualClock())}
        sender = make_sender(peers)
        sender.note_sent(NOTE)
        await sender.flush()
        sender.note_charged(NOTE.attempt)
        await sender.flush()
        assert await evict(peers["r2"]) == []

    asyncio.run(run())


def test_all_open_attempts_are_sent_after_a_lost_notice():
    async def run():
        peers = {"r2": Peer(ManualClock()), "r3": Peer(ManualClock())}
        sender = make_sender(peers)
        sender.note_sent(OTHER_NOTE)
        await sender.flush()
        peers["r2"].lost = True
        sender.note_sent(NOTE)
        sender.note_charged(OTHER_NOTE.attempt)
        await sender.flush()
        peers["r2"].lost = False
        await sender.flush()
        assert [r.attempt for r in await evict(peers["r2"])] == [NOTE.attempt]

    asyncio.run(run())


def test_attempts_of_a_closed_incarnation_are_not_charged():
    async def run():
        peer = Peer(ManualClock())
        peer.replica.apply_notice(AttemptsNotice("r1.1-a", True, [NOTE], []))
        peer.replica.forget("r1.1-a")
        assert await evict(peer) == []

    asyncio.run(run())


def test_expired_notes_are_not_charged():
    async def run():
        peer = Peer(ManualClock())
        peer.replica.apply_notice(AttemptsNotice("r1.1-a", True, [NOTE], []))
        peer.clock.advance(NOTE_LIFETIME + timedelta(seconds=1))
        assert await evict(peer) == []

    asyncio.run(run())
