"""ASGI application of an entry instance."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import BaseRoute, Route

from ..entry.lifecycle import Lifecycle, Phase
from ..errors import Failure, Reason
from ..observability.log import Log
from ..outcome import Outcome
from .authorization import Refusal, RequestAuthorizer, allowed_class_ids
from .formats import formats
from .generations import GenerationHandler
from .lookup import LookupHandler
from .models import ModelList, ModelObject
from .problem import problem_response
from .services import ServiceHandler

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class Handlers(msgspec.Struct, frozen=True):
    """Request handlers of an application."""

    generations: GenerationHandler
    services: ServiceHandler
    lookup: LookupHandler
    authorizer: RequestAuthorizer
    lifecycle: Lifecycle
    operator_routes: Sequence[BaseRoute] = ()


def make_app(handlers: Handlers, log: Log) -> Starlette:
    """Return the application with all its routes."""
    status_handlers = _StatusHandlers(handlers)
    routes: list[BaseRoute] = [
        Route(path, handlers.generations, methods=["POST"]) for path in formats
    ]
    routes += [
        Route("/v1/models", status_handlers.models),
        Route("/v1/streams/{request_id}", handlers.generations, methods=["GET"]),
        Route("/v1/requests/{request_id}", handlers.lookup.handle),
        Route("/services/{class_id}", handlers.services, methods=METHODS),
        Route("/services/{class_id}/{path:path}", handlers.services, methods=METHODS),
        Route("/healthz", status_handlers.health),
        Route("/readyz", status_handlers.readiness),
        *handlers.operator_routes,
    ]
    error_handlers = _ErrorHandlers(log)
    return Starlette(
        routes=routes,
        exception_handlers={
            HTTPException: error_handlers.handle_http_error,
            Exception: error_handlers.handle_exception,
        },
    )


class _StatusHandlers:
    """Handlers of small responses: models, health and readiness."""

    def __init__(self, handlers: Handlers):
        self._authorizer = handlers.authorizer
        self._lifecycle = handlers.lifecycle

    async def models(self, request: Request) -> Response:
        """List the classes that the customer may use."""
        customer = self._authorizer.authenticate(request)
        document = self._authorizer.document_if_ready()
        for result in (customer, document):
            if isinstance(result, Failure):
                request_id = self._authorizer.new_request_id()
                return Refusal(result, request_id).response()
        names = allowed_class_ids(document, customer)
        body = ModelList([ModelObject(name) for name in names])
        return Response(msgspec.json.encode(body), media_type="application/json")

    async def health(self, request: Request) -> Response:
        """Report that the process runs."""
        return PlainTextResponse("ok\n")

    async def readiness(self, request: Request) -> Response:
        """Report whether a load balancer should send requests here."""
        phase = self._lifecycle.phase
        status = 200 if phase is Phase.READY else 503
        return PlainTextResponse(f"{phase.value}\n", status)


class _ErrorHandlers:
    """Responses to errors that no request handler has dealt with."""

    def __init__(self, log: Log):
        self._log = log

    async def handle_http_error(
        self, request: Request, error: HTTPException
    ) -> Response:
        """Return an API error body for an unknown path or method."""
        is_not_found = error.status_code == 404
        reason = Reason.NOT_FOUND if is_not_found else Reason.BAD_REQUEST
        detail = f"{request.method} {request.url.path}: {error.detail}"
        failure = Failure(reason, "gateway.route", "", detail)
        response = problem_response(failure, Outcome.NOT_RUN)
        response.status_code = error.status_code
        response.headers.update(error.headers or {})
        return response

    async def handle_exception(self, request: Request, error: Exception) -> Response:
        """Log an unexpected exception and return an error without its details."""
        self._log.event(
            "request_fault",
            path=request.url.path,
            error=f"{type(error).__name__}: {error}",
        )
        detail = "internal error; see the log of the entry instance"
        failure = Failure(Reason.INTERNAL, "gateway.handle", "", detail)
        return problem_response(failure, Outcome.UNKNOWN)
