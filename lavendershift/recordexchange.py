"""Exchange of a record's versions among VMs, as patches in datagrams.

All VMs read the newest version of the record from the store. On a congested link that
takes seconds, and longer if older versions are read before it. So a VM that reads a new
version tells a few others, which put it into force and tell a few more. What crosses a
link then is a patch, whose size is that of the change::

    exchange = RecordExchange(rng, datagrams, list_peers, accept)
    exchange.note(Version(7, place, value))  # a version that was read from the store

A datagram may be lost, and a version may differ from the one before by more than fits
into one. The VMs that miss a version ask the one that told them of a newer one, or read
the store.
"""

import random
from collections import deque
from collections.abc import Callable, Collection
from typing import NamedTuple

import msgspec

from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.decoding import Count
from lavendershift.errors import DecodeError
from lavendershift.recordpatches import apply_patch, compute_digest, make_patch

# VMs that each VM tells of a version. Of VMs that choose five each at random, 0.7 % are
# chosen by none; these read the version from the store.
TOLD_VMS = 5
MAX_PATCH_BYTES = 1200  # so that a datagram fits into one packet
# Versions that are kept, as the base of patches from VMs that read others.
MAX_VERSIONS = 4


class Place(NamedTuple):
    """Where a version lies in a store, of which several may be copies.

    ``since`` is an offset from which on all records up to it are versions of the same
    record, so that a reader of this store may go on after it.
    """

    store: str
    era: int
    offset: int
    since: int


class Version(NamedTuple):
    """A version of the record; ``number`` rises with each."""

    number: int
    place: Place
    value: bytes


@register_message
class VersionNotice(msgspec.Struct, array_like=True, tag="version"):
    """A new version, as a patch to the version with the digest ``base``.

    The patch is empty if it is too large.
    """

    number: Count
    store: str
    era: Count
    offset: Count
    since: Count
    digest: Count
    base: Count
    patch: bytes


@register_message
class VersionInquiry(msgspec.Struct, array_like=True, tag="version_inquiry"):
    """Asks for the newest version, as a patch to the one with the digest ``base``."""

    base: Count


class RecordExchange:
    """Tells other VMs the versions that this VM reads, and gets theirs.

    ``accept`` puts a version into force and returns whether it did. ``on_missed`` is
    called when a newer version has to be read from the store, ``on_notice`` with what
    became of each notice.
    """

    def __init__(
        self,
        rng: random.Random,
        datagrams: Datagrams,
        list_peers: Callable[[], Collection[Peer]],
        accept: Callable[[Version], bool],
    ) -> None:
        self._rng = rng
        self._datagrams = datagrams
        self._list_peers = list_peers
        self._accept = accept
        self._values: deque[tuple[int, bytes]] = deque(maxlen=MAX_VERSIONS)
        self._newest: tuple[int, Place] | None = None
        self.on_missed: Callable[[], None] = lambda: None
        self.on_notice: Callable[[str], None] = lambda outcome: None
        datagrams.handle(VersionNotice, self._receive)
        datagrams.handle(VersionInquiry, self._receive_inquiry)

    def note(self, version: Version) -> None:
        """Note the version that this VM has read and put into force.

        The other VMs aren't told of the first one, which they have unless they start.
        """
        if self._newest is not None and version.number <= self._newest[0]:
            return
        digest = compute_digest(version.value)
        notice = self._make_notice(version, digest) if self._values else None
        self._remember(version, digest)
        if notice is not None:
            self._tell(notice)

    def _remember(self, version: Version, digest: int) -> None:
        self._newest = version.number, version.place
        self._values.append((digest, version.value))

    def _make_notice(self, version: Version, digest: int) -> VersionNotice:
        base_digest, base = self._values[-1]
        patch = make_patch(base, version.value)
        if len(patch) > MAX_PATCH_BYTES:
            patch = b""
        return VersionNotice(version.number, *version.place, digest, base_digest, patch)

    def _tell(self, notice: VersionNotice, teller: Peer | None = None) -> None:
        peers = [peer for peer in self._list_peers() if peer != teller]
        chosen = self._rng.sample(peers, min(len(peers), TOLD_VMS))
        self._datagrams.send(notice, chosen)

    def _receive(self, notice: VersionNotice, sender: Peer) -> None:
        self.on_notice(self._apply(notice, sender))

    def _apply(self, notice: VersionNotice, sender: Peer) -> str:
        """Put the version of a notice into force; return what became of it."""
        if self._newest is None:
            return "early"
        if notice.number <= self._newest[0]:
            return "known"
        if not notice.patch:
            self.on_missed()
            return "large"
        base = dict(self._values).get(notice.base)
        if base is None:
            self._datagrams.send(VersionInquiry(self._values[-1][0]), [sender])
            return "inquired"
        try:
            value = apply_patch(base, notice.patch)
        except DecodeError:
            return "damaged"
        if compute_digest(value) != notice.digest:
            return "damaged"
        place = Place(notice.store, notice.era, notice.offset, notice.since)
        version = Version(notice.number, place, value)
        if not self._accept(version):
            return "rejected"
        self._remember(version, notice.digest)
        self._tell(notice, sender)
        return "accepted"

    def _receive_inquiry(self, inquiry: VersionInquiry, sender: Peer) -> None:
        base = dict(self._values).get(inquiry.base)
        if base is None or self._newest is None:
            return
        digest, value = self._values[-1]
        if digest == inquiry.base:
            return
        patch = make_patch(base, value)
        if len(patch) <= MAX_PATCH_BYTES:
            number, place = self._newest
            notice = VersionNotice(number, *place, digest, inquiry.base, patch)
            self._datagrams.send(notice, [sender])
