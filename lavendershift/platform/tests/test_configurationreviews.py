"""The command that checks a configuration of the platform before it is sent."""

import json

import pytest

from lavendershift.commands.check import Check
from lavendershift.platform.configuration import check_draft

ROUTE = {
    "name": "index",
    "host": "books.example",
    "path_prefix": "/index/",
    "kind": "streaming",
    "timeout_ms": 5000,
    "service": "pool",
}
CONFIGURATION = {"version": 4, "routes": [ROUTE], "services": [{"name": "pool"}]}


def write(path, **changes):
    path.write_text(json.dumps(CONFIGURATION | changes))
    return path


def find_texts(**changes):
    _, findings = check_draft(json.dumps(CONFIGURATION | changes).encode(), None)
    return [str(finding) for finding in findings]


def test_a_sound_configuration_has_no_findings():
    assert find_texts() == []


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"timeout_ms": "5 s"}, "the entry is skipped"),
        ({"kind": "stream"}, "the kind 'stream' is unknown"),
        ({"kind": "safe", "resumable": True}, "resumable has no effect"),
        ({"max_attempts": 0}, "max_attempts below 1"),
        ({"traffic_split": [{"service": "pool"}]}, "no effect beside traffic_split"),
    ],
)
def test_a_value_that_is_skipped_or_replaced_is_found(changes, text):
    assert any(text in found for found in find_texts(routes=[ROUTE | changes]))


def test_errors_and_differences_are_printed(tmp_path, capsys):
    old = write(tmp_path / "old.json")
    new = write(tmp_path / "new.json", version=5, services=[])
    assert Check(kind="configuration", files=[new], in_force=old)() == 1
    printed = capsys.readouterr()
    assert "the service 'pool' is not configured" in printed.err
    assert "removed service pool" in printed.out


def test_warnings_alone_are_no_failure(tmp_path, capsys):
    new = write(tmp_path / "new.json", services=[{"name": "pool"}, {"name": "old"}])
    assert Check(kind="configuration", files=[new], json=True)() == 0
    (report,) = json.loads(capsys.readouterr().out)
    assert [finding["place"] for finding in report["findings"]] == ["service old"]


@pytest.mark.parametrize("text", ["", "{", "[]", '{"version": -1}'])
def test_a_file_that_is_no_configuration_is_an_error(tmp_path, capsys, text):
    path = tmp_path / "new.json"
    path.write_text(text)
    assert Check(kind="configuration", files=[path, tmp_path / "missing"])() == 1
    assert capsys.readouterr().err.count("error: file") == 2
