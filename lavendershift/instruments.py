"""Counters, gauges and latency histograms of a gateway process.

Only the metrics in the tables below exist. They are served in the Prometheus
text format. Label values come from closed sets too: error kinds, results of
attempts, names of calls, customers of the configuration::

    instruments = Instruments()
    instruments.count("refusals", "overloaded")
    instruments.observe("first_event", timedelta(milliseconds=80))
    instruments.render()
"""

from datetime import timedelta
from typing import NamedTuple

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

PREFIX = "lavendershift"
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0)


class Instrument(NamedTuple):
    """Description of a metric and the names of its labels."""

    description: str
    labels: tuple[str, ...] = ()


COUNTERS: dict[str, Instrument] = {
    "requests": Instrument("Requests received."),
    "answers": Instrument("Requests that got their whole answer."),
    "refusals": Instrument("Requests ended with an error kind.", ("kind",)),
    "abandoned": Instrument("Requests whose caller went away."),
    "connections_ended": Instrument(
        "Callers' connections that ended, by cause and by the latest request's stage.",
        ("cause", "stage"),
    ),
    "requests_cut": Instrument(
        "Requests read at least in part, without a complete response or a refusal "
        "when their connection ended, by its cause.",
        ("cause",),
    ),
    "attempts": Instrument("Attempts at servers, by how they ended.", ("end",)),
    "requests_ended": Instrument(
        "Requests that were sent to a server and ended without a complete response, "
        "by reason.",
        ("reason",),
    ),
    "attempts_ended": Instrument(
        "Attempts at servers that this VM ended, by reason.", ("reason",)
    ),
    "limited_attempts": Instrument(
        "Attempts at servers whose limit the VM knew, by how they ended.", ("end",)
    ),
    "server_silences": Instrument(
        "Begins and ends of servers' silences that this VM noticed.", ("change",)
    ),
    "attempts_beside": Instrument(
        "Attempts begun while another one was silent, by how they ended.", ("end",)
    ),
    "sends_again": Instrument(
        "Requests sent to an address that they had been sent to, by how that ended.",
        ("end",),
    ),
    "skipped_responses": Instrument(
        "Responses of servers to other requests than the one in flight."
    ),
    "version_notices": Instrument(
        "Notices of configurations from other VMs, by what became of them.",
        ("outcome",),
    ),
    "permits": Instrument(
        "Permits needed for requests to servers with limits, by outcome.", ("outcome",)
    ),
    "server_crashes": Instrument(
        "Reports of servers that crashed before the first event of a request."
    ),
    "resumes": Instrument(
        "Attempts at the rest of a stream, by how they ended.", ("end",)
    ),
    "partial_events": Instrument(
        "Attempts with bytes after their last whole event, by how they ended.",
        ("end",),
    ),
    "retries": Instrument("Further attempts, by how the one before ended.", ("end",)),
    "store_calls": Instrument("Calls to the store.", ("call", "outcome")),
    "store_histories": Instrument("Restores and new addresses of the store.", ()),
    "tokens_drawn": Instrument("Tokens drawn from a total.", ("customer",)),
    "tokens_returned": Instrument("Tokens given back to a total.", ("customer",)),
    "tokens_adopted": Instrument("Tokens of the VM's last process.", ("customer",)),
    "tokens_lost": Instrument("Tokens held by this VM at a loss of power."),
    "tokens_borrowed": Instrument("Tokens lent by other VMs.", ("customer",)),
    "tokens_lent": Instrument("Tokens lent to other VMs.", ("customer",)),
    "tokens_spent": Instrument("Tokens that requests used.", ("customer",)),
    "connections": Instrument("Connections opened to servers and the store."),
    "loop_failures": Instrument(
        "Failures of background loops, which start again.", ("loop",)
    ),
    "skipped_entries": Instrument("Entries that could not be read.", ("kind",)),
    "places": Instrument(
        "Places at plain servers with few slots that requests needed, by outcome.",
        ("outcome",),
    ),
    "server_speed_changes": Instrument(
        "Changes of servers' speeds compared with their peers, by the new state.",
        ("state",),
    ),
    "token_shortages": Instrument(
        "Requests refused for lack of prepaid tokens, by cause.", ("cause",)
    ),
    "connections_refused": Instrument(
        "Connections from callers refused for lack of file descriptors."
    ),
    "overload_refusals": Instrument(
        "Requests refused because the event loop can't handle the load, by cause: "
        "load, too little time left at arrival (time) or after a wait (wait).",
        ("cause",),
    ),
    "connections_forwarded": Instrument(
        "New connections that an overloaded VM forwarded, or could not forward.",
        ("outcome",),
    ),
}

GAUGES: dict[str, Instrument] = {
    "held_bytes": Instrument("Bytes held for callers and servers, as counted."),
    "tokens_free": Instrument("Tokens held and unreserved.", ("customer",)),
    "tokens_reserved": Instrument("Tokens set aside for requests.", ("customer",)),
    "tokens_left": Instrument("Tokens of a total granted to no VM.", ("customer",)),
    "configuration_version": Instrument("Version of the configuration in force."),
    "servers": Instrument("Backend servers known."),
    "servers_limited": Instrument("Backend servers that limit their requests."),
    "quarantines": Instrument("Quarantines of prompt parts in force."),
    "vms": Instrument("VMs known, this one included."),
    "vms_active": Instrument("VMs that callers are sent to."),
    "belief_age": Instrument("Seconds since a feed was last read.", ("feed",)),
    "longest_loop_pause": Instrument(
        "Seconds of the longest time in which the event loop handled nothing."
    ),
    "servers_by_speed": Instrument(
        "Backend servers that fail or are slow compared with their peers.", ("state",)
    ),
    "domains_evacuated": Instrument("Failure domains whose servers get no requests."),
    "servers_cold": Instrument("Backend servers that are limited as cold."),
    "overload_excess": Instrument(
        "Fraction of the load beyond what the event loop can handle."
    ),
}

HISTOGRAMS: dict[str, Instrument] = {
    "duration": Instrument("Seconds from a request to the end of its answer."),
    "first_event": Instrument("Seconds from a request to its first event."),
    "event_gap": Instrument("Longest pause in seconds between events of a stream."),
    "token_wait": Instrument("Seconds that a request waited for tokens."),
    "store_call": Instrument("Seconds of a call to the store.", ("call",)),
    "loop_pause": Instrument("Seconds in which the event loop handled nothing."),
}


class Instruments:
    """All metrics of a process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        # Counters of names with their labels, as looking up labels takes longer than
        # counting. Labels come from closed sets.
        self._counted: dict[tuple[str, ...], Counter] = {}
        self._counters = {
            name: Counter(
                name, i.description, i.labels, PREFIX, registry=self._registry
            )
            for name, i in COUNTERS.items()
        }
        self._gauges = {
            name: Gauge(name, i.description, i.labels, PREFIX, registry=self._registry)
            for name, i in GAUGES.items()
        }
        self._histograms = {
            name: Histogram(
                f"{name}_seconds",
                i.description,
                i.labels,
                PREFIX,
                registry=self._registry,
                buckets=BUCKETS_S,
            )
            for name, i in HISTOGRAMS.items()
        }

    def count(self, name: str, *labels: str, amount: float = 1) -> None:
        """Increment a counter; raise ``KeyError`` for an unlisted name."""
        key = (name, *labels)
        counter = self._counted.get(key)
        if counter is None:
            counter = self._counters[name]
            counter = self._counted[key] = (
                counter.labels(*labels) if labels else counter
            )
        counter.inc(amount)

    def set_gauge(self, name: str, value: float, *labels: str) -> None:
        """Set a gauge; raise ``KeyError`` for an unlisted name."""
        gauge = self._gauges[name]
        (gauge.labels(*labels) if labels else gauge).set(value)

    def observe(self, name: str, duration: timedelta, *labels: str) -> None:
        """Add a duration to a histogram; raise ``KeyError`` for an unlisted name."""
        histogram = self._histograms[name]
        seconds = duration.total_seconds()
        (histogram.labels(*labels) if labels else histogram).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
