"""Components of a VM that stop prompts which crash servers, built and connected.

control = CrashControl(
clock, rng, log, instruments, connections, datagrams, list_peers, find_keeper
)
gossip = FactGossip([control.facts], datagrams, list_peers, find_keeper)
control.announce = gossip.announce
"""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Any

from lavendershift.clocks import Clock
from lavendershift.connections import ConnectionPool
from lavendershift.crashes import CrashDetector, Suspect
from lavendershift.datagrams import Datagrams, Peer
from lavendershift.factgossip import FactKind
from lavendershift.instruments import Instruments
from lavendershift.logs import Event, EventLog
from lavendershift.quarantine import Parts, Quarantine, QuarantineState
from lavendershift.quarantinegossip import (
    CrashGossip,
    QuarantineFacts,
    make_keeper_key,
)
from lavendershift.serversignals import Incarnation
from lavendershift.trials import Trials


class CrashControl:
    """Detector of crashes, quarantine, and their exchange with other VMs.

    ``announce`` is called with the facts about a quarantine to tell all VMs.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        log: EventLog,
        instruments: Instruments,
        connections: ConnectionPool,
        datagrams: Datagrams,
        list_peers: Callable[[], Collection[Peer]],
        find_keeper: Callable[[str], Peer | None],
    ) -> None:
        self._log = log
        self._instruments = instruments
        self._find_keeper = find_keeper
        self.detector = CrashDetector(connections.is_refused)
        self.quarantine = Quarantine(clock, rng)
        self.facts = QuarantineFacts(clock, self.quarantine)
        self.trials = Trials(
            clock, self.quarantine, self.facts, datagrams, find_keeper, list_peers
        )
        self.announce: Callable[[FactKind, Mapping[Any, Any]], None] = (
            lambda kind, facts: None
        )
        self._gossip = CrashGossip(self.quarantine, datagrams, list_peers, rng)
        self.detector.on_crash = self._note_crash
        self.quarantine.on_change = self._note_quarantine

    def _note_crash(
        self, incarnation: Incarnation, suspects: Sequence[Suspect]
    ) -> None:
        """Handle the crash of a server that broke off requests of this VM."""
        self._instruments.count("server_crashes")
        for suspect in suspects:
            self._log.write(
                Event.SERVER_CRASHED,
                server=incarnation[0],
                parts=",".join(suspect.parts),
                result="begun" if suspect.has_begun else "waiting",
            )
        self._gossip.report_crash(incarnation, suspects)

    def _note_quarantine(
        self, parts: Parts, state: QuarantineState, cause: str, is_own: bool
    ) -> None:
        """Handle the begin or end of a quarantine.

        If all VMs reach the same verdict, only those that saw the crash and the
        quarantine's keeper announce it.
        """
        self._log.write(
            Event.PARTS_QUARANTINED if state.is_active else Event.PARTS_RELEASED,
            parts="/".join(parts),
            version=state.version,
            reason=cause,
        )
        if state.is_active:
            self.detector.stop_exposed(parts)
        is_keeper = self._find_keeper(make_keeper_key(parts)) is None
        if is_own or (cause == "crash" and is_keeper):
            self.announce(self.facts, {parts: state})
