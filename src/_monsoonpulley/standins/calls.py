"""How a call from an instance reaches a stand-in, with faults on the way."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from ..clock import Clock
from ..errors import Failure, Reason
from ..ids import ZoneId
from .faults import CallPlan, FaultKind, Faults, Part, part_of

T = TypeVar("T")

DEFAULT_TIMEOUT_MS = 2_000


class PlatformCalls:
    """Carries the calls of one instance to the platform.

    Parameters
    ----------
    faults : Faults
        Decides how each call goes.
    clock : Clock
        Of the running loop.
    peer : str
        Name of the calling instance, for failures' details.
    zone : ZoneId
        Zone from which it calls.
    timeout_ms : int
        How long the instance waits for an answer.
    """

    def __init__(
        self,
        faults: Faults,
        clock: Clock,
        peer: str,
        zone: ZoneId,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ):
        self._faults = faults
        self._clock = clock
        self._peer = peer
        self._zone = zone
        self._timeout_ms = timeout_ms

    async def change(self, step: str, effect: Callable[[], T]) -> T | Failure:
        """Call something with an effect; without an answer it is in doubt."""
        return await self._call(step, effect, Reason.IN_DOUBT)

    async def read(self, step: str, effect: Callable[[], T]) -> T | Failure:
        """Call something without effect; without an answer it is unavailable."""
        return await self._call(step, effect, Reason.UNAVAILABLE)

    async def _call(
        self, step: str, effect: Callable[[], T], no_answer: Reason
    ) -> T | Failure:
        plan = self._faults.plan(step, self._peer, self._clock.now_ms())
        if plan.fault is FaultKind.REFUSED:
            await self._clock.sleep_ms(plan.request_ms)
            return self._failure(Reason.UNAVAILABLE, step, "refused")
        if not self._reachable():
            await self._clock.sleep_ms(self._timeout_ms)
            return self._failure(Reason.UNAVAILABLE, step, "no connection")
        result = await self._exchange(step, effect, plan)
        if result is None:
            detail = f"no answer within {self._timeout_ms} ms"
            return self._failure(no_answer, step, detail)
        return result[0]

    async def _exchange(
        self, step: str, effect: Callable[[], T], plan: CallPlan
    ) -> tuple[T] | None:
        """Return the answer in a tuple, or ``None`` after the timeout."""
        answer: asyncio.Future[tuple[T]] = asyncio.get_running_loop().create_future()
        self._send(step, effect, plan, answer)
        done, _ = await asyncio.wait([answer], timeout=self._timeout_ms / 1000)
        return answer.result() if done else None

    def _send(
        self,
        step: str,
        effect: Callable[[], T],
        plan: CallPlan,
        answer: asyncio.Future[tuple[T]],
    ) -> None:
        """Apply the effect by timers, which outlive calling code that gives up."""
        loop = asyncio.get_running_loop()
        part = part_of(step)

        def respond(value: T) -> None:
            if self._reachable() and not answer.done():
                answer.set_result((value,))

        def apply_effect() -> None:
            if not self._accepting(part, plan):
                return
            try:
                value = effect()
            except Exception as error:
                # A fault of the program belongs to the calling code, not to the loop.
                if not answer.done():
                    answer.set_exception(error)
                return
            if plan.fault is None:
                loop.call_later(plan.response_ms / 1000, respond, value)

        if plan.fault is FaultKind.LOST_REQUEST:
            return
        request_ms = plan.request_ms
        if plan.fault is FaultKind.DELAYED_EFFECT:
            request_ms += self._timeout_ms + self._faults.effect_delay_ms
        loop.call_later(request_ms / 1000, apply_effect)

    def _accepting(self, part: Part, plan: CallPlan) -> bool:
        if plan.fault is FaultKind.DELAYED_EFFECT:
            # The platform already holds the request; no fault stops it now.
            return True
        outage = self._faults.outage_kind(part, self._clock.now_ms())
        return outage is None and self._reachable()

    def _reachable(self) -> bool:
        return self._faults.network.is_connected(self._zone)

    def _failure(self, reason: Reason, step: str, detail: str) -> Failure:
        return Failure(reason, step, "platform", f"{detail}, seen by {self._peer}")
