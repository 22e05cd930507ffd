"""Stand-in of the platform's table service, in memory."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Sequence
from random import Random

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.table import ABSENT_REVISION, Committed, Conflict, Row, Write
from ..ids import ZoneId
from .calls import DEFAULT_TIMEOUT_MS, Caller
from .faults import Faults

MAX_WRITES = 128
"""Maximum number of rows that one commit may write."""


class TableCounts(msgspec.Struct):
    """Numbers of calls; calls that were refused or never arrived don't count."""

    reads: int = 0
    scans: int = 0
    commits: int = 0
    conflicts: int = 0
    rows_written: int = 0


class RateLimit:
    """A token bucket of ``per_s`` calls a second.

    It holds the calls of one second, at least one.
    """

    def __init__(self, per_s: float, now_ms: int):
        self._per_ms = per_s / 1000
        self._burst = max(1.0, per_s)
        self._tokens = self._burst
        self._updated_ms = now_ms

    @property
    def refill_ms(self) -> int:
        """Time in which one token is refilled."""
        return math.ceil(1 / self._per_ms)

    def try_acquire(self, now_ms: int) -> bool:
        """Consume one token; return whether there was one."""
        refilled = (now_ms - self._updated_ms) * self._per_ms
        self._tokens = min(self._burst, self._tokens + refilled)
        self._updated_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class TableStandin:
    """Rows in memory; each commit that writes raises the table's revision by one.

    Parameters
    ----------
    clock : Clock
        Clock of the running loop.
    rng : Random
        Source of randomness for faults, if ``faults`` is not given.
    faults : Faults, optional
        Faults, shared with other stand-ins.
    commits_per_s, reads_per_s : float, optional
        Rates above which calls are refused.

    Attributes
    ----------
    rows : dict of str to Row
        All rows by key, for assertions.
    counts : TableCounts
        Counts since the start.
    counts_per_s : dict of int to TableCounts
        Counts by second of the clock.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        faults: Faults | None = None,
        *,
        commits_per_s: float | None = None,
        reads_per_s: float | None = None,
    ):
        self.faults = faults or Faults(rng)
        self.rows: dict[str, Row] = {}
        self.revision = 1
        self.counts = TableCounts()
        self.counts_per_s: defaultdict[int, TableCounts] = defaultdict(TableCounts)
        self._keys: list[str] = []
        self._clock = clock
        self.limit_rates(commits_per_s, reads_per_s)

    def connect(
        self, peer: str, zone: ZoneId, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> TableConnection:
        """Return the table as the instance ``peer`` sees it."""
        caller = Caller(self.faults, self._clock, peer, zone, timeout_ms)
        return TableConnection(self, caller)

    def limit_rates(
        self, commits_per_s: float | None = None, reads_per_s: float | None = None
    ) -> None:
        """Replace the rate limits; ``None`` removes a limit."""
        now_ms = self._clock.now_ms()
        self._commit_limit = _make_limit(commits_per_s, now_ms)
        self._read_limit = _make_limit(reads_per_s, now_ms)

    def read(self, key: str) -> Row | Failure | None:
        """Return a row, subject to the rate limit; counted."""
        refusal = self._check_rate("table.read", self._read_limit)
        if refusal:
            return refusal
        self._increment("reads")
        return self.rows.get(key)

    def scan(self, prefix: str, after: str, limit: int) -> tuple[Row, ...] | Failure:
        """Return rows in key order, subject to the rate limit; counted."""
        refusal = self._check_rate("table.scan", self._read_limit)
        if refusal:
            return refusal
        self._increment("scans")
        rows: list[Row] = []
        start = bisect_left(self._keys, max(prefix, after))
        for key in self._keys[start:]:
            if len(rows) >= limit or not key.startswith(prefix):
                break
            if key > after:
                rows.append(self.rows[key])
        return tuple(rows)

    def commit(self, writes: Sequence[Write]) -> Committed | Conflict | Failure:
        """Apply all writes or none, subject to the rate limit; counted."""
        refusal = self._check_rate("table.commit", self._commit_limit)
        if refusal:
            return refusal
        keys = {write.key for write in writes}
        problem = _find_problem(writes, keys)
        if problem:
            return Failure(Reason.INVALID, "table.commit", "platform", problem)
        if any(self._row_revision(w.key) != w.expected_revision for w in writes):
            self._increment("conflicts")
            return Conflict({k: self.rows[k] for k in keys if k in self.rows})
        self._increment("commits")
        self._increment("rows_written", len(writes))
        if writes:
            self.revision += 1
        for write in writes:
            self._apply_write(write)
        return Committed(self.revision)

    def _apply_write(self, write: Write) -> None:
        is_present = write.key in self.rows
        if write.value is None:
            if is_present:
                del self.rows[write.key]
                del self._keys[bisect_left(self._keys, write.key)]
            return
        if not is_present:
            insort(self._keys, write.key)
        self.rows[write.key] = Row(write.key, write.value, self.revision)

    def _row_revision(self, key: str) -> int:
        row = self.rows.get(key)
        return ABSENT_REVISION if row is None else row.revision

    def _check_rate(self, step: str, limit: RateLimit | None) -> Failure | None:
        if limit is None or limit.try_acquire(self._clock.now_ms()):
            return None
        return Failure(
            Reason.UNAVAILABLE,
            step,
            "platform",
            "over the rate limit",
            retry_after_ms=limit.refill_ms,
        )

    def _increment(self, name: str, count: int = 1) -> None:
        for counts in (self.counts, self.counts_per_s[self._clock.now_ms() // 1000]):
            setattr(counts, name, getattr(counts, name) + count)


class TableConnection:
    """An `external.table.Table` that one instance uses, on the stand-in."""

    def __init__(self, table: TableStandin, caller: Caller):
        self._table = table
        self._caller = caller

    async def read(self, key: str) -> Row | Failure | None:
        """Return the row, or ``None`` if there is none."""
        return await self._caller.read("table.read", lambda: self._table.read(key))

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> tuple[Row, ...] | Failure:
        """Return up to ``limit`` rows with ``prefix``, in key order after ``after``."""
        return await self._caller.read(
            "table.scan", lambda: self._table.scan(prefix, after, limit)
        )

    async def commit(self, writes: Sequence[Write]) -> Committed | Conflict | Failure:
        """Apply all writes, or none if any expected revision differs."""
        fixed_writes = tuple(writes)
        return await self._caller.change(
            "table.commit", lambda: self._table.commit(fixed_writes)
        )


def _find_problem(writes: Sequence[Write], keys: set[str]) -> str:
    """Return why a commit is invalid regardless of the rows, or an empty text."""
    if "" in keys:
        return "key is not provided"
    if len(keys) < len(writes):
        return "duplicate key given in txn request"
    if len(writes) > MAX_WRITES:
        return "too many operations in txn request"
    return ""


def _make_limit(per_s: float | None, now_ms: int) -> RateLimit | None:
    return None if per_s is None else RateLimit(per_s, now_ms)
