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
from .calls import DEFAULT_TIMEOUT_MS, PlatformConnection
from .faults import Faults

MAX_WRITES = 128
"""Most rows that one commit may write."""


class TableCounts(msgspec.Struct):
    """What the table did; refused and lost calls are not in it."""

    reads: int = 0
    scans: int = 0
    commits: int = 0
    conflicts: int = 0
    rows_written: int = 0


class RateLimit:
    """At most ``per_s`` calls a second, with a second's worth of burst."""

    def __init__(self, per_s: float, now_ms: int):
        self._per_ms = per_s / 1000
        self._burst = max(1.0, per_s)
        self._tokens = self._burst
        self._at_ms = now_ms

    @property
    def wait_ms(self) -> int:
        """Time in which one call's worth is earned."""
        return math.ceil(1 / self._per_ms)

    def take(self, now_ms: int) -> bool:
        """Take one call's worth and return whether there was one."""
        earned = (now_ms - self._at_ms) * self._per_ms
        self._tokens = min(self._burst, self._tokens + earned)
        self._at_ms = now_ms
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class TableStandin:
    """Rows in memory under one rising revision.

    Parameters
    ----------
    clock : Clock
        Of the running loop.
    rng : Random
        For the faults, where no plan is given.
    faults : Faults, optional
        Fault plan, shared with other stand-ins.
    commits_per_s, reads_per_s : float, optional
        Rates above which calls are refused.

    Attributes
    ----------
    rows : dict of str to Row
        All rows, for assertions.
    counts : TableCounts
        Totals.
    counts_per_s : dict of int to TableCounts
        The same by second of the clock.
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
        """Return the handle of one instance."""
        caller = PlatformConnection(self.faults, self._clock, peer, zone, timeout_ms)
        return TableConnection(self, caller)

    def limit_rates(
        self, commits_per_s: float | None = None, reads_per_s: float | None = None
    ) -> None:
        """Replace the rate limits; ``None`` for no limit."""
        now_ms = self._clock.now_ms()
        self._commit_limit = _limit(commits_per_s, now_ms)
        self._read_limit = _limit(reads_per_s, now_ms)

    def read(self, key: str) -> Row | Failure | None:
        """Return a row now; takes part in limits and counts."""
        refused = self._over_limit("table.read", self._read_limit)
        if refused:
            return refused
        self._count("reads")
        return self.rows.get(key)

    def scan(self, prefix: str, after: str, limit: int) -> tuple[Row, ...] | Failure:
        """Return rows in key order now; takes part in limits and counts."""
        refused = self._over_limit("table.scan", self._read_limit)
        if refused:
            return refused
        self._count("scans")
        found: list[Row] = []
        start = bisect_left(self._keys, max(prefix, after))
        for key in self._keys[start:]:
            if len(found) >= limit or not key.startswith(prefix):
                break
            if key > after:
                found.append(self.rows[key])
        return tuple(found)

    def commit(self, writes: Sequence[Write]) -> Committed | Conflict | Failure:
        """Apply all writes now or none; takes part in limits and counts."""
        refused = self._over_limit("table.commit", self._commit_limit)
        if refused:
            return refused
        keys = {write.key for write in writes}
        fault = _fault(writes, keys)
        if fault:
            return Failure(Reason.INVALID, "table.commit", "platform", fault)
        if any(self._revision(w.key) != w.expected_revision for w in writes):
            self._count("conflicts")
            return Conflict({k: self.rows[k] for k in keys if k in self.rows})
        self._count("commits")
        self._count("rows_written", len(writes))
        if writes:
            self.revision += 1
        for write in writes:
            self._apply(write)
        return Committed(self.revision)

    def _apply(self, write: Write) -> None:
        present = write.key in self.rows
        if write.value is None:
            if present:
                del self.rows[write.key]
                del self._keys[bisect_left(self._keys, write.key)]
            return
        if not present:
            insort(self._keys, write.key)
        self.rows[write.key] = Row(write.key, write.value, self.revision)

    def _revision(self, key: str) -> int:
        row = self.rows.get(key)
        return ABSENT_REVISION if row is None else row.revision

    def _over_limit(self, step: str, limit: RateLimit | None) -> Failure | None:
        if limit is None or limit.take(self._clock.now_ms()):
            return None
        return Failure(
            Reason.UNAVAILABLE,
            step,
            "platform",
            "over the rate limit",
            retry_after_ms=limit.wait_ms,
        )

    def _count(self, name: str, count: int = 1) -> None:
        for counts in (self.counts, self.counts_per_s[self._clock.now_ms() // 1000]):
            setattr(counts, name, getattr(counts, name) + count)


class TableConnection:
    """A `platform.table.Table` of one instance on a stand-in."""

    def __init__(self, table: TableStandin, caller: PlatformConnection):
        self._table = table
        self._caller = caller

    async def read(self, key: str) -> Row | Failure | None:
        """Return the row, or ``None`` where there is none."""
        return await self._caller.read("table.read", lambda: self._table.read(key))

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> tuple[Row, ...] | Failure:
        """Return at most ``limit`` rows under ``prefix`` in key order."""
        return await self._caller.read(
            "table.scan", lambda: self._table.scan(prefix, after, limit)
        )

    async def commit(self, writes: Sequence[Write]) -> Committed | Conflict | Failure:
        """Apply all writes, or none if any expected revision does not hold."""
        sent = tuple(writes)
        return await self._caller.change(
            "table.commit", lambda: self._table.commit(sent)
        )


def _fault(writes: Sequence[Write], keys: set[str]) -> str:
    """Return what is wrong with a commit whatever the rows, or nothing."""
    if "" in keys:
        return "key is not provided"
    if len(keys) < len(writes):
        return "duplicate key given in txn request"
    if len(writes) > MAX_WRITES:
        return "too many operations in txn request"
    return ""


def _limit(per_s: float | None, now_ms: int) -> RateLimit | None:
    return None if per_s is None else RateLimit(per_s, now_ms)
