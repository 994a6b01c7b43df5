"""The program ``lavendershift-relay``."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, cast

import cappa
from returns.result import Failure, Success

from lavendershift.applications import SHIPPED_PLUGINS, Application, load_plugins
from lavendershift.relay import RawLog, Relay
from lavendershift.settings import load_settings
from lavendershift.settings_page import render_defaults
from lavendershift.settings_sections import RelaySettings
from lavendershift.settings_table import Program
from lavendershift.sockets import ReplySocket
from lavendershift.streams import LOG_CLIENTS

HANDLERS = 1024  # reads that wait hold a handler each


class RelayApplication(Application):
    """One relay process."""

    def __init__(self, settings: RelaySettings) -> None:
        super().__init__()
        self._settings = settings

    def setup(self) -> None:
        """Add the log client, the relay and its socket."""
        settings = self._settings
        load_plugins([*SHIPPED_PLUGINS, *settings.plugins.modules])
        log = LOG_CLIENTS[settings.log.client](settings.log.url, settings.log.timeout)
        self.log = log
        self.add_part("log", stop=log.close)
        relay = Relay(
            cast(RawLog, log), settings.relay.cache_records, settings.relay.batch
        )
        self.add_part("relay", stop=relay.stop)
        self.add_part("socket", start=lambda: self._listen(relay), stop=self._close)

    async def _listen(self, relay: Relay) -> None:
        self._socket = ReplySocket(
            self._settings.listen.peer_address, relay.handle_message, HANDLERS
        )

    async def _close(self) -> None:
        await self._socket.close()


@cappa.command(name="lavendershift-relay", help="Relay between routers and the log.")
@dataclass
class RelayCommand:
    """Arguments of the program."""

    config: Annotated[Path | None, cappa.Arg(long=True, help="TOML settings file")] = (
        None
    )
    print_defaults: Annotated[
        bool, cappa.Arg(long=True, help="print a settings file of all defaults")
    ] = False

    def __call__(self) -> None:
        """Run the relay until it is told to stop."""
        if self.print_defaults:
            print(render_defaults(Program.RELAY), end="")
            return
        if self.config is None:
            print("--config is required", file=sys.stderr)
            raise cappa.Exit(code=2)
        match load_settings(self.config, Program.RELAY):
            case Success(RelaySettings() as settings):
                asyncio.run(run_relay(settings))
            case Failure(faults):
                for fault in faults:
                    print(fault, file=sys.stderr)
                raise cappa.Exit(code=2)


async def run_relay(settings: RelaySettings) -> None:
    """Run a relay with ``settings`` on the current loop."""
    await RelayApplication(settings).run()


def main() -> None:
    """Run the command line."""
    cappa.invoke(RelayCommand)
