"""The tasks of an entry instance, as a tree of supervisors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..control.journalduties import log_pass
from ..ids import InstanceId
from ..supervisor import Restart, Supervisor

if TYPE_CHECKING:
    from .instance import EntryInstance

OWN_RECORDS_FIRST_MS = 5_000
OWN_RECORDS_INTERVAL_MS = 60_000
"""Mean interval at which an instance looks for records of its own that it does
not act on; no other instance can tell that they were left."""

FIRST_ROLLOUTS_MS = 5_000
"""How long readiness waits for the first read of the rollouts."""


class EntryTasks:
    """What runs as long as the instance does."""

    def __init__(self, instance: EntryInstance):
        self._instance = instance
        self._around = instance.surroundings

    def supervisor(self) -> Supervisor:
        """Return the root of the tree, not running yet."""
        root = self._new("instance")
        root.add("configuration", self._instance.watcher.run)
        root.add("readiness", self._become_ready, Restart.ON_FAILURE)
        root.add("endpoints", self._endpoints().run)
        root.add("peers", self._peers().run)
        root.add("requests", self._requests().run)
        root.add("control", self._control().run)
        return root

    def _endpoints(self) -> Supervisor:
        supervisor = self._new("endpoints")
        supervisor.add("roster", self._instance.roster.run)
        supervisor.add("feed", self._instance.feed.run)
        supervisor.add("notices", self._instance.notices.run)
        return supervisor

    def _peers(self) -> Supervisor:
        supervisor = self._new("peers")
        supervisor.add("sending", self._instance.exchange.run_sending)
        supervisor.add("receiving", self._instance.exchange.run_receiving)
        return supervisor

    def _requests(self) -> Supervisor:
        supervisor = self._new("requests")
        supervisor.add("admission", self._instance.gate.run)
        supervisor.add("evacuation", self._instance.evacuator.run)
        supervisor.add("stream-collection", self._instance.streams.run_collection)
        supervisor.add("own-records", self._recover_own)
        return supervisor

    def _control(self) -> Supervisor:
        supervisor = self._new("control")
        supervisor.add("leases", self._hold_leases)
        supervisor.add("rollouts", self._instance.rollout_watch.run)
        supervisor.add("hand-over", self._hand_over, Restart.ON_FAILURE)
        return supervisor

    def _new(self, name: str) -> Supervisor:
        around = self._around
        return Supervisor(name, around.clock, around.log, around.rng)

    async def _become_ready(self) -> None:
        instance = self._instance
        await instance.watcher.wait_ready()
        await instance.roster.refresh()
        await instance.rollout_watch.wait_until_read(FIRST_ROLLOUTS_MS)
        instance.lifecycle.ready()

    async def _hold_leases(self) -> None:
        await self._instance.lifecycle.wait_ready()
        try:
            await self._instance.leases.run()
        finally:
            self._instance.duties.cancel()

    async def _hand_over(self) -> None:
        await self._instance.lifecycle.wait_leaving()
        await self._instance.duties.hand_over_all()

    async def _recover_own(self) -> None:
        around = self._around
        wait_ms = OWN_RECORDS_FIRST_MS
        while True:
            await around.clock.sleep_ms(wait_ms * around.rng.uniform(1, 2))
            report = await self._instance.recovery.recover(self._is_former_self)
            log_pass(around.log, "recovery", report)
            wait_ms = OWN_RECORDS_INTERVAL_MS

    def _is_former_self(self, instance: InstanceId, incarnation: int) -> bool:
        identity = self._instance.identity
        return instance == identity.instance and incarnation < identity.incarnation
