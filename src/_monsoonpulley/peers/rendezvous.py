"""Rendezvous hashing: everyone who knows the same nodes chooses the same ones."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weight(node: str, key: str) -> int:
    """Return the weight of ``node`` for ``key``; the highest weights win."""
    return xxhash.xxh3_64_intdigest(f"{node}\0{key}".encode())


def choose_nodes(nodes: Iterable[str], key: str, count: int = 1) -> list[str]:
    """Return the ``count`` nodes of the highest weight, best first."""
    return sorted(nodes, key=lambda node: weight(node, key), reverse=True)[:count]
