"""Stores roll-backs at once, whichever instance decides them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..platform.rollouts import RolloutOrder, RolloutStatus
from .rollouts import Phase, Rollouts
from .statusrows import RolloutStatusRows

RETRY_INTERVAL_MS = 500
"""Interval of attempts to store a roll-back, as that of the duties."""


class RollbackRecorder:
    """Writes the status of orders that were rolled back.

    The holder of the duties may be frozen or unreachable, and completes a version
    that the others have rolled back unless the store says so. The instance whose own
    result shows the fault writes it; for an instance that doesn't reach the store
    those write that read the store for all others.

    Parameters
    ----------
    rollouts : Rollouts
        The orders.
    status_rows : RolloutStatusRows
        Writes the rows.
    is_reader : callable
        Returns whether this instance reads the store for the others.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        status_rows: RolloutStatusRows,
        is_reader: Callable[[], bool],
    ):
        self._rollouts = rollouts
        self._status_rows = status_rows
        self._is_reader = is_reader
        self._has_news = asyncio.Event()
        # A function: dry runs copy the orders, and would copy the object of a method.
        rollouts.on_rolled_back = lambda: self._has_news.set()

    async def run(self) -> None:
        """Record roll-backs until cancelled."""
        while True:
            try:
                async with asyncio.timeout(RETRY_INTERVAL_MS / 1000):
                    await self._has_news.wait()
            except TimeoutError:
                pass  # What failed, or became this instance's to write, is due now.
            self._has_news.clear()
            await self.record_due()

    async def record_due(self) -> None:
        """Write the roll-backs that are this instance's to write and aren't stored."""
        for order in self._rollouts.orders():
            if self._is_due(order):
                await self._status_rows.write(
                    order, RolloutStatus.ROLLED_BACK, "a fault of the version was found"
                )

    def _is_due(self, order: RolloutOrder) -> bool:
        if self._rollouts.phase(order) is not Phase.TAKEN_BACK:
            return False
        if self._status_rows.has_ended(order):
            return False
        return self._rollouts.was_rolled_back_here(order) or self._is_reader()
