"""Checkpoints of replayed state, split into records of bounded size.

The state is one JSON text. It is split into parts that each fit into one append,
and joined again only if all parts of one id are present. Replay is deterministic,
so any reader may write a checkpoint, and a second one at the same offset does no
harm.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from lavendershift.decoding import run_decoder
from lavendershift.errors import DecodeError
from lavendershift.records import Checkpoint

PART_CHARACTERS = 128 * 1024  # longest piece of state in one record


def split_checkpoint(
    checkpoint_id: str, stream: str, next_offset: int, state: Any
) -> list[Checkpoint]:
    """Return the parts that together hold ``state``."""
    text = msgspec.json.encode(state).decode()
    starts = range(0, max(len(text), 1), PART_CHARACTERS)
    pieces = [text[start : start + PART_CHARACTERS] for start in starts]
    return [
        Checkpoint(checkpoint_id, stream, next_offset, part, len(pieces), piece)
        for part, piece in enumerate(pieces)
    ]


def join_checkpoint(parts: Iterable[Checkpoint], state_type: Any = Any) -> Any:
    """Return the state held by all ``parts`` of one checkpoint.

    The text is decoded directly into ``state_type``: decoding its many small objects
    to lists first would take as long again. Raises ``DecodeError`` if a part is
    missing or the text is damaged or of another type.
    """
    by_part = {part.part: part for part in parts}
    if not by_part:
        raise DecodeError("checkpoint", "expected at least one part, found none")
    ordered = [by_part[number] for number in sorted(by_part)]
    first = ordered[0]
    identities = {(part.id, part.stream, part.next_offset) for part in ordered}
    complete = [part.part for part in ordered] == list(range(first.parts))
    if len(identities) != 1 or not complete:
        raise DecodeError(f"checkpoint {first.id}", "parts are missing or mixed")
    text = "".join(part.state for part in ordered)
    return run_decoder(
        lambda: msgspec.json.decode(text, type=state_type), f"checkpoint {first.id}"
    )
