"""ASGI responses of the HTTP stand-ins: watched streams and broken ones."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from starlette.types import Receive, Scope, Send


class ConnectionBrokenError(Exception):
    """Raised by the application so that the server closes the connection."""


async def break_connection(send: Send, is_started: bool) -> None:
    """End a response in the middle.

    An ASGI server has no call to reset a connection. A started body without
    its end makes it close the connection, and clients see a cut-off answer.
    """
    if not is_started:
        headers = [(b"content-length", b"1")]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": b"", "more_body": True})
    raise ConnectionBrokenError


class BrokenResponse:
    """A response whose connection breaks before the body."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer as ASGI applications do."""
        await break_connection(send, is_started=False)


class WatchedResponse:
    """Runs ``write`` until it is done or the client goes away.

    Parameters
    ----------
    write : callable
        Takes ``send`` and writes the whole response.
    """

    def __init__(self, write: Callable[[Send], Awaitable[None]]):
        self._write = write

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer as ASGI applications do."""
        writing = asyncio.ensure_future(self._write(send))
        leaving = asyncio.ensure_future(_until_disconnect(receive))
        tasks = (writing, leaving)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                if not task.done():
                    task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        if not writing.cancelled() and writing.exception() is not None:
            raise writing.exception()


async def _until_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_events(send: Send, events: AsyncIterator[bytes]) -> None:
    """Send a whole event stream; `ConnectionBrokenError` ends it in the middle."""
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
