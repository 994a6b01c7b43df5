"""The program ``lavendershift-relay``."""

import logging
from dataclasses import dataclass
from typing import ClassVar, cast

import cappa

from lavendershift.applications import SHIPPED_PLUGINS, Application, load_plugins
from lavendershift.clocks import SystemClock
from lavendershift.logs import EventLog, LibraryHandler, make_handler
from lavendershift.programs import ProgramCommand
from lavendershift.relay import RawLog, Relay
from lavendershift.reports import EventReporter
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
        self._set_up_reports()
        log = LOG_CLIENTS[settings.log.client](settings.log.url, settings.log.timeout)
        self.log = log
        self.add_part("log", stop=log.close)
        relay = Relay(
            cast(RawLog, log), settings.relay.cache_records, settings.relay.batch
        )
        self.add_part("relay", stop=relay.stop)
        self.add_part("socket", start=lambda: self._listen(relay), stop=self._close)

    def _set_up_reports(self) -> None:
        vm = self._settings.vm
        handler = make_handler(self._settings.logging)
        log = EventLog(handler, vm.name, vm.failure_domain, SystemClock())
        self._reporter = EventReporter(log)
        self._reporter.connect()
        logging.getLogger().addHandler(LibraryHandler(log))

    async def _listen(self, relay: Relay) -> None:
        self._socket = ReplySocket(
            self._settings.listen.peer_address, relay.handle_message, HANDLERS
        )

    async def _close(self) -> None:
        await self._socket.close()


@cappa.command(name="lavendershift-relay", help="Relay between routers and the log.")
@dataclass
class RelayCommand(ProgramCommand):
    """Runs a relay."""

    program: ClassVar[Program] = Program.RELAY

    async def run(self, settings: RelaySettings) -> None:
        """Run a relay until it is told to stop."""
        await RelayApplication(settings).run()


def main() -> None:
    """Run the command line."""
    cappa.invoke(RelayCommand)
