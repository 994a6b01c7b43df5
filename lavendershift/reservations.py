"""Reservations of tokens, and why one could not be made."""

from typing import NamedTuple


class Reservation(NamedTuple):
    """Tokens reserved for one attempt of a request."""

    budget: str
    request: str
    attempt: str
    tokens: int


class ReservationShortage(NamedTuple):
    """Why a reservation was not made.

    ``in_flight`` tokens are reserved by running attempts and may become free;
    ``in_doubt`` tokens are reserved by attempts whose usage is unknown. ``active``
    is false if this incarnation may no longer spend.
    """

    wanted: int
    free: int
    in_flight: int
    in_doubt: int
    active: bool = True

    @property
    def is_covered_in_flight(self) -> bool:
        """Whether attempts in flight could free enough tokens."""
        return self.active and self.free + self.in_flight >= self.wanted
