"""Moving traffic to new versions, for the holder of the duties."""

from __future__ import annotations

from ..control.leases import Hold
from ..errors import Failure
from ..fleet.directory import EndpointDirectory
from ..observability.log import Log
from ..platform.rollouts import (
    STATUS_TABLE,
    RolloutOrder,
    RolloutStatus,
    encode_status,
    rollout_key,
)
from ..platform.store import Conflict, Expected, Put, Store
from ..rollouts.recall import RolloutRecall
from ..rollouts.rollouts import Phase, Rollouts

STEPS = (
    (0.80, Phase.FULL),
    (0.68, Phase.HALF),
    (0.50, Phase.RAMP),
    (0.0, Phase.CANARY),
)
"""Shares of the time until the deadline after which a phase begins. The canary has
half of it, for faults that come late; the last fifth is for streams of the old
version to end."""

DONE_AT = 0.9
"""Share of the time after which a version that has all traffic is done."""

GIVE_UP_AT = 0.95
"""Share of the time after which a version that is not done is taken back."""

SETTLE_MS = 1_500
"""A version has all traffic this long before it is done: the old endpoints stop
without draining, and a stream lasts about so long."""


class RolloutDuty:
    """Advances each order by its time, and writes its status.

    Parameters
    ----------
    rollouts : Rollouts
        Orders and their results.
    recall : RolloutRecall
        Whether an order's earlier end was looked for.
    directory : EndpointDirectory
        Which endpoints have the version.
    store : Store
        Keeps the status.
    log : Log
        Where each write is noted.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        recall: RolloutRecall,
        directory: EndpointDirectory,
        store: Store,
        log: Log,
    ):
        self._rollouts = rollouts
        self._recall = recall
        self._directory = directory
        self._store = store
        self._log = log
        self._written: dict[int, RolloutStatus] = {}
        self._row_versions: dict[str, int] = {}

    async def step(self, hold: Hold) -> None:
        """Advance every order, while the duty is held."""
        for order in self._rollouts.orders():
            if self._recall.is_read(order) and hold.may_act():
                await self._advance(order)

    async def _advance(self, order: RolloutOrder) -> None:
        phase = self._rollouts.phase(order)
        if phase is None:
            return
        if phase is Phase.TAKEN_BACK:
            await self._write(order, RolloutStatus.TAKEN_BACK)
            return
        if phase is Phase.DONE:
            return
        elapsed_ms, in_phase_ms = self._rollouts.elapsed_ms(order)
        share = elapsed_ms / max(1, order.duration_ms)
        if phase is Phase.FULL and share >= DONE_AT and in_phase_ms >= SETTLE_MS:
            if await self._write(order, RolloutStatus.DONE):
                self._rollouts.advance(order, Phase.DONE, "it has all traffic")
            return
        if share >= GIVE_UP_AT:
            self._rollouts.advance(order, Phase.TAKEN_BACK, "not done in time")
            await self._write(order, RolloutStatus.TAKEN_BACK)
            return
        await self._write(order, RolloutStatus.RUNNING)
        ready = self._directory.ready_endpoints(order.service)
        if any(endpoint.version == order.version for endpoint in ready):
            due = next(phase for after, phase in STEPS if share >= after)
            self._rollouts.advance(order, due, f"{share:.2f} of its time")

    async def _write(self, order: RolloutOrder, status: RolloutStatus) -> bool:
        """Write an order's status unless it stands; return whether it stands."""
        if self._written.get(order.row_version) is status:
            return True
        key = rollout_key(order.service)
        value = encode_status(order, status)
        expected = Expected(STATUS_TABLE, key, self._row_versions.get(key, 0))
        result = await self._store.write(
            expect=(expected,), put=(Put(STATUS_TABLE, key, value),)
        )
        is_done = isinstance(result, int)
        if isinstance(result, int):
            self._row_versions[key] = result
        elif isinstance(result, Conflict):
            is_done = self._take_conflict(order, key, value, result)
        self._log.event(
            "rollout_status_written",
            service=order.service,
            version=order.version,
            status=status.value,
            is_done=is_done,
            error=str(result) if isinstance(result, Failure) else "",
        )
        if is_done:
            self._written[order.row_version] = status
        return is_done

    def _take_conflict(
        self, order: RolloutOrder, key: str, value: bytes, conflict: Conflict
    ) -> bool:
        """Return whether the row already says what was to be written.

        A row that says that the order is done stands, whoever wrote it: the old
        version's endpoints have stopped.
        """
        row = next((row for row in conflict.rows if row.key == key), None)
        self._row_versions[key] = row.row_version if row is not None else 0
        if row is None or row.value is None:
            return False
        done = encode_status(order, RolloutStatus.DONE)
        if row.value == done and row.row_version > order.row_version:
            self._rollouts.advance(order, Phase.DONE, "by its status row")
        return row.value == value
