"""The first steps of every request: who calls, which class, whether to begin."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..config.document import Document, RequestClass, Service
from ..entry.lifecycle import Lifecycle, Phase
from ..errors import Failure, Reason
from ..ids import ClassId, CustomerId, RequestId
from ..outcome import Outcome
from .body import read_body
from .credentials import CustomerCredentials
from .problem import problem_response


class ClassAccess(msgspec.Struct, frozen=True):
    """A request that may begin."""

    customer: CustomerId
    class_id: ClassId
    request_class: RequestClass
    service: Service


class Refusal(msgspec.Struct, frozen=True):
    """A request that does not begin, with what is known of it.

    ``outcome`` is that of the request, of which an earlier connection may have
    run a part.
    """

    failure: Failure
    request_id: RequestId
    class_id: ClassId = ClassId("")
    outcome: Outcome = Outcome.NOT_RUN

    def response(self) -> Response:
        """Return the response."""
        return problem_response(
            self.failure, self.outcome, self.request_id, self.class_id
        )


class RequestAuthorizer:
    """Checks that requests may begin.

    Parameters
    ----------
    document : callable
        Returns the configuration in force, ``None`` before there is one.
    lifecycle : Lifecycle
        Says whether the instance takes work.
    rng : random.Random
        Makes request ids.
    """

    def __init__(
        self,
        document: Callable[[], Document | None],
        lifecycle: Lifecycle,
        rng: random.Random,
    ):
        self._document = document
        self._lifecycle = lifecycle
        self._rng = rng
        self._credentials_document: Document | None = None
        self._credentials = CustomerCredentials({})

    def new_request_id(self) -> RequestId:
        """Return a fresh random request id."""
        return RequestId(f"rq-{self._rng.getrandbits(128):032x}")

    def document_if_ready(self) -> Document | Failure:
        """Return the configuration, or why requests can't begin."""
        document = self._document()
        if document is None or self._lifecycle.phase is Phase.STARTING:
            detail = "the instance has no configuration yet"
            return Failure(Reason.UNAVAILABLE, "gateway.admit", "", detail)
        if not self._lifecycle.accepts_requests():
            detail = "the instance is leaving; send the request again"
            return Failure(
                Reason.SHUTTING_DOWN, "gateway.admit", "", detail, retry_after_ms=100
            )
        return document

    def authenticate(self, request: Request) -> CustomerId | Failure:
        """Return the customer whose credential the request carries."""
        document = self.document_if_ready()
        if isinstance(document, Failure):
            return document
        if document is not self._credentials_document:
            self._credentials = CustomerCredentials.from_config(document)
            self._credentials_document = document
        return self._credentials.find_customer(request.headers.get("authorization"))

    def authorize(
        self, customer: CustomerId, class_id: ClassId
    ) -> ClassAccess | Failure:
        """Return the class and service if the customer may use them."""
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
    """Return the body of a request of a known class."""
    body = await read_body(request, access.request_class.max_body_bytes)
    if isinstance(body, Failure):
        return Refusal(body, request_id, access.class_id)
    return body


def _unknown_class(class_id: ClassId, allowed_ids: list[ClassId]) -> Failure:
    names = ", ".join(allowed_ids) or "none"
    detail = f"there is no class {class_id!r}; this customer may use: {names}"
    return Failure(Reason.NOT_FOUND, "gateway.admit", "", detail)
