"""Encoding of a configuration's state as text, for checkpoints.

Nodes are ordered by their first change, which is the same on every reader and
after a restart. The text is produced in slices, so that a process can serve
requests between them::

    for text in encode_slices(next_offset, nodes, top_ups, verdicts):
        ...
"""

from collections.abc import Iterator, Sequence
from itertools import islice
from typing import Any, NamedTuple

import msgspec

from lavendershift.errors import DecodeError
from lavendershift.topups import TopUpEntry
from lavendershift.verdicts import Verdict

STATE_VERSION = 2  # first item of the encoded state
SLICE_ITEMS = 2_000  # items of a list encoded in one slice


class NodeState(NamedTuple):
    """A node's values, and the offset at which each of its keys last changed."""

    path: str
    values: dict[str, Any]
    changed_at: dict[str, int]


class ConfigurationState(NamedTuple):
    """The full state of a configuration at ``next_offset``."""

    version: int
    next_offset: int
    nodes: list[NodeState]
    top_ups: list[TopUpEntry]
    verdicts: list[Verdict]


def encode_slices(
    next_offset: int,
    nodes: Iterator[NodeState],
    top_ups: Sequence[TopUpEntry],
    verdicts: Sequence[Verdict],
) -> Iterator[str]:
    """Return slices that form the JSON text of the state when joined."""
    yield f"[{STATE_VERSION},{next_offset},"
    yield from _encode_list(nodes)
    yield ","
    yield from _encode_list(iter(top_ups))
    yield ","
    yield from _encode_list(iter(verdicts))
    yield "]"


def _encode_list(items: Iterator[NamedTuple]) -> Iterator[str]:
    """Return the slices of a JSON array."""
    separator = "["
    while batch := list(islice(items, SLICE_ITEMS)):
        yield separator + msgspec.json.encode(batch).decode()[1:-1]
        separator = ","
    yield "[]" if separator == "[" else "]"


def decode_state(text: str) -> ConfigurationState:
    """Return the state in ``text``; raises ``DecodeError``."""
    try:
        state = msgspec.json.decode(text, type=ConfigurationState)
    except msgspec.DecodeError as error:
        raise DecodeError("config checkpoint", str(error)) from None
    if state.version != STATE_VERSION:
        raise DecodeError("config checkpoint", f"unknown version {state.version}")
    return state
