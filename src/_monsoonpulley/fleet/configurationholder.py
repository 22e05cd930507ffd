"""The configuration in force on this instance."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..errors import Failure
from ..observability.log import Log
from ..platform.configuration import decode_configuration
from ..platform.names import CONFIGURATION_KEY
from ..platform.store import Row, Rows
from .model import Configuration


class ConfigurationHolder:
    """Takes newer versions into force; never goes back to an older one.

    Parameters
    ----------
    clock, log : Clock, Log
        Time, and where each change is noted.
    on_change : callable
        Takes the `Configuration` that has come into force.
    on_other_row : callable
        Takes each other `Row` of the operators' table.

    Attributes
    ----------
    current : Configuration or None
        None until one is known.
    in_force_since_ms : int or None
        When it came into force here.
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
        """Take in changed rows of the operators' table, or all of them."""
        for row in rows.rows:
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
