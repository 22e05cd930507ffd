"""Streams whose caller disconnected, kept in memory so that they can be continued."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from ..ids import RequestId
from .streamstate import StreamState


class DetachedLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the streams that one instance keeps.

    Attributes
    ----------
    max_count : int
        Largest number of streams.
    max_bytes : int
        Largest size of all streams together.
    retention_ms : int
        How long a stream can be continued after its caller disconnected.
    """

    max_count: int = 512
    max_bytes: int = 16 * 1024 * 1024
    retention_ms: int = 120_000


class _Entry(msgspec.Struct, frozen=True):
    state: StreamState
    size_bytes: int


class DetachedStreams:
    """Detached streams by request id; beyond a limit the oldest are evicted."""

    def __init__(self, limits: DetachedLimits):
        self._limits = limits
        self._entries: OrderedDict[RequestId, _Entry] = OrderedDict()
        self._size_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, state: StreamState, wall_ms: int) -> None:
        """Add or replace a stream; its retention time starts now."""
        self._remove_entry(state.request_id)
        expires_wall_ms = wall_ms + self._limits.retention_ms
        state = msgspec.structs.replace(state, expires_wall_ms=expires_wall_ms)
        entry = _Entry(state, state.size_bytes())
        self._entries[state.request_id] = entry
        self._size_bytes += entry.size_bytes
        self._evict(wall_ms)

    def find(self, request_id: RequestId, wall_ms: int) -> StreamState | None:
        """Return the stream of a request, or ``None`` if it is not kept."""
        self._evict(wall_ms)
        entry = self._entries.get(request_id)
        return entry.state if entry else None

    def remove(self, request_id: RequestId) -> None:
        """Remove a stream, if it is kept."""
        self._remove_entry(request_id)

    def list_streams(self, wall_ms: int) -> list[StreamState]:
        """Return all kept streams, the oldest first."""
        self._evict(wall_ms)
        return [entry.state for entry in self._entries.values()]

    def _evict(self, wall_ms: int) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if not self._must_evict(oldest, wall_ms):
                return
            self._remove_entry(oldest.state.request_id)

    def _must_evict(self, entry: _Entry, wall_ms: int) -> bool:
        return (
            wall_ms >= entry.state.expires_wall_ms
            or len(self._entries) > self._limits.max_count
            or self._size_bytes > self._limits.max_bytes
        )

    def _remove_entry(self, request_id: RequestId) -> None:
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            self._size_bytes -= entry.size_bytes
