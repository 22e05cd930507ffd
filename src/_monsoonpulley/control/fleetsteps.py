"""Steps of single instances: start, load, drain and stop."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.weightstore import WeightStore
from ..ids import EndpointId
from .fleet import Market
from .fleetdecision import FleetDecision
from .fleetparts import CapacityParts
from .fleetrows import ENDING, FleetRow, FleetRows, RowState, Stored
from .fleetview import FleetKnown, FleetView
from .leases import Hold
from .refusals import Refusals

replace = msgspec.structs.replace
OPEN_REASONS = frozenset((Reason.IN_DOUBT, Reason.UNAVAILABLE, Reason.TIMEOUT))
"""After these a start is repeated with the same token."""


class LoadQueue:
    """Loads weights onto one instance after the other.

    Parameters
    ----------
    store : WeightStore
        Refuses loads above its limit.
    clock : Clock
        Of the instance.
    """

    def __init__(self, store: WeightStore, clock: Clock):
        self._store = store
        self._clock = clock
        self._task: asyncio.Task[Failure | None] | None = None
        self._instance = ""
        self._began_ms = 0
        self._loaded: set[str] = set()

    def begin_first(self, rows: Iterable[FleetRow]) -> None:
        """Load onto the instance due first, unless a load is in progress."""
        due = [
            row
            for row in rows
            if row.state is RowState.STARTED and row.instance not in self._loaded
        ]
        if self._task is None and due:
            self._begin(min(due, key=lambda row: (row.ready_wall_ms, row.token)))

    def _begin(self, row: FleetRow) -> None:
        load = self._store.load(row.instance, row.spec.service, row.spec.version)
        self._instance = row.instance
        self._began_ms = self._clock.now_ms()
        self._task = asyncio.create_task(load, name=f"load/{row.instance}")

    def finished(self) -> tuple[str, Failure | None] | None:
        """Return the instance whose load ended and how, once."""
        if self._task is None or not self._task.done():
            return None
        task, self._task = self._task, None
        failure = task.result()
        if failure is None:
            self._loaded.add(self._instance)
        return self._instance, failure

    def keep(self, rows: Iterable[FleetRow]) -> None:
        """Forget which of the other instances were loaded."""
        self._loaded &= {row.instance for row in rows}

    def is_loaded(self, instance: str) -> bool:
        """Tell whether this queue loaded the instance."""
        return instance in self._loaded

    def waiting_ms(self, rows: Mapping[str, Stored], load_ms: int) -> int:
        """Return how long the store is taken by the loads that are due."""
        due = (RowState.WANTED, RowState.STARTED)
        count = sum(each.row.state in due for each in rows.values())
        done_ms = 0
        if self._task is not None:
            done_ms = min(load_ms, self._clock.now_ms() - self._began_ms)
        return max(0, count * load_ms - done_ms)

    def cancel(self) -> None:
        """End the load in progress."""
        if self._task is not None:
            self._task.cancel()


class FleetSteps:
    """Takes each row one step further.

    Parameters
    ----------
    parts : CapacityParts
        Service, platform and settings.
    hold : Hold
        Lease; asked before each order.
    rows, refusals, loads
        Of the service.
    """

    def __init__(
        self,
        parts: CapacityParts,
        hold: Hold,
        rows: FleetRows,
        refusals: Refusals,
        loads: LoadQueue,
    ):
        self._parts = parts
        self._hold = hold
        self._rows = rows
        self._refusals = refusals
        self._loads = loads
        self._calls = asyncio.Semaphore(parts.settings.calls_at_once)
        self._marked_ms: dict[str, int] = {}

    async def carry_on(
        self, rows: Mapping[str, Stored], fleet: FleetView, known: FleetKnown
    ) -> None:
        """Take every row of earlier passes one step further."""
        self._loads.keep(each.row for each in rows.values())
        ended = self._loads.finished()
        if ended is not None and ended[1] is not None:
            self._parts.log.event("load_failed", loaded=ended[0], failure=ended[1])
        self._loads.begin_first(each.row for each in rows.values())
        steps = [self._carry_on(each, fleet, known) for each in rows.values()]
        await asyncio.gather(*steps)

    async def start_all(self, created: Iterable[Stored]) -> None:
        """Start the instances of rows that were just written."""
        await asyncio.gather(*(self._start(each) for each in created))

    async def move(self, stored: Stored, state: RowState, rule: str) -> Stored | None:
        """Write a new state and log why."""
        if not self._hold.may_act():
            return None
        if stored.row.fencing_number > self._hold.fencing_number:
            return None
        row = self._stamped(stored.row, state=state)
        result = await self._rows.replace(stored, row)
        failure = result if isinstance(result, Failure) else None
        self._note(rule, stored.row, failure)
        return None if failure else result

    async def _start_again(self, stored: Stored) -> None:
        """Settle a start without an answer by the same token."""
        again = await self.move(stored, RowState.WANTED, "start without an answer")
        if again is not None:
            await self._start(again)

    async def _start(self, stored: Stored) -> None:
        async with self._calls:
            row = stored.row
            if not self._hold.may_act():
                return
            result = await self._parts.cloud.start(row.token, row.spec)
            market = Market(row.spec.zone, row.spec.machine_class, row.spec.reclaimable)
            now_ms = self._parts.clock.wall_ms()
            if not isinstance(result, Failure):
                self._refusals.record_start(market)
                await self._write(stored, "started", RowState.STARTED, result)
            elif result.reason in OPEN_REASONS:
                self._note("start in doubt", row, result)
            else:
                self._refusals.record_refusal(market, now_ms)
                await self._write(stored, "start refused", RowState.REFUSED, "")

    async def _carry_on(
        self, stored: Stored, fleet: FleetView, known: FleetKnown
    ) -> None:
        row = stored.row
        if row.state not in ENDING and row.instance:
            if row.instance in known.noticed:
                await self.move(stored, RowState.RECLAIMED, "reclaim announced")
                return
            if self._is_gone(row, fleet, known):
                await self.move(stored, RowState.STOPPING, "gone from the list")
                return
            if self._never_came(row, fleet):
                await self.move(stored, RowState.STOPPING, "never came")
                return
        match row.state:
            case RowState.WANTED:
                await self._start_again(stored)
            case RowState.STARTED:
                if self._loads.is_loaded(row.instance):
                    await self.move(stored, RowState.LOADED, "weights loaded")
            case RowState.LEAVING:
                await self._drain(stored, fleet)
            case RowState.RECLAIMED:
                is_listed = row.instance in fleet.members
                if not is_listed and self._is_idle(row, fleet):
                    await self.move(stored, RowState.STOPPING, "reclaimed")
            case RowState.STOPPING:
                await self._stop(stored)
            case RowState.REFUSED:
                await self._forget_refused(stored)

    async def _drain(self, stored: Stored, fleet: FleetView) -> None:
        """Stop a leaving instance once nothing can be in progress there."""
        row = stored.row
        endpoint = EndpointId(row.instance)
        now_ms = self._parts.clock.now_ms()
        if row.instance not in self._marked_ms:
            self._parts.mark_leaving(endpoint)
            self._marked_ms[row.instance] = now_ms
        marked_ms = now_ms - self._marked_ms[row.instance]
        if marked_ms < self._parts.settings.leaving_spread_ms:
            return
        if self._is_idle(row, fleet):
            await self.move(stored, RowState.STOPPING, "drained")

    async def _stop(self, stored: Stored) -> None:
        """Stop the instance, right after a fresh write of its row."""
        again = await self.move(stored, RowState.STOPPING, "stop")
        if again is None or not self._hold.may_act():
            return
        failure = await self._parts.cloud.stop(again.row.instance)
        if failure is not None and failure.reason is not Reason.NOT_FOUND:
            self._note("stop not confirmed", again.row, failure)
            return
        self._marked_ms.pop(again.row.instance, None)
        await self._rows.delete(again)

    async def _forget_refused(self, stored: Stored) -> None:
        age_ms = self._parts.clock.wall_ms() - stored.row.changed_wall_ms
        if age_ms < self._parts.settings.refused_keep_ms:
            return
        if self._hold.may_act():
            await self._rows.delete(stored)

    def _is_idle(self, row: FleetRow, fleet: FleetView) -> bool:
        """Tell whether nothing is in progress at the instance, as far as known."""
        in_progress = self._parts.in_progress(EndpointId(row.instance))
        if in_progress is None:
            return row.instance not in fleet.members
        return in_progress == 0

    def _is_gone(self, row: FleetRow, fleet: FleetView, known: FleetKnown) -> bool:
        since_ms = known.missing_ms.get(row.instance)
        if since_ms is None or not self._is_idle(row, fleet):
            return False
        missing_ms = self._parts.clock.now_ms() - since_ms
        return missing_ms >= self._parts.settings.gone_after_ms

    def _never_came(self, row: FleetRow, fleet: FleetView) -> bool:
        if row.instance in fleet.members or not self._is_idle(row, fleet):
            return False
        late_ms = self._parts.clock.wall_ms() - row.ready_wall_ms
        return late_ms > self._parts.settings.overdue_ms

    async def _write(
        self, stored: Stored, rule: str, state: RowState, instance: str
    ) -> None:
        """Write the answer to a start; if that fails, the start is repeated."""
        delay_ms = self._parts.clock.wall_ms() - stored.row.changed_wall_ms
        ready_ms = stored.row.ready_wall_ms + delay_ms
        row = self._stamped(
            stored.row, state=state, instance=instance, ready_wall_ms=ready_ms
        )
        result = await self._rows.replace(stored, row)
        failure = result if isinstance(result, Failure) else None
        self._note(rule, row, failure)

    def _stamped(self, row: FleetRow, state: RowState, **changes) -> FleetRow:
        changed_ms = self._parts.clock.wall_ms()
        if state is row.state:
            changed_ms = row.changed_wall_ms
        return replace(
            row,
            state=state,
            fencing_number=self._hold.fencing_number,
            changed_wall_ms=changed_ms,
            **changes,
        )

    def _note(self, rule: str, row: FleetRow, failure: Failure | None) -> None:
        in_progress = None
        if row.instance:
            in_progress = self._parts.in_progress(EndpointId(row.instance))
        self._parts.log.decision(
            FleetDecision(
                rule=rule,
                service=self._parts.service,
                fencing_number=self._hold.fencing_number,
                row=row,
                in_progress=in_progress,
                failure=failure,
            )
        )
