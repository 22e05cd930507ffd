"""HTTP interface for operators; its bodies are defined in ``operator_wire``."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from .. import operator_wire as wire
from ..config.document import Revision
from ..config.ini import parse_document
from ..config.store import ApplyConflict, ConfigStore
from ..config.watcher import ConfigWatcher
from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..settings.inisections import InvalidFile
from .body import read_body
from .credentials import check_operator

MAX_BODY_BYTES = 4 * 1024 * 1024
STEP = "operator.request"

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 400,
    Reason.INVALID: 400,
    Reason.TIMEOUT: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
}
"""HTTP status by reason; other reasons give 503."""

Handler = Callable[[Request], Awaitable[msgspec.Struct]]


class Overview(Protocol):
    """What an instance reports about the system."""

    def config_status(self) -> wire.ConfigStatusBody:
        """Return in which entry instances the newest known revision is in force."""
        ...

    def status(self) -> wire.StatusBody:
        """Return instances, endpoints, rollouts and duties."""
        ...

    def rollouts(self) -> wire.RolloutsBody:
        """Return the state and history of each ordered version's roll-out."""
        ...

    def explain_local(self, subject: str) -> wire.ExplainBody:
        """Return this instance's own records of a subject."""
        ...

    async def explain(self, subject: str, authorization: str) -> wire.ExplainBody:
        """Return the records of all entry instances about a subject."""
        ...


class OperatorHandlers:
    """Handlers of the operators' interface.

    Parameters
    ----------
    operator_sha256 : str
        SHA-256 of the operators' credential.
    store : ConfigStore
        Store of configuration revisions.
    watcher : ConfigWatcher
        Applies new revisions on this instance.
    overview : Overview
        What this instance reports about the system.
    """

    def __init__(
        self,
        operator_sha256: str,
        store: ConfigStore,
        watcher: ConfigWatcher,
        overview: Overview,
    ):
        self._operator_sha256 = operator_sha256
        self._store = store
        self._watcher = watcher
        self._overview = overview

    def routes(self) -> list[BaseRoute]:
        """Return the routes to serve."""
        explain_path = wire.EXPLAIN_PATH + "{subject:path}"
        return [
            self._route(wire.CONFIG_PATH, self._apply, "PUT"),
            self._route(wire.CONFIG_PATH, self._show),
            self._route(wire.HISTORY_PATH, self._history),
            self._route(wire.CONFIG_STATUS_PATH, self._config_status),
            self._route(wire.STATUS_PATH, self._status),
            self._route(wire.ROLLOUTS_PATH, self._rollouts),
            self._route(explain_path, self._explain),
        ]

    def _route(self, path: str, handler: Handler, method: str = "GET") -> Route:
        async def handle(request: Request) -> Response:
            authorization = request.headers.get("authorization")
            refusal = check_operator(authorization, self._operator_sha256)
            if refusal is not None:
                return _response(refusal)
            return _response(await handler(request))

        return Route(path, handle, methods=[method])

    async def _apply(self, request: Request) -> msgspec.Struct:
        raw = await read_body(request, MAX_BODY_BYTES)
        if isinstance(raw, Failure):
            return raw
        try:
            body = msgspec.json.decode(raw, type=wire.ApplyBody)
        except MALFORMED_ERRORS as error:
            return Failure(Reason.BAD_REQUEST, STEP, "", str(error))
        try:
            document = parse_document(body.ini, "configuration")
        except InvalidFile as error:
            return wire.InvalidBody.from_error(error)
        result = await self._store.apply(
            document,
            expected_number=body.expected_number,
            author=body.author,
            note=body.note,
            change_token=body.change_token,
            merge=body.merge,
            may_be_retry=body.repeated,
        )
        if isinstance(result, ApplyConflict):
            return wire.ConflictBody.from_conflict(result)
        if isinstance(result, Revision):
            self._watcher.offer(result)
            return wire.RevisionBody.from_revision(result)
        return result

    async def _show(self, request: Request) -> msgspec.Struct:
        text = request.query_params.get("number", "")
        if not text:
            head = await self._store.read_head()
            return head if isinstance(head, Failure) else _revision_body(head)
        if not text.isascii() or not text.isdecimal():
            detail = f"number={text!r}: expected a non-negative integer"
            return Failure(Reason.BAD_REQUEST, STEP, "", detail)
        revision = await self._store.read_revision(int(text))
        if revision is None:
            detail = f"revision {text} does not exist or is no longer kept"
            return Failure(Reason.NOT_FOUND, STEP, "", detail)
        return revision if isinstance(revision, Failure) else _revision_body(revision)

    async def _history(self, request: Request) -> msgspec.Struct:
        text = request.query_params.get("limit", "20")
        limit = int(text) if text.isascii() and text.isdecimal() else 0
        if not 1 <= limit <= wire.MAX_HISTORY_REVISIONS:
            detail = f"limit={text!r}: expected 1 to {wire.MAX_HISTORY_REVISIONS}"
            return Failure(Reason.BAD_REQUEST, STEP, "", detail)
        revisions = await self._store.read_history(limit)
        if isinstance(revisions, Failure):
            return revisions
        summaries = [wire.RevisionSummary.from_revision(one) for one in revisions]
        return wire.HistoryBody(tuple(summaries))

    async def _config_status(self, request: Request) -> msgspec.Struct:
        return self._overview.config_status()

    async def _status(self, request: Request) -> msgspec.Struct:
        return self._overview.status()

    async def _rollouts(self, request: Request) -> msgspec.Struct:
        return self._overview.rollouts()

    async def _explain(self, request: Request) -> msgspec.Struct:
        subject = request.path_params["subject"]
        scope = request.query_params.get("scope", "all")
        if scope == "local":
            return self._overview.explain_local(subject)
        if scope != "all":
            detail = f"scope={scope!r}: expected local or all"
            return Failure(Reason.BAD_REQUEST, STEP, "", detail)
        authorization = request.headers["authorization"]
        body = await self._overview.explain(subject, authorization)
        if body.is_empty():
            detail = f"no entry instance has records of {subject!r}"
            return Failure(Reason.NOT_FOUND, STEP, "", detail)
        return body


def _revision_body(revision: Revision | None) -> wire.RevisionBody:
    return wire.RevisionBody.from_revision(revision)


def _response(body: msgspec.Struct) -> Response:
    """Return the response with a body; the body's type decides the status."""
    status = 200
    if isinstance(body, Failure):
        status = STATUS_BY_REASON.get(body.reason, 503)
        body = wire.FailureBody.from_failure(body)
    elif isinstance(body, wire.ConflictBody):
        status = 409
    elif isinstance(body, wire.InvalidBody):
        status = 422
    content = msgspec.json.encode(body)
    return Response(content, status, media_type="application/json")
