"""How a caller's connection is read, and closed, beneath the server library."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl

LINGER_MS = 1_000
"""How long the rest of a body is read whose request was answered: a close with unread
bytes resets the connection, and the answer could be lost on its way."""


class CallerFlow(FlowControl):
    """Flow control that reads on only while few requests wait.

    The application resumes reading whenever it waits for its caller to disconnect.
    """

    is_full = False

    def resume_reading(self) -> None:
        """Resume reading unless enough requests wait."""
        if not self.is_full:
            super().resume_reading()


class LingeringTransport:
    """A transport that is closed late if its caller may still be sending.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport.
    is_receiving : callable
        Returns whether a request is incomplete or its rest is discarded.
    """

    def __init__(self, transport: asyncio.Transport, is_receiving: Callable[[], bool]):
        self._transport = transport
        self._is_receiving = is_receiving
        self._is_lingering = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Return whether the transport is closed, or will be."""
        return self._is_lingering or self._transport.is_closing()

    def close(self) -> None:
        """Close the transport, once its caller has presumably read the answer."""
        if self.is_closing():
            return
        if not self._is_receiving() or not self._transport.can_write_eof():
            self._transport.close()
            return
        self._is_lingering = True
        self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_MS / 1000, self._transport.close)
