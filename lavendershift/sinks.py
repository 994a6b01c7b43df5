"""Interface through which dispatch writes responses to the HTTP handlers."""

from typing import Protocol

from lavendershift.errors import RequestError


class ResponseSink(Protocol):
    """Response to the caller of one request."""

    @property
    def started(self) -> bool:
        """Whether a byte of the response was sent to the caller."""
        ...

    @property
    def closed(self) -> bool:
        """Whether the caller closed the connection."""
        ...

    def begin(self, status: int, content_type: str, attempt: str) -> None:
        """Set status and headers, before the first byte of the body."""
        ...

    def write(self, data: bytes) -> int:
        """Write bytes and return how many are buffered for the caller."""
        ...

    def finish(self, data: bytes = b"") -> None:
        """Write the last bytes and end the response as complete."""
        ...

    def fail(self, error: RequestError) -> None:
        """End the response with an error, also in the middle of a stream."""
        ...
