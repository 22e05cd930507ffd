"""Idempotent calls of plain services, with as many retries as the class allows."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..endpoints.service import ServiceAnswer, ServiceCall, ServiceClient
from ..errors import Delivery, Failure, Reason
from ..ids import EndpointId, attempt_id
from ..outcome import Outcome
from .attempt import caller_left_failure, not_listed_failure
from .context import RequestContext
from .placement import AttemptEnd, PlacedAttempt, Placement, Retry, may_have_run

RETRYABLE_STATUSES = frozenset({502, 503, 504})
"""Statuses (RFC 9110) after which another endpoint may answer the request."""

Connect = Callable[[EndpointId], ServiceClient | None]


class PassThrough(msgspec.Struct, frozen=True):
    """A pass-through request: ``path`` includes the query string."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PassThroughResult(msgspec.Struct, frozen=True):
    """The result of a pass-through request; ``answer`` or ``failure`` is set."""

    outcome: Outcome
    answer: ServiceAnswer | None = None
    failure: Failure | None = None
    attempts: int = 0


class ServiceAttempts:
    """Makes single attempts at endpoints of plain services.

    Parameters
    ----------
    placement : Placement
        Records each attempt.
    connect : callable
        Returns the client of an endpoint, ``None`` if it is no longer listed.
    clock : Clock
        Times the attempts.
    """

    def __init__(self, placement: Placement, connect: Connect, clock: Clock):
        self._placement = placement
        self._connect = connect
        self._clock = clock

    async def send(
        self,
        context: RequestContext,
        request: PassThrough,
        placed: PlacedAttempt,
        attempt: int,
        *,
        once: bool,
    ) -> ServiceAnswer | Failure:
        """Send the request to the chosen endpoint and record the attempt."""
        client = self._connect(placed.endpoint)
        if client is None:
            return not_listed_failure(placed.endpoint, "service.connect")
        full_attempt_id = attempt_id(context.request_id, attempt)
        started_ms = self._clock.now_ms()
        call = ServiceCall(
            request_id=context.request_id,
            attempt_id=full_attempt_id,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            timeout_ms=max(context.deadline_ms - started_ms, 1),
            runs_at_most_once=once,
        )
        self._placement.record_start(context, placed, full_attempt_id)
        answer: ServiceAnswer | Failure = caller_left_failure(
            placed.endpoint, "service.call"
        )
        try:
            answer = await client.call(call)
        finally:
            elapsed_ms = self._clock.now_ms() - started_ms
            end = AttemptEnd(
                _failure_of(answer, placed),
                elapsed_ms,
                elapsed_ms,
                has_answer=isinstance(answer, ServiceAnswer),
            )
            self._placement.record_end(context, placed, full_attempt_id, end)
        return answer


async def call_idempotent(
    context: RequestContext,
    request: PassThrough,
    placement: Placement,
    attempts: ServiceAttempts,
    clock: Clock,
) -> PassThroughResult:
    """Call a plain service until it answers or no retry is allowed."""
    tried: set[EndpointId] = set()
    attempt_count = 0
    any_may_have_run = False
    while True:
        placed = placement.choose(context, frozenset(tried))
        if isinstance(placed, Failure):
            return _give_up(placed, any_may_have_run, attempt_count)
        attempt_count += 1
        answer = await attempts.send(
            context, request, placed, attempt_count, once=False
        )
        failure = _retryable_failure(answer, placed)
        if failure is None:
            return PassThroughResult(Outcome.DONE, answer, None, attempt_count)
        tried.add(placed.endpoint)
        any_may_have_run = any_may_have_run or may_have_run(failure)
        retry = placement.may_retry(context, placed, attempt_count, failure)
        if isinstance(retry, Failure):
            if isinstance(answer, ServiceAnswer):
                return PassThroughResult(Outcome.DONE, answer, None, attempt_count)
            return _give_up(retry, any_may_have_run, attempt_count)
        await _wait(retry, clock)


async def _wait(retry: Retry, clock: Clock) -> None:
    if retry.wait_ms:
        await clock.sleep_ms(retry.wait_ms)


def _give_up(
    failure: Failure, any_may_have_run: bool, attempts: int
) -> PassThroughResult:
    outcome = Outcome.UNKNOWN if any_may_have_run else Outcome.NOT_RUN
    return PassThroughResult(outcome, None, failure, attempts)


def _failure_of(
    answer: ServiceAnswer | Failure, placed: PlacedAttempt
) -> Failure | None:
    """Return the failure that breakers count; a 5xx answer is a failure too."""
    if isinstance(answer, Failure):
        return answer
    if answer.status < 500:
        return None
    return Failure(
        Reason.PEER_ERROR,
        "service.call",
        placed.endpoint,
        f"status {answer.status}",
        Delivery.MAYBE,
    )


def _retryable_failure(
    answer: ServiceAnswer | Failure, placed: PlacedAttempt
) -> Failure | None:
    """Return the failure if a retry may succeed, ``None`` for a final answer."""
    if isinstance(answer, ServiceAnswer) and not _is_retryable(answer, placed):
        return None
    return _failure_of(answer, placed)


def _is_retryable(answer: ServiceAnswer, placed: PlacedAttempt) -> bool:
    """Return whether another attempt may get a better answer.

    During a roll-out, a 500 may come from a fault of the new version alone.
    """
    if answer.status in RETRYABLE_STATUSES:
        return True
    return answer.status == 500 and len(placed.route.versions) > 1
