"""A router says "not run" of a key only while it knows what the log had lately."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

import msgspec
import pytest

from lavendershift.clocks import SystemClock
from lavendershift.errors import ErrorKind, LogUnavailableError, RequestError
from lavendershift.ledgersessions import (
    MAX_RESPONSE_AGE,
    LedgerSession,
    SessionSettings,
)
from lavendershift.messages import decode_message, encode_message
from lavendershift.plugins.relay_log import RelayLogClient
from lavendershift.records import Claim, Entry, Join, Recall
from lavendershift.relay import TAIL_WAIT, Relay
from lavendershift.servicecalls import CallDispatcher
from lavendershift.streamfollowers import StreamFollower
from lavendershift.streams import ReadResult
from lavendershift.tools.memory_log import MemoryLog

STREAM = "ledger-0"
KEY = "acme/k"
OTHER = "r1.1-z"
LOG_TIMEOUT = timedelta(seconds=2)  # the default of the setting
STEP = timedelta(milliseconds=50)  # between two looks
LOOK_FOR = timedelta(seconds=20)  # past all waits and timeouts of relay and router
IDLE = timedelta(minutes=10)


class JumpingSelector(selectors.DefaultSelector):
    """Moves its time on instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "nothing is left to happen"
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time; its ``elapsed`` and ``now`` make it a clock."""

    def __init__(self):
        self.selector = JumpingSelector()
        super().__init__(self.selector)

    def time(self):
        return self.selector.now

    def elapsed(self):
        return timedelta(seconds=self.selector.now)

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + self.elapsed()


class FaultyLog(MemoryLog):
    """Gives its answers ``late`` and ``page`` by page, and none while ``silent``."""

    def __init__(self, late=timedelta()):
        super().__init__()
        self.late = late
        self.page = 10_000
        self.silent = False
        self.reads = 0

    async def append_raw(self, stream, records):
        """Take records as they are once the log service has decoded them."""
        records = msgspec.json.decode(msgspec.json.encode(records))
        return await super().append_raw(stream, records)

    async def read_raw(self, stream, offset, limit, wait):
        self.reads += 1
        try:
            async with asyncio.timeout((LOG_TIMEOUT + wait).total_seconds()):
                limit = min(limit, self.page)
                page = await super().read_raw(stream, offset, limit, wait)
                await asyncio.sleep(self.late.total_seconds())
                if self.silent:
                    await asyncio.Event().wait()
                return page
        except TimeoutError:
            raise LogUnavailableError("no answer") from None


class DirectRelayClient(RelayLogClient):
    """Speaks to a relay of the same process, ``late`` on the way back."""

    def __init__(self, relay, late=timedelta()):
        super().__init__([], LOG_TIMEOUT)
        self.relay, self.late = relay, late

    async def _request(self, request, timeout):
        request = decode_message(encode_message(request))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                reply = encode_message(await self.relay.handle_message(request))
                await asyncio.sleep(self.late.total_seconds())
        except TimeoutError:
            raise LogUnavailableError("no answer of the relay") from None
        return decode_message(reply)


class Router:
    """A session behind a relay, asked whether a key may have run."""

    def __init__(self, log, reply_late=timedelta()):
        self.clock = asyncio.get_running_loop()
        self.log = log
        self.relay = Relay(log, 10_000, timedelta(), self.clock)
        self.fold_takes = timedelta()
        self.session = LedgerSession(
            STREAM,
            DirectRelayClient(self.relay, reply_late),
            SessionSettings("r0", "rennes", 1, 10**6, timedelta(hours=48)),
            self.clock,
            "r0.1-a",
            lambda budget, offset: 10_000,
            self._wait_for_config,
            lambda: 0,
            lambda: None,
        )
        budgets = SimpleNamespace(
            find_shard=lambda budget: SimpleNamespace(session=self.session)
        )
        self._calls = CallDispatcher(self.clock, LOG_TIMEOUT, budgets, *[None] * 3)

    async def _wait_for_config(self, offset):
        if self.fold_takes:
            await asyncio.sleep(self.fold_takes.total_seconds())

    def may_have_run(self):
        caller = SimpleNamespace(budget="acme")
        context = SimpleNamespace(caller=caller, request=KEY)
        return self._calls.may_have_run(context, RequestError(ErrorKind.NO_SERVER))

    async def start(self):
        await self.log.append_records(STREAM, [Join(f"{OTHER}/1", OTHER, "r1", "d", 0)])
        await self.session.start()
        async with asyncio.timeout(60):
            while not (self.session.joined and self.session.is_current):
                await asyncio.sleep(STEP.total_seconds())
        assert not self.may_have_run()

    async def claim_elsewhere(self, before=0):
        """Have another router claim the key, after ``before`` other records."""
        others = [
            Recall(f"{OTHER}/{n}", "acme", OTHER, 1) for n in range(2, 2 + before)
        ]
        claim = Claim(f"{OTHER}/{2 + before}", KEY, "acme", OTHER, "f")
        await self.log.append_records(STREAM, [*others, claim])
        return self.clock.elapsed()

    async def check_truth(self, claimed):
        """Look for a while whether the claim is denied once it is old."""
        while self.clock.elapsed() < claimed + LOOK_FOR:
            await asyncio.sleep(STEP.total_seconds())
            if self.clock.elapsed() >= claimed + MAX_RESPONSE_AGE:
                assert self.may_have_run(), self.clock.elapsed() - claimed

    async def stop(self):
        await self.session.stop()
        await self.relay.stop()


def run(scenario, *args, **kwargs):
    """Run ``scenario`` with a router in virtual time."""

    async def main():
        router = Router(*args, **kwargs)
        try:
            await router.start()
            await scenario(router)
        finally:
            await router.stop()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main())


class TwoRelays:
    """Reads of one relay, then of another that knows less of the stream."""

    def __init__(self):
        self.results = [
            ReadResult([Entry(0, 0, None)], 1, 5),
            ReadResult([], 1, 1, timedelta(seconds=-1)),
        ]

    async def read_entries(self, stream, offset, limit, wait):
        if not self.results:
            await asyncio.Event().wait()
        return self.results.pop(0)


def test_a_relay_that_knows_less_does_not_take_back_the_end():
    async def main():
        async def fold(entry):
            pass

        log = TwoRelays()
        follower = StreamFollower(log, STREAM, 0, fold, None, SystemClock())
        follower.start()
        while log.results:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert (follower.next_offset, follower.end_offset) == (1, 5)
        assert not follower.is_at_end
        await follower.stop()

    asyncio.run(main())


PHASES = [timedelta(milliseconds=70 * n) for n in range(20)]  # of waits in flight


@pytest.mark.parametrize("phase", PHASES)
def test_a_claim_is_not_denied_behind_a_relay_that_the_log_does_not_answer(phase):
    async def scenario(router):
        await asyncio.sleep(phase.total_seconds())
        router.log.silent = True
        await router.check_truth(await router.claim_elsewhere())
        assert not router.session.is_current
        assert not router.session.log_reachable
        router.log.silent = False
        await asyncio.sleep(2 * LOG_TIMEOUT.total_seconds())
        assert router.session.is_current
        assert router.session.ledger.find_request(KEY).claimant == OTHER

    run(scenario, FaultyLog())


@pytest.mark.parametrize("late_s", [0.5, 1.0, 1.9])
@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("by", ["log", "relay"])
def test_a_claim_is_not_denied_on_answers_that_come_late(by, phase, late_s):
    async def scenario(router):
        late = timedelta(seconds=late_s)
        slow = router.log if by == "log" else router.session._log
        slow.late = late
        await asyncio.sleep(phase.total_seconds())
        await router.check_truth(await router.claim_elsewhere())

    run(scenario, FaultyLog())


def test_a_claim_is_not_denied_while_the_fold_has_not_come_to_it():
    async def scenario(router):
        router.fold_takes = timedelta(milliseconds=5)
        await router.check_truth(await router.claim_elsewhere(before=3000))

    run(scenario, FaultyLog())


def test_a_claim_is_not_denied_while_the_relay_has_not_come_to_it():
    async def scenario(router):
        router.log.page, router.log.late = 100, timedelta(milliseconds=200)
        await router.check_truth(await router.claim_elsewhere(before=3000))

    run(scenario, FaultyLog())


@pytest.mark.parametrize("late_ms", [0, 20, 100])  # 100: a log on another continent
def test_a_calm_relay_keeps_its_routers_current(late_ms):
    async def scenario(router):
        reads, began = router.log.reads, router.clock.elapsed()
        while router.clock.elapsed() < began + IDLE:
            await asyncio.sleep(STEP.total_seconds())
            assert router.session.is_current
            assert router.session.log_reachable
            assert not router.may_have_run()
        assert router.log.reads - reads <= IDLE / TAIL_WAIT + 1

    run(scenario, FaultyLog(timedelta(milliseconds=late_ms)))
