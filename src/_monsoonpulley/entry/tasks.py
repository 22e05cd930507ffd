"""The background tasks of an entry instance, as a tree of supervisors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..control.journalduties import log_pass
from ..ids import InstanceId
from ..supervisor import Restart, Supervisor

if TYPE_CHECKING:
    from .instance import EntryInstance

OWN_RECORDS_INITIAL_DELAY_MS = 5_000
OWN_RECORDS_INTERVAL_MS = 60_000
"""Minimum interval between scans for journal records that an earlier incarnation
of this instance left unfinished; other instances can't tell that they were left."""

ROLLOUTS_READ_TIMEOUT_MS = 5_000
"""How long readiness waits for the first read of the roll-outs."""


class EntryTasks:
    """Background tasks that run as long as the instance."""

    def __init__(self, instance: EntryInstance):
        self._instance = instance
        self._env = instance.environment

    def build_supervisor(self) -> Supervisor:
        """Return the root supervisor, not started yet."""
        root = self._new_supervisor("instance")
        root.add("configuration", self._instance.watcher.run)
        root.add("readiness", self._become_ready, Restart.ON_FAILURE)
        root.add("endpoints", self._endpoint_tasks().run)
        root.add("peers", self._peer_tasks().run)
        root.add("requests", self._request_tasks().run)
        root.add("control", self._control_tasks().run)
        return root

    def _endpoint_tasks(self) -> Supervisor:
        supervisor = self._new_supervisor("endpoints")
        supervisor.add("roster", self._instance.roster.run)
        supervisor.add("feed", self._instance.engine_feed.run)
        supervisor.add("notices", self._instance.notice_watch.run)
        return supervisor

    def _peer_tasks(self) -> Supervisor:
        supervisor = self._new_supervisor("peers")
        supervisor.add("sending", self._instance.exchange.run_sending)
        supervisor.add("receiving", self._instance.exchange.run_receiving)
        return supervisor

    def _request_tasks(self) -> Supervisor:
        supervisor = self._new_supervisor("requests")
        supervisor.add("admission", self._instance.gate.run)
        supervisor.add("evacuation", self._instance.evacuator.run)
        supervisor.add("quarantine", self._instance.crash_guard.run)
        supervisor.add("stream-collection", self._instance.streams.run_collection)
        supervisor.add("own-records", self._recover_own_records)
        return supervisor

    def _control_tasks(self) -> Supervisor:
        supervisor = self._new_supervisor("control")
        supervisor.add("leases", self._hold_leases)
        supervisor.add("rollouts", self._instance.rollout_watch.run)
        supervisor.add("hand-over", self._hand_over_duties, Restart.ON_FAILURE)
        return supervisor

    def _new_supervisor(self, name: str) -> Supervisor:
        env = self._env
        return Supervisor(name, env.clock, env.log, env.rng)

    async def _become_ready(self) -> None:
        instance = self._instance
        await instance.watcher.wait_ready()
        await instance.roster.refresh()
        await instance.rollout_watch.wait_until_read(ROLLOUTS_READ_TIMEOUT_MS)
        instance.lifecycle.mark_ready()

    async def _hold_leases(self) -> None:
        await self._instance.lifecycle.wait_ready()
        try:
            await self._instance.leases.run()
        finally:
            self._instance.duty_runner.cancel()

    async def _hand_over_duties(self) -> None:
        await self._instance.lifecycle.wait_leaving()
        await self._instance.duty_runner.hand_over_all()

    async def _recover_own_records(self) -> None:
        env = self._env
        wait_ms = OWN_RECORDS_INITIAL_DELAY_MS
        while True:
            await env.clock.sleep_ms(wait_ms * env.rng.uniform(1, 2))
            report = await self._instance.recovery.recover(self._is_earlier_incarnation)
            log_pass(env.log, "recovery", report)
            wait_ms = OWN_RECORDS_INTERVAL_MS

    def _is_earlier_incarnation(self, instance: InstanceId, incarnation: int) -> bool:
        identity = self._instance.identity
        return instance == identity.instance and incarnation < identity.incarnation
