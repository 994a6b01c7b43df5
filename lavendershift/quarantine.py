"""Quarantine of prompts that crash backend servers.

A part of a prompt may crash each server that begins to respond to it. No VM sees all
crashes, and each crash breaks off sound requests as well, so that the evidence of all
VMs is collected for each part:

- For its guilt: crashes of servers while a request with it had no event yet. A request
  whose response had begun counts more than one that may have been waiting.
  Servers that crash at one moment, as in a power failure, count once.
- For its innocence: any event or complete response to a prompt with it. This clears
  earlier crashes, and more crashes are needed where one was known before the first.

Once a part has enough evidence, no request with it is sent any more, except for a trial
after some time, one for all VMs together. Parts of a prompt with the same evidence are
put into quarantine together, as they can't be told apart: only prompts with all of them
are affected, and other prompts with one of them may still clear it::

    quarantine = Quarantine(clock, rng)
    quarantine.note_crash(("i-7f3a91c2", 1_700_000_000_000), suspects, is_own=True)
    quarantine.find(("5c1e07a2", "91bd3f06"))

Ids of parts come from callers, so all tables are bounded, and lose the oldest entries.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Sequence
from datetime import timedelta
from typing import Any, NamedTuple

from lavendershift.clocks import Clock
from lavendershift.crashes import Suspect
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.serversignals import Incarnation

BEGUN_WEIGHT = 1.0  # evidence of a crash during a response that had begun
WAITING_WEIGHT = 0.7  # evidence of a crash while a request may have been waiting
# Evidence that puts a part into quarantine: two responses that had begun, or three
# requests that may have been waiting.
GUILT = 2.0
# The same for a part that got a response shortly before the first crash.
GUILT_AFTER_ANSWER = 4.0
# Time between two crashes that count as two. It is longer for requests that may have
# been waiting, as many of them are at all servers that fail one after the other.
BEGUN_SEPARATION = timedelta(milliseconds=100)
WAITING_SEPARATION = timedelta(milliseconds=500)
EVIDENCE_LIFETIME = timedelta(minutes=10)
ANSWER_LIFETIME = timedelta(seconds=30)  # time for which a response is remembered
# Time until the first trial, doubled after each that crashes a server.
FIRST_TRIAL_DELAY = timedelta(seconds=30)
MAX_TRIAL_DELAY = timedelta(hours=1)
# Time without a trial, after it is due, until a quarantine ends.
RETENTION = timedelta(minutes=10)
# Time in which servers may still crash by requests sent before the quarantine.
SETTLING_TIME = timedelta(seconds=1)
RETRY_SPREAD = 0.5  # largest random addition to a retry delay, as a share of it
MIN_RETRY_DELAY = timedelta(seconds=1)
MAX_SUSPECTED = 2000  # parts with evidence of crashes
MAX_ANSWERED = 3000  # parts that got responses
MAX_QUARANTINES = 500
MAX_ID_LENGTH = 64  # characters of a part's id that are compared

Parts = tuple[str, ...]


class QuarantineState(NamedTuple):
    """State of a quarantine.

    ``version`` increases with each change. ``failed_trials`` counts the trials that
    crashed a server, and ``trial_at`` is when the next one is due.
    """

    is_active: bool
    version: int
    failed_trials: int
    trial_at: timedelta

    def supersedes(self, other: "QuarantineState | None") -> bool:
        """Whether this state is newer than ``other``, or as new and active."""
        if other is None or self.version != other.version:
            return other is None or self.version > other.version
        return self.is_active and not other.is_active


class Block(NamedTuple):
    """The quarantine that a prompt is subject to.

    ``retry_after`` is the time after which a caller may return.
    """

    parts: Parts
    is_trial_due: bool
    retry_after: timedelta


def make_quarantine_error(block: Block) -> RequestError:
    """Return the error of a request that is not sent because of ``block``."""
    detail = "/".join(block.parts)
    return RequestError(ErrorKind.QUARANTINED, detail, block.retry_after)


class _Evidence:
    """The crashes in which one part was a suspect: times and weights."""

    def __init__(self) -> None:
        self.crashes: dict[Incarnation, tuple[timedelta, float]] = {}
        self.was_answered = False

    def add(self, incarnation: Incarnation, at: timedelta, weight: float) -> None:
        first, known = self.crashes.get(incarnation, (at, 0.0))
        self.crashes[incarnation] = (first, max(weight, known))

    def drop_until(self, time: timedelta) -> None:
        """Drop the crashes up to ``time``."""
        self.crashes = {
            i: crash for i, crash in self.crashes.items() if crash[0] > time
        }

    @property
    def is_guilty(self) -> bool:
        return self.weigh() >= (GUILT_AFTER_ANSWER if self.was_answered else GUILT)

    def weigh(self) -> float:
        """Return the sum of the weights, of crashes at one moment the largest."""
        total, last_weight = 0.0, 0.0
        counted_at: timedelta | None = None
        for at, weight in sorted(self.crashes.values()):
            has_begun = weight >= BEGUN_WEIGHT
            separation = BEGUN_SEPARATION if has_begun else WAITING_SEPARATION
            if counted_at is None or at - counted_at >= separation:
                counted_at, last_weight = at, weight
                total += weight
            elif weight > last_weight:
                total += weight - last_weight
                last_weight = weight
        return total


class Quarantine:
    """Evidence against parts of prompts, and the quarantines in force.

    ``on_change`` is called with the parts, the new state, its cause ("crash", "answer"
    or "vm"), and whether this VM saw the cause itself. ``on_cleared`` is
    called with the suspected parts that a response to this VM has cleared.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._evidence: OrderedDict[str, _Evidence] = OrderedDict()
        self._answered: OrderedDict[str, timedelta] = OrderedDict()
        self._states: OrderedDict[Parts, QuarantineState] = OrderedDict()
        self._since: dict[Parts, timedelta] = {}
        self.on_change: Callable[[Parts, QuarantineState, str, bool], None] = (
            lambda parts, state, cause, is_own: None
        )
        self.on_cleared: Callable[[list[str]], None] = lambda parts: None

    def note_crash(
        self,
        incarnation: Incarnation,
        suspects: Sequence[Suspect],
        is_own: bool,
        answered: Collection[str] = (),
    ) -> None:
        """Record the suspects of a crash.

        ``answered`` are those of their parts to which another VM got a response lately.
        """
        now = self._clock.elapsed()
        prompts = [shorten(suspect.parts) for suspect in suspects]
        for parts, suspect in zip(prompts, suspects, strict=True):
            weight = BEGUN_WEIGHT if suspect.has_begun else WAITING_WEIGHT
            for part in parts:
                evidence = self._evidence.pop(part, None) or _Evidence()
                self._evidence[part] = evidence
                evidence.drop_until(now - EVIDENCE_LIFETIME)
                evidence.add(incarnation, now, weight)
                if part in answered or self.was_answered(part):
                    evidence.was_answered = True
        _drop_oldest(self._evidence, MAX_SUSPECTED)
        found = [self._find_guilty(parts) for parts in prompts]
        for parts, guilty in zip(prompts, found, strict=True):
            if guilty and not self._is_explained(guilty, [*found, *self.list_active()]):
                self._stop(parts, guilty, is_own)

    def _find_guilty(self, parts: Parts) -> Parts:
        """Return those parts of a prompt that have the most evidence, if any."""
        weights = {
            part: self._evidence[part].weigh()
            for part in parts
            if part in self._evidence and self._evidence[part].is_guilty
        }
        most = max(weights.values(), default=0.0)
        return tuple(part for part in parts if weights.get(part) == most)

    def _is_explained(self, guilty: Parts, found: Iterable[Parts]) -> bool:
        """Return whether other parts may have caused all crashes of ``guilty``.

        These are parts that are stopped together with them in another prompt, and were
        suspects of the same crashes.
        """
        crashes = {i for part in guilty for i in self._evidence[part].crashes}

        def was_in_all(part: str) -> bool:
            evidence = self._evidence.get(part)
            return evidence is not None and crashes <= evidence.crashes.keys()

        return any(
            set(guilty) < set(larger)
            and all(was_in_all(part) for part in set(larger).difference(guilty))
            for larger in found
        )

    def _stop(self, parts: Parts, guilty: Parts, is_own: bool) -> None:
        """Put the ``guilty`` parts of a prompt into quarantine."""
        now = self._clock.elapsed()
        blocking = self._list_blocking(parts)
        if any(now - self._since[each] < SETTLING_TIME for each in blocking):
            return
        # A request that was sent in spite of a quarantine was its trial.
        failed = 0
        for each in blocking:
            failed = max(failed, self._states[each].failed_trials + 1)
        delay = min(FIRST_TRIAL_DELAY * 2 ** min(failed, 16), MAX_TRIAL_DELAY)
        known = self._states.get(guilty)
        version = 1 if known is None else known.version + 1
        state = QuarantineState(True, version, failed, now + delay)
        self._store(guilty, state, "crash", is_own)

    def note_answer(self, parts: Sequence[str]) -> None:
        """Record that this VM got an event or a complete response to a prompt."""
        now = self._clock.elapsed()
        parts = shorten(parts)
        cleared = [part for part in parts if part in self._evidence]
        for part in parts:
            self._evidence.pop(part, None)
            self._answered.pop(part, None)
            self._answered[part] = now
        _drop_oldest(self._answered, MAX_ANSWERED)
        for guilty in self._list_blocking(parts):
            self._release(guilty)
        if cleared:
            self.on_cleared(cleared)

    def note_peer_answer(self, part: str, age: timedelta) -> None:
        """Record that another VM got a response to a prompt with ``part``."""
        evidence = self._evidence.get(part)
        if evidence is None or age > ANSWER_LIFETIME:
            return
        evidence.was_answered = True
        evidence.drop_until(self._clock.elapsed() - age)
        if not evidence.crashes:
            del self._evidence[part]

    def was_answered(self, part: str) -> bool:
        """Whether this VM got a response to a prompt with ``part`` lately."""
        return self.find_answer_age(part) is not None

    def find_answer_age(self, part: str) -> timedelta | None:
        """Return the time since a response, ``None`` if there was none lately."""
        at = self._answered.get(part)
        age = None if at is None else self._clock.elapsed() - at
        return age if age is not None and age <= ANSWER_LIFETIME else None

    def is_suspicious(self, parts: Sequence[str]) -> bool:
        """Whether nothing shows that a prompt is sound.

        The last part belongs to the request itself, so that it proves nothing.
        """
        shared = shorten(parts)[:-1] or shorten(parts)
        return not all(self.was_answered(part) for part in shared)

    def find(self, parts: Sequence[str]) -> Block | None:
        """Return the quarantine of a prompt, ``None`` if it may be sent."""
        blocking = self._list_blocking(shorten(parts)) if self._states else []
        if not blocking:
            return None
        now = self._clock.elapsed()
        guilty = max(blocking, key=lambda each: self._states[each].trial_at)
        remaining = self._states[guilty].trial_at - now
        delay = max(remaining, MIN_RETRY_DELAY)
        delay *= self._rng.uniform(1, 1 + RETRY_SPREAD)
        return Block(guilty, remaining <= timedelta(), delay)

    def _list_blocking(self, parts: Parts) -> list[Parts]:
        """Return the quarantines whose parts all occur in a prompt."""
        self._expire()
        present = set(parts)
        return [
            guilty
            for guilty, state in self._states.items()
            if state.is_active and present.issuperset(guilty)
        ]

    def _expire(self) -> None:
        """Drop the quarantines for which no trial was made for a long time."""
        now = self._clock.elapsed()
        for guilty, state in list(self._states.items()):
            if now > state.trial_at + RETENTION:
                del self._states[guilty], self._since[guilty]

    def find_state(self, parts: Parts) -> QuarantineState | None:
        """Return the state of a quarantine, ``None`` if it is unknown."""
        return self._states.get(parts)

    def list_active(self) -> dict[Parts, QuarantineState]:
        """Return the quarantines in force."""
        self._expire()
        return {parts: s for parts, s in self._states.items() if s.is_active}

    def merge(self, parts: Parts, state: QuarantineState) -> None:
        """Apply the state that another VM knows, if it is newer."""
        if state.supersedes(self._states.get(parts)):
            self._store(parts, state, "vm", is_own=False)

    def _release(self, parts: Parts) -> None:
        """End a quarantine after a response to a prompt with all of its parts."""
        state = self._states[parts]
        for part in parts:
            self._evidence.pop(part, None)
        released = state._replace(is_active=False, version=state.version + 1)
        self._store(parts, released, "answer", is_own=True)

    def _store(
        self, parts: Parts, state: QuarantineState, cause: str, is_own: bool
    ) -> None:
        self._states.pop(parts, None)
        self._states[parts] = state
        self._since[parts] = self._clock.elapsed()
        if len(self._states) > MAX_QUARANTINES:
            oldest, _ = self._states.popitem(last=False)
            del self._since[oldest]
        self.on_change(parts, state, cause, is_own)


def shorten(parts: Iterable[str]) -> Parts:
    """Return ids of parts, each cut to ``MAX_ID_LENGTH``."""
    return tuple(part[:MAX_ID_LENGTH] for part in parts)


def _drop_oldest(table: OrderedDict[str, Any], size: int) -> None:
    while len(table) > size:
        table.popitem(last=False)
