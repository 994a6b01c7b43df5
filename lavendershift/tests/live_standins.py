"""Stand-ins of a test fleet, in one event loop in a background thread."""

import json
import random

from lavendershift.clocks import SystemClock
from lavendershift.tests.live_tree import CUSTOMER, DOMAINS, make_tree
from lavendershift.tests.processes import LoopThread, find_port
from lavendershift_standins.engine import EngineApp, EngineSettings
from lavendershift_standins.log import LogApp, LogSettings
from lavendershift_standins.members import MembersApp, MembersSettings
from lavendershift_standins.service import ServiceApp, ServiceSettings

LEDGER = "ledger-0"


class StandIns:
    """Stand-ins for the log, membership list, engines and a plain service.

    Its methods read and change their state from the thread of the test.
    """

    def __init__(self, engines, engine_options):
        self.thread = LoopThread()
        self.engine_names = [f"engine-{i + 1}" for i in range(engines)]
        self.engine_options = engine_options
        self.standins = {}

    def start_standins(self):
        clock, rng = SystemClock(), random.Random(1)
        options = {"step_ms": 2.0, "min_output_tokens": 10_000}
        options |= {"max_output_tokens": 10_000, **self.engine_options}
        self.log = LogApp(LogSettings(appends_per_s=0), clock, rng)
        self.members = MembersApp(MembersSettings(lag_ms=0), clock, rng)
        self.engines = {
            name: EngineApp(EngineSettings(name=name, **options), clock, rng)
            for name in self.engine_names
        }
        self.service = ServiceApp(ServiceSettings(), clock, rng)
        self.standins = {
            "log": self.log,
            "members": self.members,
            **self.engines,
            "service": self.service,
        }
        for standin in self.standins.values():
            self.thread.run(standin.start(find_port()))

    def stop_standins(self):
        for standin in self.standins.values():
            self.thread.run(standin.stop())
        self.thread.close()

    def publish_members(self, **states):
        """Publish all VMs and servers as members, ``live`` unless in ``states``.

        A state of ``None`` leaves the member out of the list.
        """
        rows = [
            (name, f"127.0.0.1:{port}", "server")
            for name, port in self._server_ports().items()
        ]
        rows += [
            (name, f"127.0.0.1:{self.ports[name]}", "router") for name in self.names
        ]
        members = [
            {
                "name": name,
                "address": address,
                "role": role,
                "failure_domain": DOMAINS[0],
                "state": states.get(name.replace("-", "_"), "live"),
            }
            for name, address, role in rows
        ]
        members = [member for member in members if member["state"]]
        self.thread.call(self.members.set_members, members)

    def _server_ports(self):
        ports = {name: engine.port for name, engine in self.engines.items()}
        for service in ("approvals", "catalogue"):
            ports[service] = self.service.port
        return ports

    def publish_tree(self):
        nodes = make_tree(self) | self.nodes
        settings = [
            [path, key, value]
            for path, node in nodes.items()
            for key, value in node.items()
        ]
        self.append("config", ["change", "first-tree", 0, "test", settings])

    def top_up(self, record_id, budget, tokens):
        self.append("config", ["top_up", record_id, budget, tokens, "test"])

    def append(self, stream, *records):
        raw = [r if isinstance(r, bytes) else json.dumps(r).encode() for r in records]
        return self.thread.call(self.log.append, stream, raw)

    def read_stream(self, stream):
        """Return all entries as ``[offset, time_ms, record]``."""
        page = self.thread.call(self.log.read_now, stream, 0, 1_000_000)
        return [json.loads(entry) for entry in page.entries]

    def list_records(self, kind, stream=LEDGER):
        return [r for _, _, r in self.read_stream(stream) if r[0] == kind]

    def add_fault(self, standin, fault, **fields):
        app = self.standins[standin]
        self.thread.call(app.faults.add, {"fault": fault, **fields})

    def end_faults(self, standin):
        self.thread.call(self.standins[standin].faults.remove)

    def list_faults(self, standin):
        return self.thread.call(self.standins[standin].faults.describe)

    def list_executions(self):
        """Return the executions of each engine by its name."""
        return self.thread.call(
            lambda: {
                name: engine.list_executions() for name, engine in self.engines.items()
            }
        )

    def list_calls(self):
        """Return the executions of the plain service."""
        return self.thread.call(lambda: list(self.service.executions))

    def count_calls(self, key):
        """Return how often the plain service ran the call with an idempotency key."""
        scoped_key = f"{CUSTOMER}/{key}"
        return sum(call["idempotency_key"] == scoped_key for call in self.list_calls())
