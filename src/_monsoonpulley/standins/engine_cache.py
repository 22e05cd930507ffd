"""Prefix cache of an engine stand-in and its late events with gaps."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

from ..endpoints.engine import CacheEvent, CacheEventKind


class PrefixCache:
    """Block hashes in limited memory; the least recently used go first."""

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_blocks(self, hashes: Sequence[int]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        self._touch(hashes[:count])
        return count

    def store(self, hashes: Sequence[int]) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Store a chain of blocks; return blocks newly stored and removed."""
        kept = hashes[: self._max_blocks]
        stored = tuple(block for block in kept if block not in self._blocks)
        self._touch(kept)
        removed = []
        while len(self._blocks) > self._max_blocks:
            block, _ = self._blocks.popitem(last=False)
            removed.append(block)
        return stored, tuple(removed)

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()

    def _touch(self, hashes: Sequence[int]) -> None:
        # From the tail, so that a chain loses its last block first.
        for block in reversed(hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)


class CacheEventFeed:
    """Numbers events, delays them and loses some.

    Parameters
    ----------
    rng : random.Random
        Draws delays and losses.
    delay_ms : int
        Longest delay before an event can be seen.
    drop_probability : float
        Share of events that are never seen; their numbers are missing.
    kept : int
        Events that can still be asked for.
    """

    def __init__(
        self, rng: random.Random, delay_ms: int, drop_probability: float, kept: int
    ):
        self._rng = rng
        self._delay_ms = delay_ms
        self._drop_probability = drop_probability
        self._events: deque[tuple[int, CacheEvent]] = deque(maxlen=kept)
        self._visible_at_ms = 0
        self.last_seq = 0

    def add(
        self, kind: CacheEventKind, blocks: tuple[int, ...], now_ms: int
    ) -> CacheEvent:
        """Give an event of now its number; it may be lost on its way."""
        self.last_seq += 1
        event = CacheEvent(self.last_seq, kind, blocks)
        visible_ms = now_ms + self._rng.randint(0, self._delay_ms)
        self._visible_at_ms = max(self._visible_at_ms, visible_ms)
        if self._rng.random() >= self._drop_probability:
            self._events.append((self._visible_at_ms, event))
        return event

    def after(self, seq: int, now_ms: int) -> tuple[CacheEvent, ...]:
        """Return the kept events after ``seq`` that can be seen by now."""
        return tuple(
            event
            for visible_at_ms, event in self._events
            if event.seq > seq and visible_at_ms <= now_ms
        )
