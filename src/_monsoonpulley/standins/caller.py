"""A caller that sends requests to an ASGI application in the same process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from urllib.parse import unquote

import msgspec
from starlette.types import ASGIApp, Message

OnChunk = Callable[[bytes], None]


class CallerResponse(msgspec.Struct):
    """A response as received by the caller.

    Attributes
    ----------
    chunks : list of bytes
        The body as received.
    is_complete : bool
        Whether the end of the body was received.
    """

    status: int = 0
    headers: dict[str, str] = {}
    chunks: list[bytes] = []
    is_complete: bool = False

    @property
    def body(self) -> bytes:
        """The whole body."""
        return b"".join(self.chunks)

    def json(self) -> dict:
        """Return the body as JSON."""
        return msgspec.json.decode(self.body)


class Caller:
    """Stand-in of a caller, which sends requests to one application.

    Parameters
    ----------
    app : ASGI application
        Application that gets the requests.
    credential : str
        Bearer credential; empty for none.
    """

    def __init__(self, app: ASGIApp, credential: str = ""):
        self._app = app
        self._credential = credential

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        on_chunk: OnChunk | None = None,
        disconnect: asyncio.Event | None = None,
    ) -> CallerResponse:
        """Send a request and return the response, complete or broken off.

        Parameters
        ----------
        method, path, body, headers
            The request; ``path`` may have a query string.
        on_chunk : callable, optional
            Called with each chunk of the body when it arrives.
        disconnect : asyncio.Event, optional
            Setting it closes the caller's connection.
        """
        response = CallerResponse(headers={}, chunks=[])
        exchange = _Exchange(response, body, on_chunk, disconnect)
        scope = _scope(method, path, self._headers(headers, body))
        try:
            await self._app(scope, exchange.receive, exchange.send)
        except OSError:
            return response
        return response

    async def post_json(
        self, path: str, body: object, headers: dict[str, str] | None = None, **options
    ) -> CallerResponse:
        """Post a JSON body; ``options`` are passed on to `request`."""
        json_headers = {"content-type": "application/json", **(headers or {})}
        encoded = msgspec.json.encode(body)
        return await self.request("POST", path, encoded, json_headers, **options)

    def _headers(
        self, headers: dict[str, str] | None, body: bytes
    ) -> list[tuple[bytes, bytes]]:
        all_headers = {"host": "caller.invalid", **(headers or {})}
        if body:
            all_headers.setdefault("content-length", str(len(body)))
        if self._credential:
            all_headers.setdefault("authorization", f"Bearer {self._credential}")
        return [
            (k.lower().encode(), v.encode("latin-1")) for k, v in all_headers.items()
        ]


class _Exchange:
    """ASGI ``receive`` and ``send`` of one request."""

    def __init__(
        self,
        response: CallerResponse,
        body: bytes,
        on_chunk: OnChunk | None,
        disconnect: asyncio.Event | None,
    ):
        self._response = response
        self._body: bytes | None = body
        self._on_chunk = on_chunk
        self._disconnect = disconnect or asyncio.Event()
        self._response_ended = asyncio.Event()

    async def receive(self) -> Message:
        if self._body is not None:
            body, self._body = self._body, None
            return {"type": "http.request", "body": body, "more_body": False}
        disconnected = asyncio.ensure_future(self._disconnect.wait())
        ended = asyncio.ensure_future(self._response_ended.wait())
        try:
            await asyncio.wait(
                {disconnected, ended}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnected.cancel()
            ended.cancel()
        return {"type": "http.disconnect"}

    async def send(self, message: Message) -> None:
        if self._disconnect.is_set():
            raise OSError("caller disconnected")
        if message["type"] == "http.response.start":
            self._response.status = message["status"]
            self._response.headers = {
                name.decode(): value.decode("latin-1")
                for name, value in message["headers"]
            }
            return
        chunk = message.get("body", b"")
        if chunk:
            self._response.chunks.append(chunk)
            if self._on_chunk:
                self._on_chunk(chunk)
        if not message.get("more_body", False):
            self._response.is_complete = True
            self._response_ended.set()


def _scope(method: str, path: str, headers: list[tuple[bytes, bytes]]) -> dict:
    raw_path, _, query = path.partition("?")
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": unquote(raw_path),
        "raw_path": raw_path.encode(),
        "query_string": query.encode(),
        "root_path": "",
        "headers": headers,
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 80),
    }
