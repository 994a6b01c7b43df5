"""Names of the platform's protocol are used only in the adapter's folder."""

import re
from pathlib import Path

import lavendershift
from lavendershift.platform import names

PACKAGE = Path(lavendershift.__file__).parent
ADAPTER = PACKAGE / "platform"
WIRE_NAMES = [
    *(v for k, v in vars(names).items() if k.isupper() and isinstance(v, str)),
    "X-Lavendershift",
    "log-append",
    "log-read",
    "log-newest",
    "path_prefix",
    "traffic_split",
    "api_keys",
    "target_latency_ms",
    "resumable",
    "kv_capacity_tokens",
    "cold_remaining_ms",
    "heartbeat_ms",
    "config_apply_ms",
    "tenant",
]
STANDARD_NAMES = {
    "Retry-After",
    "Last-Event-Id",
    "Authorization",
    "bearer",
}  # names of HTTP itself, which the routers' own interface uses as well


def list_sources():
    return [
        path
        for path in PACKAGE.rglob("*.py")
        if ADAPTER not in path.parents and "tests" not in path.parts
    ]


def test_no_protocol_name_is_used_outside_the_adapter():
    found = []
    for path in list_sources():
        text = path.read_text()
        for name in set(WIRE_NAMES) - STANDARD_NAMES:
            if re.search(rf"\b{re.escape(name)}\b", text):
                found.append(f"{path.relative_to(PACKAGE)}: {name}")
    assert found == []


def test_the_adapter_is_under_a_sixth_of_the_code():
    def count(paths):
        return sum(len(path.read_text().splitlines()) for path in paths)

    adapter = count(p for p in ADAPTER.rglob("*.py") if "tests" not in p.parts)
    assert adapter < count(list_sources()) / 6
