import json
import os

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.commands.explain import build_timeline, format_event, read_lines
from lavendershift.logoutput import MAX_BUFFERED_BYTES, StandardOutputHandler
from lavendershift.logs import Event, EventLog, format_line
from lavendershift.tools.cli import main


def make_line(time, event, vm="edge-1", **fields):
    return {"time": time, "level": "info", "event": event, "vm": vm, **fields}


LINES = [
    make_line("01", "dependency_found", name="grants"),
    make_line("02", "dependency_lost", name="grants", reason="no answer"),
    make_line("02", "dependency_lost", vm="edge-2", name="grants"),
    make_line("04", "request_refused", request="r1", error="budget_pending"),
    make_line("03", "request_attempted", request="r1", server="i-1", result="broken"),
    make_line("05", "dependency_found", name="grants"),
    make_line("04", "request_answered", request="r2"),
]


def test_timeline_has_vm_state_before_request():
    events = [(line["time"], line["event"]) for line in build_timeline("r1", LINES)]
    assert events == [
        ("02", "dependency_lost"),
        ("03", "request_attempted"),
        ("04", "request_refused"),
    ]


def test_timeline_has_the_quarantines_that_the_vm_knew():
    lines = [
        make_line("01", "parts_quarantined", parts="5c1e/91bd", version=1),
        make_line("01", "parts_quarantined", parts="77aa", version=1),
        make_line("02", "parts_released", parts="77aa", version=2),
        make_line("03", "request_refused", request="r1", error="quarantined"),
    ]
    found = [(line["event"], line.get("parts")) for line in build_timeline("r1", lines)]
    assert found == [("parts_quarantined", "5c1e/91bd"), ("request_refused", None)]


def test_timeline_has_the_limits_of_servers_that_the_vm_knew():
    lines = [
        make_line("01", "server_limited", server="i-1", result="limited"),
        make_line("01", "server_limited", server="i-2", result="limited"),
        make_line("02", "server_limited", server="i-2", result="unlimited"),
        make_line("02", "server_limited", vm="edge-2", server="i-3", result="limited"),
        make_line("03", "request_refused", request="r1", error="overloaded"),
        make_line("04", "server_limited", server="i-4", result="limited"),
    ]
    timeline = build_timeline("r1", lines)
    assert [line.get("server") for line in timeline] == ["i-1", None]


def test_timeline_of_unknown_request_is_empty():
    assert build_timeline("r9", LINES) == []


def test_lines_without_event_are_skipped(tmp_path):
    path = tmp_path / "edge-1.log"
    path.write_text(
        "not a line\n  0.5 edge-1 "
        + json.dumps(LINES[3])
        + '\n{"cut off\n[1]\n{"time": "05", "event": "request_refused"}\n'
    )
    assert list(read_lines([path])) == [LINES[3]]
    assert "error=budget_pending" in format_event(LINES[3])


def test_command_exits_with_1_for_an_unknown_request(tmp_path, capsys):
    path = tmp_path / "edge-1.log"
    path.write_text("\n".join(json.dumps(line) for line in LINES))
    with pytest.raises(SystemExit) as ended:
        main(["explain", "r1", str(path), "--json"])
    assert not ended.value.code
    assert len(capsys.readouterr().out.splitlines()) == 3
    with pytest.raises(SystemExit) as ended:
        main(["explain", "r9", str(path)])
    assert ended.value.code == 1


def test_unread_log_pipe_neither_blocks_nor_grows():
    """A full pipe must not block the process or grow the buffer without limit.

    Lines beyond the buffer are dropped and counted in one ``lines_left_out``.
    """
    reader, writer = os.pipe()
    handler = StandardOutputHandler(writer, "INFO")
    handler.formatter = format_line
    log = EventLog(handler, "edge-1", "rennes", ManualClock())
    for number in range(20_000):
        log.write(Event.REQUEST_ANSWERED, request=f"r{number}")
    os.set_blocking(reader, False)
    text = b""
    for _ in range(200):
        handler.flush()
        try:
            text += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    log.write(Event.REQUEST_ANSWERED, request="last")
    text += os.read(reader, 1 << 20)
    lines = [json.loads(line) for line in text.splitlines()]
    assert len(text) < 2 * MAX_BUFFERED_BYTES
    (left_out,) = [line for line in lines if line["event"] == "lines_left_out"]
    assert left_out["count"] + len(lines) - 1 == 20_001
    assert lines[-1]["request"] == "last"


def test_closed_log_pipe_raises_no_error():
    reader, writer = os.pipe()
    handler = StandardOutputHandler(writer, "INFO")
    handler.formatter = format_line
    os.close(reader)
    log = EventLog(handler, "edge-1", "rennes", ManualClock())
    log.write(Event.PROCESS_STARTED)
