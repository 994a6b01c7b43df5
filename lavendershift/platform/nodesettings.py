"""Decoding of the settings file that the platform provides to a process."""

import tomllib
from collections.abc import Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from lavendershift.decoding import run_decoder
from lavendershift.errors import DecodeError
from lavendershift.evacuation.coldservers import ColdBounds
from lavendershift.memory.limits import DEFAULT_MAX_FDS, DEFAULT_MEMORY_MB
from lavendershift.platform.names import SETTINGS_VARIABLE as SETTINGS_VARIABLE


class NodeSettings(NamedTuple):
    """Settings of a process: its VM, its addresses, and the platform's limits."""

    name: str
    role: str
    ip: str
    failure_domain: str
    region: str
    callers_address: str
    ready_address: str
    directory_address: str
    peer_port: int
    store_address: str
    seeds: tuple[str, ...]
    grace: timedelta  # time from the stop signal until the process is killed
    drain: timedelta  # time in which a leaving server may still get requests
    heartbeat_interval: timedelta  # interval between two entries that a server writes
    apply_time: timedelta  # time until a new configuration has to be in force
    stable_window: timedelta  # time after a fault until the VM counts as recovered
    # Number of retries allowed for each request, over the whole fleet.
    retry_share: float
    retry_slack: float  # number of further retries of the whole fleet in each window
    retry_window: timedelta
    resolve_ttl: timedelta  # longest time for which callers cache addresses
    partitions: int
    cores: float  # share of a standard core that the process gets
    link_mbps: float  # bandwidth of the VM's link, in each direction
    # Requests/s to cold servers, ``None`` if these have no limit.
    cold_bounds: ColdBounds | None = None
    regions: Mapping[str, str] = {}  # region of each failure domain
    memory_mb: float = DEFAULT_MEMORY_MB  # memory of the VM
    max_fds: int = DEFAULT_MAX_FDS  # file descriptors that the process may open
    # Whether places at plain servers with few slots are granted by one VM.
    shares_places: bool = False
    # Whether requests are refused, and connections forwarded, on a busy VM.
    refuses_overload: bool = False
    forwards_connections: bool = False


class SettingsError(Exception):
    """The settings file lacks a field or has one of the wrong type."""


def load_node_settings(path: Path) -> NodeSettings:
    """Load the settings in the file at ``path``; raises ``SettingsError``."""
    try:
        text = path.read_text(encoding="utf-8")
        return decode_settings(run_decoder(lambda: tomllib.loads(text), "settings"))
    except (OSError, ValueError) as error:  # DecodeError is a ValueError
        raise SettingsError(f"{path}: {error}") from None


def decode_settings(data: dict[str, Any]) -> NodeSettings:
    """Decode the settings in ``data``; unknown fields are ignored.

    Raises ``SettingsError``.
    """
    try:
        return run_decoder(lambda: _decode_sections(data), "settings")
    except DecodeError as error:
        raise SettingsError(error.reason) from None


def _decode_sections(data: dict[str, Any]) -> NodeSettings:
    listen, bounds, store = data["listen"], data["bounds"], data["platform"]
    limits = data.get("limits", {})
    overload = data.get("overload", {})
    return NodeSettings(
        name=str(data["node"]),
        role=str(data["role"]),
        ip=str(data["ip"]),
        failure_domain=str(data["zone"]),
        region=str(data["region"]),
        callers_address=listen["front"],
        ready_address=listen["ready"],
        directory_address=listen.get("directory", ""),
        peer_port=int(data["internal_ports"][0]),
        store_address=store["address"],
        seeds=tuple(data.get("seeds", ())),
        grace=timedelta(seconds=bounds["grace_s"]),
        drain=timedelta(milliseconds=bounds["drain_ms"]),
        heartbeat_interval=timedelta(milliseconds=data.get("heartbeat_ms", 1200)),
        apply_time=timedelta(milliseconds=bounds.get("config_apply_ms", 2000)),
        stable_window=timedelta(milliseconds=bounds.get("stable_window_ms", 3000)),
        retry_share=float(bounds["retry_budget_ratio"]),
        retry_slack=float(bounds["retry_budget_slack"]),
        retry_window=timedelta(seconds=bounds["budget_window_s"]),
        resolve_ttl=timedelta(seconds=bounds.get("ttl_max_s", 5)),
        partitions=int(store.get("parts", 1)),
        cores=float(limits.get("cpu_share", 1)) * float(limits.get("cores", 1)),
        link_mbps=float(limits.get("link_mbps", 1000)),
        cold_bounds=_decode_cold_bounds(bounds),
        regions=_decode_regions(data),
        memory_mb=float(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        max_fds=int(limits.get("max_fds", DEFAULT_MAX_FDS)),
        shares_places=bool(data.get("servers", {}).get("shares_places", False)),
        refuses_overload=bool(overload.get("refuses", False)),
        forwards_connections=bool(overload.get("forwards_connections", False)),
    )


def _decode_cold_bounds(bounds: dict[str, Any]) -> ColdBounds | None:
    if "cold_overage" not in bounds or "cold_slack" not in bounds:
        return None
    return ColdBounds(float(bounds["cold_overage"]), float(bounds["cold_slack"]))


def _decode_regions(data: dict[str, Any]) -> dict[str, str]:
    """Return the region of each failure domain, that of the own VM included.

    A domain is a name of its region, or a table that holds it.
    """
    regions = {
        str(domain): str(value.get("region", "") if isinstance(value, dict) else value)
        for domain, value in data.get("zones", {}).items()
    }
    return {str(data["zone"]): str(data["region"])} | regions
