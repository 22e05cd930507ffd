"""Following one table of the store, by its feed or by what readers relay."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..clock import Clock
from ..errors import Failure, Reason
from ..observability.log import Log
from ..platform.store import Row, Rows, Store
from .relay import Relay, build_relays

MIN_BACKOFF_MS = 200
MAX_BACKOFF_MS = 1_000
"""Between calls to a store that fails: found again within half of the shortest
bound on configurations."""

IDLE_CHECK_INTERVAL_MS = 100
"""Between two looks at whether a call has become necessary."""

OUTAGE_SILENCE_MS = 2_000
"""After so long without news, rows may have lapsed for want of a store."""

STORE_RETRY_MS = 2_000
"""An instance that the store has turned away, but that hears others' relays, asks
again after this long, the shorter drain bound of the users' sheets: it is to know
that it reaches the store before the relays stop."""


class TableFollower:
    """Reads a table whole once, then what changes in it.

    A reader asks the store for changes and relays them. Other instances take the
    relays and ask for themselves only when one is missing or none comes.

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
    max_silence_ms : int
        How long relays may stay away before this instance asks for itself.
    carries_rows : bool
        Whether relays hold the changed rows; where rows are large they only say
        that there are some.
    content_of : callable
        Returns what of a `Row` matters to receivers: a row that is rewritten with
        the same meaning is not relayed.
    is_reader : callable
        Whether this instance reads for others.
    send : callable
        Takes the relays to send to all other instances.
    on_recovered : callable
        Called when there is news after a silence, before it is handed on.

    Attributes
    ----------
    last_failure_ms : int or None
        When the store last failed to answer; None while it does.
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
        max_silence_ms: int,
        carries_rows: bool,
        content_of: Callable[[Row], object] = lambda row: row,
        is_reader: Callable[[], bool] = lambda: True,
        send: Callable[[list[Relay]], None] = lambda relays: None,
        on_recovered: Callable[[], None] = lambda: None,
    ):
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._clock = clock
        self._log = log
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._max_silence_ms = max_silence_ms
        self._carries_rows = carries_rows
        self._content_of = content_of
        self._content_by_key: dict[str, object] = {}
        self._is_reader = is_reader
        self._send = send
        self._on_recovered = on_recovered
        self._version: int | None = None
        self._announced_version = 0
        self._backoff_ms = MIN_BACKOFF_MS
        self._last_update_ms: int | None = None
        self.last_failure_ms: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.must_query_store():
                await self._clock.sleep_ms(await self.poll_store())
            else:
                await self._clock.sleep_ms(IDLE_CHECK_INTERVAL_MS)

    def must_query_store(self) -> bool:
        """Return whether this instance has to ask the store itself now."""
        if self._version is None or self._last_update_ms is None:
            return True
        if self._announced_version > self._version:
            return True
        now_ms = self._clock.now_ms()
        if now_ms - self._last_update_ms >= self._max_silence_ms:
            return True
        if self.last_failure_ms is not None:
            has_relays_since = self._last_update_ms > self.last_failure_ms
            return (
                not has_relays_since or now_ms - self.last_failure_ms >= STORE_RETRY_MS
            )
        return self._is_reader()

    async def poll_store(self) -> int:
        """Make one call; return how long to pause before the next, in ms."""
        previous_version = self._version
        if previous_version is None:
            answer = await self._store.get(self._table)
        else:
            wait_ms = self._wait_ms if self._is_reader() else 0
            answer = await self._store.feed(self._table, previous_version, wait_ms)
        if isinstance(answer, Failure):
            return self._record_failure(answer)
        self._record_answer()
        is_snapshot = previous_version is None
        self._version = max(answer.store_version, self._version or 0)
        changed = self._find_changed_rows(answer, is_snapshot)
        if is_snapshot or answer.rows:
            self._on_rows(answer, is_snapshot)
        if previous_version is not None and self._is_reader():
            self._send_relays(previous_version, answer, changed)
        return self._pause_ms

    def handle_relay(self, relay: Relay) -> None:
        """Take in what a reader relays."""
        if self._version is None or self._is_active_reader():
            return
        # What was read earlier is no longer as of the version that is known now.
        self._content_by_key.clear()
        if relay.since > self._version or (relay.has_more and relay.until):
            # Something is missing, or too large to be relayed: ask for it. What
            # is here is taken meanwhile, in case the store turns this one away.
            self._announced_version = max(self._announced_version, relay.until)
            if relay.rows:
                self._on_rows(Rows(relay.decode_rows(), relay.until), False)
            return
        self._record_update()
        # The store answers others: it need not be spared.
        self._backoff_ms = MIN_BACKOFF_MS
        if relay.until <= self._version:
            return
        self._version = relay.until
        if relay.rows:
            self._on_rows(Rows(relay.decode_rows(), relay.until), False)

    def _is_active_reader(self) -> bool:
        return self._is_reader() and self.last_failure_ms is None

    def _find_changed_rows(self, answer: Rows, is_snapshot: bool) -> list[Row]:
        """Return the rows that differ from this follower's own last read.

        What relays have told does not count: a relay that reached this instance
        may have been lost on its way to another.
        """
        if is_snapshot:
            self._content_by_key.clear()
        changed = []
        for row in answer.rows:
            content = self._content_of(row) if row.value is not None else None
            if (
                row.key not in self._content_by_key
                or self._content_by_key[row.key] != content
            ):
                changed.append(row)
            self._content_by_key[row.key] = content
            if content is None:
                del self._content_by_key[row.key]
        return changed

    def _send_relays(
        self, previous_version: int, answer: Rows, changed: Sequence[Row]
    ) -> None:
        if not self._carries_rows:
            has_more = bool(answer.rows)
            changed = ()
        else:
            has_more = False
        self._send(
            build_relays(
                self._table, previous_version, answer.store_version, changed, has_more
            )
        )

    def _record_failure(self, failure: Failure) -> int:
        if failure.reason is Reason.CONFLICT:
            self._log.event(
                "table_history_lost", table=self._table, version=self._version
            )
            self._version = None
            return 0
        now_ms = self._clock.now_ms()
        if self.last_failure_ms is None:
            self._log.event(
                "dependency_lost",
                dependency="store",
                table=self._table,
                version=self._version,
                error=str(failure),
            )
        self.last_failure_ms = now_ms
        backoff_ms = self._backoff_ms
        self._backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)
        return backoff_ms

    def _record_answer(self) -> None:
        self._backoff_ms = MIN_BACKOFF_MS
        if self.last_failure_ms is not None:
            self._log.event(
                "dependency_regained",
                dependency="store",
                table=self._table,
                version=self._version,
            )
            self.last_failure_ms = None
            self._on_recovered()
        self._record_update()

    def _record_update(self) -> None:
        now_ms = self._clock.now_ms()
        if (
            self._last_update_ms is not None
            and now_ms - self._last_update_ms > OUTAGE_SILENCE_MS
        ):
            self._on_recovered()
        self._last_update_ms = now_ms
