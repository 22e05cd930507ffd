"""HTTP servers inside of a running loop, for stand-ins and tests."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Any

import uvicorn


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket whose connections send without delay.

    ``asyncio`` switches Nagle's algorithm off only for sockets that name TCP as
    their protocol, which those of ``socket.create_server`` do not.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    return listener


class _QuietServer(uvicorn.Server):
    """A server that leaves signals to the program around it."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


@contextlib.asynccontextmanager
async def serving(
    app: Any, port: int = 0, host: str = "127.0.0.1"
) -> AsyncIterator[str]:
    """Serve an ASGI application and give its base URL, ``http://host:port``.

    Port 0 takes a free one. Leaving ends open exchanges.
    """
    listener = listening_socket(host, port)
    config = uvicorn.Config(
        app, log_level="critical", lifespan="off", timeout_graceful_shutdown=0
    )
    server = _QuietServer(config)
    task = asyncio.create_task(server.serve(sockets=[listener]))
    try:
        while not server.started and not task.done():
            await asyncio.sleep(0)
        yield f"http://{host}:{listener.getsockname()[1]}"
    finally:
        server.should_exit = True
        await task
        listener.close()
