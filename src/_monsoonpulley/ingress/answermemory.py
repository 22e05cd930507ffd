"""Memory that buffered answers of endpoints take together."""

from __future__ import annotations

MAX_BUFFERED_BYTES = 33_554_432
"""A sixth of the smallest instances' memory. Several endpoints that send without end
would otherwise take 8 MB for each request, until the platform kills the process."""


class AnswerMemory:
    """Sum of the bytes that plain answers in progress hold.

    Attributes
    ----------
    total_bytes : int
        Bytes held now.
    """

    def __init__(self) -> None:
        self.total_bytes = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether no more than small answers may be buffered."""
        return self.total_bytes > MAX_BUFFERED_BYTES

    def add(self, size_bytes: int) -> None:
        """Count bytes of an answer."""
        self.total_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Uncount the bytes of an answer that has ended."""
        self.total_bytes -= size_bytes
