"""Steps of single instances: start, load weights, drain and stop."""

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
from .fleetrows import ENDING, FleetRow, FleetRows, RowState, StoredRow
from .fleetview import FleetState, InstanceHistory
from .leases import Hold
from .refusals import Refusals

replace = msgspec.structs.replace
REPEATABLE_REASONS = frozenset((Reason.IN_DOUBT, Reason.UNAVAILABLE, Reason.TIMEOUT))
"""Failures after which a start is repeated with the same token."""


class LoadQueue:
    """Loads weights onto one instance at a time.

    Parameters
    ----------
    store : WeightStore
        Store of the weights; refuses concurrent loads above its limit.
    clock : Clock
        Clock of the calling instance.
    """

    def __init__(self, store: WeightStore, clock: Clock):
        self._store = store
        self._clock = clock
        self._task: asyncio.Task[Failure | None] | None = None
        self._instance = ""
        self._load_started_ms = 0
        self._loaded: set[str] = set()

    def start_next(self, rows: Iterable[FleetRow]) -> None:
        """Start the load that is due first, unless one is in progress."""
        due = [
            row
            for row in rows
            if row.state is RowState.STARTED and row.instance not in self._loaded
        ]
        if self._task is None and due:
            self._start_load(min(due, key=lambda row: (row.ready_wall_ms, row.token)))

    def _start_load(self, row: FleetRow) -> None:
        load = self._store.load(row.instance, row.spec.service, row.spec.version)
        self._instance = row.instance
        self._load_started_ms = self._clock.now_ms()
        self._task = asyncio.create_task(load, name=f"load/{row.instance}")

    def pop_finished(self) -> tuple[str, Failure | None] | None:
        """Return the instance of an ended load and its failure, once per load."""
        if self._task is None or not self._task.done():
            return None
        task, self._task = self._task, None
        failure = task.result()
        if failure is None:
            self._loaded.add(self._instance)
        return self._instance, failure

    def retain(self, rows: Iterable[FleetRow]) -> None:
        """Remove the loaded instances that have none of these rows."""
        self._loaded &= {row.instance for row in rows}

    def is_loaded(self, instance: str) -> bool:
        """Return whether this queue loaded the instance."""
        return instance in self._loaded

    def remaining_ms(self, rows: Mapping[str, StoredRow], load_ms: int) -> int:
        """Return the time until the loads in progress and due are finished."""
        due = (RowState.REQUESTED, RowState.STARTED)
        count = sum(each.row.state in due for each in rows.values())
        done_ms = 0
        if self._task is not None:
            done_ms = min(load_ms, self._clock.now_ms() - self._load_started_ms)
        return max(0, count * load_ms - done_ms)

    def cancel(self) -> None:
        """Cancel the load in progress."""
        if self._task is not None:
            self._task.cancel()


class FleetSteps:
    """Advances each row by one step per pass.

    Parameters
    ----------
    parts : CapacityParts
        Service, platform clients and settings.
    hold : Hold
        Lease; checked before each call to the cloud API.
    rows, refusals, loads
        Rows, refused markets and weight loads of the service.
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
        self._load_queue = loads
        self._call_slots = asyncio.Semaphore(parts.settings.max_concurrent_calls)
        self._leaving_since_ms: dict[str, int] = {}

    async def advance_all(
        self, rows: Mapping[str, StoredRow], fleet: FleetState, history: InstanceHistory
    ) -> None:
        """Advance every row by one step and start the next load."""
        self._load_queue.retain(each.row for each in rows.values())
        finished = self._load_queue.pop_finished()
        if finished is not None and finished[1] is not None:
            self._parts.log.event(
                "load_failed", loaded=finished[0], failure=finished[1]
            )
        self._load_queue.start_next(each.row for each in rows.values())
        steps = [self._advance(each, fleet, history) for each in rows.values()]
        await asyncio.gather(*steps)

    async def start_all(self, created: Iterable[StoredRow]) -> None:
        """Start the instances of newly created rows."""
        await asyncio.gather(*(self._start(each) for each in created))

    async def change_state(
        self, stored: StoredRow, state: RowState, rule: str
    ) -> StoredRow | None:
        """Write a new state, log it and return the row; ``None`` if not written."""
        if not self._hold.may_act():
            return None
        if stored.row.fencing_number > self._hold.fencing_number:
            return None
        row = self._with_state(stored.row, state=state)
        result = await self._rows.replace(stored, row)
        failure = result if isinstance(result, Failure) else None
        self._log_decision(rule, stored.row, failure)
        return None if failure else result

    async def _retry_start(self, stored: StoredRow) -> None:
        """Repeat an unconfirmed start with the same token."""
        written = await self.change_state(
            stored, RowState.REQUESTED, "start without an answer"
        )
        if written is not None:
            await self._start(written)

    async def _start(self, stored: StoredRow) -> None:
        async with self._call_slots:
            row = stored.row
            if not self._hold.may_act():
                return
            result = await self._parts.cloud.start(row.token, row.spec)
            market = Market(row.spec.zone, row.spec.machine_class, row.spec.reclaimable)
            now_ms = self._parts.clock.wall_ms()
            if not isinstance(result, Failure):
                self._refusals.record_start(market)
                await self._record_start_result(
                    stored, "started", RowState.STARTED, result
                )
            elif result.reason in REPEATABLE_REASONS:
                self._log_decision("start in doubt", row, result)
            else:
                self._refusals.record_refusal(market, now_ms)
                await self._record_start_result(
                    stored, "start refused", RowState.REFUSED, ""
                )

    async def _advance(
        self, stored: StoredRow, fleet: FleetState, history: InstanceHistory
    ) -> None:
        row = stored.row
        if row.state not in ENDING and row.instance:
            if row.instance in history.reclaim_announced:
                await self.change_state(stored, RowState.RECLAIMED, "reclaim announced")
                return
            if self._is_gone(row, fleet, history):
                await self.change_state(stored, RowState.STOPPING, "gone from the list")
                return
            if self._is_overdue(row, fleet):
                await self.change_state(stored, RowState.STOPPING, "never came")
                return
        match row.state:
            case RowState.REQUESTED:
                await self._retry_start(stored)
            case RowState.STARTED:
                if self._load_queue.is_loaded(row.instance):
                    await self.change_state(stored, RowState.LOADED, "weights loaded")
            case RowState.LEAVING:
                await self._drain(stored, fleet)
            case RowState.RECLAIMED:
                is_listed = row.instance in fleet.members
                if not is_listed and self._is_idle(row, fleet):
                    await self.change_state(stored, RowState.STOPPING, "reclaimed")
            case RowState.STOPPING:
                await self._stop(stored)
            case RowState.REFUSED:
                await self._delete_expired_refusal(stored)

    async def _drain(self, stored: StoredRow, fleet: FleetState) -> None:
        """Stop a leaving instance once no request can be in progress there."""
        row = stored.row
        endpoint = EndpointId(row.instance)
        now_ms = self._parts.clock.now_ms()
        if row.instance not in self._leaving_since_ms:
            self._parts.mark_leaving(endpoint)
            self._leaving_since_ms[row.instance] = now_ms
        leaving_ms = now_ms - self._leaving_since_ms[row.instance]
        if leaving_ms < self._parts.settings.leaving_propagation_ms:
            return
        if self._is_idle(row, fleet):
            await self.change_state(stored, RowState.STOPPING, "drained")

    async def _stop(self, stored: StoredRow) -> None:
        """Stop the instance right after writing its row under the current lease."""
        written = await self.change_state(stored, RowState.STOPPING, "stop")
        if written is None or not self._hold.may_act():
            return
        failure = await self._parts.cloud.stop(written.row.instance)
        if failure is not None and failure.reason is not Reason.NOT_FOUND:
            self._log_decision("stop not confirmed", written.row, failure)
            return
        self._leaving_since_ms.pop(written.row.instance, None)
        await self._rows.delete(written)

    async def _delete_expired_refusal(self, stored: StoredRow) -> None:
        age_ms = self._parts.clock.wall_ms() - stored.row.changed_wall_ms
        if age_ms < self._parts.settings.refused_retention_ms:
            return
        if self._hold.may_act():
            await self._rows.delete(stored)

    def _is_idle(self, row: FleetRow, fleet: FleetState) -> bool:
        """Return whether no request is in progress at the instance.

        While the number is unknown, an instance on the live list counts as busy.
        """
        in_progress = self._parts.in_progress(EndpointId(row.instance))
        if in_progress is None:
            return row.instance not in fleet.members
        return in_progress == 0

    def _is_gone(
        self, row: FleetRow, fleet: FleetState, history: InstanceHistory
    ) -> bool:
        since_ms = history.missing_since_ms.get(row.instance)
        if since_ms is None or not self._is_idle(row, fleet):
            return False
        missing_ms = self._parts.clock.now_ms() - since_ms
        return missing_ms >= self._parts.settings.gone_after_ms

    def _is_overdue(self, row: FleetRow, fleet: FleetState) -> bool:
        if row.instance in fleet.members or not self._is_idle(row, fleet):
            return False
        late_ms = self._parts.clock.wall_ms() - row.ready_wall_ms
        return late_ms > self._parts.settings.overdue_ms

    async def _record_start_result(
        self, stored: StoredRow, rule: str, state: RowState, instance: str
    ) -> None:
        """Write the result of a start; if the write fails, the start is repeated."""
        delay_ms = self._parts.clock.wall_ms() - stored.row.changed_wall_ms
        ready_ms = stored.row.ready_wall_ms + delay_ms
        row = self._with_state(
            stored.row, state=state, instance=instance, ready_wall_ms=ready_ms
        )
        result = await self._rows.replace(stored, row)
        failure = result if isinstance(result, Failure) else None
        self._log_decision(rule, row, failure)

    def _with_state(self, row: FleetRow, state: RowState, **changes) -> FleetRow:
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

    def _log_decision(self, rule: str, row: FleetRow, failure: Failure | None) -> None:
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
