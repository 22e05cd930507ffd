"""Recent log lines, kept in memory to explain what was decided."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import msgspec

from .subjects import Subject, SubjectKind

MAX_SUBJECTS = 20_000
MAX_LINES_PER_SUBJECT = 200
MAX_BYTES = {
    SubjectKind.REQUEST: 16 * 1024 * 1024,
    SubjectKind.ROLLOUT: 2 * 1024 * 1024,
    SubjectKind.INSTANCE: 4 * 1024 * 1024,
    SubjectKind.DUTY: 4 * 1024 * 1024,
    SubjectKind.CONFIG: 2 * 1024 * 1024,
}
"""Bytes of lines for each kind, so that none pushes out another's."""

MAX_ELSEWHERE_BYTES = 4 * 1024 * 1024
"""Bytes of requests' lines under the endpoints and others that they name."""


class RememberedLine(msgspec.Struct, frozen=True, gc=False):
    """One log line as it was written; ``sequence`` counts all lines."""

    sequence: int
    text: str
    size_bytes: int


class SubjectLines:
    """Lines by subject, the newest kept.

    Bounded in subjects, in lines for each and in bytes over all; what was
    least recently written to goes first.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._lines: OrderedDict[str, list[RememberedLine]] = OrderedDict()
        self.size_bytes = 0

    def add(self, subject: str, line: RememberedLine) -> None:
        """Keep a line about ``subject``."""
        lines = self._lines.get(subject)
        if lines is None:
            lines = self._lines[subject] = []
        else:
            self._lines.move_to_end(subject)
        if len(lines) >= MAX_LINES_PER_SUBJECT:
            self.size_bytes -= lines.pop(0).size_bytes
        lines.append(line)
        self.size_bytes += line.size_bytes
        while self.size_bytes > self._max_bytes or len(self._lines) > MAX_SUBJECTS:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        if len(self._lines) == 1:
            (lines,) = self._lines.values()
            self.size_bytes -= lines.pop(0).size_bytes
            return
        _, dropped = self._lines.popitem(last=False)
        self.size_bytes -= sum(one.size_bytes for one in dropped)

    def lines(self, subject: str) -> list[RememberedLine]:
        """Return the lines about ``subject``, oldest first."""
        return self._lines.get(subject, [])


class EventMemory:
    """Log lines by what they are about, each kind with a bound of its own.

    Lines about a request have another bound where they are found under the
    endpoint that they name. A line counts once for each subject.
    """

    def __init__(
        self,
        max_bytes: Mapping[SubjectKind, int] = MAX_BYTES,
        max_elsewhere_bytes: int = MAX_ELSEWHERE_BYTES,
    ):
        self._parts = {kind: SubjectLines(size) for kind, size in max_bytes.items()}
        self._elsewhere = SubjectLines(max_elsewhere_bytes)
        self._sequence = 0

    @property
    def size_bytes(self) -> int:
        """Bytes of all remembered lines."""
        return sum(part.size_bytes for part in self._all())

    def remember(
        self,
        subjects: Iterable[Subject],
        text: str,
        size_bytes: int,
        *,
        is_about_request: bool,
    ) -> None:
        """Keep a line under each of its subjects."""
        self._sequence += 1
        line = RememberedLine(self._sequence, text, size_bytes)
        for subject in subjects:
            if is_about_request and subject.kind is not SubjectKind.REQUEST:
                self._elsewhere.add(subject.text, line)
            else:
                self._parts[subject.kind].add(subject.text, line)

    def recall(self, subject: str) -> list[str]:
        """Return the lines about ``subject``, oldest first."""
        found = [line for part in self._all() for line in part.lines(subject)]
        found.sort(key=lambda line: line.sequence)
        return [line.text for line in found]

    def _all(self) -> list[SubjectLines]:
        return [*self._parts.values(), self._elsewhere]
