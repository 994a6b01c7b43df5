import asyncio
from datetime import timedelta

import msgspec

from lavendershift.ledgersessions import MAX_RESPONSE_AGE
from lavendershift.messages import (
    MAX_MESSAGE_BYTES,
    AppendRequest,
    Failure,
    ReadRequest,
    decode_message,
    encode_message,
)
from lavendershift.relay import MAX_STREAMS, Relay
from lavendershift.tools.memory_log import MemoryLog

CHECKPOINT = ["checkpoint", "c", "s", 1, 0, 1, "x" * 128 * 1024]


def run(scenario, capacity=1000):
    async def main():
        log = MemoryLog()
        relay = Relay(log, capacity, timedelta())

        async def send(message):
            data = encode_message(await relay.handle_message(message))
            assert len(data) <= MAX_MESSAGE_BYTES
            return decode_message(data)

        try:
            await scenario(log, relay, send)
        finally:
            await relay.stop()

    asyncio.run(main())


async def read_all(send, stream, count):
    """Read ``count`` entries with large limits, waiting until they are cached."""
    entries = []
    async with asyncio.timeout(20):
        while len(entries) < count:
            reply = await send(ReadRequest(stream, len(entries), 1000, 100))
            assert reply.next_offset == len(entries) + len(reply.entries)
            entries += reply.entries
    return entries


def test_replies_fit_into_a_message_with_large_records():
    async def scenario(log, relay, send):
        for stream in ("ledger-0", "ledger-0-checkpoints"):
            await log.append_raw(stream, [CHECKPOINT] * 100)
            for _ in range(2):  # first from the log, then from the cache
                entries = await read_all(send, stream, 100)
                assert [entry[0] for entry in entries] == list(range(100))
                assert entries[-1][2] == CHECKPOINT
                await asyncio.sleep(0.05)

    run(scenario)


def test_caches_are_bounded_in_bytes_and_omit_checkpoints():
    async def scenario(log, relay, send):
        await log.append_raw("ledger-0", [CHECKPOINT] * 400)
        await log.append_raw("ledger-0-checkpoints", [CHECKPOINT] * 10)
        await read_all(send, "ledger-0-checkpoints", 10)
        await read_all(send, "ledger-0", 400)
        await asyncio.sleep(0.05)
        assert list(relay._tails) == ["ledger-0"]
        cache = relay._tails["ledger-0"].cache
        assert cache.next_offset == 400
        cached = 400 - cache.first_offset
        assert cached * len(msgspec.msgpack.encode(CHECKPOINT)) <= 32 * 1024 * 1024

    run(scenario)


def test_concurrent_appends_are_batched_into_one():
    async def scenario(log, relay, send):
        requests = [AppendRequest("s", [["recall", n]]) for n in range(50)]
        replies = await asyncio.gather(*map(send, requests))
        assert [reply.first_offset for reply in replies] == list(range(50))
        assert log.appends == 1

    run(scenario)


def test_followed_streams_are_bounded_and_further_ones_are_still_read():
    async def scenario(log, relay, send):
        for number in range(MAX_STREAMS + 20):
            stream = f"s{number}"
            await log.append_raw(stream, [["evict", "x", "i", "a"]])
            assert len((await send(ReadRequest(stream, 0, 10, 5))).entries) <= 1
        reply = await send(ReadRequest(stream, 0, 10, 5))
        assert [entry[0] for entry in reply.entries] == [0]
        assert len(asyncio.all_tasks()) <= MAX_STREAMS + 10

    run(scenario)


class SilentLog(MemoryLog):
    """Completes no read while ``silent``, not even those already waiting."""

    silent = False

    async def read_raw(self, stream, offset, limit, wait):
        page = await super().read_raw(stream, offset, limit, wait)
        if self.silent:
            await asyncio.Event().wait()
        return page


def test_a_stale_end_is_not_served_while_the_log_does_not_respond():
    async def main():
        log = SilentLog()
        relay = Relay(log, 1000, timedelta())
        await log.append_raw("ledger-0", [["recall", 1]])
        await read_all(relay.handle_message, "ledger-0", 1)
        log.silent = True
        await log.append_raw("ledger-0", [["recall", 2]])
        await asyncio.sleep(MAX_RESPONSE_AGE.total_seconds())
        reply = await relay.handle_message(ReadRequest("ledger-0", 1, 1000, 100))
        await relay.stop()
        assert isinstance(reply, Failure)

    asyncio.run(main())
