"""Adapter to model engines over the OpenAI-compatible HTTP API."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId
from .adapters import EndpointTarget, engine_adapters
from .engine import (
    CacheEvent,
    CancelOutcome,
    EngineCall,
    Finished,
    LoadReport,
    Order,
    Token,
)
from .engine_metrics import parse_metrics
from .engine_request import remaining_tokens, request_body, unsupported_reason
from .engine_stream import STEP, StreamItem
from .http_engine_control import (
    CacheEventsAnswer,
    CancelAnswer,
    ControlRequest,
    EngineControl,
    status_reason,
)
from .http_event_stream import EventStream
from .http_transport import (
    ATTEMPT_ID_HEADER,
    MAX_ERROR_BYTES,
    REQUEST_ID_HEADER,
    TRANSPORT_ERRORS,
    CallTrace,
    HttpSessions,
    connect_timeout,
    quote_path_segment,
    retry_after_ms,
    transport_failure,
    url_of,
)
from .tokens import count_prompt_tokens

MAX_KV_BYTES = 67_108_864
KV_TIMEOUT_MS = 10_000
ORDER_TIMEOUT_MS = 60_000


@engine_adapters.register("openai")
class HttpEngineClient:
    """Client of one engine over HTTP; implements ``EngineClient``.

    Parameters
    ----------
    target : EndpointTarget
        The endpoint to connect to.
    sessions : HttpSessions
        Shared client sessions.
    clock : Clock
        Timestamps load reports that carry no time of their own.
    """

    def __init__(self, target: EndpointTarget, sessions: HttpSessions, clock: Clock):
        self._target = target
        self._sessions = sessions
        self._clock = clock
        self._control = EngineControl(target, sessions)

    @classmethod
    def connect(
        cls, target: EndpointTarget, sessions: HttpSessions, clock: Clock
    ) -> HttpEngineClient:
        """Return a client without connecting yet."""
        return cls(target, sessions, clock)

    async def generate(self, call: EngineCall) -> AsyncIterator[StreamItem]:
        """Yield tokens, then one ``Finished`` or ``Failure``.

        Closing the iterator early closes the connection, which tells the engine
        that it may stop.
        """
        result = self._result_without_call(call)
        if result is not None:
            yield result
            return
        trace = CallTrace()
        stream = EventStream(call, self._target.endpoint_id, trace)
        try:
            failure = await self._open_stream(call, stream, trace)
            if failure is not None:
                yield failure
                return
            while True:
                for item in await stream.read():
                    yield item
                    if not isinstance(item, Token):
                        return
                    stream.renew_deadline()
        finally:
            stream.close()

    async def cancel(self, attempt: AttemptId) -> CancelOutcome | Failure:
        """Stop an attempt and return whether it had started."""
        body = msgspec.json.encode({"attempt_id": attempt})
        answer = await self._control.call(
            ControlRequest("engine.cancel", "POST", "/cancel", body)
        )
        if isinstance(answer, Failure):
            return answer
        decoded = self._control.decode("engine.cancel", answer, CancelAnswer)
        return decoded if isinstance(decoded, Failure) else decoded.outcome

    async def load_report(self) -> LoadReport | Failure:
        """Return the latest load report."""
        polled_wall_ms = self._clock.wall_ms()
        answer = await self._control.poll("engine.load", "/metrics")
        if isinstance(answer, Failure):
            return answer
        report = parse_metrics(answer.decode(errors="replace"), polled_wall_ms)
        return report or self._failure(Reason.PROTOCOL, "engine.load")

    async def cache_events(self, after_seq: int) -> tuple[CacheEvent, ...] | Failure:
        """Return events after ``after_seq`` that the engine still has."""
        path = f"/kv_events?after={after_seq}"
        answer = await self._control.poll("engine.cache_events", path)
        if isinstance(answer, Failure):
            return answer
        decoded = self._control.decode("engine.cache_events", answer, CacheEventsAnswer)
        return decoded if isinstance(decoded, Failure) else decoded.events

    async def export_kv(self, attempt: AttemptId) -> bytes | Failure:
        """Return the KV cache of a running attempt."""
        request = ControlRequest(
            "engine.export_kv",
            "GET",
            f"/kv/{quote_path_segment(attempt)}",
            timeout_ms=KV_TIMEOUT_MS,
            max_bytes=MAX_KV_BYTES,
        )
        return await self._control.call(request)

    async def import_kv(self, attempt: AttemptId, data: bytes) -> Failure | None:
        """Import a KV cache from which ``attempt`` starts."""
        request = ControlRequest(
            "engine.import_kv",
            "PUT",
            f"/kv/{quote_path_segment(attempt)}",
            data,
            "application/octet-stream",
            timeout_ms=KV_TIMEOUT_MS,
        )
        answer = await self._control.call(request)
        return answer if isinstance(answer, Failure) else None

    async def execute_order(self, order: Order) -> Failure | None:
        """Execute an order; fail with ``Reason.FENCED`` if its number is old."""
        body = msgspec.json.encode(order)
        request = ControlRequest(
            "engine.order", "POST", "/orders", body, timeout_ms=ORDER_TIMEOUT_MS
        )
        answer = await self._control.call(request)
        return answer if isinstance(answer, Failure) else None

    def _result_without_call(self, call: EngineCall) -> Finished | Failure | None:
        detail = unsupported_reason(call)
        if detail:
            failure = self._failure(Reason.INVALID, STEP, Delivery.NOT_SENT)
            return msgspec.structs.replace(failure, detail=detail)
        max_tokens = remaining_tokens(call)
        if call.tokens_so_far and max_tokens is not None and max_tokens <= 0:
            prompt_tokens = count_prompt_tokens(call.body)
            completion_tokens = call.tokens_so_far
            return Finished(call.attempt_id, "length", prompt_tokens, completion_tokens)
        return None

    async def _open_stream(
        self, call: EngineCall, stream: EventStream, trace: CallTrace
    ) -> Failure | None:
        headers = {
            "content-type": "application/json",
            "accept": "text/event-stream",
            "accept-encoding": "identity",
            REQUEST_ID_HEADER: call.request_id,
            ATTEMPT_ID_HEADER: call.attempt_id,
        }
        url = url_of(self._target.address, call.path)
        data = _encode(request_body(call))
        if url is None or data is None:
            return self._failure(Reason.INVALID, STEP, Delivery.NOT_SENT)
        response: aiohttp.ClientResponse | None = None
        try:
            async with stream.first_token_deadline():
                response = await self._sessions.unpooled.post(
                    url,
                    data=data,
                    headers=headers,
                    allow_redirects=False,
                    timeout=connect_timeout(call.first_token_timeout_ms),
                    trace_request_ctx=trace,
                )
                failure = await self._response_failure(response)
        except TRANSPORT_ERRORS as error:
            peer = self._target.endpoint_id
            failure = transport_failure(error, trace, STEP, peer)
        if response is not None:
            stream.start(response)
        return failure

    async def _response_failure(
        self, response: aiohttp.ClientResponse
    ) -> Failure | None:
        status = response.status
        if status in self._target.refusal_statuses:
            failure = self._failure(Reason.UNAVAILABLE, STEP, Delivery.REFUSED)
            return msgspec.structs.replace(
                failure,
                detail=f"status {status}",
                retry_after_ms=retry_after_ms(response),
            )
        if status != 200:
            text = (await response.content.read(MAX_ERROR_BYTES)).decode(
                "utf-8", "replace"
            )
            failure = self._failure(status_reason(status), STEP, Delivery.MAYBE)
            return msgspec.structs.replace(
                failure, detail=f"status {status}: {text[:200]}"
            )
        is_encoded = response.headers.get("content-encoding", "identity") != "identity"
        if response.content_type != "text/event-stream" or is_encoded:
            failure = self._failure(Reason.PROTOCOL, STEP, Delivery.MAYBE)
            detail = f"the answer is no event stream but {response.content_type}"
            return msgspec.structs.replace(failure, detail=detail[:200])
        return None

    def _failure(
        self, reason: Reason, step: str, delivery: Delivery | None = None
    ) -> Failure:
        return Failure(reason, step, self._target.endpoint_id, delivery=delivery)


def _encode(body: dict[str, Any]) -> bytes | None:
    try:
        return msgspec.json.encode(body)
    except (ValueError, OverflowError, TypeError):
        # For example a lone surrogate in a text.
        return None
