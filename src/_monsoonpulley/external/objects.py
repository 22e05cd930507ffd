"""The platform's object store."""

from __future__ import annotations

from typing import Protocol

from ..errors import Failure


class ObjectStore(Protocol):
    """Bytes under names; a name is written once or with the same bytes."""

    async def put(self, name: str, data: bytes) -> Failure | None:
        """Store ``data``; on ``Reason.IN_DOUBT`` it may be put again."""
        ...

    async def get(self, name: str) -> bytes | Failure | None:
        """Return the bytes, or ``None`` where there are none."""
        ...

    async def delete(self, name: str) -> Failure | None:
        """Remove the name; removing a missing one succeeds."""
        ...
