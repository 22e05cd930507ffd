"""The duty of ordering endpoints."""

from __future__ import annotations

from ..clock import Clock
from ..control.leases import Hold
from ..errors import Reason
from ..fleet.configurationholder import ConfigurationHolder
from ..fleet.directory import EndpointDirectory
from ..fleet.model import Configuration, Service
from ..ids import ServiceId, ZoneId
from ..observability.log import Log
from ..placing.demandmeter import DemandMeter
from ..placing.endpointmodels import EndpointModels
from ..placing.servicecapacity import Capacity, ServiceCapacities
from ..platform.cloud import CALL_TIMEOUT_MS, CloudClient
from ..rollouts.rollouts import Rollouts
from .capacityneed import CapacityNeed, compute_engine_need, compute_service_need
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
    cloud : CloudClient
        Receives the orders.
    clock, log : Clock, Log
        Each order is logged.
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        directory: EndpointDirectory,
        models: EndpointModels,
        demand: DemandMeter,
        rollouts: Rollouts,
        capacities: ServiceCapacities,
        cloud: CloudClient,
        clock: Clock,
        log: Log,
    ):
        self._configuration = configuration
        self._directory = directory
        self._models = models
        self._demand = demand
        self._rollouts = rollouts
        self._capacities = capacities
        self._cloud = cloud
        self._clock = clock
        self._log = log
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
        orders = plan.due_orders(
            service.scaling,
            self._observe(service.id),
            need,
            now_ms - self._directory.loaded_ms,
            now_ms,
            is_version_changing=self._rollouts.is_in_progress(service.id),
        )
        for order in orders:
            if not hold.may_act(CALL_TIMEOUT_MS):
                return
            await self._send_order(plan, service.id, order, need, capacity, hold)

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
