import json
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from lavendershift.attempts import (
    AttemptEnd,
    AttemptReport,
    CallerRequest,
    ExchangeReport,
    StreamReport,
)
from lavendershift.clocks import ManualClock
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.instruments import Instruments
from lavendershift.logs import EventLog, make_handler
from lavendershift.overload.admissions import Cause, OverloadError
from lavendershift.requestends import (
    AttemptEnding,
    EndReason,
    Progress,
    RequestEnding,
)
from lavendershift.requestreports import RequestReports, RequestTrace
from lavendershift.serverstates import ServerKnowledge
from lavendershift.settings_sections import LoggingSection

REQUEST = CallerRequest(
    "r1", "POST", "/", "", HTTPHeaders(), b"", "", timedelta(), timedelta(seconds=1)
)


@pytest.fixture
def report_attempt(tmp_path):
    """Return a function that reports an attempt and returns its line and metrics."""
    path = tmp_path / "log"

    def report(end, stream, **fields):
        handler = make_handler(LoggingSection(path, "info"))
        log = EventLog(handler, "edge-1", "rennes", ManualClock())
        instruments = Instruments()
        reports = RequestReports(ManualClock(), log, instruments)
        reports.report_attempt(
            REQUEST,
            AttemptReport(
                "i-1", end, "", 200, timedelta(), timedelta(), stream, **fields
            ),
        )
        line = json.loads(path.read_text().splitlines()[-1])
        return line, instruments.render().decode()

    return report


@pytest.mark.parametrize("cause", list(Cause))
def test_a_refusal_under_overload_tells_its_cause_and_the_excess(tmp_path, cause):
    """Guards against refusals that an operator can't tell from those of servers."""
    path = tmp_path / "log"
    log = EventLog(
        make_handler(LoggingSection(path, "info")), "edge-1", "rennes", ManualClock()
    )
    instruments = Instruments()
    reports = RequestReports(ManualClock(), log, instruments)
    error = OverloadError(cause, 0.6543, timedelta(seconds=0.2))
    reports.report_refused(RequestTrace(REQUEST), error)
    line = json.loads(path.read_text())
    assert (line["error"], line["reason"]) == ("vm_overloaded", cause.value)
    assert (line["excess"], line["ran"]) == (0.65, "no")
    counted = f'lavendershift_overload_refusals_total{{cause="{cause.value}"}} 1.0'
    assert counted in instruments.render().decode()


def test_attempt_reports_its_connection_and_what_was_sent_there_before(report_attempt):
    exchange = ExchangeReport(
        "10.0.0.1:80", 17, 3, timedelta(microseconds=250), skipped=2, earlier_sends=1
    )
    line, metrics = report_attempt(AttemptEnd.NOT_RUN, None, exchange=exchange)
    assert (line["address"], line["connection"]) == ("10.0.0.1:80", 17)
    assert (line["exchange"], line["head_us"]) == (3, 250)
    assert (line["skipped"], line["earlier_sends"]) == (2, 1)
    assert 'lavendershift_sends_again_total{end="not_run"} 1.0' in metrics
    assert "lavendershift_skipped_responses_total 2.0" in metrics


def test_unsent_attempt_reports_no_connection(report_attempt):
    line, _ = report_attempt(AttemptEnd.NOT_SENT, None)
    assert not line.keys() & {"address", "connection", "exchange", "head_us"}


def test_stream_attempt_reports_events_and_bytes_received(report_attempt):
    stream = StreamReport("12", 3, 7, "text/event-stream")
    line, metrics = report_attempt(AttemptEnd.SILENT, stream)
    assert line["event"] == "request_attempted"
    assert (line["resumed_after"], line["events"]) == ("12", 3)
    assert line["partial_bytes"] == 7
    assert line["media_type"] == "text/event-stream"
    assert 'lavendershift_resumes_total{end="silent"} 1.0' in metrics
    assert 'lavendershift_partial_events_total{end="silent"} 1.0' in metrics


def test_other_attempts_have_no_stream_fields(report_attempt):
    line, metrics = report_attempt(AttemptEnd.ANSWERED, None)
    assert line["event"] == "request_placed"
    assert "partial_bytes" not in line
    assert "lavendershift_partial_events_total{" not in metrics


def test_attempt_reports_known_state_of_its_server(report_attempt):
    knowledge = ServerKnowledge(timedelta(milliseconds=1750), is_missing=True)
    connecting = timedelta(milliseconds=40)
    line, _ = report_attempt(
        AttemptEnd.ANSWERED, None, knowledge=knowledge, connecting=connecting
    )
    assert (line["belief_ms"], line["entry"]) == (1750, "missing")
    assert line["connect_ms"] == 40


def test_unsent_attempt_reports_unknown_connect_time(report_attempt):
    line, _ = report_attempt(AttemptEnd.NOT_SENT, None)
    assert (line["belief_ms"], line["connect_ms"]) == (-1, -1)


def test_attempt_reports_the_limit_known_before_and_the_one_in_the_answer(
    report_attempt,
):
    line, metrics = report_attempt(
        AttemptEnd.ANSWERED, None, known_limit=1.2, named_limit=0.8
    )
    assert (line["known_limit"], line["named_limit"]) == (1.2, 0.8)
    assert 'lavendershift_limited_attempts_total{end="answered"} 1.0' in metrics


def test_attempt_at_a_server_without_a_limit_reports_none(report_attempt):
    line, metrics = report_attempt(AttemptEnd.ANSWERED, None)
    assert not {"known_limit", "named_limit"} & line.keys()
    assert "lavendershift_limited_attempts_total{" not in metrics


def test_ended_attempt_names_the_reason_and_what_replaced_it(report_attempt):
    ending = AttemptEnding(EndReason.REPLACED, "i-2", Progress.EVENT)
    line, metrics = report_attempt(AttemptEnd.SILENT, None, ending=ending)
    assert line["ended_for"] == "replaced"
    assert (line["successor"], line["progress"]) == ("i-2", "event")
    assert 'lavendershift_attempts_ended_total{reason="replaced"} 1.0' in metrics


@pytest.mark.parametrize("reason", EndReason)
def test_request_without_a_complete_response_names_reason_time_and_versions(
    tmp_path, reason
):
    path = tmp_path / "log"
    log = EventLog(
        make_handler(LoggingSection(path, "info")), "edge-1", "rennes", ManualClock()
    )
    instruments = Instruments()
    trace = RequestTrace(REQUEST)
    trace.version, trace.current_version = 3, 7
    trace.ending = RequestEnding(reason, timedelta(seconds=1), was_sent=True)
    reports = RequestReports(ManualClock(), log, instruments)
    reports.report_refused(trace, RequestError(ErrorKind.DEADLINE_EXCEEDED))
    reports.report_abandoned(trace)
    for line in [json.loads(line) for line in path.read_text().splitlines()]:
        assert (line["request"], line["ended_for"]) == ("r1", reason.value)
        assert (line["allowed_ms"], line["duration_ms"]) == (1000, 0)
        assert (line["version"], line["current_version"]) == (3, 7)
    counted = f'lavendershift_requests_ended_total{{reason="{reason.value}"}} 2.0'
    assert counted in instruments.render().decode()
