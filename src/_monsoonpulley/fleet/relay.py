"""Messages in which readers of a table relay its changes to other instances."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..platform.store import Row
from ..platform.storeversion import era_of, join_version, wire_version

MAX_RELAY_BYTES = 1_100
"""Limit on the rows in one datagram: it fits one Ethernet frame with its headers."""


class RelayedRow(msgspec.Struct, array_like=True, frozen=True):
    """A changed row; ``value`` is None if it was removed."""

    key: str
    value: bytes | None
    row_version: int


class Relay(msgspec.Struct, array_like=True, frozen=True, tag="relay"):
    """The changes of a table between two versions of the store.

    Attributes
    ----------
    table : str
        Name of the table.
    since, until : int
        Store versions: changes after ``since``, up to and including ``until``.
    rows : tuple of RelayedRow
        The changed rows, without those whose relevant content is unchanged.
    has_more : bool
        Whether there are changes that ``rows`` does not contain.
    must_forward : bool
        Whether the receiver sends it on within its data centre.
    era : int
        Era of all versions, which are those on the wire; 0 from instances that know of
        no eras.
    """

    table: str
    since: int
    until: int
    rows: tuple[RelayedRow, ...] = ()
    has_more: bool = False
    must_forward: bool = False
    era: int = 0

    def join_versions(self, era: int) -> Relay:
        """Return the relay with the versions that are used inside the system."""
        return msgspec.structs.replace(
            self,
            since=join_version(era, self.since),
            until=join_version(era, self.until),
            rows=tuple(
                msgspec.structs.replace(r, row_version=join_version(era, r.row_version))
                for r in self.rows
            ),
        )

    def decode_rows(self) -> tuple[Row, ...]:
        """Return the rows in the form that the store's client returns."""
        return tuple(Row(r.key, r.value, r.row_version) for r in self.rows)


def build_relays(
    table: str, since: int, until: int, rows: Sequence[Row], has_more: bool
) -> list[Relay]:
    """Return the relays for changes, each with at most `MAX_RELAY_BYTES` of rows.

    A row that is larger by itself is sent alone. Receivers detect a lost relay by
    the gap between the versions of the relays around it.
    """
    era = era_of(until)
    since, until = wire_version(since), wire_version(until)
    relays: list[Relay] = []
    batch: list[RelayedRow] = []
    batch_bytes = 0
    for row in sorted(rows, key=lambda row: row.row_version):
        row_bytes = len(row.key) + len(row.value or b"")
        if batch and batch_bytes + row_bytes > MAX_RELAY_BYTES:
            batch_end = batch[-1].row_version
            relays.append(Relay(table, since, batch_end, tuple(batch), era=era))
            since, batch, batch_bytes = batch_end, [], 0
        version = wire_version(row.row_version)
        batch.append(RelayedRow(row.key, row.value, version))
        batch_bytes += row_bytes
    relays.append(Relay(table, since, until, tuple(batch), has_more, era=era))
    return relays
