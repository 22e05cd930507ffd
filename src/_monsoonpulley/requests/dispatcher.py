"""The journal's access to the endpoints of plain services."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..config.document import Document
from ..endpoints.service import Execution, Lookup, ServiceAnswer
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, EndpointId, RequestId
from ..journal.submission import Submission
from .context import RequestContext
from .passthrough import Connect, PassThrough, ServiceAttempts
from .placement import PlacedAttempt, Placement

MAX_UNSENT_CHOICES = 4_096
"""Most choices that are kept until they are sent; then the oldest is dropped."""


class JournalDispatcher:
    """Chooses and calls endpoints for the journal, and looks up executions.

    Parameters
    ----------
    document : callable
        Returns the configuration in force, ``None`` before there is one.
    placement : Placement
        Chooses endpoints.
    attempts : ServiceAttempts
        Makes the calls.
    connect : callable
        Returns the client of an endpoint, ``None`` if it is no longer listed.
    clock : Clock
        The instance's.
    """

    def __init__(
        self,
        document: Callable[[], Document | None],
        placement: Placement,
        attempts: ServiceAttempts,
        connect: Connect,
        clock: Clock,
    ):
        self._document = document
        self._placement = placement
        self._attempts = attempts
        self._connect = connect
        self._clock = clock
        self._unsent_choices: dict[RequestId, PlacedAttempt] = {}

    def choose(
        self, submission: Submission, tried: frozenset[EndpointId]
    ) -> EndpointId | Failure:
        """Return an endpoint that is not in ``tried``, or why there is none."""
        context = self._build_context(submission)
        if isinstance(context, Failure):
            return context
        placed = self._placement.choose(context, tried)
        if isinstance(placed, Failure):
            return placed
        self._store_choice(submission.request_id, placed)
        return placed.endpoint

    async def send(
        self, submission: Submission, endpoint: EndpointId, attempt_id: AttemptId
    ) -> ServiceAnswer | Failure:
        """Send the call once, without retries by the client."""
        placed = self._unsent_choices.pop(submission.request_id, None)
        context = self._build_context(submission)
        if isinstance(context, Failure):
            return context
        if placed is None or placed.endpoint != endpoint:
            detail = "this instance did not choose the endpoint for the request"
            return _not_sent_failure(Reason.INTERNAL, endpoint, detail)
        call = PassThrough(
            method=submission.method,
            path=submission.path,
            headers=submission.headers,
            body=submission.body,
        )
        attempt = int(attempt_id.rpartition(".")[2])
        return await self._attempts.send(context, call, placed, attempt, once=True)

    async def lookup(
        self, submission: Submission, endpoint: EndpointId
    ) -> Lookup | Failure:
        """Ask the endpoint whether the request ran, if its service has look-ups."""
        context = self._build_context(submission)
        if isinstance(context, Failure):
            return context
        document = self._document()
        service = document.services[context.request_class.service] if document else None
        if service is None or not service.lookup:
            return Lookup(Execution.UNKNOWN)
        client = self._connect(endpoint)
        if client is None:
            detail = "the endpoint is no longer listed"
            return Failure(Reason.UNAVAILABLE, "service.lookup", endpoint, detail)
        return await client.lookup(submission.request_id)

    def _store_choice(self, request_id: RequestId, placed: PlacedAttempt) -> None:
        """Keep a choice until it is sent; drop the oldest one beyond the limit."""
        self._unsent_choices.pop(request_id, None)
        self._unsent_choices[request_id] = placed
        if len(self._unsent_choices) > MAX_UNSENT_CHOICES:
            del self._unsent_choices[next(iter(self._unsent_choices))]

    def _build_context(self, submission: Submission) -> RequestContext | Failure:
        document = self._document()
        request_class = document.classes.get(submission.class_id) if document else None
        if request_class is None:
            detail = f"the class {submission.class_id!r} is not configured"
            return _not_sent_failure(Reason.NOT_FOUND, EndpointId(""), detail)
        return RequestContext(
            request_id=submission.request_id,
            customer=submission.customer,
            class_id=submission.class_id,
            request_class=request_class,
            received_ms=self._clock.now_ms(),
            path=submission.path.partition("?")[0],
            content=submission.body,
        )


def _not_sent_failure(reason: Reason, endpoint: EndpointId, detail: str) -> Failure:
    return Failure(reason, "service.call", endpoint, detail, Delivery.NOT_SENT)
