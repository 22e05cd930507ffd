"""An event loop on manual time: waits take no real time and runs are repeatable."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from ..clock import Clock

T = TypeVar("T")

WALL_START_MS = 1_800_000_000_000
"""Wall time in Unix epoch milliseconds at which every manual run starts."""


class IdleError(RuntimeError):
    """Every task waits and no timer is set, so that none can ever continue."""


class _TimeSkippingSelector(selectors.DefaultSelector):
    """A selector that advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise IdleError("all tasks wait and no timer is set")
        if timeout > 0:
            self.now_s += timeout
        return ready


class ManualLoop(asyncio.SelectorEventLoop):
    """A loop whose time jumps to the next timer as soon as nothing is ready.

    Only for code without sockets: a wait for external input raises `IdleError`.
    """

    def __init__(self) -> None:
        self._skipping_selector = _TimeSkippingSelector()
        super().__init__(self._skipping_selector)
        # asyncio treats timers within one clock resolution as due. With a coarse
        # resolution, sub-millisecond timers would fire before their time.
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return the manual seconds since the loop was created."""
        return self._skipping_selector.now_s

    def clock(self) -> Clock:
        """Return a `Clock` that reads this loop's time."""
        return Clock(self.time, WALL_START_MS)


def run_manual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new `ManualLoop` and return its result.

    Like `asyncio.run`, it cancels the tasks that are left at the end.
    """
    with asyncio.Runner(loop_factory=ManualLoop) as runner:
        return runner.run(main)


def running_clock() -> Clock:
    """Return a clock on the running loop's time, or the system's if not manual."""
    loop = asyncio.get_running_loop()
    if isinstance(loop, ManualLoop):
        return loop.clock()
    return Clock.from_system()
