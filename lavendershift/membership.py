"""Fleet membership, from the platform's list of VMs and from heartbeats.

The platform's list has the VMs that should exist, but lags; heartbeats show which
of them are reachable from this one. Neither proves that a VM is dead: a VM without
heartbeats may serve callers on the other side of a network partition. It is
therefore only suspected while it is listed. An incarnation is proposed for eviction
once it has sent no heartbeat for ``evict_after``, and its VM either has been absent
from the list for as long or has a newer incarnation. Nothing is proposed without a
fresh list. Eviction is safe at any time, as the ledger decides its effect; the
timing here only keeps evictions rare and staggers the routers' proposals.
"""

from collections.abc import Sequence
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.hashing import rank_by_hash
from lavendershift.messages import Heartbeat

# Time without a heartbeat after which a VM is no longer live: three heartbeats.
SUSPECT_AFTER = timedelta(seconds=3)
EVICT_AFTER = timedelta(seconds=30)
PROPOSER_STEP = timedelta(seconds=5)  # delay from one proposer's turn to the next
LIST_FRESHNESS = timedelta(seconds=15)  # age up to which a list can prove absence


class VmState(Enum):
    """State of a VM as seen from this one."""

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
    """A router's VM as seen from this one.

    ``ready`` is the readiness that it last reported, true before its first report.
    """

    name: str
    incarnation: str
    failure_domain: str
    state: VmState
    ready: bool


class Eviction(NamedTuple):
    """A proposal to evict an incarnation, with the time since its last heartbeat."""

    incarnation: str
    vm: str
    silence: timedelta


class _Incarnation(NamedTuple):
    vm: str
    last_seen_at: timedelta


class Membership:
    """The VMs of the fleet as seen by the router on VM ``vm``."""

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
        self._heartbeats: dict[str, Heartbeat] = {}
        self._received_at: dict[str, timedelta] = {}
        self._incarnations: dict[str, _Incarnation] = {}
        self._required_offset = 0

    @property
    def required_config_offset(self) -> int:
        """The highest configuration offset that any router has reported."""
        return self._required_offset

    def update_list(self, members: Sequence[Member]) -> None:
        """Replace the platform's list and update the times of absence."""
        now = self._clock.elapsed()
        self._list_at = now
        self._listed = {m.name: m for m in members if m.role == "router"}
        known = self._heartbeats.keys() | {i.vm for i in self._incarnations.values()}
        absent = known - self._listed.keys()
        self._absent_since = {
            name: self._absent_since.get(name, now) for name in absent
        }

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat that a peer sent on its own or in reply to one."""
        self._required_offset = max(self._required_offset, heartbeat.config_offset)
        if heartbeat.vm == self._vm:
            return
        now = self._clock.elapsed()
        self._heartbeats[heartbeat.vm] = heartbeat
        self._received_at[heartbeat.vm] = now
        self._incarnations[heartbeat.incarnation] = _Incarnation(heartbeat.vm, now)

    def add_incarnation(self, incarnation: str, vm: str) -> None:
        """Add an incarnation found in the ledger; its silence starts now."""
        now = self._clock.elapsed()
        if incarnation != self._incarnation:
            self._incarnations.setdefault(incarnation, _Incarnation(vm, now))

    def replace_own_incarnation(self, incarnation: str) -> None:
        """Replace the incarnation of this router itself."""
        self._incarnation = incarnation
        self._incarnations.pop(incarnation, None)

    def forget_incarnation(self, incarnation: str) -> None:
        """Drop an incarnation that the ledger has closed or evicted."""
        self._incarnations.pop(incarnation, None)

    def list_vms(self) -> list[Vm]:
        """Return all VMs except this one, sorted by name."""
        names = (self._listed.keys() | self._heartbeats.keys()) - {self._vm}
        return [self._describe(name) for name in sorted(names)]

    def count_live(self) -> int:
        """Return the number of routers that serve callers, this one included.

        Suspects count, as a VM that is unreachable from here may serve others.
        """
        serving = (VmState.LIVE, VmState.SUSPECT)
        return 1 + sum(vm.state in serving for vm in self.list_vms())

    def is_leaving(self) -> bool:
        """Return whether the platform's list has this VM as leaving."""
        own = self._listed.get(self._vm)
        return own is not None and own.state == "leaving"

    def _describe(self, name: str) -> Vm:
        member = self._listed.get(name)
        heartbeat = self._heartbeats.get(name)
        domain = heartbeat.failure_domain if heartbeat else ""
        return Vm(
            name=name,
            incarnation=heartbeat.incarnation if heartbeat else "",
            failure_domain=member.failure_domain if member else domain,
            state=self._find_state(name),
            ready=heartbeat is None or heartbeat.ready,
        )

    def _find_state(self, name: str) -> VmState:
        member = self._listed.get(name)
        if member is not None and member.state != "live":
            return VmState.LEAVING
        if self._has_recent_heartbeat(name):
            was_listed = member is not None or name not in self._absent_since
            return VmState.LIVE if was_listed else VmState.SUSPECT
        return VmState.GONE if member is None else VmState.SUSPECT

    def _has_recent_heartbeat(self, name: str) -> bool:
        received_at = self._received_at.get(name)
        if received_at is None:
            return False
        return self._clock.elapsed() - received_at <= SUSPECT_AFTER

    def propose_evictions(self) -> list[Eviction]:
        """Return the evictions that this router should propose.

        Proposers take turns in the order of a rendezvous hash, one
        ``PROPOSER_STEP`` after the other, until the ledger has the eviction.
        """
        now = self._clock.elapsed()
        if self._list_at is None or now - self._list_at > LIST_FRESHNESS:
            return []
        return [
            Eviction(name, incarnation.vm, now - incarnation.last_seen_at)
            for name, incarnation in sorted(self._incarnations.items())
            if self._should_propose(name, incarnation)
        ]

    def _should_propose(self, name: str, incarnation: _Incarnation) -> bool:
        overdue = self._find_overdue(name, incarnation)
        if overdue < timedelta():
            return False
        return overdue >= self._find_proposal_delay(name)

    def _find_overdue(self, name: str, incarnation: _Incarnation) -> timedelta:
        now = self._clock.elapsed()
        since = incarnation.last_seen_at
        if not self._is_superseded(name, incarnation):
            absent = self._absent_since.get(incarnation.vm)
            if absent is None:
                return timedelta.min
            since = max(since, absent)
        return now - since - self._evict_after

    def _is_superseded(self, name: str, incarnation: _Incarnation) -> bool:
        heartbeat = self._heartbeats.get(incarnation.vm)
        newest = self._incarnation if incarnation.vm == self._vm else ""
        if heartbeat is not None:
            newest = heartbeat.incarnation
        return newest not in ("", name)

    def _find_proposal_delay(self, incarnation: str) -> timedelta:
        proposers = [vm.name for vm in self.list_vms() if vm.state is VmState.LIVE]
        ranked = rank_by_hash([*proposers, self._vm], incarnation)
        return PROPOSER_STEP * ranked.index(self._vm)
