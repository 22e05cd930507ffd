"""Broken answers of the HTTP stand-ins."""

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
    """How an answer is broken; its request took effect."""

    GARBAGE = "garbage"
    """Status 200 with a body that isn't JSON."""
    WRONG_SHAPE = "wrong_shape"
    """Status 200 with JSON of an unexpected shape."""
    TRUNCATED = "truncated"
    """The body is shorter than its stated length, and the connection closes."""
    SERVER_ERROR = "server_error"
    """Status 500."""
    UNAVAILABLE = "unavailable"
    """Status 503, which doesn't tell whether the request took effect."""
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
    """ASGI middleware that breaks the next answers on demand."""

    def __init__(self, app: App):
        self._app = app
        self._breakages: deque[Breakage] = deque()

    def break_next_answers(self, breakage: Breakage, count: int = 1) -> None:
        """Break the next ``count`` answers."""
        self._breakages.extend([breakage] * count)

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] != "http" or not self._breakages:
            await self._app(scope, receive, send)
            return
        breakage = self._breakages.popleft()
        messages: list[Message] = []

        async def collect(message: Message) -> None:
            messages.append(message)

        await self._app(scope, receive, collect)
        if breakage is Breakage.TRUNCATED:
            await _send_truncated(messages, send)
            return
        status, body = _REPLACED[breakage]
        headers = [(b"content-length", str(len(body)).encode())]
        headers.append((b"location", scope["path"].encode()))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


async def _send_truncated(messages: list[Message], send: Send) -> None:
    start, *parts = messages
    body = b"".join(part.get("body", b"") for part in parts)
    length = str(len(body) + 10).encode()
    headers = [h for h in start["headers"] if h[0].lower() != b"content-length"]
    await send({**start, "headers": [*headers, (b"content-length", length)]})
    # A server closes the connection if the application returns within the body.
    await send(
        {
            "type": "http.response.body",
            "body": body[: len(body) // 2],
            "more_body": True,
        }
    )
