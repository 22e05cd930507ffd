"""Prefix cache of an engine stand-in, and its delayed and lossy events."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

from ..endpoints.engine import CacheEvent, CacheEventKind


class PrefixCache:
    """Cache of block hashes of limited size with least-recently-used eviction."""

    def __init__(self, max_blocks: int):
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def count_cached_blocks(self, hashes: Sequence[int]) -> int:
        """Return the number of leading cached blocks, and mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        self._mark_used(hashes[:count])
        return count

    def store(self, hashes: Sequence[int]) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Store a chain of blocks; return the added and the evicted blocks."""
        kept = hashes[: self._max_blocks]
        stored = tuple(block for block in kept if block not in self._blocks)
        self._mark_used(kept)
        removed = []
        while len(self._blocks) > self._max_blocks:
            block, _ = self._blocks.popitem(last=False)
            removed.append(block)
        return stored, tuple(removed)

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()

    def _mark_used(self, hashes: Sequence[int]) -> None:
        # The tail is marked first, so that eviction shortens a chain from its end.
        for block in reversed(hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)


class CacheEventFeed:
    """Numbers cache events, delays them and drops some.

    Parameters
    ----------
    rng : random.Random
        Source of delays and losses.
    delay_ms : int
        Longest delay before an event becomes visible.
    drop_probability : float
        Probability that an event is lost, which leaves a gap in the numbers.
    max_events : int
        Number of newest events kept for readers.
    """

    def __init__(
        self,
        rng: random.Random,
        delay_ms: int,
        drop_probability: float,
        max_events: int,
    ):
        self._rng = rng
        self._delay_ms = delay_ms
        self._drop_probability = drop_probability
        self._events: deque[tuple[int, CacheEvent]] = deque(maxlen=max_events)
        self._visible_at_ms = 0
        self.last_seq = 0

    def add(
        self, kind: CacheEventKind, blocks: tuple[int, ...], now_ms: int
    ) -> CacheEvent:
        """Add an event that happens now under the next number, unless it is dropped."""
        self.last_seq += 1
        event = CacheEvent(self.last_seq, kind, blocks)
        visible_ms = now_ms + self._rng.randint(0, self._delay_ms)
        self._visible_at_ms = max(self._visible_at_ms, visible_ms)
        if self._rng.random() >= self._drop_probability:
            self._events.append((self._visible_at_ms, event))
        return event

    def events_after(self, seq: int, now_ms: int) -> tuple[CacheEvent, ...]:
        """Return the kept events after ``seq`` that are visible by now."""
        return tuple(
            event
            for visible_at_ms, event in self._events
            if event.seq > seq and visible_at_ms <= now_ms
        )
