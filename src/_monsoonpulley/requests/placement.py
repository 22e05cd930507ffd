"""The interface of requests in progress to routing, limits and retries."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..errors import Delivery, Failure
from ..ids import AttemptId, EndpointId, VersionId
from ..routing.policies import RouteRequest
from ..routing.router import RouteDecision
from .context import RequestContext


class PlacedAttempt(msgspec.Struct, frozen=True):
    """The endpoint chosen for one attempt, and the priority sent with it.

    ``route`` and ``decision`` are the input and the result of routing.
    """

    endpoint: EndpointId
    version: VersionId
    priority: int
    route: RouteRequest
    decision: RouteDecision


class Retry(msgspec.Struct, frozen=True):
    """Another attempt may be made after ``wait_ms``."""

    wait_ms: int


class AttemptEnd(msgspec.Struct, frozen=True):
    """The end of an attempt; ``failure`` is ``None`` if it was answered.

    ``first_answer_ms`` is the time to the first token or the whole answer,
    ``tokens`` the number of tokens that the attempt generated, ``has_answer`` whether
    the endpoint sent a whole answer, be it one that says that it failed.
    """

    failure: Failure | None
    first_answer_ms: int
    total_ms: int
    tokens: int = 0
    has_answer: bool = False


class Placement(Protocol):
    """Chooses endpoints for attempts, records the attempts and decides on retries."""

    def choose(
        self, context: RequestContext, tried: frozenset[EndpointId]
    ) -> PlacedAttempt | Failure:
        """Choose an endpoint that is not in ``tried``."""
        ...

    def record_start(
        self, context: RequestContext, placed: PlacedAttempt, attempt: AttemptId
    ) -> None:
        """Record that an attempt is being sent."""
        ...

    def record_progress(self, attempt: AttemptId, tokens: int) -> None:
        """Record a token of an attempt that has generated ``tokens`` so far."""
        ...

    def record_end(
        self,
        context: RequestContext,
        placed: PlacedAttempt,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> None:
        """Record the end of an attempt."""
        ...

    def may_retry(
        self,
        context: RequestContext,
        placed: PlacedAttempt,
        attempts: int,
        failure: Failure,
    ) -> Retry | Failure:
        """Decide whether to retry after ``attempts`` failed ones.

        ``placed`` is the last one, whose prediction is taken for the next.
        """
        ...


def may_have_run(failure: Failure) -> bool:
    """Return whether a failed attempt may have run at its endpoint."""
    return failure.delivery not in (Delivery.NOT_SENT, Delivery.REFUSED)
