"""Inputs and results of the capacity planner: endpoints, offers, needs, orders."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from ..ids import ServiceId, VersionId, ZoneId


class Market(msgspec.Struct, frozen=True, order=True):
    """Zone, machine class and kind of purchase of an instance."""

    zone: ZoneId
    machine_class: str
    reclaimable: bool


class Offer(msgspec.Struct, frozen=True):
    """Price, capacity and start time of one instance of a market.

    Attributes
    ----------
    milli_per_h : int
        Price per hour, in 1/1000 of the currency.
    units_per_s : float
        Tokens or requests of the service per second at full utilization.
    start_ms : int
        Time from the order until the process runs, without loading weights.
    reclaims_per_h : float
        Expected reclaims of one instance per hour.
    """

    market: Market
    milli_per_h: int
    units_per_s: float
    start_ms: int
    reclaims_per_h: float = 0.0


class EndpointState(Enum):
    """State of an endpoint, as the planner needs it."""

    COMING = "coming"
    """Ordered, and expected to serve at its ``ready_ms``."""
    READY = "ready"
    LEAVING = "leaving"
    """Gets no new requests: reclaimed, draining or lost."""


class FleetEndpoint(msgspec.Struct, frozen=True):
    """One endpoint instance, or an order for one.

    Attributes
    ----------
    name : str
        Name of the instance; the order's token until the platform has answered.
    ready_ms : int
        When it became ready or is expected to.
    in_progress : int
        Requests in progress.
    replaces : str
        Instance to release once this one serves; else empty.
    """

    name: str
    market: Market
    version: VersionId
    units_per_s: float
    state: EndpointState = EndpointState.READY
    ready_ms: int = 0
    in_progress: int = 0
    replaces: str = ""

    @property
    def provides_capacity(self) -> bool:
        """Whether its capacity is available or ordered."""
        return self.state is not EndpointState.LEAVING


class Need(msgspec.Struct, frozen=True):
    """Capacity that one version of a service needs.

    Attributes
    ----------
    version : VersionId
        During a rollout each version of the service has its own need.
    total_units_per_s : float
        Required capacity with all zones available.
    loss_units_per_s : float
        Required capacity after the loss of any one zone, reclaimable and on-demand
        instances together.
    firm_units_per_s : float
        Required capacity in on-demand instances.
    """

    version: VersionId
    total_units_per_s: float
    loss_units_per_s: float
    firm_units_per_s: float = 0.0

    def scaled_by(self, factor: float) -> Need:
        """Return the need with each capacity multiplied by ``factor``."""
        return Need(
            self.version,
            self.total_units_per_s * factor,
            self.loss_units_per_s * factor,
            self.firm_units_per_s * factor,
        )


class Utilization(msgspec.Struct, frozen=True):
    """Utilization of endpoints at which the class targets are still met.

    Attributes
    ----------
    normal_ratio : float
        Limit with all zones available.
    loss_ratio : float
        Limit after the loss of a zone, until its capacity is replaced.
    firm_ratio : float
        Share of the demand that on-demand instances must be able to serve.
    """

    normal_ratio: float = 0.65
    loss_ratio: float = 0.87
    firm_ratio: float = 0.0

    def need_for(self, version: VersionId, units_per_s: float) -> Need:
        """Return the capacity that a version needs at a demand of ``units_per_s``."""
        return Need(
            version,
            units_per_s / self.normal_ratio,
            units_per_s / self.loss_ratio,
            units_per_s * self.firm_ratio / self.loss_ratio,
        )


class Order(msgspec.Struct, frozen=True):
    """An instance to start; ``ready_ms`` is when it is expected to serve."""

    service: ServiceId
    version: VersionId
    market: Market
    ready_ms: int


class Release(msgspec.Struct, frozen=True):
    """An endpoint to drain and then stop."""

    name: str


def units_by_zone(endpoints: Iterable[FleetEndpoint]) -> dict[ZoneId, float]:
    """Return the capacity of each zone without leaving endpoints."""
    units: dict[ZoneId, float] = {}
    for endpoint in endpoints:
        if endpoint.provides_capacity:
            zone = endpoint.market.zone
            units[zone] = units.get(zone, 0.0) + endpoint.units_per_s
    return units
