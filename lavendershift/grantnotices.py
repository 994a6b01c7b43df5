"""Notices of draws, which let a few other VMs know grants that they haven't read.

A VM may end just after a draw, and the store may be restored from a copy that lacks it.
No VM would know then that the tokens were granted and spent, as others read the quota
records seconds later. So each draw is told to a few active VMs in the turn in which its
tokens become free, before any of them can be spent::

    notices = GrantNotices(rng, datagrams, list_peers, draws.grants, find_address)
    notices.tell("plume", granted=5000, era=4)

After a restore, a VM asks all active VMs for more grants than it knows before it draws,
as VMs that the store rejects can't write lost grants. Those that know more reply::

    notices.inquire({"plume": 3000}, era=5)

A datagram may be lost; it only adds to what VMs know from the records.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec

from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.decoding import Count

# VMs that are told of a draw. Three seldom end within the same few seconds, and a VM
# sends few draws a second.
TOLD_VMS = 3


@register_message
class GrantNotice(msgspec.Struct, array_like=True, tag="granted"):
    """A customer's grants after a draw, and the store's era."""

    customer: str
    granted: Count
    era: Count


@register_message
class GrantInquiry(msgspec.Struct, array_like=True, tag="grant_inquiry"):
    """Asks for more grants than ``granted`` that the store may lack.

    ``address`` and ``era`` are those of the sender's store.
    """

    address: str
    era: Count
    granted: dict[str, Count]


@register_message
class GrantReply(msgspec.Struct, array_like=True, tag="grant_reply"):
    """Grants that the store in ``era`` may lack."""

    era: Count
    granted: dict[str, Count]


class Grants(Protocol):
    """The grants that this VM knows of."""

    def note_told(self, customer: str, granted: int, era: int) -> None:
        """Note the grants after a draw of another VM, in case a restore loses it."""
        ...

    def note_lost(self, customer: str, granted: int, era: int) -> None:
        """Note grants that the store in ``era`` may lack."""
        ...

    def find_unrecorded(self, customer: str, era: int, is_same_store: bool) -> int:
        """Return the known grants if the store in ``era`` may lack them, or else 0."""
        ...


class GrantNotices:
    """Sends notices and inquiries of this VM, and passes on what others tell.

    ``find_address`` returns the address of the store.
    """

    def __init__(
        self,
        rng: random.Random,
        datagrams: Datagrams,
        list_peers: Callable[[], Sequence[Peer]],
        grants: Grants,
        find_address: Callable[[], str],
    ) -> None:
        self._rng = rng
        self._datagrams = datagrams
        self._list_peers = list_peers
        self._grants = grants
        self._find_address = find_address
        datagrams.handle(GrantNotice, self._receive)
        datagrams.handle(GrantInquiry, self._receive_inquiry)
        datagrams.handle(GrantReply, self._receive_reply)

    def tell(self, customer: str, granted: int, era: int) -> None:
        """Tell some active VMs of a draw after which ``granted`` tokens are granted."""
        peers = self._list_peers()
        chosen = self._rng.sample(peers, min(len(peers), TOLD_VMS))
        self._datagrams.send(GrantNotice(customer, granted, era), chosen)

    def _receive(self, notice: GrantNotice, sender: Peer) -> None:
        self._grants.note_told(notice.customer, notice.granted, notice.era)

    def inquire(self, granted: Mapping[str, int], era: int) -> None:
        """Ask all active VMs for more grants than ``granted``."""
        inquiry = GrantInquiry(self._find_address(), era, dict(granted))
        self._datagrams.send(inquiry, self._list_peers())

    def _receive_inquiry(self, inquiry: GrantInquiry, sender: Peer) -> None:
        is_same_store = inquiry.address == self._find_address()
        more = {}
        for customer, granted in inquiry.granted.items():
            known = self._grants.find_unrecorded(customer, inquiry.era, is_same_store)
            if known > granted:
                more[customer] = known
        if more:
            self._datagrams.send(GrantReply(inquiry.era, more), [sender])

    def _receive_reply(self, reply: GrantReply, sender: Peer) -> None:
        for customer, granted in reply.granted.items():
            self._grants.note_lost(customer, granted, reply.era)
