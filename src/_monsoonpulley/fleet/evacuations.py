"""Data centres to whose endpoints nothing is sent, by the operators' rows.

Every instance decides by itself, from the newest version of each row that it knows.
What it reads of the table is authoritative; other instances can only tell it of rows
that are newer than what it has read.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from ..clock import Clock
from ..ids import ZoneId
from ..observability.log import Log
from ..platform.names import EVACUATION_PREFIX
from ..platform.store import Row, Rows
from ..platform.storeversion import era_of, wire_version
from .model import Endpoint

MIN_RETURN_SHARE = 0.5
"""Share of the requests that may use a data centre as soon as its evacuation ends. With
less, requests wait at full endpoints while others are idle; with more, instances that
don't hear of each other yet send too many to the idle ones. A simulation of both is
``testing.placing.returnplay``."""


class _Zone(msgspec.Struct):
    """What is known of one data centre.

    Attributes
    ----------
    version : int
        Version of the row, of its removal, or of the snapshot that lacks it.
    held_version : int or None
        Version of a snapshot from an older copy of the store that lacks the row.
    held_ms : int
        When that snapshot was read.
    ended_ms : int or None
        When the last evacuation ended here; None if there was none, or it lasts.
    """

    version: int = 0
    is_evacuated: bool = False
    held_version: int | None = None
    held_ms: int = 0
    ended_ms: int | None = None


class Evacuations:
    """Which data centres are evacuated, and which take traffic back.

    Parameters
    ----------
    clock, log : Clock, Log
        Time source, and the log of each begin and end.
    evacuation_ms : float
        Time within which all instances must comply with a row. It bounds, too, how
        long instances differ about the end, and how long an evacuation is kept whose
        row a store from an older copy lacks.

    Attributes
    ----------
    zones : frozenset of ZoneId
        The evacuated data centres.
    on_end : callable
        Called with the data centre and the store version at which its evacuation was
        over, also if it was short enough that this instance never knew of it.
    """

    def __init__(self, clock: Clock, log: Log, evacuation_ms: float):
        self._clock = clock
        self._log = log
        self._evacuation_ms = evacuation_ms
        self._states: dict[ZoneId, _Zone] = {}
        self._read_version = 0
        self._returning: frozenset[ZoneId] = frozenset()
        self.zones: frozenset[ZoneId] = frozenset()
        self.on_end: Callable[[ZoneId, int], None] = lambda zone, store_version: None

    def set_evacuation_ms(self, evacuation_ms: float) -> None:
        """Set the time within which all instances must comply with a row."""
        self._evacuation_ms = evacuation_ms

    def apply(
        self, rows: Rows, is_snapshot: bool, unread_ms: int | None = None
    ) -> None:
        """Apply changed rows of the operators' table, or a snapshot of it.

        Parameters
        ----------
        rows : Rows
            Rows of any kind.
        is_snapshot : bool
            Whether these are all rows of the table.
        unread_ms : int or None
            Time between this read of the table and the one before; None if there was
            none.
        """
        if is_snapshot:
            self._apply_missing(rows, unread_ms)
        for row in rows.rows:
            zone = ZoneId(row.key.removeprefix(EVACUATION_PREFIX))
            if row.key.startswith(EVACUATION_PREFIX) and zone:
                self._apply_row(zone, row, "its row was read", unread_ms)
        self._read_version = max(self._read_version, rows.store_version)

    def record_peer(self, versions: Mapping[str, int]) -> None:
        """Record rows that another instance has read, by data centre.

        Those that this instance would have read itself are ignored: they may have been
        removed since.
        """
        for name, version in versions.items():
            if version > self._read_version:
                row = Row(EVACUATION_PREFIX + name, b"", version)
                self._apply_row(ZoneId(name), row, "another instance says so", None)

    def notices(self, era: int) -> dict[str, int]:
        """Return the rows' versions on the wire by data centre, for the digest.

        It is 0 for a row from before the era, of which others can't be told.
        """
        versions = {zone: self._states[zone].version for zone in self.zones}
        return {
            zone: wire_version(version) if era_of(version) == era else 0
            for zone, version in versions.items()
        }

    def expire(self) -> None:
        """End what was kept for an older copy of the store, and finished returns."""
        now_ms = self._clock.now_ms()
        for zone in self.zones:
            state = self._states[zone]
            held_version = state.held_version
            if held_version is None or now_ms - state.held_ms < self._evacuation_ms:
                continue
            self._end(zone, held_version, "its row was not written again", None)
        self._returning = frozenset(
            zone for zone in self._returning if self._return_share(zone) < 1
        )

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Return whether nothing may be sent to the endpoints of a data centre."""
        return zone in self.zones

    def ended_ms(self, zone: ZoneId) -> int | None:
        """Return when the last evacuation ended here, None if none has."""
        state = self._states.get(zone)
        return None if state is None else state.ended_ms

    @property
    def ended_zones(self) -> frozenset[ZoneId]:
        """The data centres that were evacuated before and aren't now."""
        return frozenset(
            zone for zone, state in self._states.items() if not state.is_evacuated
        )

    def open_endpoints(self, endpoints: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Return the endpoints that are not in evacuated data centres."""
        if not self.zones:
            return endpoints
        return tuple(e for e in endpoints if e.zone not in self.zones)

    @property
    def is_returning(self) -> bool:
        """Whether an evacuation ended so lately that its traffic still returns."""
        return bool(self._returning)

    def is_deferred(self, zone: ZoneId, draw: float) -> bool:
        """Return whether a request is to use other data centres if it can.

        The load addressed is that of many instances that all see the same idle
        endpoints at once.

        Parameters
        ----------
        zone : ZoneId
            The data centre.
        draw : float
            Random number of the request, from 0 to 1.
        """
        return zone in self._returning and draw >= self._return_share(zone)

    def _return_share(self, zone: ZoneId) -> float:
        ended_ms = self._states[zone].ended_ms
        if ended_ms is None:
            return 1.0
        elapsed_ms = self._clock.now_ms() - ended_ms
        risen = elapsed_ms / max(1.0, self._evacuation_ms)
        return MIN_RETURN_SHARE + (1.0 - MIN_RETURN_SHARE) * risen

    def _apply_missing(self, rows: Rows, unread_ms: int | None) -> None:
        """End the evacuations whose rows are not in a snapshot.

        An older copy of the store may lack a row that was acknowledged and that the
        operator is about to write again, so that its evacuation is kept for a while.
        """
        present_keys = {row.key for row in rows.rows}
        era = era_of(rows.store_version)
        for zone in self.zones:
            state = self._states[zone]
            if (
                EVACUATION_PREFIX + zone in present_keys
                or state.version > rows.store_version
            ):
                continue
            if era == era_of(state.version):
                self._end(zone, rows.store_version, "its row is gone", unread_ms)
            elif state.held_version is None or era > era_of(state.held_version):
                state.held_version = rows.store_version
                state.held_ms = self._clock.now_ms()
                self._log.event(
                    "evacuation_kept",
                    zone=zone,
                    row_version=state.version,
                    store_version=rows.store_version,
                    why="the store came back from an older copy without its row",
                )

    def _apply_row(
        self, zone: ZoneId, row: Row, reason: str, unread_ms: int | None
    ) -> None:
        state = self._states.setdefault(zone, _Zone())
        if row.row_version <= state.version:
            return
        if row.value is None:
            self._end(zone, row.row_version, "its row was removed", unread_ms)
            return
        state.version = row.row_version
        state.held_version = None
        if state.is_evacuated:
            return
        state.is_evacuated = True
        state.ended_ms = None
        self.zones |= {zone}
        self._returning -= {zone}
        self._log.event(
            "evacuation_begins",
            zone=zone,
            row_version=row.row_version,
            unread_ms=unread_ms,
            why=reason,
        )

    def _end(
        self, zone: ZoneId, version: int, reason: str, unread_ms: int | None
    ) -> None:
        state = self._states[zone]
        was_known = state.is_evacuated
        self._states[zone] = _Zone(version, ended_ms=self._clock.now_ms())
        self.zones -= {zone}
        self._returning |= {zone}
        self._log.event(
            "evacuation_ends",
            zone=zone,
            row_version=state.version,
            ended_version=version,
            was_known=was_known,
            unread_ms=unread_ms,
            why=reason,
        )
        self.on_end(zone, version)
