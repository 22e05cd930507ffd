"""What an engine stand-in counts, for assertions of tests and measurements."""

from __future__ import annotations

from collections import Counter

import msgspec


class EngineCounters(msgspec.Struct):
    """Counters of one engine.

    Attributes
    ----------
    generated_tokens, prefilled_tokens, cached_tokens : int
        Tokens generated, prompt tokens computed, and prompt tokens for which
        the cache or an import spared that.
    recomputed_prompt_tokens : int
        Prompt tokens computed that some engine of the same `ComputedBlocks`
        had computed before; exact to a block.
    executions : Counter
        Per request id, how often it was started.
    starts_while_leaving : int
        Requests that arrived after the engine started to leave.
    """

    generated_tokens: int = 0
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    recomputed_prompt_tokens: int = 0
    executions: Counter[str] = msgspec.field(default_factory=Counter)
    starts_while_leaving: int = 0


class ComputedBlocks:
    """Blocks that any engine of a fleet has computed; shared by its engines."""

    def __init__(self) -> None:
        self._blocks: set[int] = set()

    def add(self, hashes: tuple[int, ...]) -> None:
        """Record that these blocks have been computed."""
        self._blocks.update(hashes)

    def count(self, hashes: tuple[int, ...], first: int) -> int:
        """Return how many blocks from index ``first`` on were computed before."""
        return sum(block in self._blocks for block in hashes[first:])
