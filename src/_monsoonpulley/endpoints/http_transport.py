"""HTTP calls to endpoints: sessions, time limits, bounded reads and failures."""

from __future__ import annotations

import re
from types import SimpleNamespace
from urllib.parse import quote

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError
from yarl import URL

from ..errors import Delivery, Failure, Reason
from ..httpconnector import CheckedConnector

TRANSPORT_ERRORS = (
    aiohttp.ClientError,
    HttpProcessingError,
    OSError,
    TimeoutError,
    EOFError,
    ValueError,
)
"""Errors that a call to an endpoint can raise, also for malformed responses."""

REQUEST_ID_HEADER = "x-request-id"
ATTEMPT_ID_HEADER = "x-attempt-id"

CONNECT_TIMEOUT_MS = 2_000
CONTROL_TIMEOUT_MS = 2_000
KEEP_ALIVE_TIMEOUT_S = 15
CEIL_THRESHOLD_S = 86_400
"""The client library rounds longer timeouts up to whole seconds; none is longer."""
MAX_ERROR_BYTES = 4_096

_PATH = re.compile(r"/[!-~]*")


class CallTrace(SimpleNamespace):
    """Trace of one call: whether it ever had a connection."""

    is_connected: bool = False


class NotResentError(aiohttp.ClientError):
    """An established connection broke; the request was not sent again."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the client library from resending a request.

    It would resend GET, PUT, DELETE and other methods once when their
    connection breaks, even a new one. It does so on two of its errors only,
    which this middleware replaces.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise NotResentError(f"{type(error).__name__}: {error}") from error


class HttpSessions:
    """Client sessions of a process, shared by all adapters.

    ``unpooled`` opens a connection for each call. All calls that carry or decide
    a caller's work use it: on a keep-alive connection, a late or duplicate
    answer would be taken for that of the next call, and an endpoint that closes
    the connection as idle would leave a call in doubt.

    ``pooled`` keeps connections alive, for frequent polls of load and events.

    No session resends requests, keeps cookies, decodes bodies or reads proxy
    settings.
    """

    def __init__(self) -> None:
        self.unpooled = _session(force_close=True)
        self.pooled = _session(force_close=False)

    async def close(self) -> None:
        """Close all connections."""
        await self.unpooled.close()
        await self.pooled.close()


def _session(force_close: bool) -> aiohttp.ClientSession:
    keepalive = {} if force_close else {"keepalive_timeout": KEEP_ALIVE_TIMEOUT_S}
    connector = CheckedConnector(limit=0, force_close=force_close, **keepalive)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        middlewares=(send_once,),
        trace_configs=[_connection_trace()],
        timeout=aiohttp.ClientTimeout(total=None),
    )


def _connection_trace() -> aiohttp.TraceConfig:
    async def record_connection(_session, context, _params) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx.is_connected = True

    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(record_connection)
    config.on_connection_reuseconn.append(record_connection)
    return config


def url_of(address: str, path: str) -> URL | None:
    """Return the URL of an encoded path and query, ``None`` if it is invalid."""
    if not _PATH.fullmatch(path) or "#" in path:
        return None
    try:
        return URL(f"http://{address}{path}", encoded=True)
    except ValueError:
        return None


def quote_path_segment(text: str) -> str:
    """Return ``text`` percent-encoded as one segment of a path."""
    return quote(text, safe="")


def total_timeout(total_ms: int) -> aiohttp.ClientTimeout:
    """Return the timeouts of a call that may take ``total_ms`` in total."""
    return aiohttp.ClientTimeout(
        total=total_ms / 1000,
        connect=_connect_s(total_ms),
        ceil_threshold=CEIL_THRESHOLD_S,
    )


def connect_timeout(total_ms: int) -> aiohttp.ClientTimeout:
    """Return the connect timeout of a call that bounds its total time itself."""
    return aiohttp.ClientTimeout(total=None, connect=_connect_s(total_ms))


def _connect_s(total_ms: int) -> float:
    # Shorter than the total timeout, so that a call that could not connect fails
    # as one that was not sent.
    return min(CONNECT_TIMEOUT_MS, total_ms * 4 / 5) / 1000


def delivery_of(error: BaseException, trace: CallTrace) -> Delivery:
    """Return whether a failed call may have reached the endpoint.

    It is ``NOT_SENT`` only if both the library's error and the trace say that
    there was no connection, else ``MAYBE``.
    """
    is_connect_error = isinstance(
        error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
    )
    if is_connect_error and not trace.is_connected:
        return Delivery.NOT_SENT
    return Delivery.MAYBE


def transport_failure(
    error: BaseException, trace: CallTrace, step: str, peer: str
) -> Failure:
    """Return the failure of a call that raised one of `TRANSPORT_ERRORS`."""
    delivery = delivery_of(error, trace)
    detail = f"{type(error).__name__}: {error}"[:200]
    return Failure(_reason_of(error, delivery), step, peer, detail, delivery)


def _reason_of(error: BaseException, delivery: Delivery) -> Reason:
    if delivery is Delivery.NOT_SENT:
        return Reason.UNAVAILABLE
    if isinstance(error, TimeoutError):
        return Reason.TIMEOUT
    is_malformed = isinstance(
        error,
        (HttpProcessingError, aiohttp.ClientResponseError, ValueError),
    )
    return Reason.PROTOCOL if is_malformed else Reason.PEER_ERROR


class TooLargeError(ValueError):
    """A body is larger than the limit of its call."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Read and return the whole body.

    Raises
    ------
    TooLargeError
        If it has more than ``max_bytes``.
    """
    declared_bytes = response.content_length or 0
    # A response to HEAD declares the length of a body that is not sent.
    if declared_bytes > max_bytes and response.method != "HEAD":
        raise TooLargeError(
            f"the body has {declared_bytes} bytes, more than {max_bytes}"
        )
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise TooLargeError(f"the body has more than {max_bytes} bytes")
    return bytes(body)


def retry_after_ms(response: aiohttp.ClientResponse) -> int | None:
    """Return the response's ``Retry-After`` in milliseconds, if it is a number."""
    text = response.headers.get("retry-after", "")
    if not text.isascii() or not text.isdigit() or len(text) > 6:
        return None
    return int(text) * 1000
