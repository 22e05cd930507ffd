"""What readers of a table tell the other instances."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..platform.store import Row

MAX_RELAY_BYTES = 1_100
"""Of rows in one datagram: with its head it stays within one Ethernet frame."""


class RelayedRow(msgspec.Struct, array_like=True, frozen=True):
    """A row; ``value`` is None if it was removed."""

    key: str
    value: bytes | None
    row_version: int


class Relay(msgspec.Struct, array_like=True, frozen=True, tag="relay"):
    """All that changed in a table between two versions of the store.

    Attributes
    ----------
    table : str
        Its name.
    since, until : int
        Store versions; what changed after the first and up to the second.
    rows : tuple of RelayedRow
        The changed rows, without those that change nothing for readers.
    has_more : bool
        Whether there are changes that ``rows`` doesn't hold.
    """

    table: str
    since: int
    until: int
    rows: tuple[RelayedRow, ...] = ()
    has_more: bool = False

    def decode_rows(self) -> tuple[Row, ...]:
        """Return the rows as the store's client gives them."""
        return tuple(Row(r.key, r.value, r.row_version) for r in self.rows)


def build_relays(
    table: str, since: int, until: int, rows: Sequence[Row], has_more: bool
) -> list[Relay]:
    """Return the relays for changes, none larger than a datagram should be.

    A relay that is lost leaves a gap in versions, which its receivers see.
    """
    relays: list[Relay] = []
    batch: list[RelayedRow] = []
    batch_bytes = 0
    for row in sorted(rows, key=lambda row: row.row_version):
        row_bytes = len(row.key) + len(row.value or b"")
        if batch and batch_bytes + row_bytes > MAX_RELAY_BYTES:
            batch_end = batch[-1].row_version
            relays.append(Relay(table, since, batch_end, tuple(batch)))
            since, batch, batch_bytes = batch_end, [], 0
        batch.append(RelayedRow(row.key, row.value, row.row_version))
        batch_bytes += row_bytes
    relays.append(Relay(table, since, until, tuple(batch), has_more))
    return relays
