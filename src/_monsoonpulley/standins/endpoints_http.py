"""HTTP servers over the stand-ins of engines and plain services."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Send

from ..clock import Clock
from ..endpoints.engine import EngineCall, Finished, Order, Token
from ..endpoints.engine_metrics import format_metrics
from ..endpoints.http_service import LOOKUP_PATH
from ..endpoints.http_transport import ATTEMPT_ID_HEADER, REQUEST_ID_HEADER
from ..endpoints.openai_wire import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    AnswerWriter,
    ErrorBody,
    ErrorDetail,
)
from ..endpoints.service import ServiceCall
from ..endpoints.sse import DONE, sse_event
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, RequestId
from .engine import EngineStandin
from .engine_requests import NO_TIMEOUT_MS, read_call
from .plainservice import PlainServiceStandin
from .sse_response import (
    BrokenResponse,
    ConnectionBrokenError,
    WatchedResponse,
    send_events,
)

_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS"]
_STATUSES = {
    Reason.FENCED: 409,
    Reason.CONFLICT: 409,
    Reason.NOT_FOUND: 404,
    Reason.INVALID: 400,
}


def engine_app(engine: EngineStandin, clock: Clock) -> Starlette:
    """Return the HTTP application of an engine stand-in."""
    server = _EngineServer(engine, clock)
    return Starlette(
        routes=[
            Route(CHAT_PATH, server.generate, methods=["POST"]),
            Route(COMPLETIONS_PATH, server.generate, methods=["POST"]),
            Route("/v1/models", server.models),
            Route("/metrics", server.metrics),
            Route("/kv_events", server.kv_events),
            Route("/cancel", server.cancel, methods=["POST"]),
            Route("/kv/{attempt}", server.export_kv),
            Route("/kv/{attempt}", server.import_kv, methods=["PUT"]),
            Route("/orders", server.order, methods=["POST"]),
        ]
    )


def service_app(service: PlainServiceStandin) -> Starlette:
    """Return the HTTP application of a plain service stand-in."""
    server = _ServiceServer(service)
    return Starlette(
        routes=[
            Route(LOOKUP_PATH + "{request_id:path}", server.lookup),
            Route("/{path:path}", server.call, methods=_METHODS),
        ]
    )


class _EngineServer:
    def __init__(self, engine: EngineStandin, clock: Clock):
        self._engine = engine
        self._clock = clock
        self._unnamed = 0

    async def generate(self, request: Request) -> Response | WatchedResponse:
        body = await _json_object(request)
        if body is None:
            return _error(400, "the body is no JSON object")
        request_id, attempt = self._ids(request)
        call = read_call(request.url.path, body, request_id, attempt)

        async def write(send: Send) -> None:
            await self._write(call, send)

        return WatchedResponse(write)

    async def models(self, request: Request) -> Response:
        model = {
            "id": self._engine.version,
            "object": "model",
            "created": self._clock.wall_ms() // 1000,
            "owned_by": "standin",
        }
        return _json({"object": "list", "data": [model]})

    async def metrics(self, request: Request) -> Response:
        report = await self._engine.load_report()
        if isinstance(report, Failure):
            return _failed(report)
        return Response(format_metrics(report), media_type="text/plain")

    async def kv_events(self, request: Request) -> Response:
        after = request.query_params.get("after", "0")
        if not after.isdecimal():
            return _error(400, "after must be a number")
        events = await self._engine.cache_events(int(after))
        return _failed(events) if isinstance(events, Failure) else _events(events)

    async def cancel(self, request: Request) -> Response:
        body = await _json_object(request) or {}
        outcome = await self._engine.cancel(AttemptId(str(body.get("attempt_id"))))
        if isinstance(outcome, Failure):
            return _failed(outcome)
        return _json({"outcome": outcome})

    async def export_kv(self, request: Request) -> Response:
        data = await self._engine.export_kv(request.path_params["attempt"])
        if isinstance(data, Failure):
            return _failed(data)
        return Response(data, media_type="application/octet-stream")

    async def import_kv(self, request: Request) -> Response:
        attempt = request.path_params["attempt"]
        failure = await self._engine.import_kv(attempt, await request.body())
        return _failed(failure) if failure else Response(status_code=204)

    async def order(self, request: Request) -> Response:
        try:
            order = msgspec.json.decode(await request.body(), type=Order)
        except msgspec.MsgspecError as error:
            return _error(400, str(error))
        failure = await self._engine.execute_order(order)
        return _failed(failure) if failure else Response(status_code=204)

    def _ids(self, request: Request) -> tuple[str, str]:
        self._unnamed += 1
        unnamed = f"unnamed-{self._unnamed}"
        request_id = request.headers.get(REQUEST_ID_HEADER, unnamed)
        attempt = request.headers.get(ATTEMPT_ID_HEADER, f"{request_id}.1")
        return request_id, attempt

    async def _write(self, call: EngineCall, send: Send) -> None:
        stream = self._engine.generate(call)
        try:
            first = await anext(stream)
            if isinstance(first, Failure):
                await _send(send, call, first)
            elif call.body.get("stream"):
                await send_events(send, self._events(call, first, stream))
            else:
                await self._write_whole(call, first, stream, send)
        finally:
            await stream.aclose()

    async def _write_whole(
        self, call: EngineCall, first: Any, stream: AsyncIterator[Any], send: Send
    ) -> None:
        text = ""
        item = first
        while isinstance(item, Token):
            text += item.text
            item = await anext(stream)
        if isinstance(item, Failure):
            await _send(send, call, item)
            return
        whole = self._writer(call, call.attempt_id).whole_answer(
            text, _wire(call, item)
        )
        await _send(send, call, Response(whole, media_type="application/json"))

    async def _events(
        self, call: EngineCall, first: Any, stream: AsyncIterator[Any]
    ) -> AsyncIterator[bytes]:
        opening = self._writer(call, call.attempt_id).opening_event()
        if opening:
            yield sse_event(opening)
        item = first
        while isinstance(item, Token):
            # The id tells late tokens of another attempt apart.
            yield sse_event(self._writer(call, item.attempt_id).token_event(item.text))
            item = await anext(stream)
        if isinstance(item, Failure):
            raise ConnectionBrokenError
        for event in self._closing(call, item):
            yield sse_event(event)

    def _closing(self, call: EngineCall, finished: Finished) -> list[bytes]:
        writer = self._writer(call, call.attempt_id)
        events = [writer.finish_event(finished.finish_reason)]
        options = call.body.get("stream_options")
        if isinstance(options, dict) and options.get("include_usage"):
            events.append(writer.usage_event(_wire(call, finished)))
        events.append(DONE)
        return events

    def _writer(self, call: EngineCall, attempt: AttemptId) -> AnswerWriter:
        model = str(call.body.get("model", self._engine.version))
        created_s = self._clock.wall_ms() // 1000
        return AnswerWriter(call.path, attempt, created_s, model)


class _ServiceServer:
    def __init__(self, service: PlainServiceStandin):
        self._service = service
        self._unnamed = 0

    async def call(self, request: Request) -> Response | BrokenResponse:
        self._unnamed += 1
        unnamed = f"unnamed-{self._unnamed}"
        request_id = request.headers.get(REQUEST_ID_HEADER, unnamed)
        query = f"?{request.url.query}" if request.url.query else ""
        call = ServiceCall(
            request_id=RequestId(request_id),
            attempt_id=AttemptId(request.headers.get(ATTEMPT_ID_HEADER, "")),
            method=request.method,
            path=request.scope["raw_path"].decode("latin-1") + query,
            headers=tuple(request.headers.items()),
            body=await request.body(),
            timeout_ms=NO_TIMEOUT_MS,
        )
        result = await self._service.call(call)
        if not isinstance(result, Failure):
            return Response(result.body, result.status, dict(result.headers))
        if result.delivery is Delivery.REFUSED:
            return _error(self._service.profile.refusal_status, str(result))
        if request.method == "HEAD":
            # Without a body there is nothing to cut off.
            return _error(500, str(result))
        return BrokenResponse()

    async def lookup(self, request: Request) -> Response:
        request_id = RequestId(request.path_params["request_id"])
        result = await self._service.lookup(request_id)
        return _failed(result) if isinstance(result, Failure) else _json(result)


async def _json_object(request: Request) -> dict[str, Any] | None:
    try:
        body = msgspec.json.decode(await request.body())
    except msgspec.MsgspecError:
        return None
    return body if isinstance(body, dict) else None


def _json(value: Any, status: int = 200) -> Response:
    data = msgspec.json.encode(value)
    return Response(data, status, media_type="application/json")


def _events(events: tuple[Any, ...]) -> Response:
    return _json({"events": events})


def _error(status: int, message: str, code: str = "") -> Response:
    return _json(ErrorBody(ErrorDetail(message, "error", code or None)), status)


def _failed(failure: Failure) -> Response:
    status = _STATUSES.get(failure.reason, 503)
    return _error(status, str(failure), failure.reason.value)


async def _send(send: Send, call: EngineCall, result: Response | Failure) -> None:
    """Send a response that does not stream."""
    if isinstance(result, Failure):
        if result.delivery is Delivery.REFUSED:
            result = _error(429, str(result), result.reason.value)
        else:
            result = _error(500, str(result), result.reason.value)
    scope = {"type": "http", "method": "POST", "path": call.path, "headers": []}
    await result(scope, _no_receive, send)


async def _no_receive() -> dict[str, Any]:
    return {"type": "http.disconnect"}


def _wire(call: EngineCall, finished: Finished) -> Finished:
    """Count as engines do on the wire: there the text to continue is prompt."""
    so_far = call.tokens_so_far
    return msgspec.structs.replace(
        finished,
        prompt_tokens=finished.prompt_tokens + so_far,
        completion_tokens=finished.completion_tokens - so_far,
    )
