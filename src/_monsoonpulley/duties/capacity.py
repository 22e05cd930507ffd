"""The duty of ordering endpoints."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..control.leases import Hold
from ..errors import Reason
from ..fleet.configurationholder import ConfigurationHolder
from ..fleet.directory import EndpointDirectory
from ..fleet.model import Configuration, Service
from ..ids import ServiceId, ZoneId
from ..limits.coldendpoints import ColdEndpoints
from ..observability.log import Log
from ..placing.demandmeter import DemandMeter
from ..placing.endpointmodels import EndpointModels
from ..placing.servicecapacity import Capacity, ServiceCapacities
from ..platform.cloud import CALL_TIMEOUT_MS, CloudClient
from ..rollouts.rollouts import Rollouts
from .capacityneed import (
    CapacityNeed,
    add_for_cold,
    compute_engine_need,
    compute_service_need,
    lost_to_cold,
)
from .capacityplan import CapacityPlan, Order, ZoneFleet

DEFAULT_TARGET_MS = 1_000
"""Target for a service that no route names."""


class CapacityDuty:
    """Orders endpoints for each service with a scaling specification.

    Parameters
    ----------
    configuration, directory : ConfigurationHolder, EndpointDirectory
        The configuration in force, and the endpoints.
    models, demand : EndpointModels, DemandMeter
        What endpoints carry, and the work that arrives.
    rollouts : Rollouts
        Which versions have the traffic.
    capacities : ServiceCapacities
        What the endpoints in service can do, the figure that admission uses.
    cold : ColdEndpoints
        Endpoints that carry little for a while.
    cloud : CloudClient
        Receives the orders.
    clock, log : Clock, Log
        Each order is logged.
    closed_zones : callable
        Returns the data centres whose endpoints of a service don't count, and in which
        none are ordered; see `closedzones`.
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        directory: EndpointDirectory,
        models: EndpointModels,
        demand: DemandMeter,
        rollouts: Rollouts,
        capacities: ServiceCapacities,
        cold: ColdEndpoints,
        cloud: CloudClient,
        clock: Clock,
        log: Log,
        closed_zones: Callable[[Service], frozenset[ZoneId]] = lambda _: frozenset(),
    ):
        self._configuration = configuration
        self._directory = directory
        self._models = models
        self._demand = demand
        self._rollouts = rollouts
        self._capacities = capacities
        self._cold = cold
        self._cloud = cloud
        self._clock = clock
        self._log = log
        self._closed_zones = closed_zones
        self._plans: dict[ServiceId, CapacityPlan] = {}
        self._fencing_number = 0

    async def step(self, hold: Hold) -> None:
        """Send the due orders while the duty is held."""
        if hold.fencing_number != self._fencing_number:
            # Another holder may have ordered since these plans were made.
            self._plans.clear()
            self._fencing_number = hold.fencing_number
        current = self._configuration.current
        if current is None or not self._directory.is_loaded:
            return
        for service in current.services.values():
            if service.scaling is not None:
                await self._order_for(service, current, hold)

    async def _order_for(
        self, service: Service, configuration: Configuration, hold: Hold
    ) -> None:
        assert service.scaling is not None and self._directory.loaded_ms is not None
        now_ms = self._clock.now_ms()
        plan = self._plans.setdefault(service.id, CapacityPlan())
        capacity = self._capacity(service)
        need = self._compute_need(service, configuration)
        spec, closed = service.scaling, self._closed_zones(service)
        if closed:
            # The platform keeps what runs there, as it was ordered last.
            prices = {z: p for z, p in spec.zone_prices.items() if z not in closed}
            spec = msgspec.structs.replace(spec, zone_prices=prices)
        fleet = self._observe(service.id)
        open_fleet = {z: each for z, each in fleet.items() if z not in closed}
        need = self._add_cold(service.id, open_fleet, need, now_ms)
        orders = plan.due_orders(
            spec,
            fleet,
            need,
            now_ms - self._directory.loaded_ms,
            now_ms,
            is_version_changing=self._rollouts.is_in_progress(service.id),
        )
        for order in orders:
            if not hold.may_act(CALL_TIMEOUT_MS):
                return
            await self._send_order(
                plan, service.id, order, need, capacity, hold, closed
            )

    def _compute_need(
        self, service: Service, configuration: Configuration
    ) -> CapacityNeed:
        demand = self._demand.demand(service.id)
        if service.engine is not None:
            model = self._models.engine(service.id)
            target_ms = _tightest_target_ms(service.id, configuration)
            return compute_engine_need(demand, model, target_ms)
        plain = self._models.plain(service.id)
        return compute_service_need(demand, plain, self._capacity(service).least_slots)

    def _capacity(self, service: Service) -> Capacity:
        ready = self._directory.ready_endpoints(service.id)
        return self._capacities.observe(service, ready, self._clock.now_ms())

    def _add_cold(
        self,
        service: ServiceId,
        fleet: dict[ZoneId, ZoneFleet],
        need: CapacityNeed,
        now_ms: int,
    ) -> CapacityNeed:
        """Return the need in view of cold endpoints, and count these in ``fleet``."""
        carrying = [
            endpoint
            for endpoint in self._directory.ready_endpoints(service)
            if endpoint.zone in fleet and self._rollouts.carries_load(endpoint)
        ]
        cold_ids = self._cold.cold_ids(carrying, now_ms)
        if not cold_ids:
            return need
        lost = lost_to_cold(need, self._cold.bearable_per_s(service))
        for endpoint in carrying:
            if endpoint.id in cold_ids and endpoint.is_reclaimable:
                fleet[endpoint.zone].lost_reclaimable_count += lost
        return add_for_cold(need, len(carrying), lost * len(cold_ids))

    def _observe(self, service: ServiceId) -> dict[ZoneId, ZoneFleet]:
        fleet: dict[ZoneId, ZoneFleet] = {}
        for endpoint in self._directory.all():
            if endpoint.service != service:
                continue
            zone = fleet.setdefault(endpoint.zone, ZoneFleet())
            if not self._rollouts.carries_load(endpoint):
                if not endpoint.is_draining:
                    zone.record_idle_version(endpoint.is_reclaimable)
            elif endpoint.is_draining:
                zone.draining_reclaimable_count += endpoint.is_reclaimable
            elif endpoint.is_reclaimable:
                zone.reclaimable_count += 1
            else:
                zone.on_demand_count += 1
        return fleet

    async def _send_order(
        self,
        plan: CapacityPlan,
        service: ServiceId,
        order: Order,
        need: CapacityNeed,
        capacity: Capacity,
        hold: Hold,
        closed: frozenset[ZoneId],
    ) -> None:
        failure = await self._cloud.order_endpoints(
            hold.fencing_number,
            service,
            order.zone,
            order.total_count,
            is_reclaimable=order.is_reclaimable,
        )
        now_ms = self._clock.now_ms()
        if failure is None:
            plan.record_accepted(order, now_ms)
        elif failure.reason is Reason.CONFLICT:
            plan.record_refusal(order, now_ms)
        self._log.event(
            "endpoints_ordered",
            rule=order.rule,
            service=service,
            zone=order.zone,
            is_reclaimable=order.is_reclaimable,
            count=order.count,
            idle=order.idle_count,
            needed=need.count,
            needed_at_least=need.least_count,
            closed_zones=sorted(closed),
            binding=need.binding,
            demand=need.demand,
            ready=capacity.ready_count,
            lasting_share=round(capacity.lasting_share, 3),
            base_ms=round(self._models.engine(service).base_ms(), 1),
            ms_per_kilotoken=round(self._models.engine(service).prefill_ms(1_000), 1),
            fencing_number=hold.fencing_number,
            error=str(failure) if failure else "",
        )


def _tightest_target_ms(service: ServiceId, configuration: Configuration) -> int:
    """Return the shortest latency target of the routes to a service."""
    targets_ms = [
        route.target_latency_ms
        for routes in configuration.routes_by_host.values()
        for route in routes
        if any(name == service for name, _ in route.services)
    ]
    return min((t for t in targets_ms if t > 0), default=DEFAULT_TARGET_MS)
