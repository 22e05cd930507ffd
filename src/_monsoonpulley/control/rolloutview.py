"""Rollout rows and trips that one entry instance has read or received."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from ..config.document import Document
from ..ids import ServiceId, VersionId
from .rolloutrows import WITH_TRAFFIC, RolloutRow, RolloutState, TripRow

VersionKey = tuple[ServiceId, VersionId]
OnTrip = Callable[[TripRow], None]


class KnownRow(msgspec.Struct, frozen=True):
    """A row and the table revision at which it was read."""

    row: RolloutRow
    revision: int


class RolloutView:
    """Rows and trips that this entry instance knows.

    Parameters
    ----------
    document : callable
        Returns the configuration in force, ``None`` before the first one.
    """

    def __init__(self, document: Callable[[], Document | None]):
        self._document = document
        self._known_rows: dict[VersionKey, KnownRow] = {}
        self._trips: dict[tuple[ServiceId, VersionId, int], TripRow] = {}
        self._on_trip: list[OnTrip] = []

    def on_trip(self, callback: OnTrip) -> None:
        """Call ``callback`` once with each new trip."""
        self._on_trip.append(callback)

    def rows(self) -> list[RolloutRow]:
        """Return the rows of all versions, sorted by service and version."""
        return [self._known_rows[key].row for key in sorted(self._known_rows)]

    def row(self, service: ServiceId, version: VersionId) -> RolloutRow | None:
        """Return a version's row, ``None`` if none was read."""
        known = self._known_rows.get((service, version))
        return known.row if known else None

    def apply_row(self, row: RolloutRow, revision: int) -> RolloutRow | None:
        """Store a row; return the previous one if this one is newer.

        For the first row of a version that row is returned with an empty token. A
        row that isn't newer is ignored and ``None`` returned.
        """
        key = (row.service, row.version)
        known = self._known_rows.get(key)
        if known is not None and known.revision >= revision:
            return None
        self._known_rows[key] = KnownRow(row, revision)
        return known.row if known else msgspec.structs.replace(row, token="")

    def add_trip(self, trip: TripRow) -> bool:
        """Stop a version's traffic in this instance; return whether the trip is new."""
        key = (trip.service, trip.version, trip.attempt)
        if key in self._trips:
            return False
        self._trips[key] = trip
        for callback in self._on_trip:
            callback(trip)
        return True

    def trip_of(self, row: RolloutRow) -> TripRow | None:
        """Return the trip of a version's current attempt, ``None`` if there is none."""
        return self._trips.get((row.service, row.version, row.attempt))

    def active_row(self, service: ServiceId, wall_ms: int) -> RolloutRow | None:
        """Return the row of the version that may get traffic beside the base.

        A version with a trip gets none, and one that wasn't read as done gets none
        past its deadline: a change that this instance couldn't read is not assumed
        to be an advance.
        """
        for row in self._ordered_rows(service):
            if row.state not in WITH_TRAFFIC or self.trip_of(row) is not None:
                continue
            if wall_ms < row.deadline_wall_ms:
                return row
        return None

    def base_versions(self, service: ServiceId) -> tuple[VersionId, ...]:
        """Return the base versions, which have all traffic without a rollout."""
        document = self._document()
        if document is None:
            return ()
        return find_base_versions(document, service, self._ordered_rows(service))

    def _ordered_rows(self, service: ServiceId) -> list[RolloutRow]:
        """Return the rows of a service's versions that are still ordered."""
        document = self._document()
        if document is None:
            return []
        ordered = [
            self.row(service, version.version)
            for version in document.versions
            if version.service == service and version.deadline_wall_ms is not None
        ]
        return [row for row in ordered if row is not None]


def find_base_versions(
    document: Document, service: ServiceId, rows: Iterable[RolloutRow]
) -> tuple[VersionId, ...]:
    """Return the version that was done last, else those without a deadline."""
    done = [row for row in rows if row.state is RolloutState.DONE]
    if done:
        newest = max(done, key=lambda row: (row.since_wall_ms, row.version))
        return (newest.version,)
    return tuple(
        version.version
        for version in document.versions
        if version.service == service and version.deadline_wall_ms is None
    )
