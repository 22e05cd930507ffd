"""Counters of an engine stand-in, for tests and benchmarks."""

from __future__ import annotations

from collections import Counter

import msgspec


class EngineCounters(msgspec.Struct):
    """Counters of one engine.

    Attributes
    ----------
    generated_tokens, prefilled_tokens, cached_tokens : int
        Generated tokens, prompt tokens computed, and prompt tokens taken from
        the cache or an import instead.
    recomputed_prompt_tokens : int
        Computed prompt tokens that an engine sharing the same `ComputedBlocks`
        had computed before; exact to a block.
    executions : Counter
        Number of starts by request id.
    starts_while_leaving : int
        Calls that arrived after the reclaim was announced.
    """

    generated_tokens: int = 0
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    recomputed_prompt_tokens: int = 0
    executions: Counter[str] = msgspec.field(default_factory=Counter)
    starts_while_leaving: int = 0


class ComputedBlocks:
    """Block hashes computed by any engine of a fleet; shared by its engines."""

    def __init__(self) -> None:
        self._blocks: set[int] = set()

    def add(self, hashes: tuple[int, ...]) -> None:
        """Record blocks as computed."""
        self._blocks.update(hashes)

    def count_computed(self, hashes: tuple[int, ...], start: int) -> int:
        """Return how many blocks from index ``start`` on were computed before."""
        return sum(block in self._blocks for block in hashes[start:])
