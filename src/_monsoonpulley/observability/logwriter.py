"""Non-blocking output of log lines."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable

MAX_LINES_PER_S = 400
"""Limit on the lines of one instance: over twice what the users' smallest machines
need at their peak, at two lines for each request."""

MAX_BURST_LINES = 1_200
"""Three seconds at the limit, about as long as callers' bursts last."""

MAX_QUEUED_BYTES = 262_144
"""Bytes of lines that wait for a slow reader, about 1,000 lines."""

FLUSH_INTERVAL_MS = 50
"""Lines queued within this interval go out in one write."""


class LogWriter:
    """Writes lines to a file descriptor and drops those beyond the limits.

    Parameters
    ----------
    descriptor : int
        Where to write; the writer makes it non-blocking.
    now_ms : callable
        Returns monotonic milliseconds.
    on_dropped : callable
        Called for each dropped line.

    Attributes
    ----------
    dropped_count : int
        Lines dropped so far.
    """

    def __init__(
        self,
        descriptor: int,
        now_ms: Callable[[], int],
        on_dropped: Callable[[], None] = lambda: None,
    ):
        self._descriptor = descriptor
        self._now_ms = now_ms
        self._on_dropped = on_dropped
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._available_lines = float(MAX_BURST_LINES)
        self._refilled_ms = now_ms()
        self._reported_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Queue one line, given without a line end."""
        data = line.rstrip("\n").encode() + b"\n"
        if not self._try_acquire(len(data)):
            self.dropped_count += 1
            self._on_dropped()
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_INTERVAL_MS / 1000, self._on_timer)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        self._report_dropped()
        while self._queue:
            data = b"".join(self._queue)
            try:
                written_bytes = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so there is nowhere to report it.
                written_bytes = len(data)
            self._queue.clear()
            self._queued_bytes = len(data) - written_bytes
            if written_bytes < len(data):
                self._queue.append(data[written_bytes:])
                return

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._queue:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_INTERVAL_MS / 1000, self._on_timer)

    def _try_acquire(self, size_bytes: int) -> bool:
        now_ms = self._now_ms()
        refilled_lines = (now_ms - self._refilled_ms) * MAX_LINES_PER_S / 1000
        self._refilled_ms = now_ms
        self._available_lines = min(
            MAX_BURST_LINES, self._available_lines + refilled_lines
        )
        if (
            self._available_lines < 1
            or self._queued_bytes + size_bytes > MAX_QUEUED_BYTES
        ):
            return False
        self._available_lines -= 1
        return True

    def _report_dropped(self) -> None:
        if self.dropped_count == self._reported_count:
            return
        count = self.dropped_count - self._reported_count
        self._reported_count = self.dropped_count
        data = b'{"event":"log_lines_dropped","count":%d}\n' % count
        self._queue.append(data)
        self._queued_bytes += len(data)
