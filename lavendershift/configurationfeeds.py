"""Replay of the configuration stream.

The feed applies the stream's entries to a ``Configuration`` whose offset only
rises. It restores a checkpoint where the log no longer retains the beginning, and
is ready once it has reached the end of the stream and every offset that a peer
has announced.
"""

import asyncio
import contextlib
from collections.abc import Callable

from lavendershift import signals
from lavendershift.checkpoints import join_checkpoint, split_checkpoint
from lavendershift.clocks import Clock
from lavendershift.collector import pause_collection
from lavendershift.configuration import Configuration
from lavendershift.errors import DecodeError, LogUnavailableError
from lavendershift.records import CONFIG_STREAM, Entry, name_checkpoint_stream
from lavendershift.streamfollowers import (
    StreamFollower,
    read_checkpoint,
    retry_until_available,
)
from lavendershift.streams import LogClient


class ConfigurationFeed:
    """Keeps ``configuration`` up to date with the log.

    A checkpoint is written every ``checkpoint_every`` entries if ``is_writer``
    returns true for that turn, and whenever ``start_checkpoint`` is called. A
    duplicate checkpoint is harmless.
    """

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        checkpoint_every: int,
        is_writer: Callable[[int], bool],
    ) -> None:
        self.configuration = Configuration()
        self._log = log
        self._clock = clock
        self._checkpoint_every = checkpoint_every
        self._is_writer = is_writer
        self._last_checkpoint = 0
        self._changed = asyncio.Event()
        self._follower: StreamFollower | None = None
        self._starting: asyncio.Task[None] | None = None
        self._checkpoint_tasks: set[asyncio.Task[None]] = set()

    @property
    def offset(self) -> int:
        """Offset of the next configuration entry to apply."""
        return self.configuration.next_offset

    def is_ready(self, required_offset: int) -> bool:
        """Return whether the stream's end and ``required_offset`` were reached.

        ``required_offset`` is the highest offset that peers have announced.
        """
        follower = self._follower
        if follower is None or not follower.caught_up.is_set():
            return False
        return self.offset >= required_offset

    async def start(self) -> None:
        """Restore the latest checkpoint, then follow in the background."""
        self._starting = asyncio.ensure_future(self._start_following())

    async def stop(self) -> None:
        """Stop following."""
        if self._starting is not None:
            self._starting.cancel()
        for task in self._checkpoint_tasks:
            task.cancel()
        if self._follower is not None:
            await self._follower.stop()

    async def wait_for(self, offset: int) -> None:
        """Wait until the configuration has been replayed up to ``offset``."""
        while self.offset < offset:
            await self._changed.wait()

    def start_checkpoint(self) -> None:
        """Write a checkpoint of the configuration in the background."""
        self._last_checkpoint = self.offset
        task = asyncio.ensure_future(self._write_checkpoint())
        self._checkpoint_tasks.add(task)
        task.add_done_callback(self._checkpoint_tasks.discard)

    async def _apply(self, entry: Entry) -> None:
        self.configuration.apply(entry)
        self._changed.set()
        self._changed = asyncio.Event()
        signals.configuration_changed.send(self, offset=self.offset)
        self._checkpoint_if_due()

    def _checkpoint_if_due(self) -> None:
        if self.offset - self._last_checkpoint < self._checkpoint_every:
            return
        self._last_checkpoint = self.offset
        if self._is_writer(self.offset // self._checkpoint_every):
            self.start_checkpoint()

    async def _start_following(self) -> None:
        await retry_until_available(self._restore)
        self._follower = StreamFollower(
            self._log,
            CONFIG_STREAM,
            self.offset,
            self._apply,
            self._restore,
            self._clock,
        )
        self._follower.start()

    async def _restore(self) -> int:
        parts = await read_checkpoint(self._log, CONFIG_STREAM)
        if parts and parts[0].next_offset > self.offset:
            try:
                with pause_collection():
                    restored = Configuration.restore(join_checkpoint(parts)[0])
            except DecodeError:  # unknown state version
                return self.offset
            self.configuration = restored
            self._last_checkpoint = self.offset
            self._changed.set()
            self._changed = asyncio.Event()
            signals.configuration_changed.send(self, offset=self.offset)
        return self.offset

    async def _write_checkpoint(self) -> None:
        """Append a checkpoint, yielding to the event loop between its slices."""
        offset = self.offset
        slices = []
        for part in self.configuration.encode_slices():
            slices.append(part)
            await asyncio.sleep(0)
        written_ms = int(self._clock.now().timestamp() * 1000)
        checkpoint_id = f"{CONFIG_STREAM}@{offset}:{written_ms}"
        parts = split_checkpoint(
            checkpoint_id, CONFIG_STREAM, offset, ["".join(slices)]
        )
        with contextlib.suppress(LogUnavailableError):
            for checkpoint in parts:
                await self._log.append_records(
                    name_checkpoint_stream(CONFIG_STREAM), [checkpoint]
                )
