"""The duty of ordering endpoints."""

from __future__ import annotations

from ..clock import Clock
from ..control.leases import Hold
from ..errors import Reason
from ..fleet.configurationholder import ConfigurationHolder
from ..fleet.directory import EndpointDirectory
from ..fleet.model import Service
from ..ids import ServiceId, ZoneId
from ..observability.log import Log
from ..placing.loadboard import LoadBoard
from ..platform.cloud import CALL_TIMEOUT_MS, CloudClient
from .capacityplan import CapacityPlan, Load, Order, ZoneFleet


class CapacityDuty:
    """Orders endpoints for each service with a scaling specification.

    Parameters
    ----------
    configuration, directory, board : ConfigurationHolder, EndpointDirectory, LoadBoard
        The configuration in force, the endpoints, and their load.
    cloud : CloudClient
        Receives the orders.
    clock, log : Clock, Log
        Each order is logged.
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        directory: EndpointDirectory,
        board: LoadBoard,
        cloud: CloudClient,
        clock: Clock,
        log: Log,
    ):
        self._configuration = configuration
        self._directory = directory
        self._board = board
        self._cloud = cloud
        self._clock = clock
        self._log = log
        self._plans: dict[ServiceId, CapacityPlan] = {}

    async def step(self, hold: Hold) -> None:
        """Send the due orders while the duty is held."""
        current = self._configuration.current
        if current is None or not self._directory.is_loaded:
            return
        for service in current.services.values():
            if service.scaling is not None:
                await self._order_for(service, hold)

    async def _order_for(self, service: Service, hold: Hold) -> None:
        assert service.scaling is not None
        plan = self._plans.get(service.id)
        if plan is None:
            slots = service.engine.slots if service.engine else 1
            plan = self._plans[service.id] = CapacityPlan(slots)
        fleet, load = self._observe(service.id)
        orders = plan.due_orders(service.scaling, fleet, load, self._clock.now_ms())
        for order in orders:
            if not hold.may_act(CALL_TIMEOUT_MS):
                return
            await self._send_order(plan, service.id, order, load, hold)

    def _observe(self, service: ServiceId) -> tuple[dict[ZoneId, ZoneFleet], Load]:
        fleet: dict[ZoneId, ZoneFleet] = {}
        running_count = prefill_tokens = 0
        for endpoint in self._directory.all():
            if endpoint.service != service:
                continue
            zone = fleet.setdefault(endpoint.zone, ZoneFleet())
            if endpoint.is_draining:
                zone.draining_reclaimable_count += endpoint.is_reclaimable
            elif endpoint.is_reclaimable:
                zone.reclaimable_count += 1
            else:
                zone.on_demand_count += 1
            load = self._board.load(endpoint.id)
            running_count += load.running_count
            prefill_tokens += load.prefill_tokens
        return fleet, Load(running_count, prefill_tokens)

    async def _send_order(
        self,
        plan: CapacityPlan,
        service: ServiceId,
        order: Order,
        load: Load,
        hold: Hold,
    ) -> None:
        failure = await self._cloud.order_endpoints(
            hold.fencing_number,
            service,
            order.zone,
            order.count,
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
            running=load.running_count,
            unread_tokens=load.prefill_tokens,
            fencing_number=hold.fencing_number,
            error=str(failure) if failure else "",
        )
