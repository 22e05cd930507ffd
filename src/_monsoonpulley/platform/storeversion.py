"""Versions of the store's rows that stay in order when the store loses writes.

The store may come back from an older copy. Its versions then go back and are given out
again, and its *era* rises by one. Inside the system a version is one number that
consists of the era and of the version on the wire, so that whatever is newer has the
higher one and nothing else compares eras.
"""

from __future__ import annotations

ERA_STRIDE = 1 << 40
"""More versions than a store gives out in one era: a thousand a second for 34 years."""


def join_version(era: int, wire_version: int) -> int:
    """Return the version of a row that has ``wire_version`` in an era."""
    return era * ERA_STRIDE + wire_version


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // ERA_STRIDE


def wire_version(version: int) -> int:
    """Return a version as the store has it."""
    return version % ERA_STRIDE
