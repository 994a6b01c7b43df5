"""Replication of attempts in flight, to bill those of a router that is lost.

A router notifies one peer, in another failure domain if possible, of the
attempts that it sent to engines and of those that are charged. When the router's
incarnation is evicted, that peer asks the engines for the usage of the remaining
attempts and logs their charges. A notice can be lost with the router that sent
it. The tokens that the router held then stay in doubt, so that the budget cannot
be overspent.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.hashing import rank_by_hash
from lavendershift.messages import AttemptNote, AttemptsNotice, Heartbeat
from lavendershift.records import Recover
from lavendershift.usages import UsageReader

FLUSH_STEP = timedelta(milliseconds=50)  # interval of notices
FULL_INTERVAL = timedelta(minutes=5)  # interval of notices of all open attempts
# Time without a notice after which an incarnation's notes expire; shorter than the
# retention of idempotency keys.
NOTE_LIFETIME = timedelta(minutes=15)
MAX_NOTES = 10_000  # attempts of one incarnation that a peer stores

Notify = Callable[[str, AttemptsNotice], Awaitable[bool]]
ListPeers = Callable[[], Mapping[str, Heartbeat]]


class AttemptSender:
    """Sends notices of this router's attempts to one peer.

    ``failure_domain`` and ``get_incarnation`` are this router's. ``notify`` sends
    a notice to a VM and returns whether it arrived.
    """

    def __init__(
        self,
        failure_domain: str,
        get_incarnation: Callable[[], str],
        list_peers: ListPeers,
        notify: Notify,
        clock: Clock,
    ) -> None:
        self._failure_domain = failure_domain
        self._get_incarnation = get_incarnation
        self._list_peers = list_peers
        self._notify = notify
        self._clock = clock
        self._full_sent_at = clock.elapsed()
        self._open: dict[str, AttemptNote] = {}
        self._sent: list[AttemptNote] = []
        self._charged: list[str] = []
        self._notified_peer: tuple[str, str] | None = None

    def note_sent(self, note: AttemptNote) -> None:
        """Record an attempt that is about to be sent to an engine."""
        self._open[note.attempt] = note
        self._sent.append(note)

    def note_charged(self, attempt: str) -> None:
        """Record that an attempt is charged, or certainly did not run."""
        if self._open.pop(attempt, None) is not None:
            self._charged.append(attempt)

    async def flush(self) -> None:
        """Send the changes to the peer, or all open attempts if the peer is new."""
        peer = self._choose_peer()
        if peer is None:
            return
        incarnation = self._get_incarnation()
        whole = self._notified_peer != (peer, incarnation) or self._is_full_due()
        if not whole and not self._sent and not self._charged:
            return
        sent = list(self._open.values()) if whole else self._sent
        notice = AttemptsNotice(incarnation, whole, sent, self._charged)
        self._sent, self._charged = [], []
        if whole:
            self._full_sent_at = self._clock.elapsed()
        is_delivered = await self._notify(peer, notice)
        self._notified_peer = (peer, incarnation) if is_delivered else None

    def _is_full_due(self) -> bool:
        return self._clock.elapsed() - self._full_sent_at >= FULL_INTERVAL

    def _choose_peer(self) -> str | None:
        peers = self._list_peers()
        remote = [
            vm
            for vm, heartbeat in peers.items()
            if heartbeat.failure_domain != self._failure_domain
        ]
        ranked = rank_by_hash(remote or list(peers), self._get_incarnation())
        return ranked[0] if ranked else None


class AttemptReplica:
    """Attempts of other routers, to be charged if their router is lost.

    ``submit`` takes a budget and a function that makes a ``Recover`` record for
    a record id, and logs the record in the stream of the budget.
    """

    def __init__(
        self,
        author: str,
        reader: UsageReader,
        submit: Callable[[str, Callable[[str], Recover]], object],
        clock: Clock,
    ) -> None:
        self._author = author
        self._reader = reader
        self._submit = submit
        self._clock = clock
        self._notes: dict[str, dict[str, AttemptNote]] = {}
        self._noted_at: dict[str, timedelta] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def apply_notice(self, notice: AttemptsNotice) -> None:
        """Apply a peer's notice to the stored attempts."""
        self._noted_at[notice.incarnation] = self._clock.elapsed()
        notes = self._notes.setdefault(notice.incarnation, {})
        if notice.whole:
            notes.clear()
        for note in notice.sent:
            if len(notes) < MAX_NOTES:
                notes[note.attempt] = note
        for attempt in notice.charged:
            notes.pop(attempt, None)

    def forget(self, incarnation: str) -> None:
        """Drop the attempts of an incarnation that shut down cleanly."""
        self._notes.pop(incarnation, None)
        self._noted_at.pop(incarnation, None)

    def forget_stale(self) -> None:
        """Drop attempts whose router sent no notice for ``NOTE_LIFETIME``.

        By then the router notifies another peer and may have charged the attempts.
        """
        oldest = self._clock.elapsed() - NOTE_LIFETIME
        for incarnation in [n for n, at in self._noted_at.items() if at < oldest]:
            self.forget(incarnation)

    def recover(self, incarnation: str) -> None:
        """Charge the attempts of an evicted incarnation, as engines report usage."""
        self.forget_stale()
        self._noted_at.pop(incarnation, None)
        for note in self._notes.pop(incarnation, {}).values():
            task = asyncio.ensure_future(self._recover_attempt(note))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Stop requesting usage from engines."""
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _recover_attempt(self, note: AttemptNote) -> None:
        usage = await self._reader.wait_usage(note.server, note.attempt)
        if usage is None:
            return
        self._submit(
            note.budget,
            lambda record_id: Recover(
                record_id,
                note.budget,
                note.incarnation,
                note.request,
                usage.total,
                note.attempt,
                self._author,
            ),
        )
