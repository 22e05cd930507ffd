"""Endpoint instances of a service, as the capacity planner sees them."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from ..ids import ServiceId, VersionId, ZoneId


class Market(msgspec.Struct, frozen=True, order=True):
    """Where an instance is bought: zone, machine class and kind of purchase."""

    zone: ZoneId
    machine_class: str
    reclaimable: bool


class Offer(msgspec.Struct, frozen=True):
    """What one instance of a market gives and costs.

    Attributes
    ----------
    milli_per_h : int
        Price, in 1/1000 of the currency an hour.
    units_per_s : float
        Tokens or requests of the service that it serves a second, fully used.
    start_ms : int
        From the order to the instance's process, without loading weights.
    reclaims_per_h : float
        How often the market's instances are expected to be reclaimed.
    """

    market: Market
    milli_per_h: int
    units_per_s: float
    start_ms: int
    reclaims_per_h: float = 0.0


class EndpointState(Enum):
    """Where an endpoint stands, for the planner."""

    COMING = "coming"
    """Ordered, and expected by its ``ready_ms``."""
    READY = "ready"
    LEAVING = "leaving"
    """Gets no new work: reclaimed, draining or lost."""


class FleetEndpoint(msgspec.Struct, frozen=True):
    """One endpoint instance, or the order of one.

    Attributes
    ----------
    name : str
        The instance, or for an order without an answer its token.
    ready_ms : int
        When it serves or is expected to.
    in_progress : int
        Requests that it works on.
    replaces : str
        Instance that was to be released when this one serves; else empty.
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
        """Whether its capacity is there or on its way."""
        return self.state is not EndpointState.LEAVING


class Need(msgspec.Struct, frozen=True):
    """Capacity that one version of a service needs.

    Attributes
    ----------
    version : VersionId
        A rollout has one need for each of its versions.
    total_units_per_s : float
        To have with every zone there.
    loss_units_per_s : float
        To have left after the loss of any one zone, both kinds of purchase.
    firm_units_per_s : float
        To have in on-demand instances.
    """

    version: VersionId
    total_units_per_s: float
    loss_units_per_s: float
    firm_units_per_s: float = 0.0

    def scaled_by(self, factor: float) -> Need:
        """Return the need with each part multiplied."""
        return Need(
            self.version,
            self.total_units_per_s * factor,
            self.loss_units_per_s * factor,
            self.firm_units_per_s * factor,
        )


class Utilization(msgspec.Struct, frozen=True):
    """How far endpoints may be used while the class targets are kept.

    Attributes
    ----------
    normal_ratio : float
        With every zone there.
    loss_ratio : float
        Until a lost zone's capacity is replaced.
    firm_ratio : float
        Share of the demand that on-demand instances must carry.
    """

    normal_ratio: float = 0.65
    loss_ratio: float = 0.87
    firm_ratio: float = 0.0

    def need_for(self, version: VersionId, units_per_s: float) -> Need:
        """Return what a version needs at the given demand."""
        return Need(
            version,
            units_per_s / self.normal_ratio,
            units_per_s / self.loss_ratio,
            units_per_s * self.firm_ratio / self.loss_ratio,
        )


class Order(msgspec.Struct, frozen=True):
    """An instance to start, and when it is expected to serve."""

    service: ServiceId
    version: VersionId
    market: Market
    ready_ms: int


class Release(msgspec.Struct, frozen=True):
    """An endpoint to drain and then stop."""

    name: str


def units_by_zone(endpoints: Iterable[FleetEndpoint]) -> dict[ZoneId, float]:
    """Return the capacity of each zone, without what is leaving."""
    units: dict[ZoneId, float] = {}
    for endpoint in endpoints:
        if endpoint.provides_capacity:
            zone = endpoint.market.zone
            units[zone] = units.get(zone, 0.0) + endpoint.units_per_s
    return units
