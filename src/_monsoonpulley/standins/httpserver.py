"""HTTP servers inside of a running loop, for stand-ins and tests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from starlette.types import ASGIApp

from ..httpserver import HttpServer


@contextlib.asynccontextmanager
async def serving(
    app: ASGIApp, port: int = 0, host: str = "127.0.0.1"
) -> AsyncIterator[str]:
    """Serve an ASGI application and give its base URL, ``http://host:port``.

    Port 0 takes a free one. Leaving ends open exchanges.
    """
    server = HttpServer(app, host, port)
    task = asyncio.create_task(server.run())
    try:
        while not server.started and not task.done():
            await asyncio.sleep(0)
        yield f"http://{host}:{server.port}"
    finally:
        server.force_exit = True
        server.stop()
        await task
