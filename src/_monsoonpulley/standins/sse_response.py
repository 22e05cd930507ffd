"""ASGI responses of the HTTP stand-ins that watch or break the connection."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from starlette.types import Receive, Scope, Send


class ConnectionBrokenError(Exception):
    """Raised by the application to make the server close the connection."""


async def break_connection(send: Send, is_started: bool) -> None:
    """Break off a response.

    ASGI has no message to reset a connection. A server closes the connection
    of a body that was started and not ended, so clients see a truncated answer.
    """
    if not is_started:
        headers = [(b"content-length", b"1")]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": b"", "more_body": True})
    raise ConnectionBrokenError


class BrokenResponse:
    """A response whose connection breaks between the headers and the body."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response."""
        await break_connection(send, is_started=False)


class WatchedResponse:
    """Response that runs ``write`` until it is done or the client disconnects.

    Parameters
    ----------
    write : callable
        Coroutine function that sends the whole response by ``send``.
    """

    def __init__(self, write: Callable[[Send], Awaitable[None]]):
        self._write = write

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the response."""
        writing = asyncio.ensure_future(self._write(send))
        disconnecting = asyncio.ensure_future(_wait_for_disconnect(receive))
        tasks = (writing, disconnecting)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                if not task.done():
                    task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        if not writing.cancelled() and writing.exception() is not None:
            raise writing.exception()


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_events(send: Send, events: AsyncIterator[bytes]) -> None:
    """Send a stream of events; `ConnectionBrokenError` from ``events`` breaks it."""
    headers = [
        (b"content-type", b"text/event-stream; charset=utf-8"),
        (b"cache-control", b"no-cache"),
    ]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    async for event in events:
        await send(_body(event, more_body=True))
    await send(_body(b"", more_body=False))


def _body(data: bytes, more_body: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": data, "more_body": more_body}
