"""Decoding of the operators' configuration from its row."""

from __future__ import annotations

from collections import defaultdict

import msgspec

from ..errors import MALFORMED_ERRORS, Failure, Reason, describe_error
from ..fleet.model import (
    Configuration,
    Customer,
    EngineSpec,
    Quota,
    Route,
    RouteKind,
    ScalingSpec,
    Service,
)
from ..ids import CustomerId, RegionId, ServiceId, ZoneId
from ..wire.serverconnection import CallerLimits

DEFAULT_ROUTE_TIMEOUT_MS = 15_000
"""Timeout of a route that sets none: the longest deadline that users specify."""


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    host: str
    prefix: str
    kind: str = "unsafe"
    name: str = ""
    service: str = ""
    traffic_split: list[_Split] = []
    timeout_ms: float = DEFAULT_ROUTE_TIMEOUT_MS
    target_latency_ms: float = 1_000
    target_gap_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    allow_anonymous: bool = False
    resume_streams: bool = False
    allowed_regions: list[str] = []

    def decode(self) -> Route:
        """Return the route; an unknown kind counts as unsafe and is never retried."""
        services = tuple(
            (ServiceId(split.service), split.weight) for split in self.traffic_split
        )
        kinds = {kind.value: kind for kind in RouteKind}
        return Route(
            name=self.name or self.prefix,
            host=self.host.lower(),
            prefix=self.prefix.encode(),
            kind=kinds.get(self.kind, RouteKind.UNSAFE),
            services=services or ((ServiceId(self.service), 1.0),),
            timeout_ms=round(self.timeout_ms),
            target_latency_ms=round(self.target_latency_ms),
            target_gap_ms=round(self.target_gap_ms),
            # "priority" 0 is the highest on the wire, so the value is a rank.
            rank=self.priority,
            max_attempts=max(1, self.max_attempts),
            requires_key=not self.allow_anonymous,
            can_resume=self.resume_streams,
            allowed_regions=_decode_regions(self.allowed_regions),
        )


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_cache_tokens: int = 0


class _Scaling(msgspec.Struct):
    minimum: int = 0
    maximum: int = 0
    boot_time_s: float = 0
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}

    def decode(self) -> ScalingSpec:
        """Return the scaling settings of a service."""
        return ScalingSpec(
            minimum=self.minimum,
            maximum=self.maximum,
            boot_ms=round(self.boot_time_s * 1000),
            reclaimable_price=self.spot_price,
            zone_prices={ZoneId(z): price for z, price in self.zone_prices.items()},
        )


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: _Engine | None = None
    scaling: _Scaling | None = None
    cold_start_s: float = 0
    cold_per_s: float = 0

    def decode(self) -> Service:
        """Return the service."""
        engine = self.engine
        return Service(
            id=ServiceId(self.name),
            health_path=self.health_path,
            max_connections=self.max_connections,
            engine=EngineSpec(engine.slots, engine.kv_cache_tokens) if engine else None,
            scaling=self.scaling.decode() if self.scaling else None,
            cold_start_ms=round(self.cold_start_s * 1000),
            cold_per_s=self.cold_per_s,
        )


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = "requests"
    plain_tokens: int = 1
    rate_per_s: float = 0
    burst: float = 0
    allowed_regions: list[str] = []

    def decode(self) -> Customer:
        """Return the customer; a rate and burst of 0 mean no quota."""
        quota = None
        if self.rate_per_s or self.burst:
            quota = Quota(
                counts_tokens=self.unit == "tokens",
                rate_per_s=self.rate_per_s,
                burst=self.burst,
                plain_tokens=self.plain_tokens,
            )
        return Customer(
            CustomerId(self.name),
            self.priority,
            quota,
            _decode_regions(self.allowed_regions),
        )


def _decode_regions(names: list[str]) -> frozenset[RegionId] | None:
    """Return the allowed regions; an empty list allows all."""
    return frozenset(RegionId(name) for name in names) or None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000

    def decode(self) -> CallerLimits:
        """Return the limits on callers."""
        return CallerLimits(
            max_header_bytes=self.max_header_bytes,
            max_body_bytes=self.max_body_bytes,
            header_timeout_ms=round(self.header_timeout_ms),
            idle_timeout_ms=round(self.idle_timeout_ms),
        )


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder = msgspec.json.Decoder(_Document)


def decode_configuration(value: bytes) -> Configuration | Failure:
    """Decode the configuration in a row's value; return a failure if it is invalid."""
    try:
        return _build_configuration(_decoder.decode(value))
    except MALFORMED_ERRORS as error:
        detail = describe_error(error)
        return Failure(Reason.INVALID, "configuration.decode", detail=detail)


def _build_configuration(document: _Document) -> Configuration:
    by_host: dict[str, list[Route]] = defaultdict(list)
    for wire_route in document.routes:
        route = wire_route.decode()
        by_host[route.host].append(route)
    return Configuration(
        version=document.version,
        routes_by_host={
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in by_host.items()
        },
        services={ServiceId(s.name): s.decode() for s in document.services},
        customers={CustomerId(t.name): t.decode() for t in document.tenants},
        customer_by_key={
            key: CustomerId(tenant.name)
            for tenant in document.tenants
            for key in tenant.api_keys
        },
        has_customers=bool(document.tenants),
        limits=document.limits.decode(),
    )
