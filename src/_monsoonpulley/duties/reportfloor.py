"""The first window for which a missing row means that it was not reported."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..errors import MALFORMED_ERRORS, Failure
from ..external.table import ABSENT_REVISION, Conflict, Table, Write

FLOOR_PREFIX = "usage-floor/"


class _FloorRow(msgspec.Struct, frozen=True):
    """Row of one era, written once by the first holder of the duty in it."""

    first_window: int


class ReportFloor:
    """The first window that can't have been reported with counts that the table lost.

    A table that has come back from an older copy lacks the counts of the last reports.
    Only instances that were running then know of it, so that the first holder of the
    duty in each era of the table stores from which window on a missing row means that
    nothing was reported.

    Parameters
    ----------
    table : Table
        Holds one row for each era.
    table_era : callable
        Returns the era of the table, None before its first answer.
    current_window : callable
        Returns the window in progress.

    Attributes
    ----------
    window : int or None
        The first such window; None until it is agreed on in the current era.
    """

    def __init__(
        self,
        table: Table,
        table_era: Callable[[], int | None],
        current_window: Callable[[], int],
    ):
        self._table = table
        self._table_era = table_era
        self._current_window = current_window
        self._era: int | None = None
        self._first_seen_window = 0
        self.window: int | None = None
        self.observe_era()

    def observe_era(self) -> None:
        """Note the window in which this instance first heard of the current era."""
        era = self._table_era()
        if era is not None and era != self._era:
            self._era = era
            self._first_seen_window = self._current_window()
            self.window = None

    async def agree(self, first_unreported: int | None) -> Failure | None:
        """Store the floor of the current era, or read the one that another stored.

        Parameters
        ----------
        first_unreported : int or None
            The first window of which this instance knows that neither it nor any later
            one was reported; None if it doesn't know.

        Returns
        -------
        Failure or None
            None if `window` is set, or if the era has changed meanwhile.
        """
        self.observe_era()
        if self.window is not None or self._era is None:
            return None
        proposed = self._first_seen_window
        if first_unreported is not None:
            proposed = min(proposed, first_unreported)
        key = f"{FLOOR_PREFIX}{self._era:015d}"
        value = msgspec.json.encode(_FloorRow(proposed))
        result = await self._table.commit([Write(key, value, ABSENT_REVISION)])
        if isinstance(result, Failure):
            return result
        if isinstance(result, Conflict):
            proposed = self._stored_window(key, result)
        self.window = proposed
        # It is for another era if that has changed with the answer.
        self.observe_era()
        return None

    def _stored_window(self, key: str, conflict: Conflict) -> int:
        """Return the stored floor; if it can't be read, what this instance knows."""
        row = conflict.current.get(key)
        if row is not None:
            try:
                return msgspec.json.decode(row.value, type=_FloorRow).first_window
            except MALFORMED_ERRORS:
                pass
        return self._first_seen_window
