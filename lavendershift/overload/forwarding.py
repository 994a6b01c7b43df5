"""Which new connections an overloaded VM forwards to another one.

Load pattern: all callers of a large customer stay with one small VM, whatever the
directory lists, at several times the requests/s that it can handle. Refusing them
doesn't help, as they return to the same VM. Forwarding the bytes of a connection takes
a fraction of the processor time of serving its requests::

    forwarding = ConnectionForwarding(clock, rng, "rennes", meter.find_excess, list_vms)
    target = forwarding.choose()  # an address, or None to serve the connection here
"""

import math
import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock

# Forwarded fraction of the connections for each fraction of excess load: callers keep
# some connections that were accepted before.
SHARE_PER_EXCESS = 1.5
# Time in which the forwarded fraction falls by two thirds once the load can be handled.
# Forwarding itself ends the excess, so it has to outlast it.
RELEASE_TIME = timedelta(seconds=10)
MIN_SHARE = 0.02
# Fraction of its capacity up to which a VM gets forwarded connections. Its reported
# load is up to 1.2 s old, and its capacity an estimate.
MAX_LOAD = 0.6
# Time without further forwarding to a VM that didn't accept a connection.
FAILURE_PAUSE = timedelta(seconds=1)


class Target(NamedTuple):
    """A VM to which callers are directed; the loads are in requests/s."""

    address: str
    failure_domain: str
    capacity: float
    arrivals: float


class ConnectionForwarding:
    """Decides for each new connection whether it is forwarded, and to which VM.

    ``find_excess`` returns the fraction of the load beyond what this VM can handle, and
    ``list_targets`` the other VMs in service to which callers are directed.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        failure_domain: str,
        find_excess: Callable[[], float],
        list_targets: Callable[[], Iterable[Target]],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._failure_domain = failure_domain
        self._find_excess = find_excess
        self._list_targets = list_targets
        self._share = 0.0
        self._updated_at = clock.elapsed()
        self._failed_until: dict[str, timedelta] = {}

    def choose(self) -> str | None:
        """Return the address to which a new connection goes, ``None`` for this VM."""
        if self._rng.random() >= self.find_share():
            return None
        spare = self._list_spare()
        if not spare:
            return None
        addresses = list(spare)
        return self._rng.choices(addresses, list(spare.values()))[0]

    def may_shift(self) -> bool:
        """Decide whether a caller should connect anew, so that it may be forwarded."""
        return self._rng.random() < self.find_share() and bool(self._list_spare())

    def note_failure(self, address: str) -> None:
        """Note that a VM didn't accept a connection."""
        self._failed_until[address] = self._clock.elapsed() + FAILURE_PAUSE

    def find_share(self) -> float:
        """Return the fraction of new connections to forward."""
        now = self._clock.elapsed()
        self._share *= math.exp(-(now - self._updated_at) / RELEASE_TIME)
        self._updated_at = now
        self._share = max(self._share, min(self._find_excess() * SHARE_PER_EXCESS, 1.0))
        return self._share if self._share >= MIN_SHARE else 0.0

    def _list_spare(self) -> dict[str, float]:
        """Return the requests/s that VMs can take, by address.

        VMs of this failure domain are preferred, as crossing takes time and is priced.
        """
        now = self._clock.elapsed()
        spare: dict[bool, dict[str, float]] = {True: {}, False: {}}
        for target in self._list_targets():
            left = target.capacity * MAX_LOAD - target.arrivals
            if left <= 0 or now < self._failed_until.get(target.address, timedelta()):
                continue
            is_near = target.failure_domain == self._failure_domain
            spare[is_near][target.address] = left
        return spare[True] or spare[False]
