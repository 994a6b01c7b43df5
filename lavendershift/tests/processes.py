"""Ports, an event loop in a thread, and router and relay processes for tests."""

import asyncio
import json
import signal
import subprocess
import sys
import threading
from pathlib import Path

from lavendershift.tools.ports import find_ports


def find_port():
    """Return a free port that no other test process is likely to choose."""
    return find_ports(1)[0]


class LoopThread:
    """An asyncio event loop that runs in a background thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine, timeout=60):
        """Run a coroutine in the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout)

    def call(self, function, *args):
        """Call a plain function in the loop and return its result."""

        async def call_function():
            return function(*args)

        return self.run(call_function())

    def close(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10)
        self.loop.close()


class Process:
    """A router or relay process; signals are sent to its pid."""

    def __init__(self, program, config, output):
        path = Path(sys.executable).with_name(program)
        self._output = open(output, "ab")  # noqa: SIM115
        # In its own process group: when the shell of a group ends, the kernel
        # continues the stopped processes of the group.
        self.popen = subprocess.Popen(
            [path, "--config", config],
            stdout=self._output,
            stderr=self._output,
            process_group=0,
        )

    def send(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    @property
    def alive(self):
        return self.popen.poll() is None

    def describe(self):
        """Return the process state reported by the kernel, or the exit status."""
        if not self.alive:
            return f"ended with {self.popen.returncode}"
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        prefixes = ("State:", "SigPnd:", "ShdPnd:")
        return " ".join(x for x in status.splitlines() if x.startswith(prefixes))

    def wait(self, timeout=30):
        return self.popen.wait(timeout)

    def end(self):
        if self.alive:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
        self.popen.wait(10)
        self._output.close()


def format_toml(sections):
    """Return nested settings as TOML."""
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
