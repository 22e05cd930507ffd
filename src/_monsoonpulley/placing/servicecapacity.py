"""Capacity of each service: one figure for admission, placement and planning.

Load addressed: engines that are reclaimed in waves. The figure counts the endpoints
that accept requests, so that it falls at once when endpoints say that they leave or are
lost, and not when the queues at the remaining ones have grown. It remembers for some
seconds what was lost, as what was admitted in these seconds no longer fits.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from ..fleet.model import Endpoint, Service
from ..ids import ServiceId

MEMORY_MS = 3_000
"""Time constant of the mean that the present capacity is compared with: that of the
sums of admitted work, which a loss makes too large."""


REFRESH_MS = 250
"""Interval of counting the endpoints again while none starts or leaves, for the mean
and for versions that get or lose the traffic: that of the instances' periodic work."""


class Capacity(msgspec.Struct, frozen=True):
    """What the endpoints of a service can do.

    Attributes
    ----------
    ready_count : int
        Endpoints that accept requests and take their part of the traffic.
    slots : int
        Requests that they run at once, together.
    least_slots : int
        The same of the smallest that accepts requests; 1 if there is none.
    work_ms_per_s : float
        Work that they do in a second, as `requestwork` measures it.
    lasting_share : float
        Present capacity relative to the mean of the last seconds, at most 1.
    """

    ready_count: int = 0
    slots: int = 0
    least_slots: int = 1
    work_ms_per_s: float = 0.0
    lasting_share: float = 1.0


class _Observed(msgspec.Struct):
    ready: tuple[Endpoint, ...]
    capacity: Capacity
    mean_ms_per_s: float
    updated_ms: int


class ServiceCapacities:
    """The capacities of all services.

    Parameters
    ----------
    carries_load : callable
        Whether an endpoint takes its part of the traffic, apart from its readiness.
    on_change : callable
        Called with a service and its capacities before and after a change.
    """

    def __init__(
        self,
        carries_load: Callable[[Endpoint], bool],
        on_change: Callable[[ServiceId, Capacity, Capacity], None],
    ):
        self._carries_load = carries_load
        self._on_change = on_change
        self._observed: dict[ServiceId, _Observed] = {}

    def observe(
        self, service: Service, ready: tuple[Endpoint, ...], now_ms: int
    ) -> Capacity:
        """Return the capacity of a service, and note a change.

        Parameters
        ----------
        service : Service
            The service.
        ready : tuple of Endpoint
            Its endpoints that accept requests; the same object while none changes.
        now_ms : int
            Monotonic time.
        """
        observed = self._observed.get(service.id)
        if observed is None:
            capacity = self._count(service, ready)
            observed = _Observed(ready, capacity, capacity.work_ms_per_s, now_ms)
            self._observed[service.id] = observed
            self._on_change(service.id, Capacity(), capacity)
            return capacity
        elapsed_ms = now_ms - observed.updated_ms
        if ready is observed.ready and elapsed_ms < REFRESH_MS:
            return observed.capacity
        previous = observed.capacity
        weight = 1.0 - math.exp(-max(0, elapsed_ms) / MEMORY_MS)
        mean = observed.mean_ms_per_s
        mean += weight * (previous.work_ms_per_s - mean)
        capacity = self._count(service, ready)
        lasting_share = min(1.0, capacity.work_ms_per_s / mean) if mean else 1.0
        capacity = msgspec.structs.replace(capacity, lasting_share=lasting_share)
        observed.ready, observed.capacity = ready, capacity
        observed.mean_ms_per_s, observed.updated_ms = mean, now_ms
        if (capacity.ready_count, capacity.slots) != (
            previous.ready_count,
            previous.slots,
        ):
            self._on_change(service.id, previous, capacity)
        return capacity

    def get(self, service: ServiceId) -> Capacity:
        """Return the capacity of a service as last observed."""
        observed = self._observed.get(service)
        return Capacity() if observed is None else observed.capacity

    def _count(self, service: Service, ready: tuple[Endpoint, ...]) -> Capacity:
        carrying = [endpoint for endpoint in ready if self._carries_load(endpoint)]
        slots = sum(endpoint.slots for endpoint in carrying)
        # An engine prefills one prompt at a time; a plain endpoint works in all slots.
        lanes = len(carrying) if service.engine is not None else slots
        return Capacity(
            ready_count=len(carrying),
            slots=slots,
            least_slots=min((endpoint.slots for endpoint in ready), default=1),
            work_ms_per_s=1_000.0 * lanes,
        )
