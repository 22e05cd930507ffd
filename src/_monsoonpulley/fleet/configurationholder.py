"""The configuration in force on this instance."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..errors import Failure, describe_error
from ..observability.log import Log
from ..platform.configuration import decode_configuration
from ..platform.names import CONFIGURATION_KEY
from ..platform.store import Row, Rows
from .model import Configuration


class ConfigurationHolder:
    """The newest valid configuration; older and equal versions are ignored.

    Parameters
    ----------
    clock, log : Clock, Log
        Time source, and the log of each change.
    on_change : callable
        Called with each `Configuration` that comes into force.
    on_other_row : callable
        Called with each other `Row` of the operators' table.

    Attributes
    ----------
    current : Configuration or None
        None until the first valid version arrives.
    in_force_since_ms : int or None
        Clock time at which ``current`` came into force here.
    """

    def __init__(
        self,
        clock: Clock,
        log: Log,
        on_change: Callable[[Configuration], None],
        on_other_row: Callable[[Row], None] = lambda row: None,
    ):
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._on_other_row = on_other_row
        self.current: Configuration | None = None
        self.in_force_since_ms: int | None = None

    def apply(self, rows: Rows, is_snapshot: bool) -> None:
        """Apply changed rows of the operators' table, or a snapshot of it."""
        for row in rows.rows:
            try:
                self._apply_row(row)
            except Exception as error:
                # The other rows hold.
                self._log.event(
                    "operator_row_failed", row=row.key, error=describe_error(error)
                )

    def _apply_row(self, row: Row) -> None:
        if row.key != CONFIGURATION_KEY:
            self._on_other_row(row)
        elif row.value is not None:
            self._apply_value(row.value, row.row_version)

    def _apply_value(self, value: bytes, row_version: int) -> None:
        decoded = decode_configuration(value)
        if isinstance(decoded, Failure):
            self._log.event(
                "configuration_refused", error=str(decoded), row_version=row_version
            )
            return
        previous = self.current.version if self.current else None
        if previous is not None and decoded.version <= previous:
            return
        self.current = decoded
        self.in_force_since_ms = self._clock.now_ms()
        self._log.event(
            "configuration_in_force",
            version=decoded.version,
            previous=previous,
            row_version=row_version,
            hosts=len(decoded.routes_by_host),
            services=len(decoded.services),
            customers=len(decoded.customers),
        )
        self._on_change(decoded)
