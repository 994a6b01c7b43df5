"""Notices of draws, which let a few other VMs know grants that they haven't read.

A VM may end just after a draw, and the store may be restored from a copy that lacks it.
No VM would know then that the tokens were granted and spent, as others read the quota
records seconds later. So each draw is told to a few active VMs in the turn in which its
tokens become free, before any of them can be spent::

    notices = GrantNotices(rng, datagrams, list_peers, draws.note_told)
    notices.tell("plume", granted=5000, era=4)

A notice may be lost; it only adds to what VMs know from the records.
"""

import random
from collections.abc import Callable, Sequence

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


class GrantNotices:
    """Sends notices of this VM's draws, and passes on those of others."""

    def __init__(
        self,
        rng: random.Random,
        datagrams: Datagrams,
        list_peers: Callable[[], Sequence[Peer]],
        on_told: Callable[[str, int, int], None],
    ) -> None:
        self._rng = rng
        self._datagrams = datagrams
        self._list_peers = list_peers
        self._on_told = on_told
        datagrams.handle(GrantNotice, self._receive)

    def tell(self, customer: str, granted: int, era: int) -> None:
        """Tell some active VMs of a draw after which ``granted`` tokens are granted."""
        peers = self._list_peers()
        chosen = self._rng.sample(peers, min(len(peers), TOLD_VMS))
        self._datagrams.send(GrantNotice(customer, granted, era), chosen)

    def _receive(self, notice: GrantNotice, sender: Peer) -> None:
        self._on_told(notice.customer, notice.granted, notice.era)
