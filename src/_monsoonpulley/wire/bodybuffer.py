"""The part of a request's body that has been received."""

from __future__ import annotations

BLOCK_BYTES = 65_536
"""Small pieces are joined up to this size: each piece of two bytes would take over
forty bytes of memory. Larger blocks would be copied whenever they grow."""


class BodyBuffer:
    """Collects a body in few blocks, however small its chunks are."""

    __slots__ = ("_blocks",)

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []

    def add(self, data: bytes) -> None:
        """Add a piece."""
        blocks = self._blocks
        if blocks and len(blocks[-1]) + len(data) <= BLOCK_BYTES:
            blocks[-1] += data
        else:
            blocks.append(bytearray(data))

    def take(self) -> bytes:
        """Return the whole body and forget it."""
        body = b"".join(self._blocks)
        self.clear()
        return body

    def clear(self) -> None:
        """Forget what was received."""
        self._blocks.clear()
