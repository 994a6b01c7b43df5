import json

import pytest

from lavendershift.commands.versions import measure_spreads
from lavendershift.tools.cli import main


def make_line(at_s, vm, version, source="log"):
    return {
        "time": f"2026-01-01T00:00:{at_s:06.3f}+00:00",
        "event": "configuration_changed",
        "vm": vm,
        "version": version,
        "source": source,
    }


LINES = [
    make_line(1.0, "edge-1", 7),
    make_line(1.0, "edge-2", 7),
    make_line(1.5, "edge-3", 7, "snapshot"),
    make_line(5.0, "edge-1", 9),
    make_line(5.1, "edge-2", 9, "vm"),
    make_line(5.5, "edge-1", 11),
    make_line(8.2, "edge-3", 11),
    make_line(8.9, "edge-2", 11, "vm"),
    make_line(9.5, "edge-4", 11, "snapshot"),
    {"time": "2026-01-01T00:00:09+00:00", "event": "vm_changed", "vm": "edge-1"},
]


def test_a_version_is_in_force_with_a_newer_one():
    first, second, third = measure_spreads(LINES)
    assert (first.version, first.vms, first.sources) == (
        7,
        3,
        {"log": 2, "snapshot": 1},
    )
    assert (second.version, second.vms, second.first_vm) == (9, 3, "edge-1")
    assert (second.longest_s, second.last_vm) == (3.2, "edge-3")
    assert (third.vms, third.median_s, third.last_vm) == (4, 3.05, "edge-4")


def test_late_vms_are_listed():
    late = [spread.late for spread in measure_spreads(LINES, late_s=3.0)]
    assert [[line["vm"] for line in lines] for lines in late] == [
        [],
        ["edge-3"],
        ["edge-2", "edge-4"],
    ]


def test_the_command_prints_versions(tmp_path, capsys):
    path = tmp_path / "log.jsonl"
    path.write_text("".join(f" 1.2 edge-1 {json.dumps(line)}\n" for line in LINES))
    with pytest.raises(SystemExit) as exit_info:
        main(["versions", str(path), "--late", "3"])
    assert not exit_info.value.code
    printed = capsys.readouterr().out.splitlines()
    assert printed[0].startswith("7 2026-01-01T00:00:01.000+00:00 edge-1 vms=3")
    assert "last=3.20 edge-3 log=2 vm=1" in printed[1]
    assert printed[2].startswith("  2026-01-01T00:00:08.200+00:00 edge-3")
    with pytest.raises(SystemExit) as exit_info:
        main(["versions", str(path), "--json"])
    assert json.loads(capsys.readouterr().out.splitlines()[0])["version"] == 7


def test_a_log_without_versions_exits_with_1(tmp_path):
    path = tmp_path / "log.jsonl"
    path.write_text(json.dumps(LINES[-1]))
    with pytest.raises(SystemExit) as exit_info:
        main(["versions", str(path)])
    assert exit_info.value.code == 1
