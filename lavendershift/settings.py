"""Settings of a process, read from a TOML file.

``lavendershift.settings_table`` lists the keys, with their kinds, units,
defaults and ranges. A key that ends in a unit of time, such as ``timeout_s``,
becomes a ``timedelta`` field whose name lacks the unit::

    match load_settings(Path("router.toml"), Program.ROUTER):
        case Success(settings):
            listen(settings.listen.address.port)
            wait(settings.log.timeout)
        case Failure(faults):
            for fault in faults:
                print(fault)
"""

import re
import tomllib
from collections.abc import Mapping, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.settings_sections import RelaySettings, RouterSettings
from lavendershift.settings_table import SETTINGS, Program, SettingRow
from lavendershift.values import (
    check_value,
    describe_rule,
    parse_address,
    suggest_name,
)

DURATION_UNITS = {"ms": "milliseconds", "s": "seconds", "h": "hours"}


class SettingsFault(NamedTuple):
    """An error in a settings file; ``line`` is 0 if the line is unknown."""

    path: str
    line: int
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Return for example ``router.toml:12: [log] timeout_s: too small``."""
        place = f"{self.path}:{self.line}" if self.line else self.path
        name = f"[{self.section}] {self.key}".strip() if self.section else self.key
        return f"{place}: {name}: {self.reason}" if name else f"{place}: {self.reason}"


class _Source(NamedTuple):
    """Path and text of a settings file, in which errors are located."""

    path: str
    text: str

    def report(self, section: str, key: str, reason: str) -> SettingsFault:
        """Return an error located at ``key`` of ``section``."""
        line = find_line(self.text, section, key)
        return SettingsFault(self.path, line, section, key, reason)


def find_line(text: str, section: str, key: str) -> int:
    """Return the line of ``key`` in the TOML table ``section``.

    Returns the line of the table's header if the key is not found or empty, and
    0 if there is no such header.
    """
    current = ""
    found = 0
    for number, line in enumerate(text.splitlines(), 1):
        header = re.match(r"\s*\[\s*(.*?)\s*\]\s*(#.*)?$", line)
        if header:
            current = header[1].strip("\"'")
            found = number if current == section else found
        elif current == section and key:
            name = re.match(r"\s*[\"']?([^=\"']*?)[\"']?\s*=", line)
            if name and name[1] == key:
                return number
    return found


def list_rows(program: Program) -> list[SettingRow]:
    """Return the rows of ``SETTINGS`` that apply to ``program``."""
    return [row for row in SETTINGS if program in row.programs]


def load_settings(
    path: Path, program: Program
) -> Result[RouterSettings | RelaySettings, list[SettingsFault]]:
    """Return the settings in the file at ``path``, or all errors in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([SettingsFault(str(path), 0, "", "", str(error))])
    return parse_settings(text, program, str(path))


def parse_settings(
    text: str, program: Program, path: str = "settings"
) -> Result[RouterSettings | RelaySettings, list[SettingsFault]]:
    """Return the settings in TOML ``text``, or all errors in it."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = re.search(r"at line (\d+)", str(error))
        number = int(line[1]) if line else 0
        return Failure([SettingsFault(path, number, "", "", str(error))])
    source = _Source(path, text)
    rows = list_rows(program)
    faults = find_unknown_names(data, rows, source)
    values = _check_rows(data, rows, source, faults)
    faults += _check_combinations(values, source)
    if faults:
        return Failure(sorted(faults, key=lambda fault: (fault.line, fault)))
    return Success(_build_settings(values, program))


def find_unknown_names(
    data: Mapping[str, Any], rows: Sequence[SettingRow], source: _Source
) -> list[SettingsFault]:
    """Return an error for each section and key that is not in ``rows``."""
    known: dict[str, list[str]] = {}
    for row in rows:
        known.setdefault(row.section, []).append(row.key)
    faults = []
    for section, content in data.items():
        if section not in known:
            reason = _describe_unknown("section", section, known)
            faults.append(source.report(section, "", reason))
        elif not isinstance(content, dict):
            faults.append(source.report("", section, f"expected a [{section}] table"))
        else:
            faults += [
                source.report(
                    section, key, _describe_unknown("key", key, known[section])
                )
                for key in content
                if key not in known[section]
            ]
    return faults


def _describe_unknown(
    noun: str, name: str, known: Sequence[str] | dict[str, Any]
) -> str:
    """Return a reason that suggests the most similar known name."""
    nearest = suggest_name(name, known)
    hint = f"; did you mean {nearest!r}?" if nearest else ""
    return f"unknown {noun} {name!r}{hint}"


def _check_rows(
    data: Mapping[str, Any],
    rows: Sequence[SettingRow],
    source: _Source,
    faults: list[SettingsFault],
) -> dict[tuple[str, str], Any]:
    """Return the value of each valid row; append the others' errors to ``faults``."""
    values: dict[tuple[str, str], Any] = {}
    for row in rows:
        section = data.get(row.section, {})
        if not isinstance(section, dict):
            continue
        if row.key not in section:
            if row.default is None:
                faults.append(source.report(row.section, row.key, "is required"))
            values[row.section, row.key] = row.default
            continue
        match check_value(row.rule, section[row.key]):
            case Success(value):
                values[row.section, row.key] = value
            case Failure(reason):
                allowed = describe_rule(row.rule)
                reason = f"{reason} (allowed: {allowed})"
                faults.append(source.report(row.section, row.key, reason))
    return values


def _check_combinations(
    values: Mapping[tuple[str, str], Any], source: _Source
) -> list[SettingsFault]:
    """Return the errors of values that are valid alone but not in combination."""
    faults = []
    if values.get(("log", "client")) == "relay" and not values.get(("log", "relays")):
        reason = 'client "relay" needs at least one relay'
        faults.append(source.report("log", "relays", reason))
    certificate = values.get(("listen", "tls_certificate"))
    key = values.get(("listen", "tls_key"))
    if bool(certificate) != bool(key):
        reason = "tls_certificate and tls_key must be set together"
        faults.append(source.report("listen", "tls_key", reason))
    heartbeat = values.get(("peers", "heartbeat_s"))
    lost_after = values.get(("peers", "lost_after_s"))
    if heartbeat and lost_after and lost_after <= heartbeat:
        reason = "must be longer than heartbeat_s"
        faults.append(source.report("peers", "lost_after_s", reason))
    return faults


def convert_value(row: SettingRow, value: Any) -> Any:
    """Return a validated value in the type of its settings field."""
    if row.unit in DURATION_UNITS:
        return timedelta(**{DURATION_UNITS[row.unit]: value})
    if row.rule.kind in ("address", "optional address"):
        return parse_address(value) if value else None
    if row.key.startswith("tls_") or (row.section, row.key) == ("logging", "path"):
        return Path(value) if value else None
    return value


def name_field(row: SettingRow) -> str:
    """Return the name of the row's field: its key without a unit of time."""
    if row.unit in DURATION_UNITS:
        return row.key.removesuffix(f"_{row.unit}")
    return row.key


def _build_settings(
    values: Mapping[tuple[str, str], Any], program: Program
) -> RouterSettings | RelaySettings:
    """Return the typed settings built from validated values."""
    settings_type: Any = RouterSettings if program is Program.ROUTER else RelaySettings
    sections: dict[str, dict[str, Any]] = {}
    for row in list_rows(program):
        value = convert_value(row, values[row.section, row.key])
        sections.setdefault(row.section, {})[name_field(row)] = value
    section_types = settings_type.__annotations__
    return settings_type(
        **{name: section_types[name](**fields) for name, fields in sections.items()}
    )
