"""Exchange of crashes, cleared parts and quarantines between VMs.

A VM tells all others of each crash that broke off its requests, so that all judge by
the same evidence, and of responses that clear a suspected part. Quarantines are facts,
see ``factgossip``: a VM that missed a crash learns the verdict, and repeated ones reach
VMs that join.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta
from typing import TypeVar

import msgspec

from lavendershift.clocks import Clock
from lavendershift.crashes import Suspect
from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.decoding import Count, Seconds
from lavendershift.quarantine import Parts, Quarantine, QuarantineState, shorten
from lavendershift.serversignals import Incarnation

Item = TypeVar("Item")

MAX_DATAGRAM_BYTES = 1300  # leaves room for the fields around the parts
MAX_SUSPECTS = 60  # suspects of one crash that a VM tells others
# Longest delay of a message that a part was answered, as another VM may send it first.
MAX_ANSWER_DELAY_S = 0.1


class SuspectPrompt(msgspec.Struct, array_like=True):
    """The parts of a prompt, and whether its response had begun."""

    parts: list[str]
    has_begun: bool


@register_message
class CrashReport(msgspec.Struct, array_like=True, tag="crash"):
    """A server crashed and broke off requests of the sender before their first event.

    ``answered`` are those of the parts to which the sender got responses lately.
    """

    server: str
    born: Count
    suspects: list[SuspectPrompt]
    answered: list[str]


@register_message
class AnsweredParts(msgspec.Struct, array_like=True, tag="answered_parts"):
    """The sender got responses to prompts with these parts, ``ages_s`` ago."""

    parts: list[str]
    ages_s: list[Seconds]


class QuarantineFact(msgspec.Struct, array_like=True):
    """The state of a quarantine; ``trial_in_s`` is negative once a trial is due."""

    parts: list[str]
    is_active: bool
    version: Count
    failed_trials: Count
    trial_in_s: Seconds


@register_message
class QuarantineUpdate(msgspec.Struct, array_like=True, tag="quarantines"):
    """Quarantines that the sender knows."""

    quarantines: list[QuarantineFact]


class QuarantineFacts:
    """The quarantines that this VM knows."""

    message: type[msgspec.Struct] = QuarantineUpdate

    def __init__(self, clock: Clock, quarantine: Quarantine) -> None:
        self._clock = clock
        self._quarantine = quarantine

    def list_facts(self) -> dict[Parts, QuarantineState]:
        """Return the quarantines in force."""
        return self._quarantine.list_active()

    def find_key(self, fact: Parts) -> str:
        """Return the key of a quarantine's keeper."""
        return make_keeper_key(fact)

    def encode_one(self, parts: Parts, state: QuarantineState) -> QuarantineFact:
        """Return the message of one quarantine."""
        remaining = (state.trial_at - self._clock.elapsed()).total_seconds()
        return QuarantineFact(
            list(parts), state.is_active, state.version, state.failed_trials, remaining
        )

    def encode(self, facts: Mapping[Parts, QuarantineState]) -> list[msgspec.Struct]:
        """Return the datagrams with ``facts``."""
        encoded = [self.encode_one(parts, state) for parts, state in facts.items()]
        batches = batch_by_size(encoded, [measure(fact.parts) for fact in encoded])
        return [QuarantineUpdate(batch) for batch in batches]

    def merge(self, fact: QuarantineFact) -> None:
        """Merge one quarantine that another VM knows."""
        trial_at = self._clock.elapsed() + timedelta(seconds=fact.trial_in_s)
        state = QuarantineState(
            fact.is_active, fact.version, fact.failed_trials, trial_at
        )
        self._quarantine.merge(tuple(fact.parts), state)

    def apply(self, message: QuarantineUpdate) -> None:
        """Merge the quarantines that another VM knows."""
        for fact in message.quarantines:
            self.merge(fact)


class CrashGossip:
    """Tells other VMs of crashes and of responses that clear suspected parts."""

    def __init__(
        self,
        quarantine: Quarantine,
        datagrams: Datagrams,
        list_peers: Callable[[], Collection[Peer]],
        rng: random.Random,
    ) -> None:
        self._quarantine = quarantine
        self._datagrams = datagrams
        self._list_peers = list_peers
        self._rng = rng
        self._unknown_answers: set[str] = set()
        quarantine.on_cleared = self.announce_answers
        datagrams.handle(CrashReport, self._handle_crash)
        datagrams.handle(AnsweredParts, self._handle_answers)

    def report_crash(
        self, incarnation: Incarnation, suspects: Sequence[Suspect]
    ) -> None:
        """Record a crash that this VM saw, and tell the other VMs."""
        ranked = sorted(suspects, key=lambda suspect: not suspect.has_begun)
        told = [
            SuspectPrompt(list(shorten(suspect.parts)), suspect.has_begun)
            for suspect in ranked[:MAX_SUSPECTS]
        ]
        peers = self._list_peers()
        for batch in batch_by_size(told, [2 * measure(each.parts) for each in told]):
            parts = {part: None for each in batch for part in each.parts}
            answered = [part for part in parts if self._quarantine.was_answered(part)]
            self._datagrams.send(CrashReport(*incarnation, batch, answered), peers)
        self._quarantine.note_crash(incarnation, suspects, is_own=True)

    def _handle_crash(self, report: CrashReport, sender: Peer) -> None:
        suspects = [Suspect(tuple(s.parts), s.has_begun) for s in report.suspects]
        parts = {part: None for suspect in suspects for part in suspect.parts}
        self._quarantine.note_crash(
            (report.server, report.born),
            suspects,
            is_own=False,
            answered=frozenset(report.answered),
        )
        for part in parts:
            if part not in report.answered and self._quarantine.was_answered(part):
                self._unknown_answers.add(part)
        if self._unknown_answers:
            delay = self._rng.uniform(0, MAX_ANSWER_DELAY_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._announce_unknown_answers)

    def _announce_unknown_answers(self) -> None:
        """Tell of responses that the reporter of a crash didn't know, if none has."""
        parts = list(self._unknown_answers)
        self._unknown_answers.clear()
        self.announce_answers(parts)

    def announce_answers(self, parts: Sequence[str]) -> None:
        """Tell the other VMs that this VM got responses to prompts with ``parts``."""
        ages = {part: self._quarantine.find_answer_age(part) for part in parts}
        known = {part: age for part, age in ages.items() if age is not None}
        peers = self._list_peers()
        for batch in batch_by_size(list(known), [len(part) + 12 for part in known]):
            seconds = [known[part].total_seconds() for part in batch]
            self._datagrams.send(AnsweredParts(batch, seconds), peers)

    def _handle_answers(self, message: AnsweredParts, sender: Peer) -> None:
        self._unknown_answers.difference_update(message.parts)
        for part, age_s in zip(message.parts, message.ages_s, strict=False):
            self._quarantine.note_peer_answer(part, timedelta(seconds=age_s))


def make_keeper_key(parts: Parts) -> str:
    """Return the key that determines the keeper of a quarantine."""
    return "/".join(parts)


def measure(parts: Sequence[str]) -> int:
    """Return an upper bound of the encoded size of a prompt's parts, in bytes."""
    return sum(len(part.encode()) + 3 for part in parts) + 30


def batch_by_size(items: Sequence[Item], sizes: Sequence[int]) -> list[list[Item]]:
    """Return ``items`` in batches of at most ``MAX_DATAGRAM_BYTES``, if each fits."""
    batches: list[list[Item]] = []
    free = 0
    for item, size in zip(items, sizes, strict=True):
        if not batches or size > free:
            batches.append([])
            free = MAX_DATAGRAM_BYTES
        batches[-1].append(item)
        free -= size
    return batches
