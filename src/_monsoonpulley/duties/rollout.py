"""The duty of moving traffic to new versions."""

from __future__ import annotations

from collections.abc import Callable

from ..control.leases import Hold
from ..errors import Failure
from ..fleet.directory import EndpointDirectory
from ..fleet.model import Endpoint
from ..observability.log import Log
from ..platform.rollouts import (
    STATUS_TABLE,
    RolloutOrder,
    RolloutStatus,
    encode_status,
    rollout_key,
)
from ..platform.store import Condition, Conflict, Put, Store
from ..rollouts.rollouts import Phase, Rollouts
from ..rollouts.statusreader import RolloutStatusReader

PHASE_STARTS = (
    (0.80, Phase.FULL),
    (0.68, Phase.HALF),
    (0.50, Phase.RAMP),
    (0.0, Phase.CANARY),
)
"""Share of the time to the deadline after which each phase starts. The canary gets
half of it, to find faults that show late; streams of the old version end in the last
fifth."""

DONE_AFTER_SHARE = 0.9
"""Share of the time after which a version with all traffic is done."""

ROLL_BACK_AFTER_SHARE = 0.95
"""Share of the time after which a version that is not done is rolled back."""

MIN_FULL_PHASE_MS = 1_500
"""Minimum time with all traffic before a version is done: the old endpoints then stop
without draining, and a stream lasts about this long."""


class RolloutDuty:
    """Advances each order with time and writes its status.

    Parameters
    ----------
    rollouts : Rollouts
        Orders and their phases.
    status_reader : RolloutStatusReader
        Reads whether an order has already ended.
    directory : EndpointDirectory
        Endpoints and their versions.
    store : Store
        Stores the status rows.
    log : Log
        Each write is logged.
    open_endpoints : callable
        Returns those of the endpoints that may get requests; the others show nothing of
        their version, and don't carry its traffic.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        status_reader: RolloutStatusReader,
        directory: EndpointDirectory,
        store: Store,
        log: Log,
        open_endpoints: Callable[
            [tuple[Endpoint, ...]], tuple[Endpoint, ...]
        ] = lambda endpoints: endpoints,
    ):
        self._rollouts = rollouts
        self._status_reader = status_reader
        self._directory = directory
        self._store = store
        self._log = log
        self._open_endpoints = open_endpoints
        self._stored_status: dict[int, RolloutStatus] = {}
        self._row_versions: dict[str, int] = {}

    def handle_era_change(self) -> None:
        """Forget what the status rows held: the store lost what was written last."""
        self._stored_status.clear()
        self._row_versions.clear()

    async def step(self, hold: Hold) -> None:
        """Advance every order while the duty is held."""
        for order in self._rollouts.orders():
            if self._status_reader.is_status_read(order) and hold.may_act():
                await self._advance(order)

    async def _advance(self, order: RolloutOrder) -> None:
        phase = self._rollouts.phase(order)
        if phase is None:
            return
        if phase is Phase.TAKEN_BACK:
            await self._write(order, RolloutStatus.ROLLED_BACK)
            return
        if phase is Phase.DONE:
            return
        elapsed_ms, phase_elapsed_ms = self._rollouts.elapsed_times_ms(order)
        share = elapsed_ms / max(1, order.duration_ms)
        ready = self._directory.ready_endpoints(order.service)
        new = tuple(each for each in ready if each.version == order.version)
        open_new = self._open_endpoints(new)
        # Done, the old version's endpoints stop while no new one may get requests.
        is_closed = bool(new) and not open_new
        if (
            not is_closed
            and phase is Phase.FULL
            and share >= DONE_AFTER_SHARE
            and phase_elapsed_ms >= MIN_FULL_PHASE_MS
        ):
            if await self._write(order, RolloutStatus.DONE):
                self._rollouts.advance(
                    order, Phase.DONE, "the version has had all traffic long enough"
                )
            return
        if share >= ROLL_BACK_AFTER_SHARE:
            self._rollouts.advance(
                order, Phase.TAKEN_BACK, "not done in time for the deadline"
            )
            await self._write(order, RolloutStatus.ROLLED_BACK)
            return
        await self._write(order, RolloutStatus.RUNNING)
        if open_new:
            due_phase = next(phase for after, phase in PHASE_STARTS if share >= after)
            self._rollouts.advance(
                order, due_phase, f"{share:.2f} of the time to the deadline has passed"
            )

    async def _write(self, order: RolloutOrder, status: RolloutStatus) -> bool:
        """Write an order's status if needed; return whether it is stored."""
        if self._stored_status.get(order.row_version) is status:
            return True
        key = rollout_key(order.service)
        value = encode_status(order, status)
        expected = Condition(STATUS_TABLE, key, self._row_versions.get(key, 0))
        result = await self._store.write(
            conditions=(expected,), puts=(Put(STATUS_TABLE, key, value),)
        )
        is_stored = isinstance(result, int)
        if isinstance(result, int):
            self._row_versions[key] = result
        elif isinstance(result, Conflict):
            is_stored = self._resolve_conflict(order, key, value, result)
        self._log.event(
            "rollout_status_written",
            service=order.service,
            version=order.version,
            status=status.value,
            is_done=is_stored,
            error=str(result) if isinstance(result, Failure) else "",
        )
        if is_stored:
            self._stored_status[order.row_version] = status
        return is_stored

    def _resolve_conflict(
        self, order: RolloutOrder, key: str, value: bytes, conflict: Conflict
    ) -> bool:
        """Return whether the row already has the value to be written.

        A row that says that the order is done is final, whoever wrote it: the old
        version's endpoints have stopped.
        """
        row = next((row for row in conflict.rows if row.key == key), None)
        self._row_versions[key] = row.row_version if row is not None else 0
        if row is None or row.value is None:
            return False
        done_value = encode_status(order, RolloutStatus.DONE)
        if row.value == done_value and row.row_version > order.row_version:
            self._rollouts.advance(order, Phase.DONE, "status row says done")
        return row.value == value
