"""Waits for admission: from the router's decision to the caller's turn."""

from __future__ import annotations

import asyncio

from ..clock import Clock
from ..errors import Failure
from ..ids import RequestId, ServiceId
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..routing.admission import AdmissionRequest, Admit, Refuse, Wait
from ..routing.router import Router
from .context import RequestContext
from .routed import RoutedPlacement

LONGEST_IDLE_MS = 1_000


class AdmissionGate:
    """Lets requests go to the endpoints in fair order.

    Parameters
    ----------
    router : Router
        Holds the admission state.
    placement : RoutedPlacement
        Describes requests to the router.
    clock, log, metrics
        Of the instance.
    """

    def __init__(
        self,
        router: Router,
        placement: RoutedPlacement,
        clock: Clock,
        log: Log,
        metrics: Metrics,
    ):
        self._router = router
        self._placement = placement
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._turns: dict[RequestId, asyncio.Future[Admit | Refuse]] = {}
        self._changed = asyncio.Event()

    async def admit(self, context: RequestContext) -> Failure | None:
        """Return once the request may go, or why it is refused.

        An admitted request must be released in every case.
        """
        now_ms = self._clock.now_ms()
        preview = self._placement.preview(context)
        if isinstance(preview, Failure):
            return preview
        request = AdmissionRequest(
            request_id=context.request_id,
            service=context.request_class.service,
            customer=context.customer,
            request_class=context.class_id,
            cost_tokens=context.prompt_tokens + context.max_tokens,
            target_ms=context.target_ms - now_ms,
            predicted_ms=preview.predicted_ms,
        )
        decision = self._router.admission.submit(request, now_ms)
        self._log.decision(decision)
        if not isinstance(decision, Admit):
            self._placement.forget(context.request_id)
        if isinstance(decision, Wait):
            decision = await self._turn(request)
        if isinstance(decision, Refuse):
            self._metrics.incr(f"admission.refused.{decision.rule}")
            return decision.failure()
        return None

    def release(self, context: RequestContext, used_tokens: int | None = None) -> None:
        """Note that an admitted request ended, and let others go."""
        service = context.request_class.service
        self._router.admission.release(
            service, context.request_id, self._clock.now_ms(), used_tokens
        )
        self._answer_waiting()

    async def run(self) -> None:
        """Answer waiting requests as their time comes, until cancelled."""
        while True:
            self._changed.clear()
            self._answer_waiting()
            await self._wait_for_change()

    async def _turn(self, request: AdmissionRequest) -> Admit | Refuse:
        turn: asyncio.Future[Admit | Refuse] = asyncio.Future()
        self._turns[request.request_id] = turn
        self._changed.set()
        try:
            return await turn
        except asyncio.CancelledError:
            self._withdraw(request.service, request.request_id, turn)
            raise
        finally:
            self._turns.pop(request.request_id, None)

    def _withdraw(
        self,
        service: ServiceId,
        request_id: RequestId,
        turn: asyncio.Future[Admit | Refuse],
    ) -> None:
        """Take a request out whose caller is gone, whatever it was told."""
        admission = self._router.admission
        if admission.withdraw(service, request_id):
            return
        if turn.done() and not turn.cancelled() and isinstance(turn.result(), Admit):
            admission.release(service, request_id, self._clock.now_ms(), 0)
            self._changed.set()

    def _answer_waiting(self) -> None:
        for decision in self._router.admission.pop_decisions(self._clock.now_ms()):
            self._log.decision(decision)
            turn = self._turns.get(decision.request_id)
            if turn is not None and not turn.done():
                turn.set_result(decision)
            elif isinstance(decision, Admit):
                self._router.admission.release(
                    decision.service, decision.request_id, self._clock.now_ms(), 0
                )

    async def _wait_for_change(self) -> None:
        expiry_ms = self._router.admission.next_expiry_ms()
        wait_ms = LONGEST_IDLE_MS
        if expiry_ms is not None:
            wait_ms = min(wait_ms, max(expiry_ms - self._clock.now_ms(), 1))
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await self._changed.wait()
        except TimeoutError:
            return
