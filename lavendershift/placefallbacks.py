"""Times in which a VM goes on without a keeper of places that doesn't reply.

The keeper is probed meanwhile. Only a reply as prompt as one to a request shows that it
is back: a slow keeper would delay each request until that goes on without it::

    fallbacks = PlaceFallbacks(clock, send_probe, longest_reply)
    fallbacks.begin(keeper, "proof")
    assert fallbacks.is_away(keeper)
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.datagrams import Peer

# Time in which a keeper without a prompt reply isn't asked again for places.
FALLBACK_TIME = timedelta(seconds=2)
PROBE_INTERVAL = timedelta(milliseconds=200)


class _Fallback:
    """One such time, and the latest probe of its keeper."""

    def __init__(self, service: str, until: timedelta) -> None:
        self.service = service
        self.until = until
        self.probe = 0
        self.probed_at = timedelta()


class PlaceFallbacks:
    """The keepers that aren't asked.

    ``send_probe`` sends a question to a keeper about a service, and returns its number.
    A reply to it counts if it takes at most ``longest_reply``.
    """

    def __init__(
        self,
        clock: Clock,
        send_probe: Callable[[Peer, str], int],
        longest_reply: timedelta,
    ) -> None:
        self._clock = clock
        self._send_probe = send_probe
        self._longest_reply = longest_reply
        self._fallbacks: dict[Peer, _Fallback] = {}

    def is_away(self, keeper: Peer) -> bool:
        """Whether a keeper isn't asked, as it hasn't replied."""
        fallback = self._fallbacks.get(keeper)
        if fallback is None:
            return False
        if self._clock.elapsed() < fallback.until:
            return True
        del self._fallbacks[keeper]
        return False

    def begin(self, keeper: Peer, service: str) -> None:
        """Go on without a keeper, unless another request has noted that already."""
        if self.is_away(keeper):
            return
        until = self._clock.elapsed() + FALLBACK_TIME
        fallback = self._fallbacks[keeper] = _Fallback(service, until)
        self._schedule(keeper, fallback)

    def note_reply(self, keeper: Peer, number: int) -> None:
        """End the fallback if a keeper replies promptly; probe one that replies late.

        A keeper that was paused replies to all questions when it goes on.
        """
        fallback = self._fallbacks.get(keeper)
        if fallback is None:
            return
        took = self._clock.elapsed() - fallback.probed_at
        if number != fallback.probe:
            self._probe(keeper, fallback)
        elif took <= self._longest_reply:
            del self._fallbacks[keeper]

    def _schedule(self, keeper: Peer, fallback: _Fallback) -> None:
        asyncio.get_running_loop().call_later(
            PROBE_INTERVAL.total_seconds(), self._probe_again, keeper, fallback
        )

    def _probe_again(self, keeper: Peer, fallback: _Fallback) -> None:
        if self._fallbacks.get(keeper) is fallback and self.is_away(keeper):
            self._probe(keeper, fallback)
            self._schedule(keeper, fallback)

    def _probe(self, keeper: Peer, fallback: _Fallback) -> None:
        """Probe a keeper, unless a prompt reply may be on its way."""
        now = self._clock.elapsed()
        if now - fallback.probed_at < self._longest_reply:
            return
        fallback.probed_at = now
        fallback.probe = self._send_probe(keeper, fallback.service)
