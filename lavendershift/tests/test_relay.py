import asyncio
from datetime import timedelta

import msgspec

from lavendershift.messages import (
    MAX_MESSAGE_BYTES,
    AppendRequest,
    Failure,
    ReadRequest,
    decode_message,
    encode_message,
)
from lavendershift.relay import MAX_STREAMS, Relay
from lavendershift.sessions import CURRENT_WITHIN
from lavendershift.tools.memory_log import MemoryLog

CHECKPOINT = ["checkpoint", "c", "s", 1, 0, 1, "x" * 128 * 1024]


def run(scenario, capacity=1000):
    async def main():
        log = MemoryLog()
        relay = Relay(log, capacity, timedelta())

        async def ask(message):
            data = encode_message(await relay.handle_message(message))
            assert len(data) <= MAX_MESSAGE_BYTES
            return decode_message(data)

        try:
            await scenario(log, relay, ask)
        finally:
            await relay.stop()

    asyncio.run(main())


async def read_all(ask, stream, count):
    """Read entries with large limits, waiting until the cache has followed."""
    entries = []
    async with asyncio.timeout(20):
        while len(entries) < count:
            reply = await ask(ReadRequest(stream, len(entries), 1000, 100))
            assert reply.next_offset == len(entries) + len(reply.entries)
            entries += reply.entries
    return entries


def test_replies_fit_into_a_message_whatever_the_records_are():
    async def scenario(log, relay, ask):
        for stream in ("ledger-0", "ledger-0-checkpoints"):
            await log.append_raw(stream, [CHECKPOINT] * 100)
            for _ in range(2):  # at first from the log, then from the cache
                entries = await read_all(ask, stream, 100)
                assert [entry[0] for entry in entries] == list(range(100))
                assert entries[-1][2] == CHECKPOINT
                await asyncio.sleep(0.05)

    run(scenario)


def test_caches_are_bounded_in_bytes_and_checkpoints_are_not_cached():
    async def scenario(log, relay, ask):
        await log.append_raw("ledger-0", [CHECKPOINT] * 400)
        await log.append_raw("ledger-0-checkpoints", [CHECKPOINT] * 10)
        await read_all(ask, "ledger-0-checkpoints", 10)
        await read_all(ask, "ledger-0", 400)
        await asyncio.sleep(0.05)
        assert list(relay._tails) == ["ledger-0"]
        cache = relay._tails["ledger-0"].cache
        assert cache.next_offset == 400
        kept = 400 - cache.first_offset
        assert kept * len(msgspec.msgpack.encode(CHECKPOINT)) <= 32 * 1024 * 1024

    run(scenario)


def test_appends_that_wait_together_become_one():
    async def scenario(log, relay, ask):
        requests = [AppendRequest("s", [["recall", n]]) for n in range(50)]
        replies = await asyncio.gather(*map(ask, requests))
        assert [reply.first_offset for reply in replies] == list(range(50))
        assert log.appends == 1

    run(scenario)


def test_the_streams_followed_are_bounded_and_further_ones_still_read():
    async def scenario(log, relay, ask):
        for number in range(MAX_STREAMS + 20):
            stream = f"s{number}"
            await log.append_raw(stream, [["evict", "x", "i", "a"]])
            assert len((await ask(ReadRequest(stream, 0, 10, 5))).entries) <= 1
        reply = await ask(ReadRequest(stream, 0, 10, 5))
        assert [entry[0] for entry in reply.entries] == [0]
        assert len(asyncio.all_tasks()) <= MAX_STREAMS + 10

    run(scenario)


class SilentLog(MemoryLog):
    """Answers no read while ``silent``, also of those that wait already."""

    silent = False

    async def read_raw(self, stream, offset, limit, wait):
        page = await super().read_raw(stream, offset, limit, wait)
        if self.silent:
            await asyncio.Event().wait()
        return page


def test_a_relay_that_the_log_does_not_answer_does_not_pass_on_an_old_end():
    async def main():
        log = SilentLog()
        relay = Relay(log, 1000, timedelta())
        await log.append_raw("ledger-0", [["recall", 1]])
        await read_all(relay.handle_message, "ledger-0", 1)
        log.silent = True
        await log.append_raw("ledger-0", [["recall", 2]])
        await asyncio.sleep(CURRENT_WITHIN.total_seconds())
        reply = await relay.handle_message(ReadRequest("ledger-0", 1, 1000, 100))
        await relay.stop()
        assert isinstance(reply, Failure)

    asyncio.run(main())
