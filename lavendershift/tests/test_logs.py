import json
import logging
import socket
from types import SimpleNamespace

import pytest

from lavendershift import signals
from lavendershift.balances import BudgetView
from lavendershift.clocks import ManualClock
from lavendershift.errors import ANSWERS, ErrorKind, RequestError
from lavendershift.eventreports import EventReporter
from lavendershift.logs import EVENTS, Event, EventLog, LibraryHandler, make_handler
from lavendershift.metrics import RETRIES, Metrics, list_counters
from lavendershift.plugins import statsd_metrics
from lavendershift.plugins.statsd_metrics import StatsdSender, escape_name
from lavendershift.retries import RetryReason
from lavendershift.settings_sections import LoggingSection
from lavendershift.values import Address

PROMPT = "the donor's name is secret"


@pytest.fixture
def log(tmp_path):
    handler = make_handler(LoggingSection(tmp_path / "log", "info"))
    return EventLog(handler, "r1", "rennes", ManualClock())


@pytest.fixture
def lines(tmp_path):
    return lambda: [json.loads(line) for line in (tmp_path / "log").open()]


CONTEXT = SimpleNamespace(
    request="desks/a/b/k1",
    attempt="r1.7/3",
    caller=SimpleNamespace(customer="desks/a/b"),
    prompt=PROMPT,
)


def test_every_line_has_request_customer_vm_and_domain(log, lines):
    reporter = EventReporter(log)
    reporter.connect()
    signals.started.send(None)
    signals.request_answered.send(None, context=CONTEXT)
    error = RequestError(ErrorKind.OVERLOADED, PROMPT)
    signals.request_refused.send(None, context=CONTEXT, error=error)
    signals.request_refused.send(None, context=None, error=error)
    signals.request_retried.send(
        None, context=CONTEXT, attempt="x", reason=RetryReason.REFUSED
    )
    signals.configuration_changed.send(None, offset=4)
    signals.stopping.send(None)
    signals.stopped.send(None)
    del reporter
    written = lines()
    common = {"time", "level", "event", "vm", "failure_domain", "request", "customer"}
    assert all(line.keys() >= common for line in written)
    assert {line["vm"] for line in written} == {"r1"}
    assert [line["event"] for line in written] == [
        "process_started",
        "request_answered",
        "request_refused",
        "request_refused",
        "request_retried",
        "configuration_changed",
        "process_stopping",
        "process_stopped",
    ]
    assert written[2]["request"] == "desks/a/b/k1"
    assert written[2]["customer"] == "desks/a/b"
    assert written[2]["error"] == "overloaded"
    assert PROMPT not in json.dumps(written)


def test_unlisted_fields_and_error_messages_are_not_logged(log, lines):
    with pytest.raises(TypeError, match="prompt"):
        log.write(Event.REQUEST_ANSWERED, prompt=PROMPT)
    try:
        raise ValueError(PROMPT)
    except ValueError as error:
        log.write_error(error)
        record = logging.LogRecord(
            "tornado", 40, "/x/y.py", 7, "failed %s", (PROMPT,), (None, error, None)
        )
        LibraryHandler(log).emit(record)
    plain = logging.LogRecord("tornado", 40, "/x/y.py", 7, PROMPT, (), None)
    LibraryHandler(log).emit(plain)
    written = lines()
    assert [line["error"] for line in written] == ["ValueError", "ValueError", ""]
    assert written[0]["place"].startswith("test_logs.py:")
    assert written[1]["reason"] == "failed %s"
    assert PROMPT not in json.dumps(written)


def test_lower_levels_are_not_logged_and_texts_are_truncated(tmp_path, lines):
    handler = make_handler(LoggingSection(tmp_path / "log", "warning"))
    log = EventLog(handler, "r1", "rennes", ManualClock())
    log.write(Event.REQUEST_ANSWERED)
    log.write(Event.LOG_LOST, reason="x" * 10_000)
    [line] = lines()
    assert line["event"] == "log_lost"
    assert len(line["reason"]) <= 300


def test_every_event_error_and_retry_reason_is_listed():
    assert set(EVENTS) == set(Event)
    assert set(RETRIES) == set(RetryReason)
    assert set(ANSWERS) == set(ErrorKind)
    names = [answer.counter for answer in ANSWERS.values()]
    assert len(set(names)) == len(names)
    assert set(names) <= set(list_counters())


def test_each_refusal_and_retry_increments_its_own_counter():
    metrics = Metrics()
    metrics.connect()
    for kind in ErrorKind:
        signals.request_refused.send(None, context=None, error=RequestError(kind))
    for reason in RetryReason:
        signals.request_retried.send(None, context=None, attempt="a", reason=reason)
    counters = metrics.snapshot().counters
    raised = {name for name, count in counters.items() if count == 1}
    expected = {answer.counter for answer in ANSWERS.values()}
    assert raised == expected | {f"retried.{reason.value}" for reason in RetryReason}
    with pytest.raises(KeyError):
        metrics.count("refused.for_fun")
    with pytest.raises(KeyError):
        metrics.set_gauge("fun", 1)


def test_statsd_receives_counter_increments_and_budget_gauges():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(10)
        metrics = Metrics()
        address = Address(*server.getsockname())
        sender = StatsdSender(metrics, address, "r1.x")
        metrics.count("refused.overloaded", 2)
        metrics.set_budget("a.b", BudgetView(100, 50, 20, 19, 0, {"r1": 25}, 5))
        sender.send()
        first = server.recv(65536).decode().split("\n")
        metrics.count("refused.overloaded")
        sender.send()
        second = server.recv(65536).decode().split("\n")
    assert "lavendershift.r1_x.refused.overloaded:2|c" in first
    assert "lavendershift.r1_x.budget.a_b.held:25|g" in first
    assert second == ["lavendershift.r1_x.refused.overloaded:1|c"]
    metrics.drop_budget("a.b")
    assert not any("budget" in name for name in metrics.snapshot().gauges)
    assert escape_name("requests.in_flight") == "requests.in_flight"


def test_without_statsd_address_no_sender_starts():
    settings = SimpleNamespace(metrics=SimpleNamespace(statsd=None))
    application = SimpleNamespace(metrics=Metrics(), settings=settings)
    statsd_metrics.start_sender(application)
    statsd_metrics.stop_sender(application)


def test_stopped_application_logs_no_further_signals(tmp_path, lines):
    """A reporter of an earlier start must not log a later application's signals.

    After a cold start in the same process the earlier reporter stayed connected.
    """
    handler = make_handler(LoggingSection(tmp_path / "log", "info"))
    reporter = EventReporter(EventLog(handler, "r1", "rennes", ManualClock()))
    reporter.connect()
    signals.stopped.send(None)
    signals.started.send(None)
    assert [line["event"] for line in lines()] == ["process_stopped"]
