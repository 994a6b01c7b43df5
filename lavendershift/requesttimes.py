"""How long a request has, in times of ``Clock.elapsed``.

Its time is counted from when it was read, and ends at its caller's deadline or at the
timeout of its route, whichever is first. A version of the configuration that raises the
timeout extends requests in flight; one that lowers it applies to new requests only::

    time = RequestTime(received, deadline, route.timeout)
    time.extend(new_route.timeout)

Servers are told the caller's deadline only, as a timeout may be raised after that.
"""

from datetime import timedelta

# Part of the time that is kept free, so that an error reaches the caller in time.
RESPONSE_RESERVE = timedelta(milliseconds=20)


class RequestTime:
    """The time of one request; ``deadline`` is that of its caller."""

    def __init__(
        self, received: timedelta, deadline: timedelta, timeout: timedelta
    ) -> None:
        self.deadline = deadline
        self._received = received
        self._timeout = timeout

    @property
    def end(self) -> timedelta:
        """When the time is over."""
        return min(self.deadline, self._received + self._timeout)

    @property
    def allowed(self) -> timedelta:
        """The time from when the request was read."""
        return self.end - self._received

    def extend(self, timeout: timedelta) -> bool:
        """Apply a timeout that is in force now; return whether the end has moved."""
        end = self.end
        self._timeout = max(self._timeout, timeout)
        return self.end > end

    def find_left(self, now: timedelta, has_begun: bool) -> timedelta:
        """Return the time until the request is to be ended.

        A response that has begun may go on to the end. Without one, the caller gets an
        error, which has to arrive in time.
        """
        reserve = timedelta() if has_begun else RESPONSE_RESERVE
        return self.end - reserve - now
