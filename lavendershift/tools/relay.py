"""The program ``lavendershift-relay``: a cache between routers and the log."""

from dataclasses import dataclass
from typing import ClassVar, cast

import cappa

from lavendershift.applications import SHIPPED_PLUGINS, Application, load_plugins
from lavendershift.clocks import SystemClock
from lavendershift.eventreports import open_reporter
from lavendershift.programs import ProgramCommand
from lavendershift.relay import RawLog, Relay
from lavendershift.settings_sections import RelaySettings
from lavendershift.settings_table import Program
from lavendershift.sockets import ReplySocket
from lavendershift.streams import LOG_CLIENTS

# Maximum number of concurrent requests; each read that waits occupies one.
HANDLERS = 1024


class RelayApplication(Application):
    """The relay process: log client, relay and its listening socket."""

    def __init__(self, settings: RelaySettings) -> None:
        super().__init__()
        self._settings = settings

    def setup(self) -> None:
        """Create the log client, the relay and its listening socket as parts."""
        settings = self._settings
        load_plugins([*SHIPPED_PLUGINS, *settings.plugins.modules])
        self._reporter = open_reporter(settings.vm, settings.logging, SystemClock())
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
class RelayCommand(ProgramCommand):
    """The command line of ``lavendershift-relay``."""

    program: ClassVar[Program] = Program.RELAY

    async def run(self, settings: RelaySettings) -> None:
        """Run a relay until it is stopped."""
        await RelayApplication(settings).run()


def main() -> None:
    """Run the command line."""
    cappa.invoke(RelayCommand)
