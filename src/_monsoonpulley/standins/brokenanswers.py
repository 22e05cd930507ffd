"""Answers that break on their way out of an HTTP stand-in."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Message, Receive, Send], Awaitable[None]]


class Breakage(Enum):
    """How an answer is broken whose request took effect."""

    GARBAGE = "garbage"
    """Status 200 with a body that is no JSON."""
    WRONG_SHAPE = "wrong_shape"
    """Status 200 with JSON of another shape."""
    TRUNCATED = "truncated"
    """Ends before its length, and the connection closes."""
    SERVER_ERROR = "server_error"
    """Status 500."""
    UNAVAILABLE = "unavailable"
    """Status 503 with a text that says nothing about the effect."""
    REDIRECT = "redirect"
    """Status 307 to the same path."""


_REPLACED: dict[Breakage, tuple[int, bytes]] = {
    Breakage.GARBAGE: (200, b'\xff{"header": '),
    Breakage.WRONG_SHAPE: (200, b'{"header": [1], "kvs": 7}'),
    Breakage.SERVER_ERROR: (500, b"Internal Server Error"),
    Breakage.UNAVAILABLE: (503, b"Service Unavailable"),
    Breakage.REDIRECT: (307, b""),
}


class BrokenAnswers:
    """Wraps an ASGI application and breaks the answers that tests choose."""

    def __init__(self, app: App):
        self._app = app
        self._next: deque[Breakage] = deque()

    def next_answer(self, breakage: Breakage, count: int = 1) -> None:
        """Break the next ``count`` answers."""
        self._next.extend([breakage] * count)

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] != "http" or not self._next:
            await self._app(scope, receive, send)
            return
        breakage = self._next.popleft()
        whole: list[Message] = []

        async def keep(message: Message) -> None:
            whole.append(message)

        await self._app(scope, receive, keep)
        if breakage is Breakage.TRUNCATED:
            await _send_truncated(whole, send)
            return
        status, body = _REPLACED[breakage]
        headers = [(b"content-length", str(len(body)).encode())]
        headers.append((b"location", scope["path"].encode()))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


async def _send_truncated(whole: list[Message], send: Send) -> None:
    start, *parts = whole
    body = b"".join(part.get("body", b"") for part in parts)
    length = str(len(body) + 10).encode()
    headers = [h for h in start["headers"] if h[0].lower() != b"content-length"]
    await send({**start, "headers": [*headers, (b"content-length", length)]})
    # Returning before the body is whole makes the server close the connection.
    await send(
        {
            "type": "http.response.body",
            "body": body[: len(body) // 2],
            "more_body": True,
        }
    )
