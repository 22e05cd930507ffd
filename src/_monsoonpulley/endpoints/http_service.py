"""Adapter to plain services over HTTP."""

from __future__ import annotations

import aiohttp
import msgspec

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..ids import RequestId
from .adapters import EndpointTarget, service_adapters
from .http_headers import Headers, end_to_end, is_sendable
from .http_transport import (
    ATTEMPT_ID_HEADER,
    CONTROL_TIMEOUT_MS,
    REQUEST_ID_HEADER,
    TRANSPORT_ERRORS,
    CallTrace,
    HttpSessions,
    quote_path_segment,
    read_body,
    retry_after_ms,
    total_timeout,
    transport_failure,
    url_of,
)
from .service import Execution, Lookup, ServiceAnswer, ServiceCall

MAX_ANSWER_BYTES = 16_777_216

LOOKUP_PATH = "/_requests/"

_lookup_decoder = msgspec.json.Decoder(Lookup)


@service_adapters.register("http")
class HttpServiceClient:
    """Client of one plain-service endpoint; implements ``ServiceClient``.

    Each call, with ``runs_at_most_once`` or without, is sent at most once on a
    connection of its own and follows no redirect.

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

    @classmethod
    def connect(
        cls, target: EndpointTarget, sessions: HttpSessions, clock: Clock
    ) -> HttpServiceClient:
        """Return a client without connecting yet."""
        return cls(target, sessions)

    async def call(self, call: ServiceCall) -> ServiceAnswer | Failure:
        """Send the call once and return the endpoint's answer."""
        step = "service.call"
        url = url_of(self._target.address, call.path)
        headers = _request_headers(call)
        if url is None or not is_sendable(call.method, headers):
            return self._failure(Reason.BAD_REQUEST, step, Delivery.NOT_SENT)
        trace = CallTrace()
        try:
            async with self._sessions.unpooled.request(
                call.method,
                url,
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
                timeout=total_timeout(call.timeout_ms),
                trace_request_ctx=trace,
            ) as response:
                return await self._read_answer(response)
        except TRANSPORT_ERRORS as error:
            return transport_failure(error, trace, step, self._target.endpoint_id)

    async def lookup(self, request_id: RequestId) -> Lookup | Failure:
        """Return whether the request ran; after ``NOT_RUN`` it is refused for ever."""
        if not self._target.has_lookup:
            return Lookup(Execution.UNKNOWN)
        step = "service.lookup"
        url = url_of(self._target.address, LOOKUP_PATH + quote_path_segment(request_id))
        trace = CallTrace()
        try:
            async with self._sessions.unpooled.get(
                url,
                allow_redirects=False,
                timeout=total_timeout(CONTROL_TIMEOUT_MS),
                trace_request_ctx=trace,
            ) as response:
                return await self._read_lookup(response, step)
        except (msgspec.MsgspecError, RecursionError):
            return self._failure(Reason.PROTOCOL, step)
        except TRANSPORT_ERRORS as error:
            return transport_failure(error, trace, step, self._target.endpoint_id)

    async def _read_answer(
        self, response: aiohttp.ClientResponse
    ) -> ServiceAnswer | Failure:
        step = "service.call"
        if response.status in self._target.refusal_statuses:
            failure = self._failure(Reason.UNAVAILABLE, step, Delivery.REFUSED)
            return msgspec.structs.replace(
                failure,
                detail=f"status {response.status}",
                retry_after_ms=retry_after_ms(response),
            )
        if response.status < 200:
            return self._failure(Reason.PROTOCOL, step, Delivery.MAYBE)
        body = await read_body(response, MAX_ANSWER_BYTES)
        headers = end_to_end(response.headers.items())
        return ServiceAnswer(response.status, headers, body)

    async def _read_lookup(
        self, response: aiohttp.ClientResponse, step: str
    ) -> Lookup | Failure:
        if response.status == 404:
            return Lookup(Execution.UNKNOWN)
        if response.status != 200:
            return self._failure(Reason.PEER_ERROR, step)
        # The answer is encoded in base64, which is a third larger.
        data = await read_body(response, MAX_ANSWER_BYTES * 2)
        return _lookup_decoder.decode(data)

    def _failure(
        self, reason: Reason, step: str, delivery: Delivery | None = None
    ) -> Failure:
        peer = self._target.endpoint_id
        return Failure(reason, step, peer, delivery=delivery)


def _request_headers(call: ServiceCall) -> Headers:
    own_headers = (
        (REQUEST_ID_HEADER, call.request_id),
        (ATTEMPT_ID_HEADER, call.attempt_id),
    )
    own_names = {name for name, _ in own_headers}
    passed_on = end_to_end(call.headers)
    return tuple(pair for pair in passed_on if pair[0] not in own_names) + own_headers
