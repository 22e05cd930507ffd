"""Orders of endpoint instances from the platform's cloud API.

Each order is a row first. Right before a call to the cloud API the holder stamps
the row with its fencing number, on the condition that nobody wrote it meanwhile,
and checks its lease. New rows also need the service's head row unchanged.

The cloud API checks no fencing number: a holder paused after that check may still
send its call late. A late start has the same token and gives the same instance; a
late stop is of an instance that never serves again. Only a start that was refused
before may then succeed without a row; its instance shows up on the list and is
counted and released from there.
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
from .fleetrows import FleetRow, FleetRows, RowState, Stored
from .fleetsteps import FleetSteps, LoadQueue
from .fleetview import FleetKnown, FleetView, market_of, view
from .leases import Hold
from .offers import ReclaimRates, make_offers
from .refusals import Refusals

TOKEN_BITS = 64


class FleetOrders:
    """Keeps the fleet of one service at its needs, while its lease is held.

    Parameters
    ----------
    parts : CapacityParts
        Service, platform and settings.
    hold : Hold
        The lease under which everything is ordered.
    """

    def __init__(self, parts: CapacityParts, hold: Hold):
        self._parts = parts
        self._hold = hold
        self._rows = FleetRows(parts.table, parts.service, hold.fencing_number)
        self._refusals = Refusals(parts.refusing)
        self._rates = ReclaimRates(parts.clock.wall_ms())
        self._loads = LoadQueue(parts.weights, parts.clock)
        self._steps = FleetSteps(parts, hold, self._rows, self._refusals, self._loads)
        self._known = FleetKnown()
        self._state = PlanState()
        self._idle: dict[VersionId, tuple[str, ...]] = {}
        self._unconfirmed: list[FleetRow] = []
        self._members: tuple[Member, ...] | None = None
        self._prices: tuple[Price, ...] = ()
        self._facts: WeightFacts | None = None

    async def run(self) -> None:
        """Look at the fleet again and again, until cancelled."""
        try:
            while True:
                if self._hold.may_act():
                    await self.step()
                await self._parts.clock.sleep_ms(self._parts.settings.pass_ms)
        finally:
            self._loads.cancel()

    async def step(self) -> None:
        """Take one pass: read, settle what is open, plan, order."""
        failure = await self._read_platform()
        failure = failure or await self._rows.claim()
        rows = failure or await self._rows.scan()
        if self._unconfirmed and not isinstance(rows, Failure):
            failure = await self._settle_unconfirmed(rows)
            rows = failure or await self._rows.scan()
        if isinstance(rows, Failure):
            # Without confirmed rows nothing is ordered; what runs stays.
            self._parts.log.event("capacity_skipped", failure=rows)
            return
        fleet = self._view(rows)
        await self._steps.carry_on(rows, fleet, self._known)
        rows = await self._rows.scan()
        if isinstance(rows, Failure):
            self._parts.log.event("capacity_skipped", failure=rows)
            return
        self._known.keep(each.row.instance for each in rows.values())
        await self._plan(rows)

    async def _read_platform(self) -> Failure | None:
        """Read list, notices and prices; what can't be read stays as it was."""
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
            self._take_notices(notices)
        return await self._read_weights()

    async def _read_weights(self) -> Failure | None:
        needs = self._needs(0)
        if self._facts is not None or not needs:
            return None
        facts = await self._parts.weights.facts(self._parts.service, needs[0].version)
        if isinstance(facts, Failure):
            return facts
        self._facts = facts
        return None

    def _take_notices(self, notices: Sequence[ReclaimNotice]) -> None:
        now_ms = self._parts.clock.wall_ms()
        members = {each.instance: each for each in self._members or ()}
        for notice in notices:
            member = members.get(notice.instance)
            is_new = notice.instance not in self._known.noticed
            self._known.noticed.add(notice.instance)
            if member is None or not is_new:
                continue
            self._rates.record_notice(member.zone, now_ms)
            for offer in self._offers():
                if offer.market.zone == member.zone and offer.market.reclaimable:
                    self._refusals.record_reclaim(offer.market, now_ms)

    def _view(self, rows: dict[str, Stored]) -> FleetView:
        speeds = {each.market: each.units_per_s for each in self._offers()}
        return view(
            self._parts.service,
            rows,
            self._members or (),
            self._known,
            speeds,
            self._parts.in_progress,
            self._load_ms > 0,
            self._parts.clock.now_ms(),
            self._parts.settings.lost_after_ms,
        )

    async def _plan(self, rows: dict[str, Stored]) -> None:
        now_ms = self._parts.clock.wall_ms()
        needs = self._needs(now_ms)
        if needs is None:
            return
        waiting = self._loads.waiting_ms(rows, self._load_ms)
        situation = PlanInput(
            service=self._parts.service,
            needs=needs,
            fleet=self._view(rows).endpoints,
            offers=self._offers(),
            loads=WeightLoads(self._load_ms, now_ms + waiting),
            blocked=self._refusals.blocked_markets(now_ms),
        )
        made = plan(situation, self._state, self._parts.planning, now_ms)
        self._state = made.state
        for decision in made.decisions:
            self._note(decision)
        await self._order(made.orders)
        names = {each.name for each in made.releases}
        await self._release(names, rows)

    def _note(self, decision: CapacityDecision) -> None:
        """Log a decision; one that changes nothing only when it is new."""
        version = decision.need.version
        is_idle = not decision.ordered and not decision.releases
        if is_idle and self._idle.get(version) == decision.unmet:
            return
        self._idle.pop(version, None)
        if is_idle:
            self._idle[version] = decision.unmet
        self._parts.log.decision(decision)

    async def _order(self, orders: Sequence[PlannedOrder]) -> None:
        rows = [self._row(each) for each in orders]
        size = self._parts.settings.orders_per_commit
        for first in range(0, len(rows), size):
            if not await self._create(rows[first : first + size]):
                return

    async def _create(self, rows: list[FleetRow]) -> bool:
        if not self._hold.may_act():
            return False
        created = await self._rows.create(rows)
        if isinstance(created, Failure):
            # The rows may be there, or come; the same ones are written again.
            self._parts.log.event("capacity_unconfirmed", failure=created)
            self._unconfirmed += rows
            return False
        await self._steps.start_all(created)
        return True

    async def _settle_unconfirmed(self, rows: dict[str, Stored]) -> Failure | None:
        """Write rows in doubt once more, but for those that are there.

        Until that is confirmed nothing else is ordered.
        """
        missing = [each for each in self._unconfirmed if each.token not in rows]
        size = self._parts.settings.orders_per_commit
        if missing and self._hold.may_act():
            created = await self._rows.create(missing[:size])
            if isinstance(created, Failure):
                return created
        self._unconfirmed = missing[size:]
        return None

    async def _release(self, names: set[str], rows: dict[str, Stored]) -> None:
        if not names:
            return
        instances = {each.row.instance: each for each in rows.values()}
        members = {each.instance: each for each in self._members or ()}
        for name in sorted(names):
            if name in instances:
                await self._steps.move(instances[name], RowState.LEAVING, "released")
            elif name in members and self._hold.may_act():
                adopted = self._adopted(members[name])
                result = await self._rows.create([adopted])
                if isinstance(result, Failure):
                    self._parts.log.event("capacity_unconfirmed", failure=result)

    def _row(self, planned: PlannedOrder) -> FleetRow:
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
            RowState.WANTED,
            self._hold.fencing_number,
            order.ready_ms,
            self._parts.clock.wall_ms(),
            replaces=planned.replaces,
        )

    def _adopted(self, member: Member) -> FleetRow:
        """Return the row by which an instance without one is released."""
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
        return make_offers(self._prices, self._parts.profiles, self._rates, now_ms)

    @property
    def _load_ms(self) -> int:
        return self._facts.load_ms if self._facts is not None else 0

    @property
    def _lead_ms(self) -> int:
        starts = [each.start_ms for each in self._parts.profiles.values()]
        return max(starts, default=0) + self._load_ms
