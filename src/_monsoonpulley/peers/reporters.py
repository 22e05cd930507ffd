"""Assigns endpoints to the entry instances that report on them or read their events.

Each endpoint has one reporter among the live entry instances of its data centre.
Cache events are too many to be forwarded, so each instance reads them itself, but
only from some endpoints: in a small deployment from all of them, in a large one from
those that it reports on.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from ..ids import EndpointId, InstanceId
from .rendezvous import choose_nodes

MIN_READ_ENDPOINTS = 6
"""Smallest average number of endpoints whose events an entry instance reads, if there
are so many."""


def endpoint_key(endpoint: EndpointId) -> int:
    """Return the 32-bit number that identifies an endpoint in digests."""
    return xxhash.xxh32_intdigest(endpoint.encode())


class EndpointKeys:
    """Endpoints by their key; a key that two endpoints share gives neither."""

    def __init__(self) -> None:
        self._endpoint_by_key: dict[int, EndpointId | None] = {}
        self._endpoint_ids: frozenset[EndpointId] = frozenset()

    def update(self, endpoints: Iterable[EndpointId]) -> None:
        """Set the endpoints."""
        endpoint_ids = frozenset(endpoints)
        if endpoint_ids == self._endpoint_ids:
            return
        self._endpoint_ids = endpoint_ids
        self._endpoint_by_key = {}
        for endpoint in endpoint_ids:
            key = endpoint_key(endpoint)
            self._endpoint_by_key[key] = (
                None if key in self._endpoint_by_key else endpoint
            )

    def get(self, key: int) -> EndpointId | None:
        """Return the endpoint of a key, None if it is unknown or ambiguous."""
        return self._endpoint_by_key.get(key)


class Reporters:
    """Distributes the endpoints of a data centre over its live entry instances.

    Parameters
    ----------
    own : InstanceId
        This instance.
    """

    def __init__(self, own: InstanceId):
        self._own = own
        self._inputs: tuple[frozenset, frozenset] | None = None
        self._readers_by_endpoint: dict[EndpointId, list[str]] = {}

    def update(
        self, instances: Iterable[InstanceId], endpoints: Iterable[EndpointId]
    ) -> None:
        """Distribute endpoints over instances; cheap if neither changed."""
        inputs = (frozenset(instances), frozenset(endpoints))
        if inputs == self._inputs:
            return
        self._inputs = inputs
        count = _readers_per_endpoint(len(inputs[0]), len(inputs[1]))
        self._readers_by_endpoint = {
            endpoint: choose_nodes(inputs[0], endpoint, count) for endpoint in inputs[1]
        }

    def reporter_of(self, endpoint: EndpointId) -> InstanceId | None:
        """Return the reporter of an endpoint, None for an unknown one."""
        readers = self._readers_by_endpoint.get(endpoint)
        return InstanceId(readers[0]) if readers else None

    def reported_endpoints(self) -> list[EndpointId]:
        """Return the endpoints that this instance reports on."""
        return [
            endpoint
            for endpoint, readers in self._readers_by_endpoint.items()
            if readers[:1] == [self._own]
        ]

    def endpoints_to_read(self) -> list[EndpointId]:
        """Return the endpoints whose load and events this instance reads."""
        return [
            endpoint
            for endpoint, readers in self._readers_by_endpoint.items()
            if self._own in readers
        ]


def _readers_per_endpoint(instances: int, endpoints: int) -> int:
    if not instances or not endpoints:
        return 1
    needed = -(-MIN_READ_ENDPOINTS * instances // endpoints)
    return min(instances, max(1, needed))
