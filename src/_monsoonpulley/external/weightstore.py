"""Interface to the store of model weights, which is rate-limited."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import ServiceId, VersionId


class WeightFacts(msgspec.Struct, frozen=True):
    """Size of a version's weights, and the store's rate limit over all loads.

    A size of 0 means that instances of the version load nothing.
    """

    size_bytes: int
    limit_bytes_per_s: int

    @property
    def load_ms(self) -> int:
        """Time that one instance takes to load while no other does."""
        if self.size_bytes == 0:
            return 0
        return -(-self.size_bytes * 1000 // self.limit_bytes_per_s)


class WeightStore(Protocol):
    """Loads weights onto instances; fails as ``OVERLOADED`` above its limit."""

    async def facts(
        self, service: ServiceId, version: VersionId
    ) -> WeightFacts | Failure:
        """Return the size of a version's weights and the store's rate limit."""
        ...

    async def load(
        self, instance: str, service: ServiceId, version: VersionId
    ) -> Failure | None:
        """Load weights onto an instance and return when they are loaded.

        Succeeds at once if they are loaded already.
        """
        ...
