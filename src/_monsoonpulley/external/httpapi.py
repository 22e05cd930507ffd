"""HTTP requests to the platform, each sent at most once."""

from __future__ import annotations

from collections.abc import Awaitable, Mapping
from typing import TypeVar

import aiohttp
import msgspec
from yarl import URL

from ..errors import MALFORMED_ERRORS, Failure, Reason

T = TypeVar("T")

DEFAULT_TIMEOUT_MS = 2_000
JSON_TYPE = "application/json"
MAX_DETAIL_CHARS = 200
"""Limits how much of an error answer goes into a failure."""

REFUSAL_REASONS: Mapping[int, Reason] = {
    301: Reason.PROTOCOL,
    302: Reason.PROTOCOL,
    307: Reason.PROTOCOL,
    308: Reason.PROTOCOL,
    400: Reason.INVALID,
    401: Reason.UNAUTHENTICATED,
    403: Reason.FORBIDDEN,
    404: Reason.NOT_FOUND,
    405: Reason.PROTOCOL,
    409: Reason.CONFLICT,
    413: Reason.BODY_TOO_LARGE,
    429: Reason.UNAVAILABLE,
    503: Reason.UNAVAILABLE,
}
"""Statuses that mean that nothing took effect."""


class HttpAnswer(msgspec.Struct, frozen=True):
    """A complete answer of any status."""

    status: int
    body: bytes
    retry_after_ms: int | None = None


class AnswerLostError(aiohttp.ClientError):
    """The connection broke after the request may have been sent."""


class HttpApi:
    """Client for one HTTP API of the platform.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for the requests; its default headers hold any credentials.
    base_url : str
        URL to which paths are appended; slashes at its end are removed.
    timeout_ms : int
        Timeout of one whole request; connecting may take half of it.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout_ms = timeout_ms
        url = URL(self._base_url)
        if url.scheme not in ("http", "https") or not url.host:
            raise ValueError(f"not an HTTP URL: {base_url!r}")
        self.peer = f"{url.host}:{url.port}"

    async def send_read(
        self, step: str, method: str, path: str, body: bytes | None = None
    ) -> HttpAnswer | Failure:
        """Send a request without side effects; fails as ``UNAVAILABLE``."""
        pending_answer = self._send(method, path, body, JSON_TYPE)
        return await self._exchange(step, pending_answer, Reason.UNAVAILABLE)

    async def send_change(
        self,
        step: str,
        method: str,
        path: str,
        body: bytes | None = None,
        content_type: str = JSON_TYPE,
    ) -> HttpAnswer | Failure:
        """Send a request that changes something.

        Fails as ``UNAVAILABLE`` if no connection was made, else ``IN_DOUBT``.
        """
        pending_answer = self._send(method, path, body, content_type)
        return await self._exchange(step, pending_answer, Reason.IN_DOUBT)

    def failure_from_status(
        self, step: str, answer: HttpAnswer, fallback_reason: Reason
    ) -> Failure:
        """Return the failure for an answer's error status.

        ``fallback_reason`` is for statuses that don't prove that nothing took effect.
        """
        reason = REFUSAL_REASONS.get(answer.status, fallback_reason)
        text = answer.body[:MAX_DETAIL_CHARS].decode(errors="replace")
        detail = f"HTTP status {answer.status}: {text}"
        return self.failure(reason, step, detail, answer.retry_after_ms)

    def failure(
        self, reason: Reason, step: str, detail: str, retry_after_ms: int | None = None
    ) -> Failure:
        """Return a failure at this API."""
        return Failure(reason, step, self.peer, detail, retry_after_ms=retry_after_ms)

    def decode(
        self, step: str, body: bytes, type_: type[T], fallback_reason: Reason
    ) -> T | Failure:
        """Decode a JSON body; a malformed one fails as ``fallback_reason``."""
        try:
            return msgspec.json.decode(body, type=type_, strict=False)
        except MALFORMED_ERRORS as error:
            return self.failure(fallback_reason, step, f"malformed answer: {error}")

    async def _exchange(
        self, step: str, pending_answer: Awaitable[HttpAnswer], no_answer_reason: Reason
    ) -> HttpAnswer | Failure:
        try:
            return await pending_answer
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return self.failure(Reason.UNAVAILABLE, step, f"could not connect: {error}")
        except TimeoutError:
            detail = f"no answer within {self._timeout_ms} ms"
            return self.failure(no_answer_reason, step, detail)
        except (aiohttp.ClientError, OSError) as error:
            return self.failure(no_answer_reason, step, f"incomplete answer: {error!r}")

    async def _send(
        self, method: str, path: str, body: bytes | None, content_type: str
    ) -> HttpAnswer:
        headers = {} if body is None else {"Content-Type": content_type}
        timeout = aiohttp.ClientTimeout(
            total=self._timeout_ms / 1000, connect=self._timeout_ms / 2000
        )
        async with self._session.request(
            method,
            URL(self._base_url + path, encoded=True),
            data=body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
            middlewares=(_send_once,),
        ) as response:
            data = await response.read()
            retry_after_ms = _retry_after_ms(response.headers.get("Retry-After"))
            return HttpAnswer(response.status, data, retry_after_ms)


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep ``aiohttp`` from resending a request when a reused connection breaks.

    It resends PUT, GET and DELETE after the errors replaced here, and only then.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, TimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AnswerLostError(repr(error)) from error


def _retry_after_ms(value: str | None) -> int | None:
    if value is None or not value.isascii() or not value.isdigit():
        return None
    return int(value[:6]) * 1000
