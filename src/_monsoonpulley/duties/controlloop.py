"""The loop that performs the duties while this instance holds their lease."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..control.leases import Hold
from ..observability.log import Log
from .capacity import CapacityDuty
from .controllease import ControlLease
from .rollout import RolloutDuty
from .usagereport import UsageReporter

STEP_INTERVAL_MS = 500
"""Interval of the loop; short compared with an endpoint's start."""


class ControlLoop:
    """Runs the duties in turn while the lease is held.

    Parameters
    ----------
    lease : ControlLease
        The lease that permits to perform them.
    usage : UsageReporter
        Reports usage.
    capacity : CapacityDuty
        Orders endpoints.
    rollout : RolloutDuty
        Moves traffic to new versions.
    clock, log : Clock, Log
        Acquisition and loss of the lease are logged.
    receive_waiting : callable
        Handles the messages of other instances that have arrived. Without it, a process
        that stood still would decide on what it knew before.
    """

    def __init__(
        self,
        lease: ControlLease,
        usage: UsageReporter,
        capacity: CapacityDuty,
        rollout: RolloutDuty,
        clock: Clock,
        log: Log,
        receive_waiting: Callable[[], None] = lambda: None,
    ):
        self._lease = lease
        self._usage = usage
        self._capacity = capacity
        self._rollout = rollout
        self._clock = clock
        self._log = log
        self._receive_waiting = receive_waiting
        self._fencing_number = 0

    async def run(self) -> None:
        """Perform the duties until cancelled."""
        while True:
            self._receive_waiting()
            self._usage.observe_era()
            hold = self._lease.hold()
            self._log_duty_change(hold)
            if hold is not None:
                await self._step(hold)
            await self._clock.sleep_ms(STEP_INTERVAL_MS)

    async def _step(self, hold: Hold) -> None:
        """Perform the duties once; the lease is kept until all calls have ended."""
        self._lease.is_acting = True
        try:
            await self._rollout.step(hold)
            if hold.may_act():
                await self._usage.step(hold)
            self._receive_waiting()
            if hold.may_act():
                await self._capacity.step(hold)
        finally:
            self._lease.is_acting = False

    def _log_duty_change(self, hold: Hold | None) -> None:
        number = hold.fencing_number if hold is not None else 0
        if number != self._fencing_number:
            event = "duties_taken" if number else "duties_lost"
            self._log.event(event, fencing_number=number or self._fencing_number)
            self._fencing_number = number
