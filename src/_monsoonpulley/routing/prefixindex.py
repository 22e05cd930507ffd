"""Index of the prompt prefixes that endpoints have cached, from cache events.

Events arrive late and with gaps. Memory is bounded for each endpoint and in total:
beyond the bound the least recently stored blocks are evicted, as an engine does.
With many endpoints only about every ``stride``-th hash is kept. A chained hash
identifies its whole prefix, so this shortens a match by about ``stride`` blocks
but causes no false match.
"""

from __future__ import annotations

from collections.abc import Container, Sequence

import xxhash

from ..endpoints.engine import CacheEvent, CacheEventKind
from ..ids import EndpointId

BLOCK_TOKENS = 16
MAX_BLOCKS_PER_ENDPOINT = 8_192
MAX_BLOCKS_TOTAL = 200_000
MIN_COVERED_BLOCKS = 2_048
"""The stride is doubled until an endpoint's bound covers this many blocks."""
MAX_STRIDE = 16
STALE_WEIGHT = 0.5
"""Share counted of a match that was stored before a gap in the events."""


def block_hashes(tokens: Sequence[int]) -> tuple[int, ...]:
    """Return the chained xxhash64 of each whole block of 16 tokens."""
    hashes = []
    parent = 0
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = tokens[start : start + BLOCK_TOKENS]
        data = b"".join(token.to_bytes(4, "little") for token in block)
        parent = xxhash.xxh64_intdigest(data, seed=parent)
        hashes.append(parent)
    return tuple(hashes)


class EndpointCache:
    """The cached blocks of one endpoint.

    Attributes
    ----------
    blocks : dict
        Block hash to the epoch it was last stored in; oldest first.
    epoch : int
        Incremented by each gap; blocks of earlier epochs are trusted less.
    last_seq : int
        Sequence number of the newest event applied.
    gap_seq : int or None
        Last event before the first gap that is not yet filled.
    """

    __slots__ = ("blocks", "epoch", "gap_seq", "last_seq")

    def __init__(self) -> None:
        self.blocks: dict[int, int] = {}
        self.epoch = 0
        self.last_seq = 0
        self.gap_seq: int | None = None

    def restore_trust(self) -> None:
        """Clear the gap and trust all blocks again."""
        self.gap_seq = None
        for block in self.blocks:
            self.blocks[block] = self.epoch


class PrefixIndex:
    """Blocks by endpoint and endpoints by block.

    Parameters
    ----------
    max_blocks_per_endpoint, max_blocks : int
        Maximum blocks kept for each endpoint and in total.

    Attributes
    ----------
    stride : int
        Only hashes divisible by it are kept; doubled as endpoints are added, so
        that the blocks kept of each still cover `MIN_COVERED_BLOCKS` blocks.
    """

    def __init__(
        self,
        max_blocks_per_endpoint: int = MAX_BLOCKS_PER_ENDPOINT,
        max_blocks: int = MAX_BLOCKS_TOTAL,
    ):
        self.stride = 1
        self._max_per_endpoint = max_blocks_per_endpoint
        self._max_total = max_blocks
        self._bound = max_blocks_per_endpoint
        self._caches: dict[EndpointId, EndpointCache] = {}
        self._holders: dict[int, tuple[EndpointId, ...]] = {}
        self._last_positions: tuple[Sequence[int], int, Sequence[int]] = ((), 1, ())

    def _cache(self, endpoint: EndpointId) -> EndpointCache:
        """Return an endpoint's cache; a new one lowers the bound of all."""
        cache = self._caches.get(endpoint)
        if cache is None:
            cache = self._caches[endpoint] = EndpointCache()
            self._shrink_to_bound()
        return cache

    def _shrink_to_bound(self) -> None:
        """Adjust bound and stride to the number of endpoints; evict the excess."""
        share = max(1, self._max_total // len(self._caches))
        bound = min(self._max_per_endpoint, share)
        min_covered = min(MIN_COVERED_BLOCKS, self._max_per_endpoint)
        stride = self.stride
        while stride < MAX_STRIDE and bound * stride < min_covered:
            stride *= 2
        if bound >= self._bound and stride == self.stride:
            return
        self._bound = min(bound, self._bound)
        self.stride = stride
        for endpoint, cache in self._caches.items():
            for block in [b for b in cache.blocks if b % stride]:
                self._remove(endpoint, cache, block)
            while len(cache.blocks) > self._bound:
                self._remove(endpoint, cache, next(iter(cache.blocks)))

    def _positions(self, blocks: Sequence[int]) -> Sequence[int]:
        """Return the positions of the blocks that the index would keep.

        The last result is cached, since a decision looks up many endpoints.
        """
        last_blocks, last_stride, last_positions = self._last_positions
        if last_blocks is blocks and last_stride == self.stride:
            return last_positions
        stride = self.stride
        if stride == 1:
            positions: Sequence[int] = range(len(blocks))
        else:
            mask = stride - 1
            positions = [i for i, block in enumerate(blocks) if not block & mask]
        self._last_positions = (blocks, stride, positions)
        return positions

    def apply_events(self, endpoint: EndpointId, events: Sequence[CacheEvent]) -> bool:
        """Apply events; return whether the endpoint needs a resync.

        To resync, request the events after `resync_seq` again and apply them, or
        call `resync` with the whole cache.
        """
        if not events:
            return self.has_gap(endpoint)
        cache = self._caches.get(endpoint)
        if cache is None:
            cache = self._cache(endpoint)
            cache.last_seq = events[0].seq - 1
        elif events[0].seq == 1 and events[-1].seq < cache.last_seq:
            self.remove_endpoint(endpoint)
            cache = self._cache(endpoint)
        fills_gap = _fills_gap(cache, events)
        for event in events:
            if event.seq <= cache.last_seq and not fills_gap:
                continue
            if event.seq > cache.last_seq + 1 and cache.last_seq:
                cache.gap_seq = (
                    cache.last_seq if cache.gap_seq is None else cache.gap_seq
                )
                cache.epoch += 1
            cache.last_seq = max(cache.last_seq, event.seq)
            self._apply_event(endpoint, cache, event)
        if fills_gap:
            cache.restore_trust()
        return cache.gap_seq is not None

    def _apply_event(
        self, endpoint: EndpointId, cache: EndpointCache, event: CacheEvent
    ) -> None:
        if event.kind is CacheEventKind.CLEARED:
            self._clear(endpoint, cache)
            cache.gap_seq = None
            return
        if event.kind is CacheEventKind.REMOVED:
            for block in event.blocks:
                self._remove(endpoint, cache, block)
            return
        self._store_chain(endpoint, cache, event.blocks)

    def _store_chain(
        self, endpoint: EndpointId, cache: EndpointCache, blocks: Sequence[int]
    ) -> None:
        """Store a chain from its end, so that its end is evicted first."""
        for block in reversed(blocks):
            self._store(endpoint, cache, block)

    def _store(self, endpoint: EndpointId, cache: EndpointCache, block: int) -> None:
        if block % self.stride:
            return
        if block in cache.blocks:
            del cache.blocks[block]
        elif len(cache.blocks) >= self._bound:
            self._remove(endpoint, cache, next(iter(cache.blocks)))
        cache.blocks[block] = cache.epoch
        holders = self._holders.get(block, ())
        if endpoint not in holders:
            self._holders[block] = (*holders, endpoint)

    def _remove(self, endpoint: EndpointId, cache: EndpointCache, block: int) -> None:
        if block not in cache.blocks:
            return
        del cache.blocks[block]
        holders = self._holders[block]
        if len(holders) == 1:
            del self._holders[block]
            return
        self._holders[block] = tuple(name for name in holders if name != endpoint)

    def _clear(self, endpoint: EndpointId, cache: EndpointCache) -> None:
        for block in list(cache.blocks):
            self._remove(endpoint, cache, block)

    def resync(self, endpoint: EndpointId, blocks: Sequence[int], seq: int) -> None:
        """Replace an endpoint's blocks by its whole cache as of event ``seq``."""
        self.remove_endpoint(endpoint)
        cache = self._cache(endpoint)
        cache.last_seq = seq
        self._store_chain(endpoint, cache, blocks)

    def add_expected(self, endpoint: EndpointId, blocks: Sequence[int]) -> None:
        """Add the blocks of a request just sent, before its events arrive."""
        cache = self._cache(endpoint)
        self._store_chain(endpoint, cache, blocks[: self._max_per_endpoint])

    def remove_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint and its blocks."""
        cache = self._caches.pop(endpoint, None)
        if cache is not None:
            self._clear(endpoint, cache)

    def resync_seq(self, endpoint: EndpointId) -> int:
        """Return the event after which to request events for a resync."""
        cache = self._caches.get(endpoint)
        if cache is None:
            return 0
        return cache.last_seq if cache.gap_seq is None else cache.gap_seq

    def last_seq(self, endpoint: EndpointId) -> int:
        """Return the newest event applied, 0 for none."""
        cache = self._caches.get(endpoint)
        return cache.last_seq if cache else 0

    def has_gap(self, endpoint: EndpointId) -> bool:
        """Return whether events of the endpoint are missing."""
        cache = self._caches.get(endpoint)
        return cache is not None and cache.gap_seq is not None

    def cached_tokens(self, endpoint: EndpointId, blocks: Sequence[int]) -> int:
        """Return how many tokens of the prefix the endpoint is assumed to hold.

        A chained hash identifies its whole prefix, so the depth is found by
        bisection. A match stored before a gap is weighted by `STALE_WEIGHT`.
        """
        cache = self._caches.get(endpoint)
        if cache is None or not cache.blocks:
            return 0
        positions = self._positions(blocks)
        depth = _match_depth(blocks, positions, cache.blocks)
        if not depth:
            return 0
        last = positions[depth - 1]
        tokens = (last + 1) * BLOCK_TOKENS
        if cache.blocks[blocks[last]] == cache.epoch:
            return tokens
        return int(tokens * STALE_WEIGHT)

    def holders(self, blocks: Sequence[int], limit: int) -> list[EndpointId]:
        """Return up to ``limit`` endpoints that hold the longest prefixes."""
        positions = self._positions(blocks)
        depth = _match_depth(blocks, positions, self._holders)
        found: dict[EndpointId, None] = {}
        while depth and len(found) < limit:
            for endpoint in self._holders.get(blocks[positions[depth - 1]], ()):
                found[endpoint] = None
                if len(found) >= limit:
                    break
            depth //= 2
        return list(found)

    def block_count(self) -> int:
        """Return how many blocks are kept, over all endpoints."""
        return sum(len(cache.blocks) for cache in self._caches.values())


def _fills_gap(cache: EndpointCache, events: Sequence[CacheEvent]) -> bool:
    """Return whether the events run unbroken from the gap to the newest one."""
    if cache.gap_seq is None or events[0].seq != cache.gap_seq + 1:
        return False
    unbroken = events[-1].seq - events[0].seq == len(events) - 1
    return unbroken and events[-1].seq >= cache.last_seq


def _match_depth(
    blocks: Sequence[int], positions: Sequence[int], held: Container[int]
) -> int:
    """Return how many consecutive kept blocks, from the first on, are held."""
    if not positions or blocks[positions[0]] not in held:
        return 0
    low, high = 1, len(positions)
    while low < high:
        middle = (low + high + 1) // 2
        if blocks[positions[middle - 1]] in held:
            low = middle
        else:
            high = middle - 1
    return low
