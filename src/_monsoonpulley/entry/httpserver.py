"""HTTP server on the running event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

KEEP_ALIVE_TIMEOUT_S = 75
SHUTDOWN_TIMEOUT_S = 5
BACKLOG = 2_048


class HttpServer(uvicorn.Server):
    """HTTP server of one application; it installs no signal handlers.

    Parameters
    ----------
    app : ASGI application
        Application to serve.
    ip : str
        IP address to listen on.
    port : int
        TCP port; 0 for any free one.
    """

    def __init__(self, app: ASGIApp, ip: str, port: int):
        config = uvicorn.Config(
            app,
            loop="asyncio",
            interface="asgi3",
            proxy_headers=False,
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            # The application logs its own errors.
            log_level="critical",
            access_log=False,
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
        )
        super().__init__(config)
        self._ip = ip
        self._listener = listening_socket(ip, port)

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        return self._listener.getsockname()[1]

    @property
    def url(self) -> str:
        """Base URL, such as ``http://127.0.0.1:8001``."""
        ip = f"[{self._ip}]" if ":" in self._ip else self._ip
        return f"http://{ip}:{self.port}"

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers; the process handles signals itself."""
        yield

    async def run(self) -> None:
        """Serve until `stop` or until cancelled."""
        try:
            await self.serve(sockets=[self._listener])
        except asyncio.CancelledError:
            self.force_exit = True
            raise
        finally:
            self._listener.close()

    def stop(self) -> None:
        """Stop the server once its connections are idle, after 5 s at most."""
        self.should_exit = True


def listening_socket(ip: str, port: int) -> socket.socket:
    """Return a listening socket whose connections have ``TCP_NODELAY`` set.

    ``asyncio`` sets it only on sockets with an explicit protocol, and accepted
    sockets inherit the protocol from the listening one.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    listener.listen(BACKLOG)
    return listener
