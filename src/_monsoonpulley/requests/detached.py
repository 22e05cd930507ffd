"""Streams whose caller went away, kept for a while: pure state."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from ..ids import RequestId
from .streamstate import StreamState


class DetachedLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of what one instance keeps.

    Attributes
    ----------
    count : int
        Most streams.
    size_bytes : int
        Most bytes of all of them.
    keep_ms : int
        How long a stream can be continued.
    """

    count: int = 512
    size_bytes: int = 16 * 1024 * 1024
    keep_ms: int = 120_000


class _Kept(msgspec.Struct, frozen=True):
    state: StreamState
    size_bytes: int


class DetachedStreams:
    """Streams by request id; the oldest go first when a bound is reached."""

    def __init__(self, limits: DetachedLimits):
        self._limits = limits
        self._kept: OrderedDict[RequestId, _Kept] = OrderedDict()
        self._size_bytes = 0

    def __len__(self) -> int:
        return len(self._kept)

    def put(self, state: StreamState, wall_ms: int) -> None:
        """Keep a stream, from now on for the whole time."""
        self._drop(state.request_id)
        expires_wall_ms = wall_ms + self._limits.keep_ms
        state = msgspec.structs.replace(state, expires_wall_ms=expires_wall_ms)
        kept = _Kept(state, state.size_bytes())
        self._kept[state.request_id] = kept
        self._size_bytes += kept.size_bytes
        self._forget(wall_ms)

    def find(self, request_id: RequestId, wall_ms: int) -> StreamState | None:
        """Return a stream that is kept."""
        self._forget(wall_ms)
        kept = self._kept.get(request_id)
        return kept.state if kept else None

    def pop(self, request_id: RequestId) -> None:
        """Keep a stream no longer."""
        self._drop(request_id)

    def all(self, wall_ms: int) -> list[StreamState]:
        """Return all streams that are kept, the oldest first."""
        self._forget(wall_ms)
        return [kept.state for kept in self._kept.values()]

    def _forget(self, wall_ms: int) -> None:
        while self._kept:
            oldest = next(iter(self._kept.values()))
            if not self._is_over(oldest, wall_ms):
                return
            self._drop(oldest.state.request_id)

    def _is_over(self, kept: _Kept, wall_ms: int) -> bool:
        return (
            wall_ms >= kept.state.expires_wall_ms
            or len(self._kept) > self._limits.count
            or self._size_bytes > self._limits.size_bytes
        )

    def _drop(self, request_id: RequestId) -> None:
        kept = self._kept.pop(request_id, None)
        if kept is not None:
            self._size_bytes -= kept.size_bytes
