"""Rendezvous hashing: all that know the same nodes choose the same ones."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weight(node: str, key: str) -> int:
    """Return the weight of ``node`` for ``key``; the highest is preferred."""
    return xxhash.xxh3_64_intdigest(f"{node}\0{key}".encode())


def choose_nodes(nodes: Iterable[str], key: str, count: int = 1) -> list[str]:
    """Return the ``count`` nodes with the highest weights, highest first."""
    return sorted(nodes, key=lambda node: weight(node, key), reverse=True)[:count]
