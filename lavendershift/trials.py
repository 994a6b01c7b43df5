"""Trials of quarantined prompts, one at a time for all VMs together.

A quarantined part gets no more responses that could clear it. After some time one
request with it is sent as a trial: a response ends the quarantine, and another crash
prolongs it. A VM that has such a request asks the quarantine's keeper for the trial. No
reply, no trial. The keeper tells all VMs of a trial that it grants, as another VM
becomes the keeper when it is silent::

    trials = Trials(clock, quarantine, facts, datagrams, find_keeper)
    if await trials.take(block.parts):
        ...
"""

from collections.abc import Callable, Collection
from datetime import timedelta

import msgspec

from lavendershift.clocks import Clock
from lavendershift.datagrams import Datagrams, Peer, Replies, register_message
from lavendershift.decoding import Count
from lavendershift.quarantine import MAX_QUARANTINES, Parts, Quarantine
from lavendershift.quarantinegossip import (
    QuarantineFact,
    QuarantineFacts,
    make_keeper_key,
)

REPLY_TIMEOUT = timedelta(milliseconds=100)
# Time after which a trial without a result is followed by another one.
TRIAL_TIMEOUT = timedelta(seconds=15)


@register_message
class TrialRequest(msgspec.Struct, array_like=True, tag="trial_request"):
    """A request for a trial, with the quarantine that its sender knows.

    ``origin`` is the sender's address if another VM forwarded it.
    """

    number: Count
    quarantine: QuarantineFact
    origin: Peer | None = None


@register_message
class TrialReply(msgspec.Struct, array_like=True, tag="trial"):
    """The reply to the request ``number``.

    ``quarantine`` is the state that the keeper knows.
    """

    number: Count
    is_granted: bool
    quarantine: QuarantineFact


@register_message
class TrialNotice(msgspec.Struct, array_like=True, tag="trial_notice"):
    """A notice that a trial of ``quarantine`` has been granted."""

    quarantine: QuarantineFact


class Trials:
    """Gets trials from keepers, and grants those of the quarantines kept here.

    ``find_keeper`` returns the address of a keeper, ``None`` if it is this VM, and
    ``list_peers`` the addresses of the other VMs.
    """

    def __init__(
        self,
        clock: Clock,
        quarantine: Quarantine,
        facts: QuarantineFacts,
        datagrams: Datagrams,
        find_keeper: Callable[[str], Peer | None],
        list_peers: Callable[[], Collection[Peer]] = lambda: (),
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._facts = facts
        self._datagrams = datagrams
        self._find_keeper = find_keeper
        self._list_peers = list_peers
        self._replies: Replies[bool] = Replies()
        self._granted_at: dict[Parts, timedelta] = {}
        datagrams.handle(TrialRequest, self._handle_request)
        datagrams.handle(TrialReply, self._handle_reply)
        datagrams.handle(TrialNotice, self._handle_notice)

    async def take(self, parts: Parts) -> bool:
        """Return whether a request with the quarantined ``parts`` may be sent now."""
        keeper = self._find_keeper(make_keeper_key(parts))
        if keeper is None:
            return self._grant(parts)
        state = self._quarantine.find_state(parts)
        if state is None:
            return False
        fact = self._facts.encode_one(parts, state)

        def send(number: int) -> None:
            self._datagrams.send(TrialRequest(number, fact), [keeper])

        try:
            return await self._replies.wait(send, REPLY_TIMEOUT)
        except TimeoutError:
            return False

    def _grant(self, parts: Parts) -> bool:
        """Return whether a trial is due and none is under way."""
        now = self._clock.elapsed()
        state = self._quarantine.find_state(parts)
        if state is None or not state.is_active or now < state.trial_at:
            return False
        granted_at = self._granted_at.get(parts)
        if granted_at is not None and now - granted_at < TRIAL_TIMEOUT:
            return False
        self._note_grant(parts)
        fact = self._facts.encode_one(parts, state)
        self._datagrams.send(TrialNotice(fact), self._list_peers())
        return True

    def _note_grant(self, parts: Parts) -> None:
        if len(self._granted_at) >= MAX_QUARANTINES:
            self._granted_at.clear()
        self._granted_at[parts] = self._clock.elapsed()

    def _handle_request(self, request: TrialRequest, sender: Peer) -> None:
        """Grant or refuse a trial, or forward the request to the keeper once.

        VMs may disagree on the keeper while the list of VMs changes.
        """
        parts = tuple(request.quarantine.parts)
        keeper = self._find_keeper(make_keeper_key(parts))
        if keeper is not None and request.origin is None:
            request.origin = sender
            self._datagrams.send(request, [keeper])
            return
        self._facts.merge(request.quarantine)
        is_granted = keeper is None and self._grant(parts)
        state = self._quarantine.find_state(parts)
        assert state is not None  # merged above
        fact = self._facts.encode_one(parts, state)
        reply = TrialReply(request.number, is_granted, fact)
        self._datagrams.send(reply, [request.origin or sender])

    def _handle_reply(self, reply: TrialReply, sender: Peer) -> None:
        self._facts.merge(reply.quarantine)
        self._replies.resolve(reply.number, reply.is_granted)

    def _handle_notice(self, notice: TrialNotice, sender: Peer) -> None:
        """Grant no other trial for some time, should this VM become the keeper."""
        self._facts.merge(notice.quarantine)
        self._note_grant(tuple(notice.quarantine.parts))
