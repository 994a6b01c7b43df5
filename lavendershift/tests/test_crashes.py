"""Tests that a crash of a server is told from the end of one connection."""

import asyncio

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.crashes import CrashDetector, Suspect
from lavendershift.serverstates import ListedServer, ServerEntry

SERVER = ListedServer(
    ServerEntry("i-1", "index", "10.0.0.1:80", "", 8, False, born=5), ManualClock()
)


class Probe:
    """A probe whose result is set later; ``addresses`` are those it was called for."""

    def __init__(self):
        self.result = asyncio.get_running_loop().create_future()
        self.addresses = []

    async def __call__(self, address):
        self.addresses.append(address)
        return await self.result


def inspect(detector, *parts, has_begun=False):
    exposure = detector.expose(parts, lambda: None)
    return asyncio.ensure_future(detector.inspect(SERVER, exposure, has_begun))


@pytest.mark.parametrize("is_refused", [False, True])
def test_requests_that_break_off_together_share_one_probe(is_refused):
    async def work():
        probe = Probe()
        detector = CrashDetector(probe)
        crashes = []
        detector.on_crash = lambda *crash: crashes.append(crash)
        waiting = [inspect(detector, "a", has_begun=True), inspect(detector, "b")]
        await asyncio.sleep(0)
        probe.result.set_result(is_refused)
        assert await asyncio.gather(*waiting) == [is_refused, is_refused]
        assert probe.addresses == ["10.0.0.1:80"]
        suspects = [Suspect(("a",), True), Suspect(("b",), False)]
        assert crashes == ([(("i-1", 5), suspects)] if is_refused else [])

    asyncio.run(work())


def test_a_later_suspect_of_a_known_crash_is_reported_without_a_probe():
    async def work():
        probe = Probe()
        probe.result.set_result(True)
        detector = CrashDetector(probe)
        crashes = []
        await inspect(detector, "a")
        detector.on_crash = lambda *crash: crashes.append(crash)
        assert await inspect(detector, "b")
        assert crashes == [(("i-1", 5), [Suspect(("b",), False)])]
        assert len(probe.addresses) == 1

    asyncio.run(work())


def test_a_caller_that_disconnects_during_the_probe_is_no_reason_to_end_it():
    async def work():
        probe = Probe()
        detector = CrashDetector(probe)
        crashes = []
        detector.on_crash = lambda *crash: crashes.append(crash)
        waiting = inspect(detector, "a")
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        probe.result.set_result(True)
        await asyncio.sleep(0.01)
        assert [incarnation for incarnation, _ in crashes] == [("i-1", 5)]

    asyncio.run(work())


def test_only_exposed_requests_with_the_part_are_stopped():
    detector = CrashDetector(None)
    stopped = []
    exposures = {
        name: detector.expose(parts, lambda name=name: stopped.append(name))
        for name, parts in {"1": ("a", "b"), "2": ("c",), "3": ("b",)}.items()
    }
    detector.end(exposures["3"])
    detector.stop_exposed(["a", "b"])
    assert stopped == ["1"]
    assert [e.was_stopped for e in exposures.values()] == [True, False, False]
