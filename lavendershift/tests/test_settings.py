import tomllib
from datetime import timedelta
from pathlib import Path

import pytest
from returns.result import Failure, Success

from lavendershift.settings import load_settings, parse_settings
from lavendershift.settings_page import render_defaults
from lavendershift.settings_table import SETTINGS, Program
from lavendershift.tools.pages import PAGES
from lavendershift.values import Address, check_value

REQUIRED = """
[vm]
name = "r1"
failure_domain = "rennes"
[listen]
address = "127.0.0.1:7101"
peer_address = "tcp://127.0.0.1:7201"
[log]
relays = ["tcp://127.0.0.1:7202"]
"""
RELAY = REQUIRED.replace('address = "127.0.0.1:7101"\n', "", 1)
RELAY = RELAY.replace('relays = ["tcp://127.0.0.1:7202"]', "timeout_s = 1")


def test_values_become_typed_fields():
    settings = parse_settings(REQUIRED, Program.ROUTER).unwrap()
    assert settings.listen.address == Address("127.0.0.1", 7101)
    assert settings.log.timeout == timedelta(seconds=2)
    assert settings.ledger.key_retention == timedelta(hours=48)
    assert settings.metrics.statsd is None
    assert settings.listen.tls_key is None
    relay = parse_settings(RELAY, Program.RELAY).unwrap()
    assert relay.relay.batch == timedelta(milliseconds=5)
    assert relay.log.client == "http"


def test_all_faults_are_reported_with_their_lines(tmp_path):
    path = tmp_path / "router.toml"
    path.write_text(
        REQUIRED + 'timeut_s = 1\ntimeout_s = "2"\n[retrys]\nshare=1\n'
        "[retries]\nshare = 2\n[listen.x]\ny = 1\n[metrics]\nstatsd = 'host:1'\n"
        "[peers]\nlost_after_s = 0.5\n"
    )
    faults = load_settings(path, Program.ROUTER).failure()
    texts = [str(fault).removeprefix(str(path)) for fault in faults]
    expected = [
        ":10: [log] timeut_s: unknown key 'timeut_s'; did you mean 'timeout_s'?",
        ":11: [log] timeout_s: input should be a valid number",
        ":12: [retrys]: unknown section 'retrys'; did you mean 'retries'?",
        ":15: [retries] share: input should be less than or equal to 1",
        "[listen] x: unknown key 'x'",
        ":19: [metrics] statsd: expected IP:PORT with a numeric IP address",
        ":21: [peers] lost_after_s: must be longer than heartbeat_s",
    ]
    for text in expected:
        assert any(text in found for found in texts), (text, texts)
    assert len(faults) == len(expected)


@pytest.mark.parametrize("text", ["[vm", "vm = 3\nlisten = 'x'", "\x00", ""])
def test_invalid_text_is_a_fault(text):
    assert isinstance(parse_settings(text, Program.ROUTER), Failure)


def test_missing_file_is_a_fault():
    faults = load_settings(Path("/nonexistent/x.toml"), Program.RELAY).failure()
    assert "No such file" in str(faults[0])


def test_defaults_satisfy_their_rules():
    for row in SETTINGS:
        if row.default is not None:
            assert isinstance(check_value(row.rule, row.default), Success), row


@pytest.mark.parametrize("program", list(Program))
def test_printed_defaults_equal_the_table(program):
    printed = tomllib.loads(render_defaults(program))
    for row in SETTINGS:
        if program in row.programs and row.default is not None:
            assert printed[row.section][row.key] == row.default


@pytest.mark.parametrize("name", PAGES)
def test_reference_page_is_up_to_date(name):
    page = Path(__file__).parents[2] / "docs" / name
    assert page.read_text(encoding="utf-8") == PAGES[name]()
