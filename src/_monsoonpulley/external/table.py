"""Interface to the platform's transactional table service."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from ..errors import Failure

ABSENT_REVISION = 0
"""Revision of a key that has no row."""


class Row(msgspec.Struct, frozen=True):
    """One row; ``revision`` increases with each change of any row."""

    key: str
    value: bytes
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A conditional write of one row.

    Attributes
    ----------
    key : str
        Row to write.
    value : bytes or None
        New value; ``None`` deletes the row.
    expected_revision : int
        Revision the row must have, ``ABSENT_REVISION`` for no row.
    """

    key: str
    value: bytes | None
    expected_revision: int


class Committed(msgspec.Struct, frozen=True):
    """All writes took effect at ``revision``."""

    revision: int


class Conflict(msgspec.Struct, frozen=True):
    """No write took effect; ``current`` holds the current rows of the written keys.

    Keys without a row are missing from ``current``.
    """

    current: dict[str, Row]


class Table(Protocol):
    """Rows of bytes under string keys, with conditional transactions.

    Failures carry ``Reason.UNAVAILABLE`` when nothing took effect and
    ``Reason.IN_DOUBT`` when a commit may have taken effect or still may.
    """

    async def read(self, key: str) -> Row | Failure | None:
        """Return the row, or ``None`` if there is none."""
        ...

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> tuple[Row, ...] | Failure:
        """Return at most ``limit`` rows whose key starts with ``prefix``.

        They are in key order; only keys greater than ``after`` are returned.
        """
        ...

    async def commit(self, writes: Sequence[Write]) -> Committed | Conflict | Failure:
        """Apply all writes, or none if any expected revision does not hold."""
        ...
