"""Checkpoints of folded state, split into records of bounded size.

The state of a fold is one JSON text. It is cut into parts that each fit into
an append, and joined again only when all parts of one id are there. As the
fold is deterministic, any reader may write a checkpoint and a second one of
the same offset does no harm.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from lavendershift.errors import DecodeError
from lavendershift.records import Checkpoint

PART_CHARACTERS = 128 * 1024


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

    It is decoded to ``state_type`` at once, as lists of its many small objects
    would take as long again. Raises ``DecodeError`` when a part is missing or
    the text is damaged or of another type.
    """
    by_part = {part.part: part for part in parts}
    if not by_part:
        raise DecodeError("checkpoint", "no parts")
    ordered = [by_part[number] for number in sorted(by_part)]
    first = ordered[0]
    identities = {(part.id, part.stream, part.next_offset) for part in ordered}
    complete = [part.part for part in ordered] == list(range(first.parts))
    if len(identities) != 1 or not complete:
        raise DecodeError(f"checkpoint {first.id}", "parts are missing or mixed")
    try:
        text = "".join(part.state for part in ordered)
        return msgspec.json.decode(text, type=state_type)
    except msgspec.DecodeError as error:
        raise DecodeError(f"checkpoint {first.id}", str(error)) from None
