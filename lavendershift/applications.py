"""Life cycle of a process: load plug-ins, start, run until a signal, stop.

``Application`` owns all parts that have to be started and stopped. Parts start
in the order in which they were added. They stop in reverse order, also if a
later part fails to start::

    application = RelayApplication(settings, SystemClock())
    asyncio.run(application.run())
"""

import asyncio
import importlib
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from lavendershift import signals

Hook = Callable[[], Awaitable[None]]

SHIPPED_PLUGINS = (
    "lavendershift.plugins.http_log",
    "lavendershift.plugins.relay_log",
)


class Part(NamedTuple):
    """A component with a life cycle; either hook may do nothing."""

    name: str
    start: Hook
    stop: Hook


async def do_nothing() -> None:
    """Do nothing; the default of a part's hooks."""


def load_plugins(modules: Sequence[str]) -> None:
    """Import each plug-in module and call its ``register`` if it has one."""
    for name in modules:
        module = importlib.import_module(name)
        register = getattr(module, "register", None)
        if register is not None:
            register()


class Application:
    """A process of the fleet; subclasses add their parts in ``setup``."""

    def __init__(self) -> None:
        self._parts: list[Part] = []
        self._running: list[Part] = []
        self._stop_requested = asyncio.Event()

    def add_part(
        self, name: str, start: Hook = do_nothing, stop: Hook = do_nothing
    ) -> None:
        """Add a part that starts after and stops before all earlier parts."""
        self._parts.append(Part(name, start, stop))

    def setup(self) -> None:
        """Add the parts of this application."""

    async def drain(self) -> None:
        """Finish requests in flight; called before the parts are stopped."""

    def request_stop(self) -> None:
        """Ask the application to drain and stop."""
        self._stop_requested.set()

    async def start(self) -> None:
        """Set up and start all parts."""
        self.setup()
        signals.initialized.send(self)
        for part in self._parts:
            self._running.append(part)
            await part.start()
        signals.started.send(self)

    async def stop(self) -> None:
        """Stop the running parts in reverse order of their start."""
        while self._running:
            await self._running.pop().stop()
        signals.stopped.send(self)

    async def run(self) -> None:
        """Start, run until SIGTERM, SIGINT or ``request_stop``, drain, stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        try:
            await self.start()
            await self._stop_requested.wait()
            signals.stopping.send(self)
            await self.drain()
        finally:
            await self.stop()
