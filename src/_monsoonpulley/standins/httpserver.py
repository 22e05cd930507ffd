"""HTTP servers in the running loop, for stand-ins and tests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from starlette.types import ASGIApp

from ..entry.httpserver import HttpServer


@contextlib.asynccontextmanager
async def run_server(app: ASGIApp, port: int = 0) -> AsyncIterator[HttpServer]:
    """Serve an ASGI application on 127.0.0.1 and yield its server.

    Port 0 picks a free port. On exit, open exchanges are aborted.
    """
    server = HttpServer(app, "127.0.0.1", port)
    task = asyncio.create_task(server.run())
    try:
        while not server.started and not task.done():
            await asyncio.sleep(0)
        yield server
    finally:
        server.force_exit = True
        server.stop()
        await task
