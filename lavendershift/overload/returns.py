"""Whether refusals relieve a VM, or come back to it."""

import math
from datetime import timedelta

from lavendershift.clocks import Clock

# Fraction of returning requests from which on refusals don't help: a request that is
# refused twice takes two fifths of the processor time of a served one, and costs its
# caller more than a late response. The replays in docs/design/overload.md compare.
MAX_RETURNS = 0.4
MEMORY = timedelta(
    seconds=1
)  # time in which the weight of a request falls by two thirds
MIN_REQUESTS = 10  # recent requests from which on the fraction counts
PAUSE = timedelta(seconds=10)  # time without refusals after that


class ReturnShare:
    """The fraction of recent requests that return after a refusal."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._noted = self._paused_until = clock.elapsed()
        self._returning = self._total = 0.0

    def note(self, is_returning: bool) -> None:
        """Note a request that arrives while there is too much load."""
        now = self._clock.elapsed()
        decay = math.exp((self._noted - now) / MEMORY)
        self._noted = now
        self._returning = self._returning * decay + is_returning
        self._total = self._total * decay + 1
        if self._total >= MIN_REQUESTS and self._returning > MAX_RETURNS * self._total:
            self._paused_until = now + PAUSE

    def helps(self) -> bool:
        """Whether requests should be refused."""
        return self._clock.elapsed() >= self._paused_until
