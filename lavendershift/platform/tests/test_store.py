import asyncio
import json
import random
from datetime import timedelta

import pytest

from lavendershift.clocks import SystemClock
from lavendershift.connections import ConnectionPool
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.platform import store as store_module
from lavendershift.platform.grants import StoreQuotaLog
from lavendershift.platform.store import StoreClient
from lavendershift.platform.storerecords import (
    AppendResult,
    decode_batch,
    encode_record,
)
from lavendershift.platform.topicreaders import ReadResult, TopicReader
from lavendershift.tests.processes import find_port
from lavendershift_standins.platformserver import PlatformServer
from lavendershift_standins.platformstore import READ_HEADER, StoreServer

TOPIC = "keyed.test"


@pytest.fixture
def play():
    def run(work):
        async def run_all():
            server = StoreServer(random.Random(1))
            port = find_port()
            server.listen(port)
            clock = SystemClock()
            connections = ConnectionPool(clock)
            client = StoreClient(f"127.0.0.1:{port}", connections, clock)
            try:
                await work(client, server)
            finally:
                connections.close()
                server.stop()

        asyncio.run(run_all())

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


def test_newest_records_exclude_deleted_keys(play):
    async def work(client, server):
        await client.append(TOPIC, 0, [(b"a", b"1"), (b"b", b"1"), (b"a", b"2")])
        await client.append(TOPIC, 0, [(b"b", b"")])
        batch = await client.read_newest(TOPIC, 0)
        assert [(r.key, r.value) for r in batch.records] == [(b"a", b"2")]
        assert batch.next_offset == 4

    play(work)


def test_a_read_of_expired_records_raises_records_expired_error(play):
    async def work(client, server):
        await client.append(TOPIC, 0, [(b"a", b"1")])
        server.state.expire(TOPIC, 0)
        with pytest.raises(RecordsExpiredError):
            await client.read(TOPIC, 0, 0)

    play(work)


def test_an_append_that_was_refused_is_not_done(play):
    async def work(client, server):
        server.is_unavailable = True
        result, _ = await client.append(TOPIC, 0, [(b"a", b"1")])
        assert result is AppendResult.NOT_DONE
        with pytest.raises(LogUnavailableError):
            await client.read(TOPIC, 0, 0)

    play(work)


def test_an_append_without_a_response_is_unknown(play, monkeypatch):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT", store_module.CALL_TIMEOUT / 10)

    async def work(client, server):
        server.lost_response_share = 1.0
        result, _ = await client.append(TOPIC, 0, [(b"a", b"1")])
        assert result is AppendResult.UNKNOWN
        assert server.state.end(TOPIC, 0) == 1

    play(work)


def test_a_call_to_a_silent_store_times_out(play, monkeypatch):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT", store_module.CALL_TIMEOUT / 10)

    async def work(client, server):
        server.is_silent = True
        with pytest.raises(LogUnavailableError):
            await client.read(TOPIC, 0, 0)
        server.is_silent = False
        assert (await client.read(TOPIC, 0, 0)).records == []

    play(work)


def test_an_append_without_a_connection_is_not_done():
    async def work():
        clock = SystemClock()
        client = StoreClient(f"127.0.0.1:{find_port()}", ConnectionPool(clock), clock)
        result, _ = await client.append(TOPIC, 0, [(b"a", b"1")])
        assert result is AppendResult.NOT_DONE

    asyncio.run(work())


@pytest.mark.parametrize("length", [3, 15, 18, 21])
def test_a_truncated_read_is_rejected(length):
    body = READ_HEADER.pack(1, 0) + encode_record(b"key", b"value")
    assert len(decode_batch(body, 0).records) == 1
    with pytest.raises(LogUnavailableError):
        decode_batch(body[:length], 0)


def test_a_record_with_a_malformed_key_gets_an_empty_key():
    body = READ_HEADER.pack(1, 0) + b"\x00\x00\x00\x02\x09a"
    assert decode_batch(body, 0).records[0].key == b""


@pytest.fixture
def play_responses(monkeypatch):
    """Return a function that runs a coroutine function with a scripted store."""
    monkeypatch.setattr(store_module, "CALL_TIMEOUT", store_module.CALL_TIMEOUT / 5)

    def run(work, *script):
        async def run_all():
            server = PlatformServer("store")
            server.script.extend(script)
            await server.start()
            clock = SystemClock()
            connections = ConnectionPool(clock)
            client = StoreClient(server.address, connections, clock)
            try:
                async with asyncio.timeout(5):
                    await work(client, server)
            finally:
                connections.close()
                await server.stop()

        asyncio.run(run_all())

    return run


def make_response(body, status=200, length=None):
    length = len(body) if length is None else length
    return f"HTTP/1.1 {status} -\r\nContent-Length: {length}\r\n\r\n".encode() + body


def make_read(*values, offset=0):
    end = offset + len(values)
    records = b"".join(encode_record(b"key", value) for value in values)
    return make_response(READ_HEADER.pack(end, 0) + records)


def make_era(era):
    """Return a response to a reading that names the store's era."""
    head = b"Store-Era: %d\r\nContent-Length" % era
    return send(make_read(b"1").replace(b"Content-Length", head))


def make_page(*keys, truncated=False, end=9):
    items = [{"key": key, "value": "MQ==", "offset": 1} for key in keys]
    page = {"items": items, "truncated": truncated, "end": end}
    return make_response(json.dumps(page).encode())


def send(*parts, pause_s=0.0, closes=False):
    """Respond to a call with ``parts``, pausing before each but the first."""

    async def behave(received, writer):
        for number, part in enumerate(parts):
            await asyncio.sleep(pause_s if number else 0)
            writer.write(part)
        if closes:
            raise ConnectionError

    return behave


def test_pages_of_newest_records_are_joined_in_order(play_responses):
    async def work(client, server):
        batch = await client.read_newest(TOPIC, 0)
        assert [r.key for r in batch.records] == [b"a", b"b", b"c"]
        assert (batch.next_offset, batch.end) == (9, 11)
        assert [r.target.partition("after=")[2] for r in server.received] == ["", "b"]

    pages = make_page("a", "b", truncated=True), make_page("c", end=11)
    play_responses(work, *map(send, pages))


@pytest.mark.parametrize(
    "page",
    [
        make_response(b"", 503),
        make_response(b"", 206),
        make_response(b'{"items":[],"end":9', 200),
        make_response(b'{"items":[],"end":9}', 200, length=40),
    ],
)
def test_newest_records_with_a_failed_page_are_rejected(play_responses, page):
    async def work(client, server):
        with pytest.raises(LogUnavailableError):
            await client.read_newest(TOPIC, 0)

    first = send(make_page("a", truncated=True))
    play_responses(work, first, send(page, closes=True))


def test_bytes_after_a_response_reach_no_other_call(play_responses):
    async def work(client, server):
        for expected in (b"1", b"2", b"3"):
            (record,) = (await client.read(TOPIC, 0, 0)).records
            assert record.value == expected
            await asyncio.sleep(0.05)
        assert server.connections == 3

    play_responses(
        work,
        send(make_read(b"1") + make_read(b"old")),
        send(make_read(b"2"), make_read(b"old"), pause_s=0.02),
        send(make_read(b"3")),
    )


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_the_late_response_to_an_abandoned_call_reaches_no_other_call(
    play_responses, is_cancelled
):
    async def work(client, server):
        await client.read(TOPIC, 0, 0)
        call = asyncio.ensure_future(client.read(TOPIC, 0, 0))
        await asyncio.sleep(0.1)
        if is_cancelled:
            call.cancel()
        await asyncio.wait({call})
        assert call.cancelled() if is_cancelled else call.exception()
        await asyncio.sleep(0.2)
        (record,) = (await client.read(TOPIC, 0, 0)).records
        assert record.value == b"2"

    late = make_read(b"old")
    slow = send(late[:-1], late[-1:], pause_s=0.45)
    play_responses(work, send(make_read(b"1")), slow, send(make_read(b"2")))


def test_an_informational_response_is_skipped(play_responses):
    async def work(client, server):
        for expected in (b"1", b"2"):
            (record,) = (await client.read(TOPIC, 0, 0)).records
            assert record.value == expected
        assert server.connections == 1

    first = b"HTTP/1.1 103 -\r\nX-Other: 1\r\n\r\n" + make_read(b"1")
    play_responses(work, send(first), send(make_read(b"2")))


@pytest.mark.parametrize("length", [5, 17, -1])
def test_an_append_whose_response_is_truncated_is_unknown(play_responses, length):
    async def work(client, server):
        result, end = await client.append(TOPIC, 0, [(b"a", b"1")], end=4)
        assert (result, end) == (AppendResult.UNKNOWN, None)

    answer = make_response(b'{"offset":4,"end":5}')
    play_responses(work, send(answer[:length], closes=True))


def test_an_empty_page_that_announces_more_is_rejected(play_responses):
    async def work(client, server):
        with pytest.raises(LogUnavailableError):
            await client.read_newest(TOPIC, 0)

    pages = make_page("a", truncated=True), make_page(truncated=True)
    play_responses(work, *map(send, pages))


def test_a_cycle_in_the_pages_is_rejected(play_responses):
    async def work(client, server):
        server.default = send(make_page("a", "b", truncated=True))
        with pytest.raises(LogUnavailableError):
            await client.read_newest(TOPIC, 0)

    play_responses(work)


def test_an_append_at_another_offset_is_unknown(play_responses):
    async def work(client, server):
        result, _ = await client.append(TOPIC, 0, [(b"a", b"1")], end=4)
        assert result is AppendResult.UNKNOWN

    play_responses(work, send(make_response(b'{"offset":3,"end":4}')))


def test_a_quota_read_that_ends_early_is_rejected(play_responses):
    async def work(client, server):
        log = StoreQuotaLog(client)
        with pytest.raises(LogUnavailableError):
            await log.read_records(3)

    truncated = b"HTTP/1.1 200 -\r\n\r\n" + READ_HEADER.pack(5, 0)
    play_responses(work, send(truncated, closes=True))


@pytest.mark.parametrize("pause_s, is_complete", [(0.5, True), (1.8, False)])
def test_a_large_response_on_a_saturated_link_is_read_completely(pause_s, is_complete):
    """The call timed out after 1.5 s, and again as long as the link was saturated."""
    body = READ_HEADER.pack(4, 0) + b"".join(
        encode_record(b"a", b"x" * 99) for _ in range(4)
    )

    async def trickle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode())
        for start in range(0, len(body), 100):
            writer.write(body[start : start + 100])
            await asyncio.sleep(pause_s)

    async def work():
        server = await asyncio.start_server(trickle, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        clock = SystemClock()
        connections = ConnectionPool(clock)
        client = StoreClient(f"{host}:{port}", connections, clock)
        try:
            return await client.read(TOPIC, 0, 0)
        finally:
            connections.close()
            server.close()

    if is_complete:
        assert len(asyncio.run(work()).records) == 4
    else:
        with pytest.raises(LogUnavailableError):
            asyncio.run(work())


def test_an_append_under_a_condition_of_an_older_era_never_succeeds(play):
    """The restored partition may end at the same offset, with other records."""

    async def work(client, server):
        copy = server.state.copy()
        await client.append(TOPIC, 0, [(b"a", b"1")])
        old = (await client.read(TOPIC, 0, 0)).history
        server.restore(copy)
        await client.append(TOPIC, 0, [(b"a", b"2")])
        refused = await client.append(TOPIC, 0, [(b"a", b"3")], end=1, history=old)
        assert refused == (AppendResult.MOVED, None)
        current = client.history
        assert current > old
        server.restore(server.state.copy())
        unknown = await client.append(TOPIC, 0, [(b"a", b"4")], end=1, history=current)
        assert unknown == (AppendResult.UNKNOWN, None)

    play(work)


def test_a_read_above_the_end_raises_records_expired_error(play):
    async def work(client, server):
        with pytest.raises(RecordsExpiredError):
            await client.read(TOPIC, 0, 1)

    play(work)


def test_a_response_of_an_older_era_is_dropped(play_responses):
    """A response that arrives late would bring back offsets of the old era."""

    async def work(client, server):
        assert (await client.read(TOPIC, 0, 0)).history.era == 5
        with pytest.raises(LogUnavailableError):
            await client.read(TOPIC, 0, 0)
        assert (await client.read(TOPIC, 0, 0)).history.era == 5

    play_responses(work, make_era(5), make_era(4), send(make_read(b"1")))


def test_a_damaged_era_makes_no_later_response_look_old_forever(play_responses):
    """All responses with the true era were dropped until the process ended."""

    async def work(client, server):
        reader = TopicReader(client, TOPIC, timedelta())
        damaged = await client.read(TOPIC, 0, 0)
        reader.accept(ReadResult(damaged, is_snapshot=True))
        assert damaged.history.era == 10**12
        with pytest.raises(LogUnavailableError):
            await client.read(TOPIC, 0, 0)
        batch = await client.read(TOPIC, 0, 0)
        assert batch.history == client.history
        assert batch.history.era == 4
        assert batch.history > damaged.history
        assert reader.accept(ReadResult(batch, is_snapshot=True)).records
        assert (await client.read(TOPIC, 0, 0)).history.era == 5

    play_responses(work, *map(make_era, (10**12, 4, 4, 5)))


def test_lower_eras_that_differ_or_come_late_do_not_replace_the_newest(play_responses):
    """Only the store's era is named by responses to calls made one after the other."""

    async def work(client, server):
        first = client.history
        await client.read(TOPIC, 0, 0)
        for _ in range(2):
            with pytest.raises(LogUnavailableError):
                await client.read(TOPIC, 0, 0)
        await client.read(TOPIC, 0, 0)
        for _ in range(3):
            with pytest.raises(LogUnavailableError):
                client._note_response(first, 2)
        with pytest.raises(LogUnavailableError):
            await client.read(TOPIC, 0, 0)
        assert client.history.era == 5

    play_responses(work, *map(make_era, (5, 4, 3, 5, 3)))
