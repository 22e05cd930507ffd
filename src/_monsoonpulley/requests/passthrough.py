"""Idempotent calls of plain services: repeated as often as the class allows."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..endpoints.service import ServiceAnswer, ServiceCall, ServiceClient
from ..errors import Delivery, Failure, Reason
from ..ids import EndpointId, attempt_id
from ..outcome import Outcome
from .attempt import abandoned, gone
from .context import RequestContext
from .placement import AttemptEnd, Placed, Placement, Retry, may_have_run

RETRYABLE_STATUSES = frozenset({502, 503, 504})
"""Answers of an endpoint that another endpoint may answer better (RFC 9110)."""

Connect = Callable[[EndpointId], ServiceClient | None]


class PassThrough(msgspec.Struct, frozen=True):
    """A pass-through request: ``path`` includes the query string."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Answered(msgspec.Struct, frozen=True):
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
        Hears of each attempt.
    connect : callable
        Returns the client of an endpoint, ``None`` if it is gone.
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
        placed: Placed,
        attempt: int,
        *,
        once: bool,
    ) -> ServiceAnswer | Failure:
        """Send the request to the chosen endpoint once."""
        client = self._connect(placed.endpoint)
        if client is None:
            return gone(placed.endpoint, "service.connect")
        attempt_name = attempt_id(context.request_id, attempt)
        started_ms = self._clock.now_ms()
        call = ServiceCall(
            request_id=context.request_id,
            attempt_id=attempt_name,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            timeout_ms=max(context.deadline_ms - started_ms, 1),
            runs_at_most_once=once,
        )
        self._placement.started(context, placed, attempt_name)
        answer: ServiceAnswer | Failure = abandoned(placed.endpoint, "service.call")
        try:
            answer = await client.call(call)
        finally:
            elapsed_ms = self._clock.now_ms() - started_ms
            end = AttemptEnd(_failure_of(answer, placed), elapsed_ms, elapsed_ms)
            self._placement.ended(context, placed, attempt_name, end)
        return answer


async def call_idempotent(
    context: RequestContext,
    request: PassThrough,
    placement: Placement,
    attempts: ServiceAttempts,
    clock: Clock,
) -> Answered:
    """Call a plain service until an answer comes or retries are spent."""
    tried: set[EndpointId] = set()
    count = 0
    maybe_ran = False
    while True:
        placed = placement.choose(context, frozenset(tried))
        if isinstance(placed, Failure):
            return _given_up(placed, maybe_ran, count)
        count += 1
        answer = await attempts.send(context, request, placed, count, once=False)
        failure = _retryable(answer, placed)
        if failure is None:
            return Answered(Outcome.DONE, answer, None, count)
        tried.add(placed.endpoint)
        maybe_ran = maybe_ran or may_have_run(failure)
        retry = placement.may_retry(context, count, failure)
        if isinstance(retry, Failure):
            if isinstance(answer, ServiceAnswer):
                return Answered(Outcome.DONE, answer, None, count)
            return _given_up(retry, maybe_ran, count)
        await _wait(retry, clock)


async def _wait(retry: Retry, clock: Clock) -> None:
    if retry.wait_ms:
        await clock.sleep_ms(retry.wait_ms)


def _given_up(failure: Failure, maybe_ran: bool, attempts: int) -> Answered:
    outcome = Outcome.UNKNOWN if maybe_ran else Outcome.NOT_RUN
    return Answered(outcome, None, failure, attempts)


def _failure_of(answer: ServiceAnswer | Failure, placed: Placed) -> Failure | None:
    """Return the failure that breakers count; a 5xx answer is one too."""
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


def _retryable(answer: ServiceAnswer | Failure, placed: Placed) -> Failure | None:
    """Return the failure after which another endpoint may do better."""
    if isinstance(answer, ServiceAnswer) and not _is_retryable(answer, placed):
        return None
    return _failure_of(answer, placed)


def _is_retryable(answer: ServiceAnswer, placed: Placed) -> bool:
    """Tell whether an answer is worth another attempt.

    While a version is on its way a 500 may be its fault alone.
    """
    if answer.status in RETRYABLE_STATUSES:
        return True
    return answer.status == 500 and len(placed.route.versions) > 1
