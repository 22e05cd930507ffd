"""Summary of ingress log lines by interval: load, refusals, predictions, orders."""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Iterable, Iterator

import msgspec

REFUSED_STATUSES = frozenset((429, 503))
REJECTED_STATUSES = frozenset((400, 401, 403, 404, 413, 431))
"""Statuses of requests that no endpoint could have served."""


class Line(msgspec.Struct):
    """The fields of a log line that the summary uses; absent ones have defaults."""

    wall_ms: int
    event: str
    status: int = 0
    detail: str = ""
    first_ms: int | None = None
    predicted_ms: float = 0.0
    result: str = ""
    heard: int = 0
    members: int = 0
    is_reclaimable: bool = False
    count: int = 0
    is_from_peer: bool = False
    error: str = ""


class Interval(msgspec.Struct):
    """What happened in one interval, over all instances whose lines were read.

    Attributes
    ----------
    start_wall_ms : int
        Start of the interval.
    answered_count, refused_count, rejected_count, failed_count : int
        Requests by the kind of their answer.
    first_ms : list of int
        Times to the first byte of answered attempts.
    error_ratios : list of float
        Measured over predicted times of these attempts.
    least_heard, member_count : int or None, int
        Fewest instances that any instance heard, and the most that any knows.
    order_count, refused_order_count : int
        Orders of endpoints, and those that were refused or failed.
    """

    start_wall_ms: int
    answered_count: int = 0
    refused_count: int = 0
    rejected_count: int = 0
    failed_count: int = 0
    first_ms: list[int] = []
    error_ratios: list[float] = []
    least_heard: int | None = None
    member_count: int = 0
    order_count: int = 0
    refused_order_count: int = 0

    def add(self, line: Line) -> None:
        """Count a line."""
        if line.event == "request":
            self._add_request(line)
        elif line.event == "attempt":
            self._add_attempt(line)
        elif line.event == "endpoints_ordered":
            self.order_count += 1
            self.refused_order_count += bool(line.error)

    def _add_request(self, line: Line) -> None:
        if 200 <= line.status < 300:
            self.answered_count += 1
        elif line.status in REFUSED_STATUSES:
            self.refused_count += 1
        elif line.status in REJECTED_STATUSES:
            self.rejected_count += 1
        else:
            self.failed_count += 1

    def _add_attempt(self, line: Line) -> None:
        self.member_count = max(self.member_count, line.members)
        if self.least_heard is None or line.heard < self.least_heard:
            self.least_heard = line.heard
        if line.result == "answered" and line.first_ms is not None:
            self.first_ms.append(line.first_ms)
            self.error_ratios.append(line.first_ms / max(1.0, line.predicted_ms))


class LogSummary(msgspec.Struct):
    """Summary of log lines.

    Attributes
    ----------
    intervals : list of Interval
        In the order of time, without those that have no lines.
    refusals : Counter
        Refused and failed requests by status and reason.
    skipped_count : int
        Lines that are no log lines.
    """

    intervals: list[Interval]
    refusals: Counter[tuple[int, str]]
    skipped_count: int


def summarize_lines(texts: Iterable[str], interval_ms: int) -> LogSummary:
    """Summarize log lines, of one or several instances, in any order.

    Parameters
    ----------
    texts : iterable of str
        Lines; what precedes the first brace of each is ignored.
    interval_ms : int
        Length of an interval.
    """
    summary = LogSummary([], Counter(), 0)
    by_start: dict[int, Interval] = {}
    for line in _decode_lines(texts, summary):
        if line.is_from_peer:
            # The instance that the caller asked has a line for it, too.
            continue
        start_ms = line.wall_ms // interval_ms * interval_ms
        interval = by_start.setdefault(start_ms, Interval(start_ms))
        interval.add(line)
        if line.event == "request" and not 200 <= line.status < 300:
            reason = line.detail.partition(":")[0] or "status of the endpoint"
            summary.refusals[line.status, reason] += 1
    summary.intervals = [by_start[start_ms] for start_ms in sorted(by_start)]
    return summary


def quantile(values: list[float] | list[int], share: float) -> float | None:
    """Return the value below which a share of the values is; None without values."""
    if len(values) < 2:
        return float(values[0]) if values else None
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return cuts[round(share * 100) - 1]


def _decode_lines(texts: Iterable[str], summary: LogSummary) -> Iterator[Line]:
    decoder = msgspec.json.Decoder(Line)
    for text in texts:
        start = text.find("{")
        if start < 0:
            summary.skipped_count += bool(text.strip())
            continue
        try:
            yield decoder.decode(text[start:])
        except msgspec.DecodeError:
            summary.skipped_count += 1
