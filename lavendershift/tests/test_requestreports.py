import json
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from lavendershift.attempts import (
    AttemptEnd,
    AttemptReport,
    CallerRequest,
    StreamReport,
)
from lavendershift.clocks import ManualClock
from lavendershift.instruments import Instruments
from lavendershift.logs import EventLog, make_handler
from lavendershift.requestreports import RequestReports
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
