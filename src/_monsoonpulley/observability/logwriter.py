"""Log lines to standard output without ever blocking on it."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable

MAX_LINES_PER_S = 400
"""Bound on the lines of one instance: over twice the requests that the smallest
machines of the users carry at their peak, at two lines each."""

MAX_BURST_LINES = 1_200
"""Three seconds' worth: callers' bursts last about so long."""

MAX_QUEUED_BYTES = 262_144
"""Lines that wait for a reader that is slow; about 1,000."""

FLUSH_INTERVAL_MS = 50
"""Lines of one flush go out in one write."""


class LogWriter:
    """Writes lines to a file descriptor, drops what is beyond the bounds.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking.
    now_ms : callable
        Returns monotonic milliseconds.
    on_dropped : callable
        Called once for each line that is dropped.

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
        """Queue one line, which has no end of line."""
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
        """Write what the descriptor takes now."""
        self._report_dropped()
        while self._queue:
            data = b"".join(self._queue)
            try:
                written_bytes = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: there is nowhere to report it.
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
