"""Whether the store responds to this VM, judged by the calls it makes anyway.

A call without a response does not count while others get responses. Refused draws,
lost races and responses that show a restore of the store are responses::

    watch = StoreWatch(clock, find_read_at, on_reachability)
    with watch.watch_calls():
        await records.sync()
    watch.is_reachable
"""

import contextlib
from collections.abc import Callable, Iterator
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.errors import LogUnavailableError
from lavendershift.quotalogs import DrawRefusedError
from lavendershift.storehistories import StoreRestoredError
from lavendershift.tokenreturns import SnapshotNotStoredError

# Time without a response to an operation that makes a few calls of about 4 ms each.
UNRESPONSIVE_AFTER = timedelta(milliseconds=400)


class StoreWatch:
    """Tracks the calls to the store.

    ``find_read_at`` returns when records were last known to be the newest.
    ``on_reachability`` is called with whether the store is reachable and the error if
    it is not.
    """

    def __init__(
        self,
        clock: Clock,
        find_read_at: Callable[[], timedelta],
        on_reachability: Callable[[bool, str], None],
    ) -> None:
        self._clock = clock
        self._find_read_at = find_read_at
        self._on_reachability = on_reachability
        self._responded_at = timedelta()
        self._call_starts: list[timedelta] = []
        self.is_reachable = False

    @property
    def is_responsive(self) -> bool:
        """Whether the store is reachable and no call has waited long for a response."""
        threshold = self._clock.elapsed() - UNRESPONSIVE_AFTER
        return self.is_reachable and all(at > threshold for at in self._call_starts)

    @contextlib.contextmanager
    def watch_calls(self) -> Iterator[None]:
        """Record whether the store responded to the calls in this context."""
        started = self._clock.elapsed()
        self._call_starts.append(started)
        try:
            yield
        except (DrawRefusedError, SnapshotNotStoredError, StoreRestoredError):
            raise
        except LogUnavailableError as error:
            if self._responded_at <= started:
                self._set_reachable(False, str(error))
            raise
        finally:
            self._call_starts.remove(started)
        if self._find_read_at() >= started:
            self._responded_at = self._clock.elapsed()
            self._set_reachable(True, "")

    def _set_reachable(self, is_reachable: bool, reason: str) -> None:
        if is_reachable != self.is_reachable:
            self.is_reachable = is_reachable
            self._on_reachability(is_reachable, reason)
