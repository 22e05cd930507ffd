"""Stand-in of the weight store: one load at a time, at a fixed rate."""

from __future__ import annotations

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.weightstore import WeightFacts
from ..ids import ServiceId, VersionId


class WeightStoreStandin:
    """An `external.weightstore.WeightStore` that refuses concurrent loads.

    Parameters
    ----------
    clock : Clock
        Clock of the running loop.
    size_bytes, limit_bytes_per_s : int
        Size and load rate of every version.

    Attributes
    ----------
    refused_count : int
        Number of loads refused because another was in progress.
    loaded_instances : list of str
        Names of instances, in the order in which their loads ended.
    """

    def __init__(self, clock: Clock, size_bytes: int, limit_bytes_per_s: int):
        self._clock = clock
        self._facts = WeightFacts(size_bytes, limit_bytes_per_s)
        self._is_busy = False
        self.refused_count = 0
        self.loaded_instances: list[str] = []

    async def facts(
        self, service: ServiceId, version: VersionId
    ) -> WeightFacts | Failure:
        """Return the size of a version's weights and the limit of the load rate."""
        return self._facts

    async def load(
        self, instance: str, service: ServiceId, version: VersionId
    ) -> Failure | None:
        """Load weights onto an instance; return when the load has ended."""
        if instance in self.loaded_instances:
            return None
        if self._is_busy:
            self.refused_count += 1
            detail = "another load is in progress"
            return Failure(Reason.OVERLOADED, "weights.load", "platform", detail)
        self._is_busy = True
        try:
            await self._clock.sleep_ms(self._facts.load_ms)
        finally:
            self._is_busy = False
        self.loaded_instances.append(instance)
        return None
