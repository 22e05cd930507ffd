"""Stand-in of the platform's object store, in memory."""

from __future__ import annotations

from random import Random

from ..clock import Clock
from ..errors import Failure, Reason
from ..ids import ZoneId
from .calls import DEFAULT_TIMEOUT_MS, PlatformConnection
from .faults import Faults


class ObjectStoreStandin:
    """Bytes by name; ``data`` holds them all, for assertions."""

    def __init__(self, clock: Clock, rng: Random, faults: Faults | None = None):
        self.faults = faults or Faults(rng)
        self.data: dict[str, bytes] = {}
        self._clock = clock

    def connect(
        self, peer: str, zone: ZoneId, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> ObjectStoreConnection:
        """Return the handle of one instance."""
        caller = PlatformConnection(self.faults, self._clock, peer, zone, timeout_ms)
        return ObjectStoreConnection(self, caller)

    def put(self, name: str, data: bytes) -> Failure | None:
        """Store now; a name that holds other bytes is a conflict."""
        if self.data.setdefault(name, data) != data:
            return Failure(
                Reason.CONFLICT, "objects.put", "platform", f"{name} holds other bytes"
            )
        return None

    def delete(self, name: str) -> None:
        """Remove now."""
        self.data.pop(name, None)


class ObjectStoreConnection:
    """A `platform.objects.ObjectStore` of one instance on a stand-in."""

    def __init__(self, store: ObjectStoreStandin, caller: PlatformConnection):
        self._store = store
        self._caller = caller

    async def put(self, name: str, data: bytes) -> Failure | None:
        """Store ``data``; on ``Reason.IN_DOUBT`` it may be put again."""
        return await self._caller.change(
            "objects.put", lambda: self._store.put(name, data)
        )

    async def get(self, name: str) -> bytes | Failure | None:
        """Return the bytes, or ``None`` where there are none."""
        return await self._caller.read(
            "objects.get", lambda: self._store.data.get(name)
        )

    async def delete(self, name: str) -> Failure | None:
        """Remove the name; removing a missing one succeeds."""
        return await self._caller.change(
            "objects.delete", lambda: self._store.delete(name)
        )
