"""Follows one table of the store through its feed or through relays of readers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..observability.log import Log
from ..platform.store import CALL_TIMEOUT_MS, Row, Rows, Store
from ..platform.storeversion import era_of
from .relay import Relay, build_relays

MIN_BACKOFF_MS = 200
MAX_BACKOFF_MS = 1_000
"""Longest time between the starts of calls that a failing store refuses at once: half
of the shortest time in which a new configuration must be in force."""

IDLE_CHECK_INTERVAL_MS = 100
"""Between two checks of whether a call to the store is necessary."""

OUTAGE_SILENCE_MS = 2_000
"""Without updates for longer than this, rows may have expired in an outage."""

STORE_RETRY_MS = 2_000
"""An instance whose last call to the store failed, but that receives relays, calls
again after this time, which is the shortest drain time that users require: it must
know that it reaches the store before the relays stop."""


class TableFollower:
    """Reads a table once as a snapshot and then follows its changes.

    A reader polls the store for changes and relays them. The other instances apply
    the relays, and call the store only if a relay is missing or none arrives.

    Parameters
    ----------
    store : Store
        The store that holds the table.
    table : str
        Its name.
    on_rows : callable
        Called with `Rows` and whether they are a snapshot of the table.
    clock, log : Clock, Log
        Time source, and the log of failures and recoveries of the store.
    wait_ms : int
        How long a call to the store may wait for a change.
    pause_ms : int
        Pause between an answer and the next call.
    max_silence_ms : int
        Time without relays after which this instance calls the store itself.
    max_timeout_ms : int
        Longest time-out of a call that doesn't wait for a change. After one without
        an answer in time the next has twice as long, as the store may be slow for
        everybody.
    carries_rows : bool
        Whether relays contain the changed rows; for tables with large rows they
        only announce that there are changes.
    content_of : callable
        Returns the content of a `Row` that is relevant to receivers: a row that is
        rewritten with the same content is not relayed. A `Failure` stands for a row
        that can't be read, which is relayed without its bytes.
    is_reader : callable
        Returns whether this instance reads the table for the others.
    send : callable
        Called with the relays to send to all other instances.
    next_recovery : callable
        Returns an event that is set when the store answers some call of this instance
        after leaving one without an answer. It ends the pause after a failed call, and
        a call in progress is sent again, as its connection may be silent.
    on_recovered : callable
        Called when updates arrive again after an outage, before they are passed
        to ``on_rows``. Failed calls are no outage if relays arrive meanwhile: the
        store then refuses this instance, but serves others.
    on_read : callable
        Called after each answer of the store with the time of the call, as of which
        the table is known.

    Attributes
    ----------
    last_failure_ms : int or None
        Time of the last failed call; None if the last call succeeded.
    last_gap_ms : int or None
        Time between the last two updates, by which changes may have been unknown here;
        None before the second.
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
        max_timeout_ms: int = CALL_TIMEOUT_MS,
        carries_rows: bool,
        content_of: Callable[[Row], object] = lambda row: row,
        is_reader: Callable[[], bool] = lambda: True,
        send: Callable[[list[Relay]], None] = lambda relays: None,
        next_recovery: Callable[[], asyncio.Event] = asyncio.Event,
        on_recovered: Callable[[], None] = lambda: None,
        on_read: Callable[[int], None] = lambda started_ms: None,
    ):
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._clock = clock
        self._log = log
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._max_silence_ms = max_silence_ms
        self._max_timeout_ms = max_timeout_ms
        self._timeout_ms = CALL_TIMEOUT_MS
        self._carries_rows = carries_rows
        self._content_of = content_of
        self._content_by_key: dict[str, object] = {}
        self._is_reader = is_reader
        self._send = send
        self._next_recovery = next_recovery
        self._on_recovered = on_recovered
        self._on_read = on_read
        self._must_read = False
        self._version: int | None = None
        self._first_era: int | None = None
        self._last_era = 0
        self._announced_version = 0
        self._backoff_ms = MIN_BACKOFF_MS
        self._last_update_ms: int | None = None
        self._has_relays_since_failure = False
        self._last_relay_ms = 0
        self._relays_resumed = asyncio.Event()
        self.last_failure_ms: int | None = None
        self.last_gap_ms: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.must_query_store():
                await self._pause(await self.poll_store())
            else:
                await self._clock.sleep_ms(IDLE_CHECK_INTERVAL_MS)

    def must_query_store(self) -> bool:
        """Return whether this instance has to call the store itself now."""
        if self._version is None or self._last_update_ms is None:
            return True
        if self._must_read and self.last_failure_ms is None:
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

    def read_soon(self) -> None:
        """Call the store soon, whatever relays say."""
        self._must_read = True

    async def poll_store(self) -> int:
        """Make one call; return the pause before the next one in milliseconds."""
        self._must_read = False
        previous_version = self._version
        started_ms = self._clock.now_ms()
        self._relays_resumed.clear()
        if previous_version is None:
            wait_ms, timeout_ms = 0, self._timeout_ms
            answer = await self._call(
                lambda: self._store.read_table(self._table, timeout_ms=timeout_ms)
            )
        else:
            # After a failure the store's return is the news: a call that waited for a
            # change and was lost would hide it for that time too.
            waits = self._is_reader() and self.last_failure_ms is None
            wait_ms = self._wait_ms if waits else 0
            # A call that may wait for a change has that time for a slow answer, too.
            timeout_ms = CALL_TIMEOUT_MS if wait_ms else self._timeout_ms
            answer = await self._call(
                lambda: self._store.read_changes(
                    self._table, previous_version, wait_ms, timeout_ms
                )
            )
        if isinstance(answer, Failure):
            took_ms = self._clock.now_ms() - started_ms
            pause_ms = max(0, self._record_failure(answer) - took_ms)
            self._log.event(
                "table_read_failed",
                table=self._table,
                version=self._version,
                announced_version=self._announced_version,
                wait_ms=wait_ms,
                timeout_ms=timeout_ms,
                took_ms=took_ms,
                retry_ms=pause_ms,
                error=str(answer),
            )
            return pause_ms
        if self._clock.now_ms() - started_ms < CALL_TIMEOUT_MS / 2:
            self._timeout_ms = CALL_TIMEOUT_MS
        self._record_answer()
        is_snapshot = previous_version is None
        self._record_era(era_of(answer.store_version))
        self._version = max(answer.store_version, self._version or 0)
        changed = self._find_changed_rows(answer, is_snapshot)
        if is_snapshot or answer.rows:
            self._on_rows(answer, is_snapshot)
        self._on_read(started_ms)
        if previous_version is not None and self._is_reader():
            self._send_relays(previous_version, answer, changed)
        return self._pause_ms

    async def _pause(self, pause_ms: int) -> None:
        """Wait for the next call; after a failure, news of the store end the wait."""
        if self.last_failure_ms is None:
            # A call that was in progress when a read was asked for may not count.
            await self._clock.sleep_ms(0 if self._must_read else pause_ms)
            return
        events = (self._next_recovery(), self._relays_resumed)
        waits = [asyncio.ensure_future(event.wait()) for event in events]
        await asyncio.wait(
            waits, timeout=pause_ms / 1000, return_when=asyncio.FIRST_COMPLETED
        )
        for wait in waits:
            wait.cancel()

    async def _call(
        self, call: Callable[[], Awaitable[Rows | Failure]]
    ) -> Rows | Failure:
        """Call the store, once more if it recovers before the answer.

        The second call is not repeated: at a slow store recoveries may be frequent.
        """
        first_call = asyncio.ensure_future(call())
        recovery = asyncio.ensure_future(self._next_recovery().wait())
        try:
            await asyncio.wait(
                {first_call, recovery}, return_when=asyncio.FIRST_COMPLETED
            )
            if first_call.done():
                return first_call.result()
        finally:
            first_call.cancel()
            recovery.cancel()
        self._log.event("table_read_repeated", table=self._table, version=self._version)
        return await call()

    def handle_relay(self, relay: Relay) -> None:
        """Apply a relay from a reader."""
        if self._version is None or self._is_active_reader():
            return
        era = self._era_of_relay(relay)
        if era is None or era < era_of(self._version):
            return
        relay = relay.join_versions(era)
        self._record_relay()
        # The last own read predates the relay and no longer shows which rows of the
        # next read are unchanged.
        self._content_by_key.clear()
        if relay.since > self._version or (relay.has_more and relay.until):
            # Changes are missing or too large to be relayed: the store is called for
            # them. The relayed rows are applied meanwhile, as that call may fail.
            self._announced_version = max(self._announced_version, relay.until)
            if relay.rows:
                self._on_rows(Rows(relay.decode_rows(), relay.until), False)
            return
        self._record_update(self._is_silent())
        self._has_relays_since_failure = True
        # The store answers other instances, so that a long backoff is not needed.
        self._backoff_ms = MIN_BACKOFF_MS
        if relay.until <= self._version:
            return
        self._version = relay.until
        if relay.rows:
            self._on_rows(Rows(relay.decode_rows(), relay.until), False)

    def _era_of_relay(self, relay: Relay) -> int | None:
        """Return the era of a relay's versions, None if it can't be known.

        Instances that know of no eras send none. Until this instance has seen the era
        change, they read the same history.
        """
        if relay.era or self._version is None:
            return relay.era
        era = era_of(self._version)
        return era if era == self._first_era else None

    def _record_relay(self) -> None:
        """End the pause after a failed call at the first relay after a silence.

        The link that was cut may carry calls to the store again, too.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_relay_ms > OUTAGE_SILENCE_MS:
            self._relays_resumed.set()
        self._last_relay_ms = now_ms

    def _is_active_reader(self) -> bool:
        return self._is_reader() and self.last_failure_ms is None

    def _find_changed_rows(self, answer: Rows, is_snapshot: bool) -> list[Row]:
        """Return the rows that differ from this follower's own last read.

        Rows received in relays are not compared: a relay that reached this instance
        may have been lost on its way to another one.
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
                changed.append(_without_unreadable_value(row, content))
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
        """Return the least time from the failed call's start to the next one."""
        if failure.reason is Reason.CONFLICT:
            self._log.event(
                "table_history_lost", table=self._table, version=self._version
            )
            self._version = None
            return 0
        if (
            failure.reason is Reason.TIMEOUT
            and failure.delivery is not Delivery.NOT_SENT
        ):
            self._timeout_ms = min(2 * self._timeout_ms, self._max_timeout_ms)
        now_ms = self._clock.now_ms()
        if self.last_failure_ms is None:
            self._log.event(
                "dependency_lost",
                dependency="store",
                table=self._table,
                version=self._version,
                error=str(failure),
            )
            self._has_relays_since_failure = False
        self.last_failure_ms = now_ms
        backoff_ms = self._backoff_ms
        self._backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)
        return backoff_ms

    def _record_answer(self) -> None:
        self._backoff_ms = MIN_BACKOFF_MS
        is_recovered = self._is_silent()
        if self.last_failure_ms is not None:
            is_recovered |= not self._has_relays_since_failure
            self._log.event(
                "dependency_regained",
                dependency="store",
                table=self._table,
                version=self._version,
            )
            self.last_failure_ms = None
        self._record_update(is_recovered)

    def _record_update(self, is_recovered: bool) -> None:
        if is_recovered:
            self._on_recovered()
        now_ms = self._clock.now_ms()
        if self._last_update_ms is not None:
            self.last_gap_ms = now_ms - self._last_update_ms
        self._last_update_ms = now_ms

    def _record_era(self, era: int) -> None:
        """Count a store that lost writes as recovered: rows may be missing or old."""
        if self._first_era is None:
            self._first_era = self._last_era = era
        if era > self._last_era:
            self._last_era = era
            self._on_recovered()

    def _is_silent(self) -> bool:
        """Return whether no update has arrived for `OUTAGE_SILENCE_MS`."""
        last_ms = self._last_update_ms
        return (
            last_ms is not None and self._clock.now_ms() - last_ms > OUTAGE_SILENCE_MS
        )


def _without_unreadable_value(row: Row, content: object) -> Row:
    """Return the row to relay.

    The value of one that can't be read may be larger than a datagram, and is to tell
    receivers nothing but that.
    """
    return Row(row.key, b"", row.row_version) if isinstance(content, Failure) else row
