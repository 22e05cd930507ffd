"""Serves an ASGI application on a loopback port within the running loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Iterator

import uvicorn
from starlette.types import ASGIApp


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        # Signals belong to the program that embeds the server.
        yield


@contextlib.asynccontextmanager
async def serve(app: ASGIApp, port: int = 0) -> AsyncIterator[int]:
    """Serve ``app`` on 127.0.0.1 and give the port; it stops at the end.

    Parameters
    ----------
    app : ASGI application
        What to serve.
    port : int
        Port to listen on; 0 takes a free one.
    """
    listener = socket.create_server(("127.0.0.1", port))
    config = uvicorn.Config(
        app, log_config=None, log_level="critical", lifespan="off", ws="none"
    )
    server = _Server(config)
    serving = asyncio.ensure_future(server.serve(sockets=[listener]))
    try:
        while not server.started and not serving.done():
            await asyncio.sleep(0.002)
        yield listener.getsockname()[1]
    finally:
        server.should_exit = True
        server.force_exit = True
        await serving
        listener.close()
