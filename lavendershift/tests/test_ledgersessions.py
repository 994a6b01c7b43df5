import asyncio
from datetime import timedelta

import pytest

from lavendershift.clocks import SystemClock
from lavendershift.ledger import Ledger
from lavendershift.ledgersessions import LedgerSession, SessionSettings
from lavendershift.records import Checkpoint, Evict, Join, Recall, decode_entry
from lavendershift.streamfollowers import read_checkpoint
from lavendershift.tools.memory_log import MemoryLog

STREAM = "ledger-0"
CHECKPOINTS = f"{STREAM}-checkpoints"
PREPAID = 10_000
SETTINGS = SessionSettings("r0", "rennes", 1, 10**6, timedelta(hours=48))


def find_prepaid(budget, offset):
    return PREPAID


async def skip_config_wait(offset):
    pass


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


def make_session(log):
    def rejoin():
        session.rejoin("r0.2-b")

    session = LedgerSession(
        STREAM,
        log,
        SETTINGS,
        SystemClock(),
        "r0.1-a",
        find_prepaid,
        skip_config_wait,
        lambda: 0,
        rejoin,
    )
    return session


def replay_stream(log):
    ledger = Ledger(STREAM, find_prepaid)
    for raw in log.find_stream(STREAM).entries:
        ledger.apply(decode_entry(STREAM, *raw))
    return ledger


async def take_grant(session, tokens):
    book, writer = session.participant.book, session.participant.writer
    writer.submit_record(book.request_grant("acme", tokens, 0))
    await wait_until(lambda: book.account("acme").free == tokens)


@pytest.mark.parametrize("evicted", [False, True])
def test_a_router_that_missed_expired_records_returns_its_tokens_and_rejoins(evicted):
    async def scenario():
        log = MemoryLog()
        await log.append_records(STREAM, [Join("r1.1-z/1", "r1.1-z", "r1", "d", 0)])
        session = make_session(log)
        await session.start()
        await wait_until(lambda: session.joined)
        await take_grant(session, 1000)
        previous = session.participant
        reserved = previous.book.reserve("acme", 500, "acme/k", "a1").unwrap()

        log.available = False
        await asyncio.sleep(0.3)
        log.available = True
        stream = log.find_stream(STREAM)
        expired = [Recall(f"r1.1-z/{n}", "acme", "r1.1-z", 1) for n in range(2, 9)]
        if evicted:
            expired.append(Evict("r1.1-z/9", "r0.1-a", "r1"))
        stream.first_offset = len(stream.entries) + len(expired)
        await log.append_records(STREAM, expired)
        parts = replay_stream(log).make_checkpoint("c")
        await log.append_records(CHECKPOINTS, parts)

        await wait_until(lambda: session.participant is not previous and session.joined)
        charge = previous.book.settle(reserved, 200)
        previous.writer.submit_record(charge)
        await wait_until(lambda: previous.book.closed)
        await wait_until(lambda: not session.ledger.find_held("acme", "r0.1-a"))
        view = session.ledger.find_budget("acme")
        assert (view.spent, view.billed, view.in_doubt) == (200, 200, 0)
        assert view.available == PREPAID - 200
        await take_grant(session, 700)
        await session.stop()

    asyncio.run(scenario())


def test_a_late_checkpoint_is_skipped_if_records_after_it_expired():
    async def scenario():
        log = MemoryLog()
        for offset, part in ((900, 0), (900, 1), (300, 0), (300, 1), (950, 0)):
            record = Checkpoint(f"c{offset}", STREAM, offset, part, 2, "x")
            await log.append_records(CHECKPOINTS, [record])
        stream = log.find_stream(STREAM)
        stream.entries = [(n, n, None) for n in range(1000)]
        stream.first_offset = 600
        parts = await read_checkpoint(log, STREAM)
        assert [(p.next_offset, p.part) for p in parts] == [(900, 0), (900, 1)]
        stream.first_offset = 960
        assert await read_checkpoint(log, STREAM) == []

    asyncio.run(scenario())


class ExpiringLog(MemoryLog):
    """Expires the first entry of ``stream`` after each of its first ``times`` reads."""

    def __init__(self, stream, times):
        super().__init__()
        self.expiring, self.times = stream, times

    async def read_raw(self, stream, offset, limit, wait):
        try:
            return await super().read_raw(stream, offset, limit, wait)
        finally:
            if stream == self.expiring and self.times:
                self.times -= 1
                self.find_stream(stream).first_offset += 1


@pytest.mark.parametrize("expiring", [STREAM, CHECKPOINTS])
@pytest.mark.parametrize("times", [1, 2, 3, 4])
def test_a_checkpoint_is_found_if_entries_expire_between_reads(expiring, times):
    async def scenario():
        log = ExpiringLog(expiring, times)
        for offset in range(900, 920):
            record = Checkpoint(f"c{offset}", STREAM, offset, 0, 1, "x")
            await log.append_records(CHECKPOINTS, [record])
        last = [Checkpoint("c950", STREAM, 950, part, 2, "x") for part in (0, 1)]
        await log.append_records(CHECKPOINTS, last)
        log.find_stream(STREAM).entries = [(n, n, None) for n in range(1000)]
        log.find_stream(STREAM).first_offset = 600
        log.find_stream(CHECKPOINTS).first_offset = 16
        assert await read_checkpoint(log, STREAM) == last

    asyncio.run(scenario())
