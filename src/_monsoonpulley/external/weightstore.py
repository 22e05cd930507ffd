"""The store of model weights, which is rate-limited."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import ServiceId, VersionId


class WeightFacts(msgspec.Struct, frozen=True):
    """Size of a version's weights and the store's limit for all loads together.

    A size of 0 means that instances of the version load nothing.
    """

    size_bytes: int
    limit_bytes_per_s: int

    @property
    def load_ms(self) -> int:
        """How long one instance loads when no other does."""
        if self.size_bytes == 0:
            return 0
        return -(-self.size_bytes * 1000 // self.limit_bytes_per_s)


class WeightStore(Protocol):
    """Loads weights onto instances; fails ``OVERLOADED`` above its limit."""

    async def facts(
        self, service: ServiceId, version: VersionId
    ) -> WeightFacts | Failure:
        """Return size and limit of a version's weights."""
        ...

    async def load(
        self, instance: str, service: ServiceId, version: VersionId
    ) -> Failure | None:
        """Load weights onto an instance and return when they are there.

        Loading what is there already succeeds at once.
        """
        ...
