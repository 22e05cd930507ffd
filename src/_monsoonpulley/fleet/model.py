"""Configuration and endpoints in the project's own terms."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import CustomerId, EndpointId, ServiceId, VersionId, ZoneId
from ..wire.serverconnection import CallerLimits


class RouteKind(Enum):
    """What may be repeated."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once for each request id."""
    STREAMING = "streaming"
    """A stream of events; repeatable only where the route lets it resume."""


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix go, and what they are owed.

    Attributes
    ----------
    name : str
        As operators call it.
    host : str
        Lower case, without a port.
    prefix : bytes
        Begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    services : tuple
        Pairs of service and weight; the weights sum to more than 0.
    timeout_ms : int
        Longest time until the final answer.
    target_latency_ms : int
        Time within which the answer, or a stream's first event, is on time.
    target_gap_ms : int
        Longest pause between events of a stream that is on time.
    rank : int
        0 is the most urgent.
    max_attempts : int
        Endpoints to which one request may be sent.
    requires_key : bool
        Whether callers have to show a customer's key.
    can_resume : bool
        Whether a stream may go on at another endpoint.
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

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be sent again although it may have run."""
        if self.kind is RouteKind.STREAMING:
            return self.can_resume
        return self.kind is RouteKind.SAFE


class EngineSpec(msgspec.Struct, frozen=True):
    """What a service's model engines can do.

    Attributes
    ----------
    slots : int
        Requests in one batch.
    cache_tokens : int
        Tokens that fit the memory for running requests and cached prompts.
    """

    slots: int
    cache_tokens: int


class ScalingSpec(msgspec.Struct, frozen=True):
    """How many endpoints of a service may be ordered, and at which price.

    Attributes
    ----------
    minimum, maximum : int
        For each data centre, reclaimable and others together.
    boot_ms : int
        From the order to the first request served.
    reclaimable_price : float
        As a share of the price of the others; 1 where none is reclaimable.
    zone_prices : dict
        Price of one endpoint for each second, by data centre.
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
        An endpoint accepts so many from all instances together.
    engine : EngineSpec or None
        None for a plain service.
    scaling : ScalingSpec or None
        None where the number of endpoints is not the project's to order.
    """

    id: ServiceId
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


class Quota(msgspec.Struct, frozen=True):
    """What a customer may use over all instances.

    Attributes
    ----------
    counts_tokens : bool
        Whether cost is counted in tokens; in requests otherwise.
    rate_per_s, burst : float
        Allowed in any span: ``rate_per_s`` times its seconds plus ``burst``.
    plain_tokens : int
        Cost of a request that names no tokens.
    """

    counts_tokens: bool
    rate_per_s: float
    burst: float
    plain_tokens: int


class Customer(msgspec.Struct, frozen=True):
    """One customer; ``rank`` goes before the route's, ``quota`` None is no limit."""

    id: CustomerId
    rank: int | None = None
    quota: Quota | None = None


class Configuration(msgspec.Struct, frozen=True):
    """One version of what operators have set.

    Attributes
    ----------
    version : int
        Rises with each change.
    routes_by_host : dict
        For each host its routes, longest prefix first.
    services, customers : dict
        By id.
    customer_by_key : dict
        Key to its customer.
    has_customers : bool
        Whether keys are asked for at all.
    limits : CallerLimits
        What callers may send.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services: dict[ServiceId, Service]
    customers: dict[CustomerId, Customer]
    customer_by_key: dict[str, CustomerId]
    has_customers: bool
    limits: CallerLimits

    def find_route(self, host: str, path: bytes) -> Route | None:
        """Return the route of the longest prefix of ``path``, if there is one."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Endpoint(msgspec.Struct, frozen=True):
    """One incarnation of an endpoint, as it describes itself.

    Attributes
    ----------
    id : EndpointId
        Given by the platform; a restarted endpoint may keep it.
    started_wall_ms : int or None
        Wall time of its start; tells incarnations with the same id apart.
    service : ServiceId
        What it provides.
    ip, port : str, int
        Where it listens; used again by others once it is gone.
    zone : ZoneId
        Its data centre.
    version : VersionId
        Of its software.
    slots : int
        Requests that it works on at once.
    is_draining : bool
        Whether it takes no new requests.
    is_reclaimable : bool
        Whether the platform may take its machine away.
    leaves_in_ms : int or None
        Time left when it announced its leaving, if it did.
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

    @property
    def address(self) -> str:
        """Return ``IP:PORT``."""
        return f"{self.ip}:{self.port}"

    def is_same_incarnation(self, other: Endpoint) -> bool:
        """Return whether both entries describe one start of one endpoint."""
        return (self.started_wall_ms, self.address, self.service) == (
            other.started_wall_ms,
            other.address,
            other.service,
        )
