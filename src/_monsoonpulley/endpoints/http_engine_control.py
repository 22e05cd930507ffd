"""Control calls to an engine: cancel, load, cache events, KV cache, orders."""

from __future__ import annotations

from typing import Any

import aiohttp
import msgspec

from ..errors import MALFORMED_ERRORS, Delivery, Failure, Reason
from .adapters import EndpointTarget
from .engine import CacheEvent, CancelOutcome
from .http_transport import (
    CONTROL_TIMEOUT_MS,
    TRANSPORT_ERRORS,
    CallTrace,
    HttpSessions,
    read_body,
    total_timeout,
    transport_failure,
    url_of,
)

MAX_CONTROL_BYTES = 4_194_304


class CancelAnswer(msgspec.Struct, frozen=True):
    """Response body of ``/cancel``."""

    outcome: CancelOutcome


class CacheEventsAnswer(msgspec.Struct, frozen=True):
    """Response body of ``/kv_events``."""

    events: tuple[CacheEvent, ...]


class ControlRequest(msgspec.Struct, frozen=True):
    """One control call; ``max_bytes`` bounds the response body."""

    step: str
    method: str
    path: str
    body: bytes | None = None
    content_type: str = "application/json"
    timeout_ms: int = CONTROL_TIMEOUT_MS
    max_bytes: int = MAX_CONTROL_BYTES

    @property
    def headers(self) -> dict[str, str]:
        """Headers that describe the body."""
        return {} if self.body is None else {"content-type": self.content_type}


class EngineControl:
    """Sender of control calls to one engine.

    Parameters
    ----------
    target : EndpointTarget
        The endpoint to connect to.
    sessions : HttpSessions
        Shared client sessions.
    """

    def __init__(self, target: EndpointTarget, sessions: HttpSessions):
        self._target = target
        self._sessions = sessions

    async def call(self, request: ControlRequest) -> bytes | Failure:
        """Send a call on a connection of its own; return the response body."""
        return await self._send(self._sessions.unpooled, request)

    async def poll(self, step: str, path: str) -> bytes | Failure:
        """Send a frequent ``GET`` on a pooled connection; return the response body."""
        request = ControlRequest(step, "GET", path)
        return await self._send(self._sessions.pooled, request)

    async def _send(
        self, session: aiohttp.ClientSession, request: ControlRequest
    ) -> bytes | Failure:
        trace = CallTrace()
        peer = self._target.endpoint_id
        try:
            async with session.request(
                request.method,
                url_of(self._target.address, request.path),
                data=request.body,
                headers=request.headers,
                allow_redirects=False,
                timeout=total_timeout(request.timeout_ms),
                trace_request_ctx=trace,
            ) as response:
                data = await read_body(response, request.max_bytes)
                if 200 <= response.status < 300:
                    return data
                return self._status_failure(request.step, response.status, data)
        except TRANSPORT_ERRORS as error:
            return transport_failure(error, trace, request.step, peer)

    def _status_failure(self, step: str, status: int, data: bytes) -> Failure:
        reason = status_reason(status)
        if status == 409 and b'"fenced"' in data:
            reason = Reason.FENCED
        failure = self._failure(reason, step, Delivery.MAYBE)
        return msgspec.structs.replace(failure, detail=f"status {status}")

    def decode(self, step: str, data: bytes, answer_type: type) -> Any:
        """Decode a JSON body as ``answer_type``; return a failure if it is invalid."""
        try:
            return msgspec.json.decode(data, type=answer_type)
        except MALFORMED_ERRORS:
            return self._failure(Reason.PROTOCOL, step)

    def _failure(
        self, reason: Reason, step: str, delivery: Delivery | None = None
    ) -> Failure:
        return Failure(reason, step, self._target.endpoint_id, delivery=delivery)


def status_reason(status: int) -> Reason:
    """Return the failure reason for an engine's HTTP status."""
    if status in (400, 413, 422):
        return Reason.INVALID
    if status == 404:
        return Reason.NOT_FOUND
    return Reason.PEER_ERROR
