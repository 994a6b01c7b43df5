"""A small fleet for tests: stand-ins in a thread, routers beside or within it.

The stand-ins run on one loop in a background thread of the test process. The
routers are either real processes, which can be killed and stopped, or
applications on that same loop, seeded for golden sessions.
"""

import asyncio
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
from pathlib import Path

from lavendershift.clocks import SystemClock
from lavendershift.router import RouterApplication
from lavendershift.settings import parse_settings
from lavendershift.settings_table import Program
from lavendershift.tests.callers import Caller, Reply, wait_for
from lavendershift.tests.links import Link
from lavendershift_standins.engine import EngineApp, EngineSettings
from lavendershift_standins.log import LogApp, LogSettings
from lavendershift_standins.members import MembersApp, MembersSettings
from lavendershift_standins.service import ServiceApp, ServiceSettings

DOMAINS = ("rennes", "quimper", "brest")
CUSTOMER = "desks/rennes/plume"
API_KEY = "key-plume"
LEDGER = "ledger-0"
FIRST_PORT, PORTS_PER_WORKER = 20_000, 1_000  # below the kernel's own range

_next_port = 0


def find_port():
    global _next_port
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw9")[2:]) % 10
    while True:
        port = FIRST_PORT + worker * PORTS_PER_WORKER + _next_port % PORTS_PER_WORKER
        _next_port += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class LoopThread:
    """An asyncio loop in a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work, timeout=60):
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(timeout)

    def call(self, function, *args):
        async def work():
            return function(*args)

        return self.run(work())

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10)
        self.loop.close()


class Process:
    """A program of ours, ended by its pid."""

    def __init__(self, program, config, output):
        path = Path(sys.executable).with_name(program)
        self._output = open(output, "ab")  # noqa: SIM115
        self.popen = subprocess.Popen(
            [path, "--config", config], stdout=self._output, stderr=self._output
        )

    def send(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    @property
    def alive(self):
        return self.popen.poll() is None

    def wait(self, timeout=30):
        return self.popen.wait(timeout)

    def end(self):
        if self.alive:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
        self.popen.wait(10)
        self._output.close()


class Fleet:
    """Stand-ins, links and routers ``r1``, ``r2``, ... of a test."""

    def __init__(self, path, routers=2, relays=0, engines=2, **options):
        self.path = path
        self.in_process = options.get("in_process", False)
        self.sections = options.get("sections", {})
        self.engine_options = options.get("engine_options", {})
        self.nodes = options.get("nodes", {})
        self.top_ups = options.get("top_ups", {"plume": 100_000})
        self.thread = LoopThread()
        self.names = [f"r{i + 1}" for i in range(routers)]
        self.relay_names = [f"relay{i + 1}" for i in range(relays)]
        self.engine_names = [f"engine-{i + 1}" for i in range(engines)]
        self.ports = {}
        self.peer_ports = {}
        self.links = {}
        self.processes = {}
        self.applications = {}
        self.caller = Caller(API_KEY)
        self._rng = random.Random(7)

    # life
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
        self._start_standins()
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
        for standin in getattr(self, "standins", {}).values():
            self.thread.run(standin.stop())
        self.thread.close()

    def _start_standins(self):
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

    def _add_link(self, name, target_port):
        link = Link(find_port(), target_port)
        self.links[name] = link
        self.thread.run(link.start())

    # routers and relays
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

    def thaw(self, name):
        self.processes[name].send(signal.SIGCONT)

    def read_output(self, name):
        return (self.path / f"{name}.err").read_text()

    def set_link(self, name, state):
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

    # platform
    def publish_members(self, **states):
        """List all VMs and servers, those in ``states`` otherwise than live.

        A state of ``None`` leaves the VM out.
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
        """Return what the engines and the plain service ran."""
        return self.thread.call(
            lambda: {
                name: engine.list_executions() for name, engine in self.engines.items()
            }
        )

    def list_calls(self):
        return self.thread.call(lambda: list(self.service.executions))

    def count_calls(self, key):
        scoped = f"{CUSTOMER}/{key}"
        return sum(call["idempotency_key"] == scoped for call in self.list_calls())

    # callers
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


def find_domain(index):
    return DOMAINS[index % len(DOMAINS)]


def make_tree(fleet):
    """Return the settings tree of a test fleet, node by node."""
    nodes = {
        "": {
            "models": ["index-large"],
            "max_output_tokens": 1024,
            "requests_per_s": 10_000.0,
            "concurrent_requests": 1_000,
            "deadline_ms": 30_000,
        },
        CUSTOMER: {"budget": "plume", "api_key_hashes": [hash_key(API_KEY)]},
        "models/index-large": {"max_context_tokens": 32_768},
        "services/approvals": {"non_repeatable": ["POST /proofs"], "price_tokens": 10},
        "services/catalogue": {"non_repeatable": [], "price_tokens": 0},
    }
    for name, engine in fleet.engines.items():
        nodes[f"servers/{name}"] = {
            "kind": "engine",
            "address": f"127.0.0.1:{engine.port}",
            "failure_domain": DOMAINS[0],
            "models": ["index-large"],
            "capacity": 16,
        }
    for service in ("approvals", "catalogue"):
        nodes[f"servers/{service}"] = {
            "kind": "service",
            "address": f"127.0.0.1:{fleet.service.port}",
            "failure_domain": DOMAINS[0],
            "service": service,
            "capacity": 16,
        }
    for i, name in enumerate(fleet.names):
        nodes[f"vms/{name}"] = {
            "address": f"127.0.0.1:{fleet.ports[name]}",
            "peer_address": f"tcp://127.0.0.1:{fleet.links[f'{name}-peer'].port}",
            "failure_domain": find_domain(i),
        }
    return nodes


def hash_key(api_key):
    return hashlib.sha256(api_key.encode()).hexdigest()


def format_toml(sections):
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
