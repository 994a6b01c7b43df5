"""Real router processes on loopback addresses, with stand-ins for the platform."""

import http.client
import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec

import lavendershift
from lavendershift.platform import names
from lavendershift.platform.tests.conftest import make_configuration
from lavendershift.tests.processes import LoopThread, find_port
from lavendershift_standins.platformserver import PlatformServer, stream
from lavendershift_standins.platformstore import StoreServer, StoreState

ROOT = Path(lavendershift.__file__).parents[1]
TIMEOUT_S = 15.0
SETTINGS = """
node = "{name}"
role = "gateway"
ip = "{ip}"
zone = "rennes"
region = "bretagne"
internal_ports = [{peer}, {peer}]
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[bounds]
grace_s = 8
drain_ms = 2000
retry_budget_ratio = 0.2
retry_budget_slack = 56
budget_window_s = 10
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
parts = {partitions}
"""
PARTITIONS = 4


class Reply:
    """A response; ``is_whole`` is false if its body was truncated."""

    def __init__(self, status, headers, body, is_whole=True):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


class Node:
    """One router process, which keeps its addresses across restarts."""

    def __init__(self, number, store_port, folder):
        self.ip = find_ip(number)
        self.name = f"edge-{number}"
        ports = [find_port() for _ in range(4)]
        self.peer, self.callers, self.ready, self.directory = ports
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                peer=self.peer,
                callers=self.callers,
                ready=self.ready,
                directory=self.directory,
                store=store_port,
                partitions=PARTITIONS,
            )
        )
        self.log_path = folder / f"{self.name}.log"
        self.process = None

    def start(self):
        self.launch()
        self.wait_ready()

    def launch(self):
        # In its own process group: when the shell of a group ends, the kernel
        # continues the stopped processes of the group.
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lavendershift.tools.node"],
                cwd=ROOT,
                env=os.environ | {names.SETTINGS_VARIABLE: str(self.settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
                process_group=0,
            )

    def signal(self, number):
        os.kill(self.process.pid, number)

    def reload(self):
        self.signal(signal.SIGHUP)

    def handles(self, number):
        """Whether the process has installed a handler for a signal or ignores it."""
        masks = {"SigIgn": 0, "SigCgt": 0}
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name in masks:
                masks[name] = int(value, 16)
        return bool((masks["SigIgn"] | masks["SigCgt"]) >> (number - 1) & 1)

    def wait_end(self):
        return self.process.wait(timeout=TIMEOUT_S)

    def kill(self):
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.wait_end()

    def wait_ready(self):
        wait_for(lambda: self.get(self.ready, "/readyz").status == 200, "readiness")

    def get(self, port, path):
        try:
            return send(self.ip, port, "GET", path, {})
        except OSError:
            return Reply(0, {}, b"", False)

    def list_log_lines(self):
        # A read beside a write may end at a page boundary within the last line.
        whole, _, _ = self.log_path.read_text().rpartition("\n")
        return [json.loads(line) for line in whole.splitlines() if line.startswith("{")]

    def find_log_lines(self, event, **fields):
        return [
            line
            for line in self.list_log_lines()
            if line.get("event") == event
            and all(line.get(key) == value for key, value in fields.items())
        ]

    def ask(self, request_id, path="/index/a", tokens=(100, 40), **headers):
        fields = {
            "Host": "books.example",
            "X-Lavendershift-Attempt-Id": request_id,
            "X-Lavendershift-Deadline-Ms": "4000",
            "Authorization": "Bearer key-1",
        }
        if tokens:
            fields["X-Lavendershift-Token-Usage"] = f"{tokens[0]},{tokens[1]}"
            fields["X-Lavendershift-Prompt-Prefix"] = f"ab:50,{request_id}:50"
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        return send(self.ip, self.callers, "POST", path, fields, b"question")


class Platform:
    """A store, servers of each service, and router processes.

    ``numbers`` gives services another number of servers than ``servers``.
    """

    def __init__(self, folder, nodes=1, servers=2, is_configured=True, numbers=None):
        self.thread = LoopThread()
        self.store = StoreServer(random.Random(1))
        self.store_port = find_port()
        self.thread.call(self.store.listen, self.store_port)
        self.servers = {"pool": [], "ledger": []}
        counts = dict.fromkeys(self.servers, servers)
        for service, listed in self.servers.items():
            for number in range((counts | (numbers or {}))[service]):
                server = PlatformServer(f"i-{service}-{number}")
                if service == "pool":
                    server.default = stream(8)
                self.thread.run(server.start())
                listed.append(server)
        self.sequence = 0
        self.nodes = [Node(n, self.store_port, folder) for n in range(nodes)]
        if is_configured:
            self.configure()
        self.write_server_entries()

    def make_configuration(self, **changes):
        return make_configuration(**changes)

    def empty_copy(self):
        """Return a copy of the store that holds the configuration alone."""
        copy = StoreState()
        record = (names.CONFIGURATION_KEY, make_configuration())
        copy.append(names.OPERATOR_TOPIC, 0, [record])
        return copy

    def configure(self, **changes):
        record = (names.CONFIGURATION_KEY, make_configuration(**changes))
        self.append(names.OPERATOR_TOPIC, [record])

    def write_server_entries(self, **states):
        """Write an entry of each server; ``states`` maps names to states."""
        self.append(names.SERVERS_TOPIC, self.make_server_entries(**states))

    def make_server_entries(self, **states):
        self.sequence += 1
        records = []
        for service, servers in self.servers.items():
            for server in servers:
                entry = {
                    "service": service,
                    "address": server.address,
                    "zone": "rennes",
                    "version": "v1",
                    "slots": 8,
                    "cold_remaining_ms": 0,
                    "state": states.get(server.name.replace("-", "_"), "ready"),
                    "sequence": self.sequence,
                    "born": 1,
                }
                records.append((server.name.encode(), msgspec.json.encode(entry)))
        return records

    def replace_server(self, server, name):
        """Start the successor of a server under another id, and remove its entry."""
        successor = PlatformServer(name)
        successor.default, successor.read_s = server.default, server.read_s
        successor.crash_parts = server.crash_parts
        successor.crash_output = server.crash_output
        self.thread.run(successor.start())
        for servers in self.servers.values():
            if server in servers:
                servers[servers.index(server)] = successor
        self.append(names.SERVERS_TOPIC, [(server.name.encode(), b"")])
        self.write_server_entries()
        return successor

    def append(self, topic, records):
        self.thread.call(self.store.state.append, topic, 0, records)

    def start(self):
        for node in self.nodes:
            node.start()

    def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.kill()
        for servers in self.servers.values():
            for server in servers:
                self.thread.run(server.stop())
        self.thread.call(self.store.stop)
        self.thread.close()

    def count_runs(self, request_id):
        return sum(
            received.id == request_id
            for servers in self.servers.values()
            for server in servers
            for received in server.received
        )

    def count_lease_snapshots(self):
        """Return how many lease snapshots the processes have written."""
        return sum(
            self.store.state.end(names.LEASES_TOPIC, part) for part in range(PARTITIONS)
        )

    def find_granted(self):
        return {
            key.decode(): msgspec.json.decode(value)["granted"]
            for part in range(PARTITIONS)
            for key, value, _ in self.store.state.list_newest(names.GRANTS_TOPIC, part)
        }


def find_ip(number):
    """Return a loopback address that no other test process uses.

    Metrics are served on a fixed port, so each process needs its own address.
    """
    own = os.getpid()
    return f"127.{own >> 8 & 127 | 64}.{own & 255}.{number + 10}"


def send(ip, port, method, path, headers, body=None):
    """Send one request on a new connection."""
    connection = http.client.HTTPConnection(ip, port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        try:
            return Reply(answer.status, answer.headers, answer.read())
        except http.client.IncompleteRead as error:
            return Reply(answer.status, answer.headers, error.partial, False)
    finally:
        connection.close()


def wait_for(check, what):
    """Wait until ``check`` returns true; a failure names ``what`` was expected."""
    deadline = time.monotonic() + TIMEOUT_S
    while not check():
        assert time.monotonic() < deadline, f"timed out waiting for {what}"
        time.sleep(0.05)
