"""Placement by the router: logs each decision and feeds back what happened."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, EndpointId, RequestId, ServiceId, VersionId
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..routing.policies import RouteRequest
from ..routing.priority import engine_priority
from ..routing.retries import RetryRequest
from ..routing.routedecision import RouteDecision
from ..routing.router import Router
from .context import RequestContext
from .placement import AttemptEnd, Placed, Retry


class VersionShares(Protocol):
    """Says which versions of a service may get traffic."""

    def shares(self, service: ServiceId) -> dict[VersionId, float]:
        """Return the share of each version that may get any."""
        ...


class AttemptObserver(Protocol):
    """Hears of attempts beside the router."""

    def started(
        self, context: RequestContext, placed: Placed, attempt: AttemptId
    ) -> None:
        """Note that an attempt was sent."""
        ...

    def progressed(self, attempt: AttemptId) -> None:
        """Note that an attempt has generated a token."""
        ...

    def ended(
        self,
        context: RequestContext,
        placed: Placed,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> None:
        """Note how an attempt ended."""
        ...


PREVIEW_MS = 2


class Preview(msgspec.Struct, frozen=True):
    """A choice made for admission, which the first attempt may take over."""

    route: RouteRequest
    decision: RouteDecision
    until_ms: int


class RoutedPlacement:
    """Chooses endpoints by the router.

    Parameters
    ----------
    router : Router
        State and rules of routing.
    versions : VersionShares
        Which versions may get traffic.
    clock, log, metrics
        Of the instance.

    Attributes
    ----------
    observer : AttemptObserver or None
        Hears of each attempt.
    """

    def __init__(
        self,
        router: Router,
        versions: VersionShares,
        clock: Clock,
        log: Log,
        metrics: Metrics,
    ):
        self._router = router
        self._versions = versions
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._previewed: dict[RequestId, Preview] = {}
        self.observer: AttemptObserver | None = None

    def choose(
        self, context: RequestContext, tried: frozenset[EndpointId]
    ) -> Placed | Failure:
        """Choose an endpoint that is not in ``tried`` and log why."""
        now_ms = self._clock.now_ms()
        previewed = self._previewed.pop(context.request_id, None)
        if previewed is not None and not tried and now_ms <= previewed.until_ms:
            route, decision = previewed.route, previewed.decision
        else:
            route = self.route_request(context, tried, now_ms)
            decision = self._router.choose(route, now_ms)
        if isinstance(decision, Failure):
            self._metrics.incr("routing.no_choice")
            self._log.event(
                "route_failed", request=route, failure=decision, now_ms=now_ms
            )
            return decision
        self._log.decision(decision)
        slack_ms = route.target_ms - (decision.predicted_ms or 0.0)
        return Placed(
            endpoint=decision.chosen,
            version=decision.version,
            priority=engine_priority(self._clock.wall_ms(), slack_ms),
            route=route,
            decision=decision,
        )

    def preview(self, context: RequestContext) -> RouteDecision | Failure:
        """Return the choice for a first attempt that is made at once.

        `choose` takes it over if it follows within `PREVIEW_MS`; `forget` must
        be called if it does not follow.
        """
        now_ms = self._clock.now_ms()
        route = self.route_request(context, frozenset(), now_ms)
        decision = self._router.choose(route, now_ms)
        if isinstance(decision, Failure):
            self._log.event(
                "route_failed", request=route, failure=decision, now_ms=now_ms
            )
            return decision
        preview = Preview(route, decision, now_ms + PREVIEW_MS)
        self._previewed[context.request_id] = preview
        return decision

    def forget(self, request_id: RequestId) -> None:
        """Drop what was previewed for a request."""
        self._previewed.pop(request_id, None)

    def route_request(
        self, context: RequestContext, tried: frozenset[EndpointId], now_ms: int
    ) -> RouteRequest:
        """Return a request as the router sees it."""
        service = context.request_class.service
        return RouteRequest(
            request_id=context.request_id,
            service=service,
            target_ms=context.target_ms - now_ms,
            stream=context.stream,
            prompt_tokens=context.prompt_tokens,
            max_tokens=context.max_tokens,
            prefix_blocks=context.prefix_blocks,
            tried=tuple(sorted(tried)),
            versions=self._versions.shares(service),
            deadline_ms=context.deadline_ms,
            route=context.path,
        )

    def started(
        self, context: RequestContext, placed: Placed, attempt: AttemptId
    ) -> None:
        """Note that an attempt was sent."""
        if attempt.endswith(".1"):
            self._router.retries.count_first_attempt(context.request_class.service)
        self._router.record_attempt_start(
            attempt, placed.route, placed.decision, self._clock.now_ms()
        )
        if self.observer is not None:
            self.observer.started(context, placed, attempt)

    def progressed(self, attempt: AttemptId, tokens: int) -> None:
        """Note that an attempt has generated a token."""
        self._router.record_token(attempt, self._clock.now_ms())
        if self.observer is not None:
            self.observer.progressed(attempt)

    def ended(
        self,
        context: RequestContext,
        placed: Placed,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> None:
        """Note how an attempt ended."""
        now_ms = self._clock.now_ms()
        self._router.record_attempt_end(attempt, now_ms, end.failure, end.tokens)
        if self.observer is not None:
            self.observer.ended(context, placed, attempt, end)
        if end.failure is None:
            return
        self._metrics.incr(f"attempts.failed.{end.failure.reason.value}")
        self._log.event(
            "attempt_failed",
            attempt_id=attempt,
            endpoint=placed.endpoint,
            version=placed.version,
            failure=end.failure,
            tokens=end.tokens,
            total_ms=end.total_ms,
        )

    def may_retry(
        self, context: RequestContext, attempts: int, failure: Failure
    ) -> Retry | Failure:
        """Decide on another attempt after ``attempts`` failed ones."""
        repeats = context.request_class.repeats
        ask = RetryRequest(
            request_id=context.request_id,
            service=context.request_class.service,
            repeats=repeats,
            attempts=attempts,
            idempotent=repeats > 0,
            delivery=failure.delivery,
            deadline_ms=context.deadline_ms,
            retry_after_ms=failure.retry_after_ms,
        )
        decision = self._router.retries.decide_retry(ask, self._clock.now_ms())
        self._log.decision(decision)
        if decision.allowed:
            self._metrics.incr("attempts.retried")
            return Retry(decision.wait_ms)
        return Failure(
            Reason.RETRIES_SPENT,
            failure.step,
            failure.peer,
            f"{decision.rule} after {attempts} attempts; last: {failure.reason.value}"
            f" {failure.detail}".rstrip(),
            failure.delivery or Delivery.MAYBE,
            failure.retry_after_ms,
        )
