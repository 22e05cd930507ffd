"""An in-memory table with the faults that the configuration must survive."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from enum import Enum

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.external.table import (
    ABSENT_REVISION,
    Committed,
    Conflict,
    Row,
    Write,
)


class Fault(Enum):
    """Fault of one commit."""

    NONE = "none"
    REFUSED = "refused"
    LOST_ANSWER = "lost_answer"
    LOST_REQUEST = "lost_request"
    DELAYED = "delayed"
    """The call gets no answer, and the table executes the commit later."""
    UNREACHABLE_AFTERWARDS = "unreachable_afterwards"
    """The commit is answered; afterwards the table is unreachable."""


RANDOM_FAULTS = (Fault.REFUSED, Fault.LOST_ANSWER, Fault.LOST_REQUEST, Fault.DELAYED)


class FakeTable:
    """The rows in memory; each client reaches them by its own `TableClient`."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.revision = 0
        self.is_unreachable = False
        self.delayed_commits: list[Sequence[Write]] = []
        self.commits: list[dict[str, bytes | None]] = []

    def apply(self, writes: Sequence[Write]) -> Committed | Conflict:
        current = {w.key: self.rows[w.key] for w in writes if w.key in self.rows}
        for write in writes:
            row = current.get(write.key)
            if (row.revision if row else ABSENT_REVISION) != write.expected_revision:
                return Conflict(current)
        self.revision += 1
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.key, write.value, self.revision)
        self.commits.append({w.key: w.value for w in writes})
        return Committed(self.revision)

    def apply_delayed(self) -> None:
        """Execute every delayed commit."""
        delayed_commits, self.delayed_commits = self.delayed_commits, []
        for writes in delayed_commits:
            self.apply(writes)


class TableClient:
    """One client's connection to the table.

    ``faults`` apply to the first commits in order. Later commits draw a fault
    with the probability ``fault_rate``.
    """

    def __init__(
        self,
        table: FakeTable,
        clock: Clock,
        rng: random.Random,
        *,
        faults: Sequence[Fault] = (),
        fault_rate: float = 0.0,
        latency_ms: tuple[int, int] = (0, 0),
    ):
        self.table = table
        self.is_partitioned = False
        self.read_bytes = 0
        self._clock = clock
        self._rng = rng
        self._faults = list(faults)
        self._fault_rate = fault_rate
        self._latency_ms = latency_ms

    async def _simulate_call(self) -> Failure | None:
        await self._clock.sleep_ms(self._rng.randint(*self._latency_ms))
        if self.table.is_unreachable or self.is_partitioned:
            return Failure(Reason.UNAVAILABLE, "table.call", "table")
        return None

    async def read(self, key: str) -> Row | Failure | None:
        failure = await self._simulate_call()
        if failure:
            return failure
        row = self.table.rows.get(key)
        self.read_bytes += len(row.value) if row else 0
        return row

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> tuple[Row, ...] | Failure:
        failure = await self._simulate_call()
        if failure:
            return failure
        keys = sorted(k for k in self.table.rows if k.startswith(prefix) and k > after)
        rows = tuple(self.table.rows[key] for key in keys[:limit])
        self.read_bytes += sum(len(row.value) for row in rows)
        return rows

    async def commit(self, writes: Sequence[Write]) -> Committed | Conflict | Failure:
        failure = await self._simulate_call()
        if failure:
            return failure
        fault = self._draw_fault()
        in_doubt = Failure(Reason.IN_DOUBT, "table.commit", "table")
        if fault is Fault.REFUSED:
            return Failure(Reason.UNAVAILABLE, "table.commit", "table")
        if fault is Fault.LOST_REQUEST:
            return in_doubt
        if fault is Fault.DELAYED:
            self.table.delayed_commits.append(tuple(writes))
            delay_ms = self._rng.randint(1, 5_000)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_ms / 1000, self.table.apply_delayed)
            return in_doubt
        result = self.table.apply(writes)
        self.table.is_unreachable = (
            self.table.is_unreachable or fault is Fault.UNREACHABLE_AFTERWARDS
        )
        return in_doubt if fault is Fault.LOST_ANSWER else result

    def _draw_fault(self) -> Fault:
        if self._faults:
            return self._faults.pop(0)
        if self._rng.random() < self._fault_rate:
            return self._rng.choice(RANDOM_FAULTS)
        return Fault.NONE
