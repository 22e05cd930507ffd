"""Reads how orders from before the start of this process have ended."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..platform.rollouts import RolloutOrder
from .rollouts import Phase, Rollouts
from .statusrows import RolloutStatusRows

CHECK_INTERVAL_MS = 500
"""Interval of checks for orders whose status has not been read."""

PEER_WAIT_MS = 5_000
"""Time after which an instance reads a status whose order's phase no other instance
has sent it."""


class RolloutStatusReader:
    """Reads the status row of each order once, when the order is first seen.

    Until then the new version gets no traffic: it may have been rolled back. Only the
    instances that may hold the duties next read at once; the others receive the phase
    from them.

    Parameters
    ----------
    rollouts : Rollouts
        The orders.
    status_rows : RolloutStatusRows
        Reads the rows.
    clock : Clock
        Time source.
    is_next_holder : callable
        Returns whether this instance holds the duties or may hold them next.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        status_rows: RolloutStatusRows,
        clock: Clock,
        is_next_holder: Callable[[], bool],
    ):
        self._is_next_holder = is_next_holder
        self._rollouts = rollouts
        self._status_rows = status_rows
        self._clock = clock
        self._read_row_versions: set[int] = set()

    def is_status_read(self, order: RolloutOrder) -> bool:
        """Return whether the order's status has been read."""
        return order.row_version in self._read_row_versions

    async def run(self) -> None:
        """Read the status of new orders until cancelled."""
        while True:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            await self.read_due_statuses()

    async def read_due_statuses(self) -> None:
        """Read each status that this instance needs now and has not read."""
        for order in self._rollouts.orders():
            if self._is_due(order):
                await self.read_status(order)

    def _is_due(self, order: RolloutOrder) -> bool:
        if self.is_status_read(order):
            return False
        if self._is_next_holder():
            return True
        elapsed_ms, _ = self._rollouts.elapsed_times_ms(order)
        is_held = self._rollouts.phase(order) is Phase.HELD
        return is_held and elapsed_ms >= PEER_WAIT_MS

    async def read_status(self, order: RolloutOrder) -> None:
        """Read the status row of an order, and end the order here if it has ended."""
        if await self._status_rows.read(order):
            self._read_row_versions.add(order.row_version)
