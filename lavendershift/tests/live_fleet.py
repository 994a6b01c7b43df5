"""Small fleet for tests: routers, relays and stand-ins for the systems they use.

The routers are either real processes, which can be killed and stopped, or
applications in the event loop of the stand-ins, with seeded random generators for
golden sessions.
"""

import random
import signal

from lavendershift.clocks import SystemClock
from lavendershift.router import RouterApplication
from lavendershift.settings import parse_settings
from lavendershift.settings_table import Program
from lavendershift.tests.callers import Caller, Reply, wait_for
from lavendershift.tests.links import Link
from lavendershift.tests.live_standins import StandIns
from lavendershift.tests.live_tree import API_KEY, DOMAINS, find_domain
from lavendershift.tests.processes import Process, find_port, format_toml

SHOWN_LINES = 20  # number of last lines of a process's output that a failed test prints


class Fleet(StandIns):
    """Stand-ins, links, relays (``relay1``, ...) and routers (``r1``, ...) of a test.

    Options are ``engine_options`` of the stand-in engines, ``in_process``, extra
    settings ``sections``, extra tree ``nodes``, and ``top_ups``, tokens by budget.
    """

    def __init__(self, path, routers=2, relays=0, engines=2, **options):
        super().__init__(engines, options.get("engine_options", {}))
        self.path = path
        self.in_process = options.get("in_process", False)
        self.sections = options.get("sections", {})
        self.nodes = options.get("nodes", {})
        self.top_ups = options.get("top_ups", {"plume": 100_000})
        self.names = [f"r{i + 1}" for i in range(routers)]
        self.relay_names = [f"relay{i + 1}" for i in range(relays)]
        self.ports = {}
        self.peer_ports = {}
        self.links = {}
        self.processes = {}
        self.applications = {}
        self.caller = Caller(API_KEY)
        self._rng = random.Random(7)

    # Start and stop
    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *error):
        self.stop()

    def start(self):
        self.start_standins()
        for name in [*self.names, *self.relay_names]:
            self.ports[name] = find_port()
            self.peer_ports[name] = find_port()
            self._add_link(f"{name}-peer", self.peer_ports[name])
            self._add_link(f"{name}-log", self.log.port)
        self.publish_members()
        self.publish_tree()
        for budget, tokens in self.top_ups.items():
            self.top_up(f"first-{budget}", budget, tokens)
        for name in self.relay_names:
            self.start_relay(name)
        for name in self.names:
            self.start_router(name, wait=self.in_process)
        for name in self.names:
            self.wait_ready(name)

    def stop(self):
        for process in self.processes.values():
            process.end()
        for name in list(self.applications):
            self.stop_router(name)
        for link in self.links.values():
            self.thread.run(link.stop())
        self.stop_standins()

    def _add_link(self, name, target_port):
        link = Link(find_port(), target_port)
        self.links[name] = link
        self.thread.run(link.start())

    # Routers and relays
    def start_relay(self, name):
        text = self._make_relay_settings(name)
        self._start_process("lavendershift-relay", name, text)

    def start_router(self, name, wait=True):
        text = self._make_router_settings(name)
        if not self.in_process:
            self._start_process("lavendershift-router", name, text)
        else:
            settings = parse_settings(text, Program.ROUTER).unwrap()
            rng = random.Random(self._rng.getrandbits(32))
            self.thread.run(self._start_application(name, settings, rng))
        if wait:
            self.wait_ready(name)

    async def _start_application(self, name, settings, rng):
        application = RouterApplication(settings, SystemClock(), rng)
        self.applications[name] = application
        await application.start()

    def stop_router(self, name, drain=False):
        application = self.applications.pop(name)
        if drain:
            self.thread.run(application.drain())
        self.thread.run(application.stop())

    def _start_process(self, program, name, text):
        config = self.path / f"{name}.toml"
        config.write_text(text)
        self.processes[name] = Process(program, config, self.path / f"{name}.err")

    def kill(self, name):
        self.processes[name].send(signal.SIGKILL)
        self.processes[name].wait()

    def freeze(self, name):
        self.processes[name].send(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send(signal.SIGCONT)

    def read_output(self, name):
        return (self.path / f"{name}.err").read_text()

    def describe_processes(self):
        """Return the state of each process and the last lines of its output."""
        lines = []
        for name, process in self.processes.items():
            lines.append(f"{name}: {process.describe()}")
            lines += self.read_output(name).splitlines()[-SHOWN_LINES:]
        return "\n".join(lines)

    def set_link(self, name, state):
        """Set a link to ``open``, ``cut`` or ``hang``."""
        self.thread.run(self.links[name].set_state(state))

    def wait_ready(self, name):
        wait_for(lambda: self.is_ready(name), message=f"{name} to be ready")

    def is_ready(self, name):
        return self.get(name, "/readyz").status == 200

    def get(self, name, path):
        return self.caller.call(self.ports[name], "GET", path, timeout=5)

    def status(self, name):
        return self.get(name, "/v1/status").json

    def _make_relay_settings(self, name):
        log = f"http://127.0.0.1:{self.links[f'{name}-log'].port}"
        return format_toml(
            {
                "vm": {"name": name, "failure_domain": DOMAINS[0]},
                "listen": {"peer_address": f"tcp://127.0.0.1:{self.peer_ports[name]}"},
                "log": {"url": log, "timeout_s": 1},
                "logging": {"level": "warning"},
            }
        )

    def _make_router_settings(self, name):
        i = self.names.index(name)
        order = self.relay_names[i:] + self.relay_names[:i]
        relays = [f"tcp://127.0.0.1:{self.links[f'{r}-peer'].port}" for r in order]
        sections = {
            "vm": {"name": name, "failure_domain": find_domain(i)},
            "listen": {
                "address": f"127.0.0.1:{self.ports[name]}",
                "peer_address": f"tcp://127.0.0.1:{self.peer_ports[name]}",
            },
            "log": {
                "client": "relay" if relays else "http",
                "relays": relays,
                "url": f"http://127.0.0.1:{self.links[f'{name}-log'].port}",
                "timeout_s": 1,
            },
            "members": {
                "url": f"http://127.0.0.1:{self.members.port}",
                "poll_s": 0.2,
            },
            "peers": {"heartbeat_s": 0.2, "lost_after_s": 1, "evict_after_s": 2},
            "logging": {"level": "error" if self.in_process else "warning"},
        }
        for section, values in self.sections.items():
            sections[section] = sections.get(section, {}) | values
        return format_toml(sections)

    # Requests
    def complete(self, name, prompt, key="", **fields) -> Reply:
        return self.caller.complete(self.ports[name], prompt, key, **fields)

    def open_stream(self, name, prompt, key="", max_tokens=16):
        return self.caller.open_stream(self.ports[name], prompt, key, max_tokens)

    def approve(self, name, key, headers=None) -> Reply:
        path = "/services/approvals/proofs/12"
        body = {"proof": "12"}
        return self.caller.call(self.ports[name], "POST", path, body, key, headers)

    def open_approval(self, name, key):
        path = "/services/approvals/proofs/12"
        body = {"proof": "12"}
        return self.caller.open(self.ports[name], "POST", path, body, key)
