"""Journal recovery and collection, sharded by first hex digit of request ids."""

from __future__ import annotations

import msgspec

from ..errors import Failure
from ..observability.log import Log
from .duties import duty_kinds
from .leases import Hold
from .parts import DutyParts

SHARDS = tuple("0123456789abcdef")
RECOVERY_INTERVAL_MS = 2_000
COLLECTION_INTERVAL_MS = 60_000


@duty_kinds.register("recovery")
class RecoveryDuty:
    """Adopts the records of a shard whose holder is gone."""

    def __init__(self, parts: DutyParts):
        self._parts = parts

    def shards(self) -> tuple[str, ...]:
        """Return the hex digits with which request ids begin."""
        return SHARDS

    async def run(self, shard: str, hold: Hold) -> None:
        """Recover the records of the shard at an interval, until cancelled."""
        parts = self._parts
        while True:
            if hold.may_act():
                report = await parts.recovery.recover(parts.is_gone, shard)
                log_pass(parts.log, "recovery", report)
            await parts.clock.sleep_ms(RECOVERY_INTERVAL_MS)


@duty_kinds.register("collection")
class CollectionDuty:
    """Deletes the records of a shard that are past their retention."""

    def __init__(self, parts: DutyParts):
        self._parts = parts

    def shards(self) -> tuple[str, ...]:
        """Return the hex digits with which request ids begin."""
        return SHARDS

    async def run(self, shard: str, hold: Hold) -> None:
        """Collect one page of the shard per interval, until cancelled."""
        parts = self._parts
        after = ""
        while True:
            await parts.clock.sleep_ms(COLLECTION_INTERVAL_MS)
            if not hold.may_act():
                continue
            report = await parts.collection.collect(shard, after)
            log_pass(parts.log, "collection", report)
            after = "" if isinstance(report, Failure) else report.after


def log_pass(log: Log, name: str, report: msgspec.Struct) -> None:
    """Log a pass over the journal that failed, or adopted or deleted records."""
    if isinstance(report, Failure):
        log.event(f"{name}_failed", failure=report)
    elif getattr(report, "adopted", 0) or getattr(report, "deleted", 0):
        log.event(f"{name}_pass", report=report)
