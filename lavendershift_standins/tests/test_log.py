import asyncio
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift.clocks import ManualClock
from lavendershift_standins.logstream import Retention, Stream

PATH = "/streams/config/records"


def test_read_returns_appended_records_with_offsets(run):
    async def scenario(standins):
        log = await standins.log()
        empty = {"entries": [], "next_offset": 0, "end_offset": 0}
        assert (await standins.call(log, PATH)).json == empty
        reply = await standins.call(log, PATH, [["a", "é"], {"b": 1.5}])
        assert reply.json == {"first_offset": 0, "count": 2}
        assert (await standins.call(log, PATH, ["c"])).json["first_offset"] == 2
        page = (await standins.call(log, PATH + "?offset=0&limit=2")).json
        assert [entry[0] for entry in page["entries"]] == [0, 1]
        assert [entry[2] for entry in page["entries"]] == [["a", "é"], {"b": 1.5}]
        assert (page["next_offset"], page["end_offset"]) == (2, 3)
        beyond = (await standins.call(log, PATH + "?offset=9")).json
        assert beyond == {"entries": [], "next_offset": 9, "end_offset": 3}

    run(scenario)


def test_malformed_calls_are_rejected(run):
    async def scenario(standins):
        log = await standins.log()
        for body in (b"", b"{}", b"[1", b"\xff"):
            assert (await standins.call(log, PATH, body)).status == 400
        for query in ("offset=-1", "offset=x", "limit=%C2%B2", "wait_ms="):
            assert (await standins.call(log, f"{PATH}?{query}")).status == 400
        assert (await standins.call(log, PATH)).json["end_offset"] == 0

    run(scenario)


def test_read_waits_for_an_append(run):
    async def scenario(standins):
        log = await standins.log()
        reading = asyncio.ensure_future(standins.call(log, PATH + "?wait_ms=20000"))
        await asyncio.sleep(0.05)
        assert not reading.done()
        await standins.call(log, PATH, ["a"])
        assert (await reading).json["next_offset"] == 1
        reply = await standins.call(log, PATH + "?offset=1&wait_ms=50")
        assert reply.json["entries"] == []

    run(scenario)


def test_read_of_an_expired_offset_returns_the_first_retained(run):
    async def scenario(standins):
        clock = ManualClock()
        log = await standins.log(clock, retention_ms=1000)
        await standins.call(log, PATH, ["a", "b"])
        clock.advance(timedelta(seconds=2))
        await standins.call(log, PATH, ["c"])
        reply = await standins.call(log, PATH)
        assert (reply.status, reply.json) == (410, {"first_offset": 2})
        assert len((await standins.call(log, PATH + "?offset=2")).json["entries"]) == 1

    run(scenario)


def test_appends_over_the_rate_are_rejected(run):
    async def scenario(standins):
        clock = ManualClock()
        log = await standins.log(clock, appends_per_s=2, append_burst=2)
        statuses = [(await standins.call(log, PATH, ["a"])).status for _ in range(3)]
        assert statuses == [200, 200, 429]
        clock.advance(timedelta(seconds=0.5))
        assert (await standins.call(log, PATH, ["a"])).json["first_offset"] == 2

    run(scenario)


def test_append_with_a_lost_reply_is_stored(run):
    async def scenario(standins):
        log = await standins.log()
        await standins.add_fault(log, "lose_reply", when={"times": 1, "method": "POST"})
        assert (await standins.call(log, PATH, ["a"])).is_broken
        assert (await standins.call(log, PATH)).json["end_offset"] == 1

    run(scenario)


OPERATION = st.tuples(st.integers(0, 4), st.integers(-50, 50))


@settings(derandomize=True, database=None, max_examples=200)
@given(st.lists(OPERATION, max_size=30), st.integers(1, 60), st.integers(1, 8))
def test_stream_has_no_holes_and_time_never_falls(operations, age_ms, records):
    stream = Stream(Retention(age_ms, records))
    written = []
    times = []
    kept = 0
    now_ms = 1000
    for count, step_ms in operations:
        now_ms += step_ms
        batch = [b"%d" % (len(written) + i) for i in range(count)]
        assert stream.append(batch, now_ms) == len(written)
        written += batch
        stream.expire(now_ms)
        times += [max([now_ms, *times[-1:]])] * count
        old = [i for i, time_ms in enumerate(times) if time_ms < now_ms - age_ms]
        kept = max([len(old), len(written) - records, kept])
        assert stream.first_offset == kept
        page = stream.read(kept, 100)
        assert page.next_offset == page.end_offset == len(written)
        assert page.entries == [
            b"[%d,%d,%s]" % (i, times[i], written[i]) for i in range(kept, len(written))
        ]
