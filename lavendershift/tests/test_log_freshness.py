"""A router denies that a key has run only while its state of the log is recent."""

import asyncio
from datetime import timedelta
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
from lavendershift.tests.virtualloop import VirtualLoop
from lavendershift.tools.memory_log import MemoryLog

STREAM = "ledger-0"
KEY = "acme/k"
OTHER = "r1.1-z"
LOG_TIMEOUT = timedelta(seconds=2)  # timeout of the log, the default of the setting
CHECK_INTERVAL = timedelta(milliseconds=50)  # interval between two checks
# Duration that exceeds all waits and timeouts of relay and router.
CHECK_TIME = timedelta(seconds=20)
IDLE_TIME = timedelta(minutes=10)


class FaultyLog(MemoryLog):
    """Responds after ``delay`` with at most ``page_limit`` records.

    Reads get no response while ``is_silent``.
    """

    def __init__(self, delay=timedelta()):
        super().__init__()
        self.delay = delay
        self.page_limit = 10_000
        self.is_silent = False
        self.reads = 0

    async def append_raw(self, stream, records):
        """Append records as the log service would after decoding them."""
        records = msgspec.json.decode(msgspec.json.encode(records))
        return await super().append_raw(stream, records)

    async def read_raw(self, stream, offset, limit, wait):
        self.reads += 1
        try:
            async with asyncio.timeout((LOG_TIMEOUT + wait).total_seconds()):
                limit = min(limit, self.page_limit)
                result = await super().read_raw(stream, offset, limit, wait)
                await asyncio.sleep(self.delay.total_seconds())
                if self.is_silent:
                    await asyncio.Event().wait()
                return result
        except TimeoutError:
            raise LogUnavailableError("no response") from None


class DirectRelayClient(RelayLogClient):
    """Calls a relay of the same process; its responses take ``delay``."""

    def __init__(self, relay, delay=timedelta()):
        super().__init__([], LOG_TIMEOUT)
        self.relay, self.delay = relay, delay

    async def _request(self, request, timeout):
        request = decode_message(encode_message(request))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                reply = encode_message(await self.relay.handle_message(request))
                await asyncio.sleep(self.delay.total_seconds())
        except TimeoutError:
            raise LogUnavailableError("no response from the relay") from None
        return decode_message(reply)


class Router:
    """A session behind a relay, queried for whether a key may have run."""

    def __init__(self, log, reply_delay=timedelta()):
        self.clock = asyncio.get_running_loop()
        self.log = log
        self.relay = Relay(log, 10_000, timedelta(), self.clock)
        self.apply_delay = timedelta()
        self.session = LedgerSession(
            STREAM,
            DirectRelayClient(self.relay, reply_delay),
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
        if self.apply_delay:
            await asyncio.sleep(self.apply_delay.total_seconds())

    def may_have_run(self):
        caller = SimpleNamespace(budget="acme")
        context = SimpleNamespace(caller=caller, request=KEY)
        return self._calls.may_have_run(context, RequestError(ErrorKind.NO_SERVER))

    async def start(self):
        await self.log.append_records(STREAM, [Join(f"{OTHER}/1", OTHER, "r1", "d", 0)])
        await self.session.start()
        async with asyncio.timeout(60):
            while not (self.session.joined and self.session.is_current):
                await asyncio.sleep(CHECK_INTERVAL.total_seconds())
        assert not self.may_have_run()

    async def claim_elsewhere(self, preceding=0):
        """Append another router's claim of the key, after ``preceding`` records."""
        other_records = [
            Recall(f"{OTHER}/{n}", "acme", OTHER, 1) for n in range(2, 2 + preceding)
        ]
        claim = Claim(f"{OTHER}/{2 + preceding}", KEY, "acme", OTHER, "f")
        await self.log.append_records(STREAM, [*other_records, claim])
        return self.clock.elapsed()

    async def check_not_denied(self, claimed):
        """Check that the claim is not denied once ``MAX_RESPONSE_AGE`` has passed."""
        while self.clock.elapsed() < claimed + CHECK_TIME:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
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


class TwoRelayReads:
    """Reads from one relay, then from another that has read less of the stream."""

    def __init__(self):
        self.results = [
            ReadResult([Entry(0, 0, None)], 1, 5),
            ReadResult([], 1, 1, timedelta(seconds=-1)),
        ]

    async def read_entries(self, stream, offset, limit, wait):
        if not self.results:
            await asyncio.Event().wait()
        return self.results.pop(0)


def test_a_relay_that_has_read_less_does_not_lower_the_end_offset():
    async def main():
        async def apply(entry):
            pass

        log = TwoRelayReads()
        follower = StreamFollower(log, STREAM, 0, apply, None, SystemClock())
        follower.start()
        while log.results:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert (follower.next_offset, follower.end_offset) == (1, 5)
        assert not follower.is_at_end
        await follower.stop()

    asyncio.run(main())


# Times since the start of a read that waits.
PHASES = [timedelta(milliseconds=70 * n) for n in range(20)]


@pytest.mark.parametrize("phase", PHASES)
def test_a_claim_is_not_denied_if_the_log_does_not_respond_to_the_relay(phase):
    async def scenario(router):
        await asyncio.sleep(phase.total_seconds())
        router.log.is_silent = True
        await router.check_not_denied(await router.claim_elsewhere())
        assert not router.session.is_current
        assert not router.session.log_reachable
        router.log.is_silent = False
        await asyncio.sleep(2 * LOG_TIMEOUT.total_seconds())
        assert router.session.is_current
        assert router.session.ledger.find_request(KEY).claimant == OTHER

    run(scenario, FaultyLog())


@pytest.mark.parametrize("delay_s", [0.5, 1.0, 1.9])
@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("slow_part", ["log", "relay"])
def test_a_claim_is_not_denied_if_responses_are_late(slow_part, phase, delay_s):
    async def scenario(router):
        delay = timedelta(seconds=delay_s)
        slow = router.log if slow_part == "log" else router.session._log
        slow.delay = delay
        await asyncio.sleep(phase.total_seconds())
        await router.check_not_denied(await router.claim_elsewhere())

    run(scenario, FaultyLog())


def test_a_claim_is_not_denied_before_its_record_is_applied():
    async def scenario(router):
        router.apply_delay = timedelta(milliseconds=5)
        await router.check_not_denied(await router.claim_elsewhere(preceding=3000))

    run(scenario, FaultyLog())


def test_a_claim_is_not_denied_before_the_relay_has_read_it():
    async def scenario(router):
        router.log.page_limit, router.log.delay = 100, timedelta(milliseconds=200)
        await router.check_not_denied(await router.claim_elsewhere(preceding=3000))

    run(scenario, FaultyLog())


@pytest.mark.parametrize("delay_ms", [0, 20, 100])  # 100: a log on another continent
def test_a_session_stays_current_behind_an_idle_relay(delay_ms):
    async def scenario(router):
        reads, started = router.log.reads, router.clock.elapsed()
        while router.clock.elapsed() < started + IDLE_TIME:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            assert router.session.is_current
            assert router.session.log_reachable
            assert not router.may_have_run()
        assert router.log.reads - reads <= IDLE_TIME / TAIL_WAIT + 1

    run(scenario, FaultyLog(timedelta(milliseconds=delay_ms)))
