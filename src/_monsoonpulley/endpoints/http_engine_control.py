"""Short calls to an engine beside its streams: cancel, load, KV cache, orders."""

from __future__ import annotations

from typing import Any

import msgspec

from ..errors import Delivery, Failure, Reason
from .adapters import EndpointTarget
from .engine import CacheEvent, CancelOutcome
from .http_transport import (
    CONTROL_TIMEOUT_MS,
    TRANSPORT_ERRORS,
    CallTrace,
    HttpSessions,
    read_body,
    timeouts,
    transport_failure,
    url_of,
)

MAX_CONTROL_BYTES = 4_194_304


class CancelAnswer(msgspec.Struct, frozen=True):
    """Body of the answer of ``/cancel``."""

    outcome: CancelOutcome


class CacheEventsAnswer(msgspec.Struct, frozen=True):
    """Body of the answer of ``/kv_events``."""

    events: tuple[CacheEvent, ...]


class EngineControl:
    """Sends the short calls to one engine.

    Parameters
    ----------
    target : EndpointTarget
        The endpoint.
    sessions : HttpSessions
        Shared client sessions.
    """

    def __init__(self, target: EndpointTarget, sessions: HttpSessions):
        self._target = target
        self._sessions = sessions

    async def call(
        self,
        step: str,
        method: str,
        path: str,
        body: bytes | None = None,
        content_type: str = "application/json",
        timeout_ms: int = CONTROL_TIMEOUT_MS,
        max_bytes: int = MAX_CONTROL_BYTES,
    ) -> bytes | Failure:
        """Return the body of the answer, or the failure of ``step``."""
        trace = CallTrace()
        peer = self._target.endpoint_id
        try:
            async with self._sessions.reusing.request(
                method,
                url_of(self._target.address, path),
                data=body,
                headers={"content-type": content_type} if body is not None else {},
                allow_redirects=False,
                timeout=timeouts(timeout_ms),
                trace_request_ctx=trace,
            ) as response:
                data = await read_body(response, max_bytes)
                if 200 <= response.status < 300:
                    return data
                return self._rejected(step, response.status, data)
        except TRANSPORT_ERRORS as error:
            return transport_failure(error, trace, step, peer)

    def _rejected(self, step: str, status: int, data: bytes) -> Failure:
        reason = status_reason(status)
        if status == 409 and b'"fenced"' in data:
            reason = Reason.FENCED
        failure = self._failure(reason, step, Delivery.MAYBE)
        return msgspec.structs.replace(failure, detail=f"status {status}")

    def decode(self, step: str, data: bytes, shape: type) -> Any:
        """Return the JSON of an answer as ``shape``, or a failure."""
        try:
            return msgspec.json.decode(data, type=shape)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return self._failure(Reason.PROTOCOL, step)

    def _failure(
        self, reason: Reason, step: str, delivery: Delivery | None = None
    ) -> Failure:
        return Failure(reason, step, self._target.endpoint_id, delivery=delivery)


def status_reason(status: int) -> Reason:
    """Return the reason that an engine's HTTP status stands for."""
    if status in (400, 413, 422):
        return Reason.INVALID
    if status == 404:
        return Reason.NOT_FOUND
    return Reason.PEER_ERROR
