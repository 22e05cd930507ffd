"""Log lines to standard output without ever blocking on it."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable

LINES_PER_S = 400
"""Bound on the lines of one instance: over twice the requests that the smallest
machines of the users carry at their peak, at two lines each."""

BURST_LINES = 1_200
"""Three seconds' worth: callers' bursts last about so long."""

QUEUE_BYTES = 262_144
"""Lines that wait for a reader that is slow; about 1,000."""

FLUSH_MS = 50
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
    dropped : int
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
        self._allowance = float(BURST_LINES)
        self._allowed_ms = now_ms()
        self._reported = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Queue one line, which has no end of line."""
        data = line.rstrip("\n").encode() + b"\n"
        if not self._allows(len(data)):
            self.dropped += 1
            self._on_dropped()
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_MS / 1000, self._on_timer)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        self._report_dropped()
        while self._queue:
            data = b"".join(self._queue)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: there is nowhere to report it.
                written = len(data)
            self._queue.clear()
            self._queued_bytes = len(data) - written
            if written < len(data):
                self._queue.append(data[written:])
                return

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._queue:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_MS / 1000, self._on_timer)

    def _allows(self, size_bytes: int) -> bool:
        now_ms = self._now_ms()
        gained = (now_ms - self._allowed_ms) * LINES_PER_S / 1000
        self._allowed_ms = now_ms
        self._allowance = min(BURST_LINES, self._allowance + gained)
        if self._allowance < 1 or self._queued_bytes + size_bytes > QUEUE_BYTES:
            return False
        self._allowance -= 1
        return True

    def _report_dropped(self) -> None:
        if self.dropped == self._reported:
            return
        count = self.dropped - self._reported
        self._reported = self.dropped
        data = b'{"event":"log_lines_dropped","count":%d}\n' % count
        self._queue.append(data)
        self._queued_bytes += len(data)
