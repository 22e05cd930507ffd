"""Stand-in of the platform's object store, in memory."""

from __future__ import annotations

from random import Random

from ..clock import Clock
from ..errors import Failure, Reason
from ..ids import ZoneId
from .calls import DEFAULT_TIMEOUT_MS, Caller
from .faults import Faults


class ObjectStoreStandin:
    """Objects in memory; tests may read all of them in ``data``."""

    def __init__(self, clock: Clock, rng: Random, faults: Faults | None = None):
        self.faults = faults or Faults(rng)
        self.data: dict[str, bytes] = {}
        self._clock = clock

    def connect(
        self, peer: str, zone: ZoneId, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> ObjectStoreConnection:
        """Return the store as the instance ``peer`` sees it."""
        caller = Caller(self.faults, self._clock, peer, zone, timeout_ms)
        return ObjectStoreConnection(self, caller)

    def put(self, name: str, data: bytes) -> Failure | None:
        """Store an object now; a name that holds other bytes is a conflict."""
        if self.data.setdefault(name, data) != data:
            return Failure(
                Reason.CONFLICT, "objects.put", "platform", f"{name} holds other bytes"
            )
        return None

    def delete(self, name: str) -> None:
        """Remove an object now, if there is one."""
        self.data.pop(name, None)


class ObjectStoreConnection:
    """An `external.objects.ObjectStore` that one instance uses, on the stand-in."""

    def __init__(self, store: ObjectStoreStandin, caller: Caller):
        self._store = store
        self._caller = caller

    async def put(self, name: str, data: bytes) -> Failure | None:
        """Store ``data``; after ``Reason.IN_DOUBT`` the put can be repeated."""
        return await self._caller.change(
            "objects.put", lambda: self._store.put(name, data)
        )

    async def get(self, name: str) -> bytes | Failure | None:
        """Return an object's bytes, or ``None`` if there is no such object."""
        return await self._caller.read(
            "objects.get", lambda: self._store.data.get(name)
        )

    async def delete(self, name: str) -> Failure | None:
        """Remove an object; succeeds if there is none."""
        return await self._caller.change(
            "objects.delete", lambda: self._store.delete(name)
        )
