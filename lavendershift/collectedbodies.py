"""Body of a response that is collected before it is forwarded.

It is kept in pieces, which are sent as they are: growing one buffer, and joining it
with a head, would each take the size of a long body once more.
"""

PIECE_BYTES = 65_536  # size up to which small chunks are joined


class CollectedBody:
    """Chunks of a body; ``pieces`` are their bytes in order."""

    def __init__(self) -> None:
        self.pieces: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, chunk: bytes) -> None:
        """Append a chunk."""
        self._size += len(chunk)
        if self.pieces and len(self.pieces[-1]) + len(chunk) <= PIECE_BYTES:
            self.pieces[-1] += chunk
        else:
            self.pieces.append(bytearray(chunk))

    def clear(self) -> None:
        """Drop everything."""
        self.take()

    def take(self) -> list[bytearray]:
        """Return the pieces, and keep none.

        Objects of a request refer to each other, so that what they keep is freed late.
        """
        pieces, self.pieces, self._size = self.pieces, [], 0
        return pieces
