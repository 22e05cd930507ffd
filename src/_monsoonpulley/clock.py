"""Clocks: monotonic and wall time as ``int`` milliseconds."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class Clock:
    """Source of time in milliseconds, passed to all code that reads time.

    Parameters
    ----------
    monotonic_s : callable
        Returns monotonic seconds.
    wall_offset_ms : int
        Added to monotonic milliseconds to get milliseconds since the Unix
        epoch.
    """

    def __init__(self, monotonic_s: Callable[[], float], wall_offset_ms: int = 0):
        self._monotonic_s = monotonic_s
        self._wall_offset_ms = wall_offset_ms

    @classmethod
    def from_system(cls) -> Clock:
        """Return a clock of the machine's time.

        It includes time while the machine is suspended: a lease or a share of a
        quota that expired meanwhile must not look valid. Wall time is read only
        once, so that later steps of the system time have no effect.
        """
        offset_ms = round((time.time() - _boot_s()) * 1000)
        return cls(_boot_s, offset_ms)

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return round(self._monotonic_s() * 1000)

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return self.now_ms() + self._wall_offset_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep on the running loop for ``duration_ms``."""
        await asyncio.sleep(duration_ms / 1000)


def _boot_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only by `advance_ms`, for tests of pure decisions."""

    def __init__(self, now_ms: int = 0, wall_offset_ms: int = 0):
        super().__init__(lambda: self._now_ms / 1000, wall_offset_ms)
        self._now_ms = now_ms

    def now_ms(self) -> int:
        """Return the manual time in milliseconds."""
        return self._now_ms

    def advance_ms(self, duration_ms: int) -> None:
        """Move forward by ``duration_ms``.

        Raises
        ------
        ValueError
            If ``duration_ms`` is negative.
        """
        if duration_ms < 0:
            raise ValueError(f"the clock can't move back by {-duration_ms} ms")
        self._now_ms += duration_ms
