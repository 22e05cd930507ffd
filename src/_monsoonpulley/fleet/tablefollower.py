"""Following one table of the store through its feed."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..errors import Failure, Reason
from ..log import Log
from ..platform.store import Rows, Store

FIRST_BACKOFF_MS = 200
LONGEST_BACKOFF_MS = 1_000
"""Between calls to a store that fails: found again within half of the shortest
bound on configurations."""


class TableFollower:
    """Reads a table whole once, then what changes in it.

    Parameters
    ----------
    store : Store
        Where the table lies.
    table : str
        Its name.
    on_rows : callable
        Takes `Rows` and whether they are the whole table.
    clock, log : Clock, Log
        Time, and where a lost or regained store is noted.
    wait_ms : int
        How long the store may wait for a change before it answers.
    pause_ms : int
        Between an answer and the next call.
    on_regained : callable
        Called when the store answers again, before what it says is handed on.

    Attributes
    ----------
    heard_ms : int or None
        When the store last answered.
    lost_ms : int or None
        Since when it has not answered; None while it does.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        on_rows: Callable[[Rows, bool], None],
        clock: Clock,
        log: Log,
        *,
        wait_ms: int,
        pause_ms: int,
        on_regained: Callable[[], None] = lambda: None,
    ):
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._clock = clock
        self._log = log
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._on_regained = on_regained
        self._version: int | None = None
        self._backoff_ms = FIRST_BACKOFF_MS
        self.heard_ms: int | None = None
        self.lost_ms: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._clock.sleep_ms(await self.step())

    async def step(self) -> int:
        """Make one call; return how long to pause before the next, in ms."""
        if self._version is None:
            answer = await self._store.get(self._table)
        else:
            answer = await self._store.feed(self._table, self._version, self._wait_ms)
        if isinstance(answer, Failure):
            return self._failed(answer)
        self._answered()
        is_whole = self._version is None
        self._version = max(answer.store_version, self._version or 0)
        if is_whole or answer.rows:
            self._on_rows(answer, is_whole)
        return self._pause_ms

    def _failed(self, failure: Failure) -> int:
        if failure.reason is Reason.CONFLICT:
            self._log.event(
                "table_history_lost", table=self._table, version=self._version
            )
            self._version = None
            return 0
        if self.lost_ms is None:
            self.lost_ms = self._clock.now_ms()
            self._log.event(
                "dependency_lost",
                dependency="store",
                table=self._table,
                version=self._version,
                error=str(failure),
            )
        backoff_ms = self._backoff_ms
        self._backoff_ms = min(backoff_ms * 2, LONGEST_BACKOFF_MS)
        return backoff_ms

    def _answered(self) -> None:
        now_ms = self._clock.now_ms()
        self.heard_ms = now_ms
        self._backoff_ms = FIRST_BACKOFF_MS
        if self.lost_ms is not None:
            self._log.event(
                "dependency_regained",
                dependency="store",
                table=self._table,
                version=self._version,
                lost_for_ms=now_ms - self.lost_ms,
            )
            self.lost_ms = None
            self._on_regained()
