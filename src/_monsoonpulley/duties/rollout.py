"""The duty of moving traffic to new versions."""

from __future__ import annotations

from collections.abc import Callable

from ..control.leases import Hold
from ..fleet.directory import EndpointDirectory
from ..fleet.model import Endpoint
from ..platform.rollouts import RolloutOrder, RolloutStatus
from ..rollouts.rollouts import Phase, Rollouts
from ..rollouts.statusreader import RolloutStatusReader
from ..rollouts.statusrows import RolloutStatusRows
from ..rollouts.timeline import (
    DONE_AFTER_SHARE,
    HALF_PHASE_SHARE,
    MIN_FULL_PHASE_MS,
    ROLL_BACK_AFTER_SHARE,
    judged_after_ms,
)


class RolloutDuty:
    """Advances each order by the results of its version, and writes its status.

    A version gets most of the traffic only after its results have shown that it is
    sound. One that hasn't shown it in time for the deadline is rolled back.

    Parameters
    ----------
    rollouts : Rollouts
        Orders and their phases.
    status_reader : RolloutStatusReader
        Reads whether an order has already ended.
    status_rows : RolloutStatusRows
        Reads and writes the status rows.
    directory : EndpointDirectory
        Endpoints and their versions.
    open_endpoints : callable
        Returns those of the endpoints that may get requests; the others show nothing of
        their version, and don't carry its traffic.
    receive_waiting : callable
        Handles the messages of other instances that have arrived. Without it, a process
        that stood still would decide by its clock alone.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        status_reader: RolloutStatusReader,
        status_rows: RolloutStatusRows,
        directory: EndpointDirectory,
        open_endpoints: Callable[
            [tuple[Endpoint, ...]], tuple[Endpoint, ...]
        ] = lambda endpoints: endpoints,
        receive_waiting: Callable[[], None] = lambda: None,
    ):
        self._rollouts = rollouts
        self._status_reader = status_reader
        self._status_rows = status_rows
        self._directory = directory
        self._open_endpoints = open_endpoints
        self._receive_waiting = receive_waiting

    async def step(self, hold: Hold) -> None:
        """Advance every order while the duty is held."""
        for order in self._rollouts.orders():
            if self._status_reader.is_status_read(order) and hold.may_act():
                await self._advance(order, hold)

    async def _advance(self, order: RolloutOrder, hold: Hold) -> None:
        self._receive_waiting()
        phase = self._rollouts.phase(order)
        if phase is None or phase is Phase.DONE:
            return
        if phase is Phase.TAKEN_BACK:
            await self._status_rows.write(
                order, RolloutStatus.ROLLED_BACK, "a fault of the version was found"
            )
            return
        if self._is_complete(order):
            await self._finish(order, hold)
            return
        share = self._elapsed_share(order)
        if phase < Phase.HALF and self._is_judged(order):
            fault = self._judge(order)
            if fault:
                await self._status_rows.write(order, RolloutStatus.ROLLED_BACK, fault)
                return
        if share >= ROLL_BACK_AFTER_SHARE:
            # Another instance may have ended the order while this one stood still, so
            # that the phase changes only with what is stored.
            await self._status_rows.write(
                order, RolloutStatus.ROLLED_BACK, "not done in time for the deadline"
            )
            return
        passed = f"{share:.2f} of the time to the deadline has passed"
        await self._status_rows.write(order, RolloutStatus.RUNNING, passed)
        if self._open_new_endpoints(order):
            self._rollouts.advance(order, self._due_phase(order), passed)

    def _is_judged(self, order: RolloutOrder) -> bool:
        elapsed_ms, _ = self._rollouts.elapsed_times_ms(order)
        return elapsed_ms >= judged_after_ms(order.duration_ms)

    def _judge(self, order: RolloutOrder) -> str:
        """Advance a version that its results show to be sound; return its fault if not.

        One of which too little is known stays as it is.
        """
        judgement = self._rollouts.judge(order)
        if judgement.fault:
            self._rollouts.roll_back(order, judgement.fault)
        elif judgement.is_sound and self._open_new_endpoints(order):
            self._rollouts.advance(order, Phase.HALF, "its results show no fault")
        return judgement.fault

    def _due_phase(self, order: RolloutOrder) -> Phase:
        """Return the phase that is due by time; only a judgement leads to the half."""
        phase = self._rollouts.phase(order)
        if phase is not Phase.HALF:
            return Phase.CANARY
        _, phase_elapsed_ms = self._rollouts.elapsed_times_ms(order)
        is_over = phase_elapsed_ms >= HALF_PHASE_SHARE * order.duration_ms
        return Phase.FULL if is_over else Phase.HALF

    async def _finish(self, order: RolloutOrder, hold: Hold) -> None:
        """Write that a version is done, unless there is news of it by now."""
        if not await self._status_rows.read(order) or not hold.may_act():
            return
        self._receive_waiting()
        if not self._is_complete(order):
            return
        fault = self._rollouts.judge_with_traffic(order).fault
        if fault:
            self._rollouts.roll_back(order, fault)
            await self._status_rows.write(order, RolloutStatus.ROLLED_BACK, fault)
            return
        await self._status_rows.write(
            order, RolloutStatus.DONE, "the version has had all traffic long enough"
        )

    def _is_complete(self, order: RolloutOrder) -> bool:
        """Return whether a version has had all traffic for long enough."""
        if self._rollouts.phase(order) is not Phase.FULL:
            return False
        if self._elapsed_share(order) < DONE_AFTER_SHARE:
            return False
        _, phase_elapsed_ms = self._rollouts.elapsed_times_ms(order)
        if phase_elapsed_ms < MIN_FULL_PHASE_MS:
            return False
        # When it is done the old version's endpoints stop: if there are new ones, some
        # must be open to requests.
        return not self._new_endpoints(order) or bool(self._open_new_endpoints(order))

    def _elapsed_share(self, order: RolloutOrder) -> float:
        elapsed_ms, _ = self._rollouts.elapsed_times_ms(order)
        return elapsed_ms / max(1, order.duration_ms)

    def _new_endpoints(self, order: RolloutOrder) -> tuple[Endpoint, ...]:
        ready = self._directory.ready_endpoints(order.service)
        return tuple(each for each in ready if each.version == order.version)

    def _open_new_endpoints(self, order: RolloutOrder) -> tuple[Endpoint, ...]:
        return self._open_endpoints(self._new_endpoints(order))
