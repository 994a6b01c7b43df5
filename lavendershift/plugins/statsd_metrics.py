"""Plug-in that sends the counters and gauges of a process to a statsd server.

It is active for every application with ``metrics`` and a statsd address in its
settings. Counters are sent as increments since the previous transmission.
"""

import re
from datetime import timedelta
from typing import Any

import statsd
from tornado.ioloop import PeriodicCallback

from lavendershift import signals
from lavendershift.metrics import Metrics, Snapshot
from lavendershift.values import Address

SEND_INTERVAL = timedelta(seconds=1)
UNSAFE = re.compile(r"[^A-Za-z0-9_.-]")


class StatsdSender:
    """Sends changes of ``metrics`` periodically over UDP."""

    def __init__(self, metrics: Metrics, address: Address, vm: str) -> None:
        self._metrics = metrics
        prefix = f"lavendershift.{escape_part(vm)}"
        ipv6 = ":" in address.host
        self._client = statsd.StatsClient(
            address.host, address.port, prefix=prefix, ipv6=ipv6
        )
        self._sent = Snapshot({}, {})
        self._timer = PeriodicCallback(self.send, SEND_INTERVAL)

    def start(self) -> None:
        """Start sending every ``SEND_INTERVAL``."""
        self._timer.start()

    def stop(self) -> None:
        """Send the remaining changes and close the socket."""
        self._timer.stop()
        self.send()
        self._client.close()

    def send(self) -> None:
        """Send the changes since the previous call."""
        snapshot = self._metrics.snapshot()
        with self._client.pipeline() as batch:
            for name, count in snapshot.counters.items():
                increment = count - self._sent.counters.get(name, 0)
                if increment:
                    batch.incr(name, increment)
            for name, value in snapshot.gauges.items():
                if self._sent.gauges.get(name) != value:
                    batch.gauge(escape_name(name), value)
        self._sent = snapshot


def escape_part(text: str) -> str:
    """Return ``text`` as a single component of a statsd name."""
    return UNSAFE.sub("_", text).replace(".", "_")


def escape_name(name: str) -> str:
    """Return a gauge name in which the budget name is a single component."""
    head, _, remainder = name.partition(".")
    middle, _, tail = remainder.rpartition(".")
    if head != "budget":
        return name
    return f"{head}.{escape_part(middle)}.{tail}"


_senders: dict[int, StatsdSender] = {}


def start_sender(application: Any, **_: Any) -> None:
    """Start a sender if the application has metrics and a statsd address."""
    metrics = getattr(application, "metrics", None)
    settings = getattr(application, "settings", None)
    if metrics is None or settings is None or settings.metrics.statsd is None:
        return
    sender = StatsdSender(metrics, settings.metrics.statsd, settings.vm.name)
    _senders[id(application)] = sender
    sender.start()


def stop_sender(application: Any, **_: Any) -> None:
    """Stop the sender of ``application``, if it has one."""
    sender = _senders.pop(id(application), None)
    if sender is not None:
        sender.stop()


def register() -> None:
    """Connect to the signals of the start and the stop of the process."""
    signals.started.connect(start_sender)
    signals.stopped.connect(stop_sender)
