"""Which new connections an overloaded VM forwards to another one.

Load pattern: all callers of a large customer stay with one small VM, whatever the
directory lists, at several times the requests/s that it can handle. Refusing them
doesn't help, as they return to the same VM. Forwarding the bytes of a connection takes
a fraction of the processor time of serving its requests::

    forwarding = ConnectionForwarding(clock, rng, find_load, find_own, list_vms)
    target = forwarding.choose()  # an address, or None to serve the connection here
"""

import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock

# Fractions of the time with the processor in use, above which more connections are
# forwarded, and below which fewer are. A request takes some ten turns of the event
# loop, each of which waits for what other requests do in it, so that responses are late
# long before the processor is saturated.
HIGH_LOAD, LOW_LOAD = 0.6, 0.4
# Time in which all connections would be forwarded at a saturated processor, and time in
# which none would be any more at a low load.
RISE_TIME = timedelta(milliseconds=800)
RELEASE_TIME = timedelta(seconds=10)
MAX_STEP = timedelta(milliseconds=500)  # longest time between two changes that counts
MIN_SHARE, MAX_SHARE = 0.02, 0.95
# Fraction of its capacity up to which a VM gets forwarded connections. The capacity
# counts all cores of a VM, and its process uses one. Its reported load is up to 1.2 s
# old.
MAX_TARGET_LOAD = 0.25
# Largest load of another VM, relative to that of this one, as a fraction of capacity:
# VMs that are about as busy would forward connections to each other.
MAX_RELATIVE_LOAD = 0.8
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

    ``find_load`` returns the recent fraction of time with the processor in use, and
    ``find_own`` this VM. ``list_targets`` returns the other VMs in service to which
    callers are directed.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        find_load: Callable[[], float],
        find_own: Callable[[], Target],
        list_targets: Callable[[], Iterable[Target]],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._find_load = find_load
        self._find_own = find_own
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
        """Return the fraction of new connections to forward.

        It follows the load by integration: forwarding itself lowers the load.
        """
        now = self._clock.elapsed()
        step = min(now - self._updated_at, MAX_STEP)
        self._updated_at = now
        load = self._find_load()
        if load > HIGH_LOAD:
            rise = (load - HIGH_LOAD) / (1 - HIGH_LOAD) * (step / RISE_TIME)
            self._share = min(self._share + rise, MAX_SHARE)
        elif load < LOW_LOAD:
            self._share = max(self._share - step / RELEASE_TIME, 0.0)
        return self._share if self._share >= MIN_SHARE else 0.0

    def _list_spare(self) -> dict[str, float]:
        """Return the requests/s that VMs can take, by address.

        VMs of this failure domain are preferred, as crossing takes time and is priced.
        """
        now, own = self._clock.elapsed(), self._find_own()
        own_load = own.arrivals / own.capacity if own.capacity else 1.0
        most = min(MAX_TARGET_LOAD, own_load * MAX_RELATIVE_LOAD)
        spare: dict[bool, dict[str, float]] = {True: {}, False: {}}
        for target in self._list_targets():
            left = target.capacity * most - target.arrivals
            if left <= 0 or now < self._failed_until.get(target.address, timedelta()):
                continue
            is_near = target.failure_domain == own.failure_domain
            spare[is_near][target.address] = left
        return spare[True] or spare[False]
