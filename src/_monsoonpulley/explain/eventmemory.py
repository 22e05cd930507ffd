"""Recent log lines, kept in memory to explain decisions."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import msgspec

from .subjects import Subject, SubjectKind

MAX_SUBJECTS = 20_000
MAX_LINES_PER_SUBJECT = 200
MAX_BYTES_BY_KIND = {
    SubjectKind.REQUEST: 16 * 1024 * 1024,
    SubjectKind.ROLLOUT: 2 * 1024 * 1024,
    SubjectKind.INSTANCE: 4 * 1024 * 1024,
    SubjectKind.DUTY: 4 * 1024 * 1024,
    SubjectKind.CONFIG: 2 * 1024 * 1024,
}
"""Bytes of lines for each kind, so that no kind evicts another's lines."""

MAX_CROSS_REFERENCE_BYTES = 4 * 1024 * 1024
"""Bytes of requests' lines kept under the other subjects that they name."""


class StoredLine(msgspec.Struct, frozen=True, gc=False):
    """One log line as written; ``sequence`` is its number among all lines."""

    sequence: int
    text: str
    size_bytes: int


class SubjectLines:
    """The newest lines of each subject.

    Bounded in subjects, in lines for each subject and in total bytes; the subject
    least recently written to is evicted first.
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._lines_by_subject: OrderedDict[str, list[StoredLine]] = OrderedDict()
        self.size_bytes = 0

    def add(self, subject: str, line: StoredLine) -> None:
        """Store a line about ``subject``."""
        lines = self._lines_by_subject.get(subject)
        if lines is None:
            lines = self._lines_by_subject[subject] = []
        else:
            self._lines_by_subject.move_to_end(subject)
        if len(lines) >= MAX_LINES_PER_SUBJECT:
            self.size_bytes -= lines.pop(0).size_bytes
        lines.append(line)
        self.size_bytes += line.size_bytes
        while (
            self.size_bytes > self._max_bytes
            or len(self._lines_by_subject) > MAX_SUBJECTS
        ):
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        if len(self._lines_by_subject) == 1:
            (lines,) = self._lines_by_subject.values()
            self.size_bytes -= lines.pop(0).size_bytes
            return
        _, evicted = self._lines_by_subject.popitem(last=False)
        self.size_bytes -= sum(line.size_bytes for line in evicted)

    def lines(self, subject: str) -> list[StoredLine]:
        """Return the lines about ``subject``, oldest first."""
        return self._lines_by_subject.get(subject, [])


class EventMemory:
    """Log lines by subject, with a separate bound for each kind of subject.

    Requests' lines that are kept under another subject, such as their endpoint,
    have a bound of their own. A line counts once for each of its subjects.
    """

    def __init__(
        self,
        max_bytes: Mapping[SubjectKind, int] = MAX_BYTES_BY_KIND,
        max_cross_reference_bytes: int = MAX_CROSS_REFERENCE_BYTES,
    ):
        self._lines_by_kind = {
            kind: SubjectLines(size) for kind, size in max_bytes.items()
        }
        self._cross_references = SubjectLines(max_cross_reference_bytes)
        self._sequence = 0

    @property
    def size_bytes(self) -> int:
        """Total bytes of the lines kept."""
        return sum(store.size_bytes for store in self._line_stores())

    def add(
        self,
        subjects: Iterable[Subject],
        text: str,
        size_bytes: int,
        *,
        is_about_request: bool,
    ) -> None:
        """Store a line under each of its subjects."""
        self._sequence += 1
        line = StoredLine(self._sequence, text, size_bytes)
        for subject in subjects:
            if is_about_request and subject.kind is not SubjectKind.REQUEST:
                self._cross_references.add(subject.text, line)
            else:
                self._lines_by_kind[subject.kind].add(subject.text, line)

    def lines(self, subject: str) -> list[str]:
        """Return the lines about ``subject``, oldest first."""
        found = [line for store in self._line_stores() for line in store.lines(subject)]
        found.sort(key=lambda line: line.sequence)
        return [line.text for line in found]

    def _line_stores(self) -> list[SubjectLines]:
        return [*self._lines_by_kind.values(), self._cross_references]
