"""Limits of backend servers as facts that VMs exchange, see ``factgossip``.

A VM tells all others when a response names another limit, also those that have sent
nothing to the server. Permits are requested with the limit as well, so no guarantee
depends on these messages.
"""

from collections.abc import Mapping

import msgspec

from lavendershift.datagrams import register_message
from lavendershift.decoding import Count, Rate
from lavendershift.serverlimits import LimitState, ServerLimits
from lavendershift.serversignals import Incarnation

MAX_LIMITS = 20  # limits in one datagram, which keeps it below 1,400 bytes


class Limit(msgspec.Struct, array_like=True):
    """The limit of one incarnation of a server."""

    server: str
    born: Count
    rate: Rate | None
    version: Count


@register_message
class LimitUpdate(msgspec.Struct, array_like=True, tag="limits"):
    """Limits of servers that the sender knows."""

    limits: list[Limit]


class LimitFacts:
    """The limits that this VM knows."""

    message: type[msgspec.Struct] = LimitUpdate

    def __init__(self, limits: ServerLimits) -> None:
        self._limits = limits

    def list_facts(self) -> dict[Incarnation, LimitState]:
        """Return the limits in force."""
        return self._limits.list_limited()

    def find_key(self, fact: Incarnation) -> str:
        """Return the server's id, as its keeper also grants its permits."""
        return fact[0]

    def encode(self, facts: Mapping[Incarnation, LimitState]) -> list[msgspec.Struct]:
        """Return the datagrams with ``facts``."""
        limits = [Limit(*incarnation, *state) for incarnation, state in facts.items()]
        return [
            LimitUpdate(limits[first : first + MAX_LIMITS])
            for first in range(0, len(limits), MAX_LIMITS)
        ]

    def apply(self, message: LimitUpdate) -> None:
        """Merge the limits that another VM knows."""
        for limit in message.limits:
            state = LimitState(limit.rate, limit.version)
            self._limits.merge((limit.server, limit.born), state)
