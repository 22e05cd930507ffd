"""Authentication of callers and authorization of requests for classes."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..clock import Clock
from ..config.document import Document, RequestClass, Service
from ..entry.lifecycle import Lifecycle, Phase
from ..errors import Failure, Reason
from ..ids import ClassId, CustomerId, RequestId
from ..limits.returntimes import draw_elsewhere_ms
from ..outcome import Outcome
from ..requests.context import DEADLINE_FACTOR
from .body import read_body
from .credentials import CustomerCredentials
from .problem import problem_response


class ClassAccess(msgspec.Struct, frozen=True):
    """A class that the customer may use, with its settings and service."""

    customer: CustomerId
    class_id: ClassId
    request_class: RequestClass
    service: Service


class Refusal(msgspec.Struct, frozen=True):
    """A request that is not started, and why.

    ``outcome`` is that of the whole request: an earlier connection may have run
    part of it.
    """

    failure: Failure
    request_id: RequestId
    class_id: ClassId = ClassId("")
    outcome: Outcome = Outcome.NOT_RUN

    def response(self) -> Response:
        """Return the error response."""
        return problem_response(
            self.failure, self.outcome, self.request_id, self.class_id
        )


class RequestAuthorizer:
    """Checks that requests may start: readiness, credential and class.

    Parameters
    ----------
    document : callable
        Returns the configuration in force, or ``None`` before the first one.
    lifecycle : Lifecycle
        Tells whether the instance accepts requests.
    clock : Clock
        Times the requests.
    rng : random.Random
        Source of request ids.
    """

    def __init__(
        self,
        document: Callable[[], Document | None],
        lifecycle: Lifecycle,
        clock: Clock,
        rng: random.Random,
    ):
        self._document = document
        self._lifecycle = lifecycle
        self._clock = clock
        self._rng = rng
        self._credentials_document: Document | None = None
        self._credentials = CustomerCredentials({})

    def new_request_id(self) -> RequestId:
        """Return a new random request id."""
        return RequestId(f"rq-{self._rng.getrandbits(128):032x}")

    def document_if_ready(self) -> Document | Failure:
        """Return the configuration, or a failure if requests can't start now."""
        document = self._document()
        if document is None or self._lifecycle.phase is Phase.STARTING:
            detail = "the instance is not ready yet"
            return Failure(Reason.UNAVAILABLE, "gateway.admit", "", detail)
        if not self._lifecycle.accepts_requests():
            return self.leaving_failure()
        return document

    def check_start(self, access: ClassAccess, request_id: RequestId) -> Failure | None:
        """Return a failure if a stop leaves a request too little time to start now.

        Called once the whole request has arrived.
        """
        allowed_ms = access.request_class.answer_within_ms * DEADLINE_FACTOR
        deadline_ms = self._clock.now_ms() + allowed_ms
        if self._lifecycle.may_begin(request_id, deadline_ms):
            return None
        return self.leaving_failure()

    def leaving_failure(self) -> Failure:
        """Return the failure of a request that a stop does not begin, or ends."""
        return Failure(
            Reason.SHUTTING_DOWN,
            "gateway.admit",
            "",
            "the instance is leaving; send the request again",
            retry_after_ms=draw_elsewhere_ms(self._rng),
        )

    def authenticate(self, request: Request) -> CustomerId | Failure:
        """Return the customer whose credential is in the request."""
        document = self.document_if_ready()
        if isinstance(document, Failure):
            return document
        if document is not self._credentials_document:
            self._credentials = CustomerCredentials.from_config(document)
            self._credentials_document = document
        return self._credentials.find_customer(request.headers.get("authorization"))

    def max_body_bytes(self, customer: CustomerId) -> int:
        """Return the largest body of the classes that the customer may use."""
        document = self._document()
        if document is None:
            return 0
        class_ids = allowed_class_ids(document, customer)
        classes = [document.classes[i] for i in class_ids if i in document.classes]
        return max((each.max_body_bytes for each in classes), default=0)

    def authorize(
        self, customer: CustomerId, class_id: ClassId
    ) -> ClassAccess | Failure:
        """Return the class and its service, or a failure if they are not allowed."""
        document = self.document_if_ready()
        if isinstance(document, Failure):
            return document
        request_class = document.classes.get(class_id)
        if request_class is None:
            return _unknown_class(class_id, allowed_class_ids(document, customer))
        allowed = document.customers[customer].classes
        if allowed and class_id not in allowed:
            detail = f"the customer may not use the class {class_id!r}"
            return Failure(Reason.FORBIDDEN, "gateway.admit", "", detail)
        service = document.services[request_class.service]
        return ClassAccess(customer, class_id, request_class, service)


def allowed_class_ids(document: Document, customer: CustomerId) -> list[ClassId]:
    """Return the classes that a customer may use, sorted."""
    known = document.customers.get(customer)
    allowed = known.classes if known is not None else ()
    return sorted(allowed or document.classes)


async def read_class_body(
    request: Request, access: ClassAccess, request_id: RequestId
) -> bytes | Refusal:
    """Return the body within the size limit of the class."""
    body = await read_body(request, access.request_class.max_body_bytes)
    if isinstance(body, Failure):
        return Refusal(body, request_id, access.class_id)
    return body


def _unknown_class(class_id: ClassId, allowed_ids: list[ClassId]) -> Failure:
    names = ", ".join(allowed_ids) or "none"
    detail = f"unknown class {class_id!r}; classes of this customer: {names}"
    return Failure(Reason.NOT_FOUND, "gateway.admit", "", detail)
