"""Which entry instance reports on which worker, and which ones read its events.

Each worker has one reporter among the live entry instances of its data centre.
Cache events are too many to be forwarded, so a worker's events are read by a few
entry instances only: by all of them in a small fleet, by the reporter alone in a
large one.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ..ids import EndpointId, InstanceId
from .rendezvous import chosen

READ_WORKERS = 6
"""Workers whose events one entry instance reads at least, where there are any."""


def endpoint_key(endpoint: EndpointId) -> int:
    """Return the 32-bit number by which digests name an endpoint."""
    return xxhash.xxh32_intdigest(endpoint.encode())


class EndpointKeys:
    """Endpoints by their key; keys that two endpoints share name neither."""

    def __init__(self) -> None:
        self._endpoints: dict[int, EndpointId | None] = {}
        self._known: frozenset[EndpointId] = frozenset()

    def update(self, endpoints: Iterable[EndpointId]) -> None:
        """Set which endpoints there are."""
        known = frozenset(endpoints)
        if known == self._known:
            return
        self._known = known
        self._endpoints = {}
        for endpoint in known:
            key = endpoint_key(endpoint)
            self._endpoints[key] = None if key in self._endpoints else endpoint

    def get(self, key: int) -> EndpointId | None:
        """Return the endpoint of a key, ``None`` if unknown or ambiguous."""
        return self._endpoints.get(key)


class Reporters:
    """Shares the workers of a data centre among its live entry instances.

    Parameters
    ----------
    own : InstanceId
        This instance.
    """

    def __init__(self, own: InstanceId):
        self._own = own
        self._basis: tuple[frozenset, frozenset] | None = None
        self._readers: dict[EndpointId, list[str]] = {}

    def update(
        self, instances: Iterable[InstanceId], workers: Iterable[EndpointId]
    ) -> None:
        """Share ``workers`` among ``instances``; cheap if nothing changed."""
        basis = (frozenset(instances), frozenset(workers))
        if basis == self._basis:
            return
        self._basis = basis
        count = _readers_per_worker(len(basis[0]), len(basis[1]))
        self._readers = {worker: chosen(basis[0], worker, count) for worker in basis[1]}

    def reporter(self, worker: EndpointId) -> InstanceId | None:
        """Return who reports on a worker, ``None`` for an unknown one."""
        readers = self._readers.get(worker)
        return InstanceId(readers[0]) if readers else None

    def reported(self) -> list[EndpointId]:
        """Return the workers that this instance reports on."""
        return [w for w, readers in self._readers.items() if readers[:1] == [self._own]]

    def read(self) -> list[EndpointId]:
        """Return the workers whose load and events this instance reads."""
        return [w for w, readers in self._readers.items() if self._own in readers]


def _readers_per_worker(instances: int, workers: int) -> int:
    if not instances or not workers:
        return 1
    wanted = -(-READ_WORKERS * instances // workers)
    return min(instances, max(1, wanted))
