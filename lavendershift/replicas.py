"""Replicas of the attempts in flight, so that a lost router's are still billed.

A router tells one peer, in another failure domain where there is one, which
attempts it sent to engines and which of them are charged. When its incarnation
is evicted, that peer asks the engines what the remaining attempts consumed and
logs their charges. A notice can be lost with the router that sent it; what it
held of the budget then stays in doubt, so the budget is safe all the same.
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

FLUSH_STEP = timedelta(milliseconds=50)
WHOLE_INTERVAL = timedelta(minutes=5)  # between notices of all open attempts
NOTE_LIFETIME = timedelta(minutes=15)  # without a notice; below the time keys are kept
MAX_NOTES = 10_000  # of one incarnation that are kept for it

Notify = Callable[[str, AttemptsNotice], Awaitable[bool]]
ListPeers = Callable[[], Mapping[str, Heartbeat]]


class AttemptSender:
    """Keeps one peer informed of this router's attempts.

    ``failure_domain`` is this router's own; ``get_incarnation`` returns its
    current incarnation.
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
        self._whole_at = clock.elapsed()
        self._open: dict[str, AttemptNote] = {}
        self._sent: list[AttemptNote] = []
        self._charged: list[str] = []
        self._told_to: tuple[str, str] | None = None

    def note_sent(self, note: AttemptNote) -> None:
        """Note an attempt that is about to be sent to an engine."""
        self._open[note.attempt] = note
        self._sent.append(note)

    def note_charged(self, attempt: str) -> None:
        """Note that an attempt is charged, or certainly did not run."""
        if self._open.pop(attempt, None) is not None:
            self._charged.append(attempt)

    async def flush(self) -> None:
        """Tell the peer what changed, or everything if it is a new one."""
        peer = self._choose_peer()
        if peer is None:
            return
        incarnation = self._get_incarnation()
        whole = self._told_to != (peer, incarnation) or self._is_whole_due()
        if not whole and not self._sent and not self._charged:
            return
        sent = list(self._open.values()) if whole else self._sent
        notice = AttemptsNotice(incarnation, whole, sent, self._charged)
        self._sent, self._charged = [], []
        if whole:
            self._whole_at = self._clock.elapsed()
        told = await self._notify(peer, notice)
        self._told_to = (peer, incarnation) if told else None

    def _is_whole_due(self) -> bool:
        return self._clock.elapsed() - self._whole_at >= WHOLE_INTERVAL

    def _choose_peer(self) -> str | None:
        peers = self._list_peers()
        remote = [
            vm
            for vm, beat in peers.items()
            if beat.failure_domain != self._failure_domain
        ]
        ranked = rank_by_hash(remote or list(peers), self._get_incarnation())
        return ranked[0] if ranked else None


class AttemptReplica:
    """What peers told of their attempts, to be charged if they are lost.

    ``submit`` logs the ``Recover`` record made for the id it passes, in the
    stream of the budget named first.
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
        """Take in a peer's notice."""
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
        """Drop the notes of an incarnation that closed by itself."""
        self._notes.pop(incarnation, None)
        self._noted_at.pop(incarnation, None)

    def forget_stale(self) -> None:
        """Drop notes that their router has not confirmed for long.

        It tells another peer by now, and may have charged them since.
        """
        oldest = self._clock.elapsed() - NOTE_LIFETIME
        for incarnation in [n for n, at in self._noted_at.items() if at < oldest]:
            self.forget(incarnation)

    def recover(self, incarnation: str) -> None:
        """Charge the attempts of an evicted incarnation as engines answer."""
        self.forget_stale()
        self._noted_at.pop(incarnation, None)
        for note in self._notes.pop(incarnation, {}).values():
            task = asyncio.ensure_future(self._recover_attempt(note))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Stop asking engines."""
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
