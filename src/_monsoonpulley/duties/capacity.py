"""Orders of endpoints, for the holder of the duties."""

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
    """Keeps the endpoints of each service that can be ordered to its plan.

    Parameters
    ----------
    configuration, directory, board
        What is asked for, what stands, and how busy it is.
    cloud : CloudClient
        Takes the orders.
    clock, log : Clock, Log
        Time, and where each order is noted.
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
        """Give the orders that are due, while the duty is held."""
        current = self._configuration.current
        if current is None or not self._directory.is_loaded:
            return
        for service in current.services.values():
            if service.scaling is not None:
                await self._order(service, hold)

    async def _order(self, service: Service, hold: Hold) -> None:
        assert service.scaling is not None
        plan = self._plans.get(service.id)
        if plan is None:
            slots = service.engine.slots if service.engine else 1
            plan = self._plans[service.id] = CapacityPlan(slots)
        fleet, load = self._look(service.id)
        orders = plan.orders(service.scaling, fleet, load, self._clock.now_ms())
        for order in orders:
            if not hold.may_act(CALL_TIMEOUT_MS):
                return
            await self._give(plan, service.id, order, load, hold)

    def _look(self, service: ServiceId) -> tuple[dict[ZoneId, ZoneFleet], Load]:
        fleet: dict[ZoneId, ZoneFleet] = {}
        running = unread_tokens = 0
        for endpoint in self._directory.all():
            if endpoint.service != service:
                continue
            zone = fleet.setdefault(endpoint.zone, ZoneFleet())
            if endpoint.is_draining:
                zone.leaving += endpoint.is_reclaimable
            elif endpoint.is_reclaimable:
                zone.reclaimable += 1
            else:
                zone.others += 1
            load = self._board.load(endpoint.id)
            running += load.running
            unread_tokens += load.unread_tokens
        return fleet, Load(running, unread_tokens)

    async def _give(
        self,
        plan: CapacityPlan,
        service: ServiceId,
        order: Order,
        load: Load,
        hold: Hold,
    ) -> None:
        failure = await self._cloud.order(
            hold.fencing_number,
            service,
            order.zone,
            order.count,
            is_reclaimable=order.is_reclaimable,
        )
        now_ms = self._clock.now_ms()
        if failure is None:
            plan.sent(order, now_ms)
        elif failure.reason is Reason.CONFLICT:
            plan.refused(order, now_ms)
        self._log.event(
            "endpoints_ordered",
            rule=order.rule,
            service=service,
            zone=order.zone,
            is_reclaimable=order.is_reclaimable,
            count=order.count,
            running=load.running,
            unread_tokens=load.unread_tokens,
            fencing_number=hold.fencing_number,
            error=str(failure) if failure else "",
        )
