import asyncio
import random

import pytest

from lavendershift.clocks import SystemClock
from lavendershift.connections import Connections
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.platform import store as store_module
from lavendershift.platform.store import (
    AppendResult,
    StoreClient,
    decode_batch,
    encode_record,
)
from lavendershift.tests.processes import find_port
from lavendershift_standins.platformstore import HEAD, StoreServer

TOPIC = "keyed.test"


@pytest.fixture
def play():
    def run(work):
        async def whole():
            server = StoreServer(random.Random(1))
            port = find_port()
            server.listen(port)
            clock = SystemClock()
            connections = Connections(clock)
            client = StoreClient(f"127.0.0.1:{port}", connections, clock)
            try:
                await work(client, server)
            finally:
                connections.close()
                server.stop()

        asyncio.run(whole())

    return run


def test_records_are_appended_and_read(play):
    async def work(client, server):
        records = [(b"a", b"1"), (b"b", b"2")]
        assert await client.append(TOPIC, 0, records) == (AppendResult.DONE, 2)
        batch = await client.read(TOPIC, 0, 1)
        assert [(r.offset, r.key, r.value) for r in batch.records] == [(1, b"b", b"2")]
        assert (batch.next_offset, batch.end) == (2, 2)

    play(work)


def test_a_conditional_append_loses_a_race(play):
    async def work(client, server):
        await client.append(TOPIC, 0, [(b"a", b"1")])
        lost = await client.append(TOPIC, 0, [(b"a", b"2")], end=0)
        assert lost == (AppendResult.MOVED, 1)
        won = await client.append(TOPIC, 0, [(b"a", b"2")], end=1)
        assert won == (AppendResult.DONE, 2)

    play(work)


def test_newest_records_leave_out_what_was_dropped(play):
    async def work(client, server):
        await client.append(TOPIC, 0, [(b"a", b"1"), (b"b", b"1"), (b"a", b"2")])
        await client.append(TOPIC, 0, [(b"b", b"")])
        batch = await client.read_newest(TOPIC, 0)
        assert [(r.key, r.value) for r in batch.records] == [(b"a", b"2")]
        assert batch.next_offset == 4

    play(work)


def test_expired_records_are_told_apart(play):
    async def work(client, server):
        await client.append(TOPIC, 0, [(b"a", b"1")])
        server.state.expire(TOPIC, 0)
        with pytest.raises(RecordsExpiredError):
            await client.read(TOPIC, 0, 0)

    play(work)


def test_an_append_that_was_refused_did_not_happen(play):
    async def work(client, server):
        server.away = True
        result, _ = await client.append(TOPIC, 0, [(b"a", b"1")])
        assert result is AppendResult.NOT_DONE
        with pytest.raises(LogUnavailableError):
            await client.read(TOPIC, 0, 0)

    play(work)


def test_an_append_without_an_answer_is_in_doubt(play, monkeypatch):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT", store_module.CALL_TIMEOUT / 10)

    async def work(client, server):
        server.lose_answers = 1.0
        result, _ = await client.append(TOPIC, 0, [(b"a", b"1")])
        assert result is AppendResult.UNKNOWN
        assert server.state.end(TOPIC, 0) == 1

    play(work)


def test_a_silent_store_costs_a_timeout_only(play, monkeypatch):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT", store_module.CALL_TIMEOUT / 10)

    async def work(client, server):
        server.silent = True
        with pytest.raises(LogUnavailableError):
            await client.read(TOPIC, 0, 0)
        server.silent = False
        assert (await client.read(TOPIC, 0, 0)).records == []

    play(work)


def test_nobody_at_the_address_means_nothing_was_done():
    async def work():
        clock = SystemClock()
        client = StoreClient(f"127.0.0.1:{find_port()}", Connections(clock), clock)
        result, _ = await client.append(TOPIC, 0, [(b"a", b"1")])
        assert result is AppendResult.NOT_DONE

    asyncio.run(work())


@pytest.mark.parametrize("cut", [3, 15, 18, 21])
def test_a_read_that_is_cut_off_is_not_believed(cut):
    body = HEAD.pack(1, 0) + encode_record(b"key", b"value")
    assert len(decode_batch(body, 0).records) == 1
    with pytest.raises(LogUnavailableError):
        decode_batch(body[:cut], 0)


def test_a_record_without_a_readable_key_has_an_empty_one():
    body = HEAD.pack(1, 0) + b"\x00\x00\x00\x02\x09a"
    assert decode_batch(body, 0).records[0].key == b""
