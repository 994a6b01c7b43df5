import asyncio
from datetime import timedelta

from lavendershift.supervision import MAX_PAUSE, MIN_PAUSE, RESET_AFTER, LoopSupervisor
from lavendershift.tests.virtualloop import VirtualLoop


class FailingLoop:
    """Fails after each of ``lengths``, and then runs until it is cancelled."""

    def __init__(self, clock, *lengths, error=OverflowError):
        self.clock = clock
        self.lengths = list(lengths)
        self.error = error
        self.starts = []

    async def run(self):
        self.starts.append(self.clock.elapsed())
        if not self.lengths:
            await asyncio.Event().wait()
        await asyncio.sleep(self.lengths.pop(0).total_seconds())
        raise self.error


def supervise(*lengths, length_s=100, error=OverflowError):
    """Return the failing loop, and the failures that were reported."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        clock, failures = runner.get_loop(), []
        loop = FailingLoop(clock, *lengths, error=error)
        supervisor = LoopSupervisor(clock, lambda *failure: failures.append(failure))

        async def work():
            task = asyncio.ensure_future(supervisor.run("feed", loop.run))
            await asyncio.sleep(length_s)
            assert not task.done()
            task.cancel()
            await asyncio.wait([task])
            assert task.cancelled()

        runner.run(work())
        return loop, failures


def test_a_loop_that_fails_is_started_again():
    loop, failures = supervise(timedelta())
    assert loop.starts == [timedelta(), MIN_PAUSE]
    ((name, error, pause),) = failures
    assert (name, type(error), pause) == ("feed", OverflowError, MIN_PAUSE)


def test_the_pauses_of_a_loop_that_fails_again_and_again_are_bounded():
    _, failures = supervise(*[timedelta()] * 12)
    pauses = [pause for _, _, pause in failures]
    assert pauses[:4] == [MIN_PAUSE, MIN_PAUSE * 2, MIN_PAUSE * 4, MIN_PAUSE * 8]
    assert pauses[-1] == MAX_PAUSE


def test_a_loop_that_ran_for_long_is_started_again_soon():
    _, failures = supervise(*[timedelta()] * 5, RESET_AFTER * 2)
    assert failures[-1][2] == MIN_PAUSE


def test_a_loop_that_waited_for_something_cancelled_is_started_again():
    loop, failures = supervise(timedelta(), error=asyncio.CancelledError)
    assert loop.starts == [timedelta(), MIN_PAUSE]
    assert len(failures) == 1
