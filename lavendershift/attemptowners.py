"""What an attempt at a server needs from the delivery that it belongs to."""

from typing import TYPE_CHECKING, Protocol

from lavendershift.attempts import AttemptEnd, AttemptReport
from lavendershift.promptguards import PromptGuard

if TYPE_CHECKING:
    from lavendershift.serverattempts import ServerAttempt


class AttemptOwner(Protocol):
    """The delivery that an attempt belongs to."""

    guard: PromptGuard

    @property
    def first_status(self) -> int:
        """The status already sent to the caller, 0 if there is none."""
        ...

    def find_refusal(self, attempt: "ServerAttempt") -> AttemptEnd | None:
        """Return why a prepared attempt may not be sent; count it if it may be."""
        ...

    def count_sends(self, address: str) -> int:
        """Count a send to an address; return the number of earlier ones there."""
        ...

    def note_answer(self, attempt: "ServerAttempt") -> None:
        """Handle a complete response, which no other attempt can replace."""
        ...

    async def forward(self, attempt: "ServerAttempt", events: bytes) -> None:
        """Forward complete events to the caller."""
        ...

    def note_silence(self, attempt: "ServerAttempt") -> None:
        """Handle an attempt that falls silent."""
        ...

    def has_partial_event(self) -> bool:
        """Whether an attempt has received a part of the next event."""
        ...

    def report(self, report: AttemptReport) -> None:
        """Handle the report of an attempt that ended."""
        ...
