"""Data model of the configuration and the endpoints."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import CustomerId, EndpointId, RegionId, ServiceId, VersionId, ZoneId
from ..wire.serverconnection import CallerLimits


class RouteKind(Enum):
    """Whether requests of a route may be repeated."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once per request id."""
    STREAMING = "streaming"
    """A stream of events; repeatable only if the route allows resuming."""


class Route(msgspec.Struct, frozen=True):
    """Targets and limits of the requests of one host and path prefix.

    Attributes
    ----------
    name : str
        Name in the configuration.
    host : str
        Lower case, without a port.
    prefix : bytes
        Starts and ends with a slash.
    kind : RouteKind
        Whether requests may be repeated.
    services : tuple
        Pairs of service and weight; the sum of the weights is above 0.
    timeout_ms : int
        Time limit for the final answer.
    target_latency_ms : int
        Target for the time to the answer, or to the first event of a stream.
    target_gap_ms : int
        Target for the longest gap between events of a stream.
    rank : int
        Priority; 0 is the most urgent.
    max_attempts : int
        Largest number of endpoints that one request is sent to.
    requires_key : bool
        Whether callers must send the key of a customer.
    can_resume : bool
        Whether a stream may continue on another endpoint.
    allowed_regions : frozenset of RegionId or None
        Regions whose endpoints may get the requests; None if all may.
    """

    name: str
    host: str
    prefix: bytes
    kind: RouteKind
    services: tuple[tuple[ServiceId, float], ...]
    timeout_ms: int
    target_latency_ms: int
    target_gap_ms: int = 0
    rank: int = 0
    max_attempts: int = 1
    requires_key: bool = True
    can_resume: bool = False
    allowed_regions: frozenset[RegionId] | None = None

    @property
    def is_idempotent(self) -> bool:
        """Whether a request that may have run already may be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.can_resume
        return self.kind is RouteKind.SAFE


class EngineSpec(msgspec.Struct, frozen=True):
    """Capacity of each engine of a service.

    Attributes
    ----------
    slots : int
        Requests in one batch.
    cache_tokens : int
        Tokens that fit into the memory shared by running requests and the prompt
        cache.
    """

    slots: int
    cache_tokens: int


class ScalingSpec(msgspec.Struct, frozen=True):
    """Bounds and prices for ordering endpoints of a service.

    Attributes
    ----------
    minimum, maximum : int
        Endpoints per data centre, reclaimable and regular ones together.
    boot_ms : int
        Time from the order until the endpoint serves requests.
    reclaimable_price : float
        Fraction of the regular price; 1 if no reclaimable endpoints are offered.
    zone_prices : dict
        Price of one endpoint per second, by data centre.
    """

    minimum: int
    maximum: int
    boot_ms: int
    reclaimable_price: float
    zone_prices: dict[ZoneId, float]


class Service(msgspec.Struct, frozen=True):
    """A service that endpoints provide.

    Attributes
    ----------
    max_connections : int
        Connections that an endpoint accepts from all instances together.
    engine : EngineSpec or None
        None for a plain service.
    scaling : ScalingSpec or None
        None if endpoints of the service are not ordered by the instances.
    cold_start_ms : int
        Time for which an endpoint is cold after its start; 0 if none ever is.
    cold_per_s : float
        Requests a second, from all instances, that a cold endpoint tolerates.
    """

    id: ServiceId
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


class Quota(msgspec.Struct, frozen=True):
    """Rate limit of a customer across all instances.

    Attributes
    ----------
    counts_tokens : bool
        Whether the cost is counted in tokens instead of requests.
    rate_per_s, burst : float
        A period of ``t`` seconds allows ``rate_per_s * t + burst``.
    plain_tokens : int
        Cost of a request that does not state its number of tokens.
    """

    counts_tokens: bool
    rate_per_s: float
    burst: float
    plain_tokens: int


class Customer(msgspec.Struct, frozen=True):
    """A customer.

    ``rank`` overrides the rank of the route; without a ``quota`` there is no limit.
    ``allowed_regions`` apply in addition to those of the route.
    """

    id: CustomerId
    rank: int | None = None
    quota: Quota | None = None
    allowed_regions: frozenset[RegionId] | None = None


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        Increases with each change.
    routes_by_host : dict
        Routes of each host, longest prefix first.
    services, customers : dict
        By their ids.
    customer_by_key : dict
        Customer of each key.
    has_customers : bool
        Whether callers are identified by keys at all.
    limits : CallerLimits
        Limits on the size of requests and their headers.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services: dict[ServiceId, Service]
    customers: dict[CustomerId, Customer]
    customer_by_key: dict[str, CustomerId]
    has_customers: bool
    limits: CallerLimits

    def find_route(self, host: str, path: bytes) -> Route | None:
        """Return the route with the longest matching prefix, None if none matches."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Endpoint(msgspec.Struct, frozen=True):
    """One incarnation of an endpoint, as described by its row.

    Attributes
    ----------
    id : EndpointId
        Assigned by the platform; a restarted endpoint may keep it.
    started_wall_ms : int or None
        Wall time of its start; distinguishes incarnations with the same id.
    service : ServiceId
        The service that it provides.
    ip, port : str, int
        Address at which it listens; reused by other endpoints once it is gone.
    zone : ZoneId
        Its data centre.
    version : VersionId
        Version of its software.
    slots : int
        Requests that it processes concurrently.
    is_draining : bool
        Whether it refuses new requests.
    is_reclaimable : bool
        Whether the platform may reclaim its machine.
    leaves_in_ms : int or None
        Time to its stop at the moment it announced it; None if it did not.
    cold_for_ms : int or None
        Time for which it remains cold, as of the writing of its row; None if the row
        does not say.
    """

    id: EndpointId
    started_wall_ms: int | None
    service: ServiceId
    ip: str
    port: int
    zone: ZoneId
    version: VersionId
    slots: int
    is_draining: bool = False
    is_reclaimable: bool = False
    leaves_in_ms: int | None = None
    cold_for_ms: int | None = None

    @property
    def address(self) -> str:
        """Return ``IP:PORT``."""
        return f"{self.ip}:{self.port}"

    def is_same_incarnation(self, other: Endpoint) -> bool:
        """Return whether both describe the same start of the same endpoint."""
        return (self.started_wall_ms, self.address, self.service) == (
            other.started_wall_ms,
            other.address,
            other.service,
        )
