"""Interface to the platform's object store."""

from __future__ import annotations

from typing import Protocol

from ..errors import Failure


class ObjectStore(Protocol):
    """Named byte strings; a name is written once, or again with the same bytes."""

    async def put(self, name: str, data: bytes) -> Failure | None:
        """Store ``data``; after ``Reason.IN_DOUBT`` the call may be retried."""
        ...

    async def get(self, name: str) -> bytes | Failure | None:
        """Return the bytes, or ``None`` if there are none."""
        ...

    async def delete(self, name: str) -> Failure | None:
        """Remove an object; removing a missing one succeeds."""
        ...
