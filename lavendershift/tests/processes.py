"""Ports, a loop in a thread, and our programs as processes of a test."""

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
        # In a group of its own: the kernel wakes what is stopped in a group
        # whose shell ends.
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
        """Return the state that the kernel gives, or how the process ended."""
        if not self.alive:
            return f"ended with {self.popen.returncode}"
        status = Path(f"/proc/{self.popen.pid}/status").read_text()
        wanted = ("State:", "SigPnd:", "ShdPnd:")
        return " ".join(x for x in status.splitlines() if x.startswith(wanted))

    def wait(self, timeout=30):
        return self.popen.wait(timeout)

    def end(self):
        if self.alive:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
        self.popen.wait(10)
        self._output.close()


def format_toml(sections):
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"
