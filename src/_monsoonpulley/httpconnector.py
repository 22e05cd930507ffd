"""Connections of the HTTP library that fail answers which it would accept.

The library takes a reset connection for the end of an answer without a length, accepts
status codes that HTTP doesn't have, and reads for ever what is outside of a body.
"""

from __future__ import annotations

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

MAX_OVERHEAD_BYTES = 524_288
"""Bytes of one answer outside of its body, beyond as many as the body has, as in the
ingress: head, framing, trailers and interim answers. A faulty endpoint can send them
without end. A long stream in small chunks has more framing, but less than body."""

MIN_STATUS, MAX_STATUS = 100, 599
"""Status codes that HTTP has (RFC 9110, 15)."""


class AnswerError(aiohttp.ClientPayloadError, ValueError):
    """An answer is malformed, though the library would accept it."""


class CheckedHandler(ResponseHandler):
    """Connection that fails malformed and incomplete answers."""

    def __init__(self, loop: Any):
        super().__init__(loop)
        self._received_bytes = 0
        self._body: aiohttp.StreamReader | None = None

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer to another request."""
        self._received_bytes = 0
        self._body = None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Handle the head of an answer, which comes with the reader of its body."""
        head, self._body = data
        if not MIN_STATUS <= head.code <= MAX_STATUS:
            self._fail(f"status {head.code:03}")
            return
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; fail the answer if it has too much overhead."""
        super().data_received(data)
        self._received_bytes += len(data)
        body_bytes = self._body.total_bytes if self._body is not None else 0
        if self._received_bytes - 2 * body_bytes > MAX_OVERHEAD_BYTES:
            self._fail(f"over {MAX_OVERHEAD_BYTES} bytes more than its body")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer whose connection was reset before it had ended.

        This includes a reset while the rest of the request is written, after the end of
        what the endpoint has sent.
        """
        if exc is not None and self._body is not None and not self._body.is_eof():
            detail = f"connection lost: {exc}"
            self._body.set_exception(aiohttp.ClientPayloadError(detail))
        super().connection_lost(exc)

    def _fail(self, detail: str) -> None:
        error = AnswerError(f"malformed answer: {detail}")
        self.set_exception(error)
        if self._body is not None:
            self._body.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class CheckedConnector(aiohttp.TCPConnector):
    """Connector whose connections are `CheckedHandler` objects.

    Parameters
    ----------
    **options
        As for `aiohttp.TCPConnector`.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        # The library has no public way to choose the protocol.
        self._factory = functools.partial(CheckedHandler, loop=self._loop)
