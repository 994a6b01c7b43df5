"""Which VMs of the fleet are there, from a lagging list and from heartbeats.

The platform's list says who should be there, heartbeats who is reachable from
here. Neither is proof of death: a VM that is silent towards this one may serve
callers on the far side of a partition. It is therefore only suspected while it
is listed, and an incarnation is proposed for eviction only once it is absent
from a fresh list and silent, both for ``evict_after``. Eviction is safe
whenever it happens, as the ledger decides what it means; the timing here only
keeps it rare and keeps routers from all proposing it at once.
"""

from collections.abc import Sequence
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.hashing import rank_by_hash
from lavendershift.messages import Heartbeat

SUSPECT_AFTER = timedelta(seconds=3)  # three heartbeats
EVICT_AFTER = timedelta(seconds=30)
PROPOSER_STEP = timedelta(seconds=5)  # until the next in line proposes
LIST_FRESHNESS = timedelta(seconds=15)  # an older list proves no absence


class VmState(Enum):
    """What is believed of a VM."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class Member(NamedTuple):
    """One entry of the platform's membership list."""

    name: str
    address: str
    role: str
    failure_domain: str
    state: str


class Vm(NamedTuple):
    """A router's VM as it is believed to be; ``ready`` is its own word."""

    name: str
    incarnation: str
    failure_domain: str
    state: VmState
    ready: bool


class Eviction(NamedTuple):
    """A proposal to evict an incarnation that was silent for so long."""

    incarnation: str
    vm: str
    silent: timedelta


class _Incarnation(NamedTuple):
    vm: str
    heard_at: timedelta


class Membership:
    """The VMs as the router on VM ``vm`` sees them."""

    def __init__(
        self,
        clock: Clock,
        vm: str,
        incarnation: str,
        evict_after: timedelta = EVICT_AFTER,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._evict_after = evict_after
        self._listed: dict[str, Member] = {}
        self._list_at: timedelta | None = None
        self._absent_since: dict[str, timedelta] = {}
        self._beats: dict[str, Heartbeat] = {}
        self._heard_at: dict[str, timedelta] = {}
        self._incarnations: dict[str, _Incarnation] = {}
        self._required_offset = 0

    @property
    def required_config_offset(self) -> int:
        """The highest configuration offset that any router told of."""
        return self._required_offset

    def update_list(self, members: Sequence[Member]) -> None:
        """Take over the platform's list."""
        now = self._clock.elapsed()
        self._list_at = now
        self._listed = {m.name: m for m in members if m.role == "router"}
        known = self._beats.keys() | {i.vm for i in self._incarnations.values()}
        absent = known - self._listed.keys()
        self._absent_since = {
            name: self._absent_since.get(name, now) for name in absent
        }

    def record_heartbeat(self, beat: Heartbeat) -> None:
        """Note a peer's heartbeat or its answer to one's own."""
        self._required_offset = max(self._required_offset, beat.config_offset)
        if beat.vm == self._vm:
            return
        now = self._clock.elapsed()
        self._beats[beat.vm] = beat
        self._heard_at[beat.vm] = now
        self._incarnations[beat.incarnation] = _Incarnation(beat.vm, now)

    def note_incarnation(self, incarnation: str, vm: str) -> None:
        """Note an incarnation that the ledger tells of; its silence starts now."""
        now = self._clock.elapsed()
        if incarnation != self._incarnation:
            self._incarnations.setdefault(incarnation, _Incarnation(vm, now))

    def renew_incarnation(self, incarnation: str) -> None:
        """Note that this router goes on as another incarnation."""
        self._incarnation = incarnation
        self._incarnations.pop(incarnation, None)

    def forget_incarnation(self, incarnation: str) -> None:
        """Drop an incarnation that the ledger calls closed or evicted."""
        self._incarnations.pop(incarnation, None)

    def list_vms(self) -> list[Vm]:
        """Return all VMs but one's own, by name."""
        names = (self._listed.keys() | self._beats.keys()) - {self._vm}
        return [self._describe(name) for name in sorted(names)]

    def count_live(self) -> int:
        """Return the number of routers that serve, one's own included.

        Suspects count: what cannot be reached from here may serve others.
        """
        serving = (VmState.LIVE, VmState.SUSPECT)
        return 1 + sum(vm.state in serving for vm in self.list_vms())

    def is_leaving(self) -> bool:
        """Tell whether the list calls one's own VM leaving."""
        own = self._listed.get(self._vm)
        return own is not None and own.state == "leaving"

    def _describe(self, name: str) -> Vm:
        member = self._listed.get(name)
        beat = self._beats.get(name)
        domain = beat.failure_domain if beat else ""
        return Vm(
            name=name,
            incarnation=beat.incarnation if beat else "",
            failure_domain=member.failure_domain if member else domain,
            state=self._find_state(name),
            ready=beat is None or beat.ready,
        )

    def _find_state(self, name: str) -> VmState:
        member = self._listed.get(name)
        if member is not None and member.state != "live":
            return VmState.LEAVING
        if self._was_heard(name):
            was_listed = member is not None or name not in self._absent_since
            return VmState.LIVE if was_listed else VmState.SUSPECT
        return VmState.GONE if member is None else VmState.SUSPECT

    def _was_heard(self, name: str) -> bool:
        heard_at = self._heard_at.get(name)
        if heard_at is None:
            return False
        return self._clock.elapsed() - heard_at <= SUSPECT_AFTER

    def propose_evictions(self) -> list[Eviction]:
        """Return the incarnations that this router should propose to evict.

        Proposers take turns in the order of a rendezvous hash, one
        ``PROPOSER_STEP`` after the other, as long as the ledger tells of no
        eviction.
        """
        now = self._clock.elapsed()
        if self._list_at is None or now - self._list_at > LIST_FRESHNESS:
            return []
        return [
            Eviction(name, incarnation.vm, now - incarnation.heard_at)
            for name, incarnation in sorted(self._incarnations.items())
            if self._is_ours_to_propose(name, incarnation)
        ]

    def _is_ours_to_propose(self, name: str, incarnation: _Incarnation) -> bool:
        overdue = self._find_overdue(name, incarnation)
        if overdue < timedelta():
            return False
        return overdue >= self._find_turn(name)

    def _find_overdue(self, name: str, incarnation: _Incarnation) -> timedelta:
        now = self._clock.elapsed()
        since = incarnation.heard_at
        if not self._is_superseded(name, incarnation):
            absent = self._absent_since.get(incarnation.vm)
            if absent is None:
                return timedelta.min
            since = max(since, absent)
        return now - since - self._evict_after

    def _is_superseded(self, name: str, incarnation: _Incarnation) -> bool:
        beat = self._beats.get(incarnation.vm)
        newest = self._incarnation if incarnation.vm == self._vm else ""
        if beat is not None:
            newest = beat.incarnation
        return newest not in ("", name)

    def _find_turn(self, incarnation: str) -> timedelta:
        proposers = [vm.name for vm in self.list_vms() if vm.state is VmState.LIVE]
        ranked = rank_by_hash([*proposers, self._vm], incarnation)
        return PROPOSER_STEP * ranked.index(self._vm)
