"""Where an answer goes: the interface between dispatch and the HTTP handlers."""

from typing import Protocol

from lavendershift.errors import RequestError


class ResponseSink(Protocol):
    """The caller's end of one request."""

    @property
    def started(self) -> bool:
        """Whether a byte of the answer was sent to the caller."""
        ...

    @property
    def closed(self) -> bool:
        """Whether the caller has gone."""
        ...

    def begin(self, status: int, content_type: str, attempt: str) -> None:
        """Set the answer's status and headers, before its first byte."""
        ...

    def write(self, data: bytes) -> int:
        """Send bytes and return how many wait to be taken by the caller."""
        ...

    def finish(self, data: bytes = b"") -> None:
        """Send the last bytes and end the answer as complete."""
        ...

    def fail(self, error: RequestError) -> None:
        """End the answer with an error, also in the middle of a stream."""
        ...
