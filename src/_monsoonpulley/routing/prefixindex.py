"""Which workers have which prompt prefixes cached, from their cache events.

Events come late and with gaps. Memory is bounded for each worker and in all:
beyond the bound the blocks stored longest ago are forgotten, as an engine
evicts them. With many workers only every ``stride``-th hash is kept. A chained
hash stands for its whole prefix, so that shortens a match by about
``stride`` blocks and makes no wrong ones.
"""

from __future__ import annotations

from collections.abc import Container, Sequence

import xxhash

from ..endpoints.engine import CacheEvent, CacheEventKind
from ..ids import EndpointId

BLOCK_TOKENS = 16
MAX_BLOCKS_PER_WORKER = 8_192
MAX_BLOCKS_TOTAL = 200_000
MIN_REACH_BLOCKS = 2_048
MAX_STRIDE = 16
STALE_TRUST = 0.5


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


class WorkerPart:
    """The blocks of one worker.

    Attributes
    ----------
    blocks : dict
        Block hash to the epoch it was last stored in; oldest first.
    epoch : int
        Rises with each gap; blocks of earlier epochs are trusted less.
    last_seq : int
        Newest event taken in.
    gap_seq : int or None
        Last event before the first gap not yet filled.
    """

    __slots__ = ("blocks", "epoch", "gap_seq", "last_seq")

    def __init__(self) -> None:
        self.blocks: dict[int, int] = {}
        self.epoch = 0
        self.last_seq = 0
        self.gap_seq: int | None = None

    def heal(self) -> None:
        """Trust all blocks again."""
        self.gap_seq = None
        for block in self.blocks:
            self.blocks[block] = self.epoch


class PrefixIndex:
    """Blocks by worker and workers by block.

    Parameters
    ----------
    max_blocks_per_worker, max_blocks : int
        Bounds on the blocks kept for each worker and in all.

    Attributes
    ----------
    stride : int
        Only hashes divisible by it are kept; doubled as workers come, so
        that each worker's part still reaches `MIN_REACH_BLOCKS` blocks.
    """

    def __init__(
        self,
        max_blocks_per_worker: int = MAX_BLOCKS_PER_WORKER,
        max_blocks: int = MAX_BLOCKS_TOTAL,
    ):
        self.stride = 1
        self._max_per_worker = max_blocks_per_worker
        self._max_total = max_blocks
        self._bound = max_blocks_per_worker
        self._parts: dict[EndpointId, WorkerPart] = {}
        self._holders: dict[int, tuple[EndpointId, ...]] = {}
        self._kept: tuple[Sequence[int], int, Sequence[int]] = ((), 1, ())

    def _part(self, worker: EndpointId) -> WorkerPart:
        """Return a worker's part; a new one shrinks the bound of all."""
        part = self._parts.get(worker)
        if part is None:
            part = self._parts[worker] = WorkerPart()
            self._shrink()
        return part

    def _shrink(self) -> None:
        """Keep the total within its bound for the present workers."""
        share = max(1, self._max_total // len(self._parts))
        bound = min(self._max_per_worker, share)
        reach = min(MIN_REACH_BLOCKS, self._max_per_worker)
        stride = self.stride
        while stride < MAX_STRIDE and bound * stride < reach:
            stride *= 2
        if bound >= self._bound and stride == self.stride:
            return
        self._bound = min(bound, self._bound)
        self.stride = stride
        for worker, part in self._parts.items():
            for block in [b for b in part.blocks if b % stride]:
                self._remove(worker, part, block)
            while len(part.blocks) > self._bound:
                self._remove(worker, part, next(iter(part.blocks)))

    def _positions(self, blocks: Sequence[int]) -> Sequence[int]:
        """Return the positions of the blocks that the index would keep.

        The last answer is remembered, since a decision asks for many workers.
        """
        last_blocks, last_stride, last_positions = self._kept
        if last_blocks is blocks and last_stride == self.stride:
            return last_positions
        stride = self.stride
        if stride == 1:
            positions: Sequence[int] = range(len(blocks))
        else:
            mask = stride - 1
            positions = [i for i, block in enumerate(blocks) if not block & mask]
        self._kept = (blocks, stride, positions)
        return positions

    def apply(self, worker: EndpointId, events: Sequence[CacheEvent]) -> bool:
        """Take in events; return whether the worker's part wants a resync.

        A resync is asking for the events after `resync_seq` once more and
        giving them to `apply`, or `resync` with the whole cache.
        """
        if not events:
            return self.is_stale(worker)
        part = self._parts.get(worker)
        if part is None:
            part = self._part(worker)
            part.last_seq = events[0].seq - 1
        elif events[0].seq == 1 and events[-1].seq < part.last_seq:
            self.forget(worker)
            part = self._part(worker)
        fills_gap = _fills_gap(part, events)
        for event in events:
            if event.seq <= part.last_seq and not fills_gap:
                continue
            if event.seq > part.last_seq + 1 and part.last_seq:
                part.gap_seq = part.last_seq if part.gap_seq is None else part.gap_seq
                part.epoch += 1
            part.last_seq = max(part.last_seq, event.seq)
            self._apply_one(worker, part, event)
        if fills_gap:
            part.heal()
        return part.gap_seq is not None

    def _apply_one(
        self, worker: EndpointId, part: WorkerPart, event: CacheEvent
    ) -> None:
        if event.kind is CacheEventKind.CLEARED:
            self._clear(worker, part)
            part.gap_seq = None
            return
        if event.kind is CacheEventKind.REMOVED:
            for block in event.blocks:
                self._remove(worker, part, block)
            return
        self._store_all(worker, part, event.blocks)

    def _store_all(
        self, worker: EndpointId, part: WorkerPart, blocks: Sequence[int]
    ) -> None:
        """Store a chain, its end first: what is oldest is forgotten first."""
        for block in reversed(blocks):
            self._store(worker, part, block)

    def _store(self, worker: EndpointId, part: WorkerPart, block: int) -> None:
        if block % self.stride:
            return
        if block in part.blocks:
            del part.blocks[block]
        elif len(part.blocks) >= self._bound:
            self._remove(worker, part, next(iter(part.blocks)))
        part.blocks[block] = part.epoch
        holders = self._holders.get(block, ())
        if worker not in holders:
            self._holders[block] = (*holders, worker)

    def _remove(self, worker: EndpointId, part: WorkerPart, block: int) -> None:
        if block not in part.blocks:
            return
        del part.blocks[block]
        holders = self._holders[block]
        if len(holders) == 1:
            del self._holders[block]
            return
        self._holders[block] = tuple(name for name in holders if name != worker)

    def _clear(self, worker: EndpointId, part: WorkerPart) -> None:
        for block in list(part.blocks):
            self._remove(worker, part, block)

    def resync(self, worker: EndpointId, blocks: Sequence[int], seq: int) -> None:
        """Replace a worker's part by its whole cache as of event ``seq``."""
        self.forget(worker)
        part = self._part(worker)
        part.last_seq = seq
        self._store_all(worker, part, blocks)

    def expect(self, worker: EndpointId, blocks: Sequence[int]) -> None:
        """Count the blocks of a request just sent, ahead of its late events."""
        part = self._part(worker)
        self._store_all(worker, part, blocks[: self._max_per_worker])

    def forget(self, worker: EndpointId) -> None:
        """Drop a worker's part."""
        part = self._parts.pop(worker, None)
        if part is not None:
            self._clear(worker, part)

    def resync_seq(self, worker: EndpointId) -> int:
        """Return the event after which to ask for events."""
        part = self._parts.get(worker)
        if part is None:
            return 0
        return part.last_seq if part.gap_seq is None else part.gap_seq

    def last_seq(self, worker: EndpointId) -> int:
        """Return the newest event taken in, 0 for none."""
        part = self._parts.get(worker)
        return part.last_seq if part else 0

    def is_stale(self, worker: EndpointId) -> bool:
        """Return whether events of the worker were missed."""
        part = self._parts.get(worker)
        return part is not None and part.gap_seq is not None

    def cached_tokens(self, worker: EndpointId, blocks: Sequence[int]) -> int:
        """Return how many tokens of the prefix the worker is taken to hold.

        A chained hash stands for its whole prefix, so the depth is found by
        bisection; what was stored before a gap counts by `STALE_TRUST`.
        """
        part = self._parts.get(worker)
        if part is None or not part.blocks:
            return 0
        positions = self._positions(blocks)
        depth = _depth(blocks, positions, part.blocks)
        if not depth:
            return 0
        last = positions[depth - 1]
        tokens = (last + 1) * BLOCK_TOKENS
        if part.blocks[blocks[last]] == part.epoch:
            return tokens
        return int(tokens * STALE_TRUST)

    def holders(self, blocks: Sequence[int], limit: int) -> list[EndpointId]:
        """Return up to ``limit`` workers that hold the longest prefixes."""
        positions = self._positions(blocks)
        depth = _depth(blocks, positions, self._holders)
        found: dict[EndpointId, None] = {}
        while depth and len(found) < limit:
            for worker in self._holders.get(blocks[positions[depth - 1]], ()):
                found[worker] = None
                if len(found) >= limit:
                    break
            depth //= 2
        return list(found)

    def block_count(self) -> int:
        """Return how many blocks are kept, over all workers."""
        return sum(len(part.blocks) for part in self._parts.values())


def _fills_gap(part: WorkerPart, events: Sequence[CacheEvent]) -> bool:
    """Return whether the events run from the gap to the newest, unbroken."""
    if part.gap_seq is None or events[0].seq != part.gap_seq + 1:
        return False
    unbroken = events[-1].seq - events[0].seq == len(events) - 1
    return unbroken and events[-1].seq >= part.last_seq


def _depth(
    blocks: Sequence[int], positions: Sequence[int], held: Container[int]
) -> int:
    """Return how many of the kept blocks are held from the first on."""
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
