"""Times of a graceful stop, all measured from the stop signal.

While a process stops, it serves callers that don't know of the stop yet, then waits
for the requests in flight, ends those whose time is over, and flushes the responses
before it is killed::

    times = plan_stop(requested, grace=timedelta(seconds=8))
    await sleep_until(times.closing)
"""

from datetime import timedelta
from typing import NamedTuple

# Longest time in which requests are taken: callers use cached addresses for 3 s. It is
# less by what the handling of the signal may take.
MAX_ADMISSION = timedelta(milliseconds=2900)
# Part of the grace time in which requests are taken, so that most of them can complete.
ADMISSION_PART = 3 / 8
# Part of the grace time reserved for the last responses and the end of the process.
RESERVE_PART = 1 / 12
MIN_RESERVE = timedelta(milliseconds=300)
MAX_RESERVE = timedelta(seconds=1)
# Largest part reserved of a short grace time.
MAX_RESERVE_PART = 1 / 6
FLUSH_PART = 1 / 3  # part of the reserve for the last responses


class StopTimes(NamedTuple):
    """Times of one stop, by the clock of the process.

    Connections are accepted and requests taken until ``closing``. Requests in flight
    may complete until ``ending``, and get an error then. Responses are sent until
    ``flushed``, after which the process exits.
    """

    requested: timedelta
    closing: timedelta
    ending: timedelta
    flushed: timedelta


def plan_stop(requested: timedelta, grace: timedelta) -> StopTimes:
    """Return the times of a stop that was requested at ``requested``.

    The process is killed ``grace`` after that.
    """
    reserve = min(max(grace * RESERVE_PART, MIN_RESERVE), MAX_RESERVE)
    reserve = min(reserve, grace * MAX_RESERVE_PART)
    return StopTimes(
        requested,
        requested + min(MAX_ADMISSION, grace * ADMISSION_PART),
        requested + grace - reserve,
        requested + grace - reserve * (1 - FLUSH_PART),
    )
