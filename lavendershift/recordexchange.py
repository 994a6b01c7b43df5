"""Exchange of a record's versions among VMs, as patches in datagrams.

All VMs read the newest version of the record from the store. On a congested link that
takes seconds, and longer if older versions are read before it. So a VM that reads a new
version tells a few others, which put it into force and tell a few more. What crosses a
link then is a patch, whose size is that of the change::

    exchange = RecordExchange(clock, rng, datagrams, list_peers, accept)
    exchange.note(Version(7, place, value))  # a version that was read from the store

A patch that is too large for one datagram is sent in parts to those that ask for it.

Datagrams may be lost. A VM that misses a version asks the one that told it of a newer
one, and all VMs go on reading the store.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Collection
from datetime import timedelta
from functools import partial
from typing import NamedTuple

import msgspec

from lavendershift.clocks import Clock
from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.decoding import Count
from lavendershift.errors import DecodeError
from lavendershift.recordpatches import apply_patch, compute_digest, make_patch

# VMs that each VM tells of a version. Of VMs that choose five each at random, 0.7 % are
# chosen by none; these read the version from the store.
TOLD_VMS = 5
MAX_PART_BYTES = 1200  # so that a datagram fits into one packet
MAX_PARTS = 40  # of one patch; larger changes are read from the store
# Time for the reply to an inquiry, after which the missing parts are asked for again.
INQUIRY_TIME = timedelta(milliseconds=300)
MAX_INQUIRIES = 8  # for one version; all VMs read the store meanwhile
# Versions that are kept, as the base of patches from VMs that read others.
MAX_VERSIONS = 4
NO_VERSION = 0  # digest of the empty base, which all VMs have


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


class _Parts(NamedTuple):
    """The parts of one patch that have been received, of ``parts``."""

    digest: int
    base: int
    parts: int
    received: dict[int, bytes]


@register_message
class VersionNotice(msgspec.Struct, array_like=True, tag="version"):
    """A new version, as a patch to the version with the digest ``base``.

    ``patch`` is one of its ``parts``. There are none if it is too large to be sent
    without being asked for.
    """

    number: Count
    store: str
    era: Count
    offset: Count
    since: Count
    digest: Count
    base: Count
    parts: Count
    part: Count
    patch: bytes


@register_message
class VersionInquiry(msgspec.Struct, array_like=True, tag="version_inquiry"):
    """Asks for the newest version, as a patch to the one with the digest ``base``.

    A VM that doesn't have that one replies with a patch to the empty base. Of a patch
    with ``parts`` to the version ``digest``, only those in ``missing`` are wanted.
    """

    base: Count
    digest: Count = 0
    parts: Count = 0
    missing: list[Count] = []


class RecordExchange:
    """Tells other VMs the versions that this VM reads, and gets theirs.

    ``accept`` puts a version into force and returns whether it did. ``on_notice`` is
    called with what became of each notice.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        datagrams: Datagrams,
        list_peers: Callable[[], Collection[Peer]],
        accept: Callable[[Version], bool],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._datagrams = datagrams
        self._list_peers = list_peers
        self._accept = accept
        self._values: deque[tuple[int, bytes]] = deque(maxlen=MAX_VERSIONS)
        self._newest: tuple[int, Place] | None = None
        self._told: tuple[int, Peer] | None = None  # the newest number that was told
        self._inquiries = 0
        self._inquired_until = timedelta()
        self._collected = _Parts(0, 0, 0, {})
        # Calls a function after some time.
        self.schedule: Callable[[timedelta, Callable[[], None]], object] = (
            lambda delay, function: None
        )
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
        base = self._values[-1] if self._values else None
        self._remember(version, digest)
        if base is not None:
            notices = self._make_notices(*base)
            self._tell(notices[0] if len(notices) == 1 else self._make_bare(base[0]))

    def _remember(self, version: Version, digest: int) -> None:
        self._newest = version.number, version.place
        self._values.append((digest, version.value))

    def _make_notices(self, base: int, base_value: bytes) -> list[VersionNotice]:
        """Return a patch to the newest version in parts, none if it is too large."""
        patch = make_patch(base_value, self._values[-1][1])
        count = math.ceil(len(patch) / MAX_PART_BYTES)
        if count > MAX_PARTS:
            return []
        bare = self._make_bare(base)
        return [
            msgspec.structs.replace(
                bare,
                parts=count,
                part=part,
                patch=patch[part * MAX_PART_BYTES : (part + 1) * MAX_PART_BYTES],
            )
            for part in range(count)
        ]

    def _make_bare(self, base: int) -> VersionNotice:
        """Return a notice of the newest version without a patch."""
        assert self._newest is not None
        number, place = self._newest
        return VersionNotice(number, *place, self._values[-1][0], base, 0, 0, b"")

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
        if self._told is None or notice.number > self._told[0]:
            self._told, self._inquiries = (notice.number, sender), 0
        base = self._find_value(notice.base)
        if base is None or not notice.parts:
            return "inquired" if self._inquire(sender) else "awaited"
        patch = self._collect(notice)
        if patch is None:
            return "partial"
        try:
            value = apply_patch(base, patch)
        except DecodeError:
            return "damaged"
        if compute_digest(value) != notice.digest:
            return "damaged"
        place = Place(notice.store, notice.era, notice.offset, notice.since)
        version = Version(notice.number, place, value)
        if not self._accept(version):
            return "rejected"
        self._remember(version, notice.digest)
        if notice.parts > 1:
            notice = self._make_bare(notice.base)
        self._tell(notice, sender)
        self._collected = _Parts(0, 0, 0, {})
        self._inquired_until = timedelta()
        self._ask_again()
        return "accepted"

    def _find_value(self, digest: int) -> bytes | None:
        return b"" if digest == NO_VERSION else dict(self._values).get(digest)

    def _collect(self, notice: VersionNotice) -> bytes | None:
        """Return the patch once all its parts are there; only one is collected."""
        if notice.parts == 1:
            return notice.patch
        identity = notice.digest, notice.base, notice.parts
        if self._collected[:3] != identity:
            self._collected = _Parts(*identity, {})
        received = self._collected.received
        if notice.part < notice.parts <= MAX_PARTS:
            received[notice.part] = notice.patch
        if len(received) < notice.parts:
            return None
        return b"".join(received[part] for part in range(notice.parts))

    def _inquire(self, peer: Peer) -> bool:
        """Ask for the newest version, unless a reply is awaited."""
        now = self._clock.elapsed()
        if now < self._inquired_until or self._inquiries >= MAX_INQUIRIES:
            return False
        self._inquiries += 1
        until = self._inquired_until = now + INQUIRY_TIME
        collected = self._collected
        missing = [
            part for part in range(collected.parts) if part not in collected.received
        ]
        inquiry = VersionInquiry(
            self._values[-1][0], collected.digest, collected.parts, missing
        )
        self._datagrams.send(inquiry, [peer])
        self.schedule(INQUIRY_TIME, partial(self._end_wait, until))
        return True

    def _end_wait(self, until: timedelta) -> None:
        """Ask again, unless a version or another inquiry came since."""
        if until == self._inquired_until:
            self._inquired_until = timedelta()
            self._ask_again()

    def _ask_again(self) -> None:
        """Ask for the newest version that was told, if it hasn't come."""
        if self._told is not None and self._newest is not None:
            number, peer = self._told
            if number > self._newest[0]:
                self._inquire(peer)

    def _receive_inquiry(self, inquiry: VersionInquiry, sender: Peer) -> None:
        if not self._values or inquiry.base == self._values[-1][0]:
            return
        base, value = inquiry.base, self._find_value(inquiry.base)
        if value is None:
            base, value = NO_VERSION, b""
        for notice in self._make_notices(base, value):
            patch = notice.digest, notice.parts
            is_new = patch != (inquiry.digest, inquiry.parts)
            if is_new or notice.part in inquiry.missing:
                self._datagrams.send(notice, [sender])
