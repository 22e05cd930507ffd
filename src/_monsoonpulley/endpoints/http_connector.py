"""Connections to endpoints that end when an answer is mostly not its body."""

from __future__ import annotations

import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

MAX_OVERHEAD_BYTES = 524_288
"""Bytes of one answer outside of its body, beyond as many as the body has, as in the
ingress: head, framing, trailers and interim answers. A faulty endpoint can send them
without end. A long stream in small chunks has more framing, but less than body."""


class OverheadError(aiohttp.ClientPayloadError, ValueError):
    """An answer has too many bytes outside of its body."""


class OverheadLimitedHandler(ResponseHandler):
    """Connection that fails its answer after `MAX_OVERHEAD_BYTES`."""

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
        self._body = data[1]
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; fail the answer if it has too much overhead."""
        super().data_received(data)
        self._received_bytes += len(data)
        body_bytes = self._body.total_bytes if self._body is not None else 0
        if self._received_bytes - 2 * body_bytes > MAX_OVERHEAD_BYTES:
            self._fail()

    def _fail(self) -> None:
        detail = f"over {MAX_OVERHEAD_BYTES} bytes more than its body are outside of it"
        error = OverheadError(detail)
        self.set_exception(error)
        if self._body is not None:
            self._body.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class OverheadLimitedConnector(aiohttp.TCPConnector):
    """Connector whose connections are `OverheadLimitedHandler` objects.

    Parameters
    ----------
    **options
        As for `aiohttp.TCPConnector`.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        # The library has no public way to choose the protocol.
        self._factory = functools.partial(OverheadLimitedHandler, loop=self._loop)
