"""Recent log lines, kept in memory to explain what was decided."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

MAX_SUBJECTS = 20_000
MAX_LINES_PER_SUBJECT = 200
MAX_BYTES = 32 * 1024 * 1024


class RememberedLine(msgspec.Struct, frozen=True):
    """One log line as it was written, and its size in bytes."""

    text: str
    size_bytes: int


class EventMemory:
    """Log lines by the request that they are about, the newest kept.

    Bounded in requests, in lines for each and in bytes over all; what was
    least recently written to goes first.
    """

    def __init__(self, max_bytes: int = MAX_BYTES):
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._lines: OrderedDict[str, list[RememberedLine]] = OrderedDict()

    @property
    def size_bytes(self) -> int:
        """Bytes of all remembered lines."""
        return self._size_bytes

    def remember(self, subject: str, text: str) -> None:
        """Keep a line about ``subject``."""
        lines = self._lines.setdefault(subject, [])
        self._lines.move_to_end(subject)
        if len(lines) >= MAX_LINES_PER_SUBJECT:
            self._size_bytes -= lines.pop(0).size_bytes
        line = RememberedLine(text, len(text))
        lines.append(line)
        self._size_bytes += line.size_bytes
        while self._size_bytes > self._max_bytes or len(self._lines) > MAX_SUBJECTS:
            _, dropped = self._lines.popitem(last=False)
            self._size_bytes -= sum(line.size_bytes for line in dropped)

    def recall(self, subject: str) -> list[str]:
        """Return the lines about ``subject``, oldest first."""
        return [line.text for line in self._lines.get(subject, [])]
