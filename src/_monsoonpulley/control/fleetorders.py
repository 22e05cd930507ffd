"""Orders endpoint instances through the platform's cloud API.

An order is written as a row before it is sent. Right before each call to the cloud
API the holder writes its fencing number into the row, provided that the row is
unchanged since it was read, and checks its lease. New rows also require that the
service's head row is unchanged.

The cloud API doesn't check fencing numbers, so a holder that is paused after the
check may send its call late. A late start uses the same token and yields the same
instance; a late stop concerns an instance that never serves again. Only a start
that was refused before can then succeed without a row; its instance appears on the
live list, and it is counted and released from there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from ..errors import Failure
from ..external.cloud import InstanceSpec, Price, ReclaimNotice
from ..external.livelist import Member
from ..external.weightstore import WeightFacts
from ..ids import VersionId
from .capacitydecision import (
    CapacityDecision,
    PlanInput,
    PlannedOrder,
    PlanState,
    WeightLoads,
)
from .capacityplan import plan
from .fleet import Need, Offer
from .fleetparts import CapacityParts
from .fleetrows import FleetRow, FleetRows, RowState, StoredRow
from .fleetsteps import FleetSteps, LoadQueue
from .fleetview import FleetState, InstanceHistory, build_fleet_state, market_of
from .leases import Hold
from .offers import ReclaimRates, make_offers
from .refusals import Refusals

TOKEN_BITS = 64


class FleetOrders:
    """Keeps the fleet of one service at its needs while the lease is held.

    Parameters
    ----------
    parts : CapacityParts
        Service, platform clients and settings.
    hold : Hold
        Lease under which instances are ordered.
    """

    def __init__(self, parts: CapacityParts, hold: Hold):
        self._parts = parts
        self._hold = hold
        self._rows = FleetRows(parts.table, parts.service, hold.fencing_number)
        self._refusals = Refusals(parts.refusing)
        self._reclaim_rates = ReclaimRates(parts.clock.wall_ms())
        self._load_queue = LoadQueue(parts.weights, parts.clock)
        self._steps = FleetSteps(
            parts, hold, self._rows, self._refusals, self._load_queue
        )
        self._history = InstanceHistory()
        self._plan_state = PlanState()
        self._logged_unmet: dict[VersionId, tuple[str, ...]] = {}
        self._unconfirmed_rows: list[FleetRow] = []
        self._members: tuple[Member, ...] | None = None
        self._prices: tuple[Price, ...] = ()
        self._weight_facts: WeightFacts | None = None

    async def run(self) -> None:
        """Run a pass at each interval while the lease is held, until cancelled."""
        try:
            while True:
                if self._hold.may_act():
                    await self.run_pass()
                await self._parts.clock.sleep_ms(self._parts.settings.pass_interval_ms)
        finally:
            self._load_queue.cancel()

    async def run_pass(self) -> None:
        """Run one pass: read platform and rows, advance the rows, plan and order."""
        failure = await self._read_platform()
        failure = failure or await self._rows.claim_head()
        rows = failure or await self._rows.scan()
        if self._unconfirmed_rows and not isinstance(rows, Failure):
            failure = await self._create_unconfirmed(rows)
            rows = failure or await self._rows.scan()
        if isinstance(rows, Failure):
            # Without confirmed rows no instance is ordered or stopped.
            self._parts.log.event("capacity_skipped", failure=rows)
            return
        fleet = self._build_fleet_state(rows)
        await self._steps.advance_all(rows, fleet, self._history)
        rows = await self._rows.scan()
        if isinstance(rows, Failure):
            self._parts.log.event("capacity_skipped", failure=rows)
            return
        self._history.retain(each.row.instance for each in rows.values())
        await self._plan(rows)

    async def _read_platform(self) -> Failure | None:
        """Read live list, notices and prices; keep the last value of what fails."""
        parts = self._parts
        members, notices, prices = await asyncio.gather(
            parts.livelist.members(), parts.cloud.notices(), parts.cloud.prices()
        )
        if not isinstance(prices, Failure):
            self._prices = prices
        if not isinstance(members, Failure):
            self._members = members
        if self._members is None:
            return members
        if not isinstance(notices, Failure):
            self._record_notices(notices)
        return await self._read_weight_facts()

    async def _read_weight_facts(self) -> Failure | None:
        needs = self._needs(0)
        if self._weight_facts is not None or not needs:
            return None
        facts = await self._parts.weights.facts(self._parts.service, needs[0].version)
        if isinstance(facts, Failure):
            return facts
        self._weight_facts = facts
        return None

    def _record_notices(self, notices: Sequence[ReclaimNotice]) -> None:
        now_ms = self._parts.clock.wall_ms()
        for member in self._history.record_notices(notices, self._members or ()):
            self._reclaim_rates.record_notice(member.zone, now_ms)
            for offer in self._offers():
                if offer.market.zone == member.zone and offer.market.reclaimable:
                    self._refusals.record_reclaim(offer.market, now_ms)

    def _build_fleet_state(self, rows: dict[str, StoredRow]) -> FleetState:
        speeds = {each.market: each.units_per_s for each in self._offers()}
        return build_fleet_state(
            self._parts.service,
            rows,
            self._members or (),
            self._history,
            speeds,
            self._parts.in_progress,
            self._load_ms > 0,
            self._parts.clock.now_ms(),
            self._parts.settings.lost_after_ms,
        )

    async def _plan(self, rows: dict[str, StoredRow]) -> None:
        now_ms = self._parts.clock.wall_ms()
        needs = self._needs(now_ms)
        if needs is None:
            return
        load_wait_ms = self._load_queue.remaining_ms(rows, self._load_ms)
        situation = PlanInput(
            service=self._parts.service,
            needs=needs,
            fleet=self._build_fleet_state(rows).endpoints,
            offers=self._offers(),
            loads=WeightLoads(self._load_ms, now_ms + load_wait_ms),
            blocked=self._refusals.blocked_markets(now_ms),
        )
        result = plan(situation, self._plan_state, self._parts.planning, now_ms)
        self._plan_state = result.state
        for decision in result.decisions:
            self._log_decision(decision)
        await self._create_rows(result.orders)
        names = {each.name for each in result.releases}
        await self._release_endpoints(names, rows)

    def _log_decision(self, decision: CapacityDecision) -> None:
        """Log a decision; if it changes nothing, only when its unmet need is new."""
        version = decision.need.version
        is_idle = not decision.ordered and not decision.releases
        if is_idle and self._logged_unmet.get(version) == decision.unmet:
            return
        self._logged_unmet.pop(version, None)
        if is_idle:
            self._logged_unmet[version] = decision.unmet
        self._parts.log.decision(decision)

    async def _create_rows(self, orders: Sequence[PlannedOrder]) -> None:
        rows = [self._make_row(each) for each in orders]
        size = self._parts.settings.max_rows_per_commit
        for first in range(0, len(rows), size):
            if not await self._create_batch(rows[first : first + size]):
                return

    async def _create_batch(self, rows: list[FleetRow]) -> bool:
        if not self._hold.may_act():
            return False
        created = await self._rows.create(rows)
        if isinstance(created, Failure):
            # The write may have taken effect or still do so: repeat these rows.
            self._parts.log.event("capacity_unconfirmed", failure=created)
            self._unconfirmed_rows += rows
            return False
        await self._steps.start_all(created)
        return True

    async def _create_unconfirmed(self, rows: dict[str, StoredRow]) -> Failure | None:
        """Write rows again whose creation was not confirmed and that don't exist.

        No other instance is ordered until this is confirmed.
        """
        missing = [each for each in self._unconfirmed_rows if each.token not in rows]
        size = self._parts.settings.max_rows_per_commit
        if missing and self._hold.may_act():
            created = await self._rows.create(missing[:size])
            if isinstance(created, Failure):
                return created
        self._unconfirmed_rows = missing[size:]
        return None

    async def _release_endpoints(
        self, names: set[str], rows: dict[str, StoredRow]
    ) -> None:
        if not names:
            return
        instances = {each.row.instance: each for each in rows.values()}
        members = {each.instance: each for each in self._members or ()}
        for name in sorted(names):
            if name in instances:
                await self._steps.change_state(
                    instances[name], RowState.LEAVING, "released"
                )
            elif name in members and self._hold.may_act():
                adopted = self._make_adopted_row(members[name])
                result = await self._rows.create([adopted])
                if isinstance(result, Failure):
                    self._parts.log.event("capacity_unconfirmed", failure=result)

    def _make_row(self, planned: PlannedOrder) -> FleetRow:
        order = planned.order
        market = order.market
        spec = InstanceSpec(
            market.zone,
            market.machine_class,
            market.reclaimable,
            order.service,
            order.version,
        )
        return FleetRow(
            f"{self._parts.rng.getrandbits(TOKEN_BITS):016x}",
            spec,
            RowState.REQUESTED,
            self._hold.fencing_number,
            order.ready_ms,
            self._parts.clock.wall_ms(),
            replaces=planned.replaces,
        )

    def _make_adopted_row(self, member: Member) -> FleetRow:
        """Return a row through which an instance without a row is released."""
        market = market_of(member)
        spec = InstanceSpec(
            market.zone,
            market.machine_class,
            market.reclaimable,
            member.service,
            member.version,
        )
        now_ms = self._parts.clock.wall_ms()
        return FleetRow(
            f"adopted-{member.instance}",
            spec,
            RowState.LEAVING,
            self._hold.fencing_number,
            now_ms,
            now_ms,
            member.instance,
        )

    def _needs(self, now_ms: int) -> tuple[Need, ...] | None:
        return self._parts.needs(now_ms, self._lead_ms)

    def _offers(self) -> tuple[Offer, ...]:
        now_ms = self._parts.clock.wall_ms()
        return make_offers(
            self._prices, self._parts.profiles, self._reclaim_rates, now_ms
        )

    @property
    def _load_ms(self) -> int:
        return self._weight_facts.load_ms if self._weight_facts is not None else 0

    @property
    def _lead_ms(self) -> int:
        starts = [each.start_ms for each in self._parts.profiles.values()]
        return max(starts, default=0) + self._load_ms
