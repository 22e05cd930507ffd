"""Noticing that the events of a stream have stopped while its connection is open."""

from __future__ import annotations

import asyncio

from ..clock import Clock
from ..wire.clientconnection import ClientConnection
from ..wire.events import Mailbox, TimerExpired

CHECKS_PER_STALL = 4
"""Checks within the time after which a stream counts as stalled, so that it is noticed
within a quarter of the caller's remaining patience after it."""

MAX_CHECK_DELAY_MS = 250
"""A check that is later than this shows that the process stood still: what the endpoint
sent meanwhile may not have been read yet."""


STALL_TIMER = "stall"
"""Name of the timer of the checks."""


class StallWatch:
    """Looks at intervals whether a stream has stalled.

    Parameters
    ----------
    clock : Clock
        Time source.
    stall_ms : int
        Time without an event after which the stream counts as stalled.
    mailbox : Mailbox
        Gets a `TimerExpired` from this object whenever `check` is due.
    """

    def __init__(self, clock: Clock, stall_ms: int, mailbox: Mailbox):
        self._clock = clock
        self._stall_ms = stall_ms
        self._interval_ms = max(1, stall_ms // CHECKS_PER_STALL)
        self._mailbox = mailbox
        self._last_event_ms = 0
        self._due_ms = 0
        self._timer: asyncio.TimerHandle | None = None

    def record_event(self) -> None:
        """Record an event; the first one starts the checks."""
        self._last_event_ms = self._clock.now_ms()
        if self._timer is None:
            self._schedule()

    def check(self, connection: ClientConnection) -> bool:
        """Return whether the stream has stalled, and schedule the next check.

        Time in which the answer was not read, for its caller did not, doesn't count.
        """
        now_ms = self._clock.now_ms()
        is_late = now_ms - self._due_ms > MAX_CHECK_DELAY_MS
        self._schedule()
        reading_since_ms = connection.reading_since_ms
        if is_late or reading_since_ms is None:
            return False
        since_ms = max(self._last_event_ms, reading_since_ms)
        return now_ms - since_ms >= self._stall_ms

    def stop(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        self._due_ms = self._clock.now_ms() + self._interval_ms
        self._timer = asyncio.get_running_loop().call_later(
            self._interval_ms / 1000, self._mailbox.put, self, TimerExpired(STALL_TIMER)
        )
