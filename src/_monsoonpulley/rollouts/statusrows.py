"""Status rows of orders: how an order ends is decided by one write.

Every instance may end an order, as done or as rolled back. Its write is conditional on
the order's row and on the status row as it was last seen, so that an order ends once,
and only while it is its service's newest, whatever an instance knows and however long
it stood still before the write. An instance whose write comes second adopts the end
that is stored.
"""

from __future__ import annotations

from ..errors import Failure
from ..observability.log import Log
from ..platform.names import OPERATOR_TABLE
from ..platform.rollouts import (
    STATUS_TABLE,
    RolloutOrder,
    RolloutStatus,
    decode_status,
    encode_status,
    rollout_key,
)
from ..platform.store import Condition, Conflict, Put, Row, Store
from .rollouts import Phase, Rollouts

_FINAL_PHASES = {
    RolloutStatus.DONE: Phase.DONE,
    RolloutStatus.ROLLED_BACK: Phase.TAKEN_BACK,
}

MAX_ROLL_BACK_ATTEMPTS = 3
"""Attempts to write a roll-back at once: the first one may only tell the row's version,
and the holder of the duties may write between two."""


class RolloutStatusRows:
    """Reads and writes the status rows for this instance.

    Parameters
    ----------
    rollouts : Rollouts
        The orders; they end with their status rows.
    store : Store
        Stores the rows.
    log : Log
        Each write and each failed read is logged.
    """

    def __init__(self, rollouts: Rollouts, store: Store, log: Log):
        self._rollouts = rollouts
        self._store = store
        self._log = log
        # Statuses by the version of the order's row; versions of status rows by key.
        self._statuses: dict[int, RolloutStatus] = {}
        self._row_versions: dict[str, int] = {}

    def handle_era_change(self) -> None:
        """Forget what the rows held: the store lost what was written last."""
        self._statuses.clear()
        self._row_versions.clear()

    def has_ended(self, order: RolloutOrder) -> bool:
        """Return whether the stored status is known to be a final one."""
        return self._statuses.get(order.row_version) in _FINAL_PHASES

    async def read(self, order: RolloutOrder) -> bool:
        """Read an order's status, and end the order here if it has ended.

        Returns
        -------
        bool
            Whether the row could be read.
        """
        row = await self._store.read_row(STATUS_TABLE, rollout_key(order.service))
        if isinstance(row, Failure):
            self._log.event("rollout_status_unread", error=str(row))
            return False
        self._adopt(order, row)
        return True

    async def write(self, order: RolloutOrder, status: RolloutStatus, why: str) -> bool:
        """Write an order's status if needed; return whether it is stored.

        After a conflict a roll-back is written again over a status that isn't final,
        as it doesn't depend on what that says. The others are left to a new decision.

        Parameters
        ----------
        order : RolloutOrder
            The order; a final status that is stored ends it here.
        status : RolloutStatus
            Its status.
        why : str
            Reason of the decision, for the log.
        """
        attempts = MAX_ROLL_BACK_ATTEMPTS if status is RolloutStatus.ROLLED_BACK else 1
        for _ in range(attempts):
            if self.has_ended(order) or self._statuses.get(order.row_version) is status:
                break
            if not isinstance(await self._write_once(order, status, why), Conflict):
                break
        return self._statuses.get(order.row_version) is status

    async def _write_once(
        self, order: RolloutOrder, status: RolloutStatus, why: str
    ) -> int | Conflict | Failure:
        key = rollout_key(order.service)
        expected_version = self._row_versions.get(key, 0)
        result = await self._store.write(
            conditions=(
                Condition(STATUS_TABLE, key, expected_version),
                Condition(OPERATOR_TABLE, key, order.row_version),
            ),
            puts=(Put(STATUS_TABLE, key, encode_status(order, status)),),
        )
        if isinstance(result, int):
            self._record(order, result, status, why)
        elif isinstance(result, Conflict):
            self._handle_conflict(order, result)
        self._log.event(
            "rollout_status_written",
            service=order.service,
            version=order.version,
            status=status.value,
            why=why,
            is_done=isinstance(result, int),
            order_row_version=order.row_version,
            expected_row_version=expected_version,
            found=_describe(result) if isinstance(result, Conflict) else {},
            error=str(result) if isinstance(result, Failure) else "",
        )
        return result

    def _handle_conflict(self, order: RolloutOrder, conflict: Conflict) -> None:
        rows = {row.table: row for row in conflict.rows if row.value is not None}
        order_row = rows.get(OPERATOR_TABLE)
        if order_row is None or order_row.row_version != order.row_version:
            # Removed or replaced: the status row may be about another order.
            return
        self._adopt(order, rows.get(STATUS_TABLE))

    def _adopt(self, order: RolloutOrder, row: Row | None) -> None:
        """Record the status row of an order that is its service's newest."""
        if row is None or row.value is None:
            self._row_versions[rollout_key(order.service)] = 0
            return
        decoded = decode_status(row.value)
        status = None
        if isinstance(decoded, Failure):
            self._log.event("rollout_status_unread", error=str(decoded))
        elif row.row_version >= order.row_version and decoded[0] == order.version:
            status = decoded[1]
        state = status.value if status is not None else ""
        self._record(order, row.row_version, status, f"status row says {state}")

    def _record(
        self,
        order: RolloutOrder,
        row_version: int,
        status: RolloutStatus | None,
        why: str,
    ) -> None:
        """Record a status row; None if it isn't about this order."""
        key = rollout_key(order.service)
        if row_version < self._row_versions.get(key, 0):
            # The answer of an earlier call arrived after that of a later one.
            return
        self._row_versions[key] = row_version
        if status is None:
            return
        self._statuses[order.row_version] = status
        if status in _FINAL_PHASES:
            self._rollouts.advance(order, _FINAL_PHASES[status], why)


def _describe(conflict: Conflict) -> dict[str, str]:
    """Return the rows of a conflict by table, for the log."""
    return {
        row.table: f"{row.row_version} {(row.value or b'').decode(errors='replace')}"
        for row in conflict.rows
    }
