"""HTTP server on the running event loop."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections.abc import Iterator

import uvicorn
from starlette.types import ASGIApp

from ..callerbudget import MAX_BACKLOG, BudgetLimits, CallerBudget
from ..clock import Clock
from ..wire.messagemeter import RECEIVE_BUFFER_BYTES
from ..wire.server import close_listeners
from .callerprotocol import CallerProtocol, RequestLimits

KEEP_ALIVE_TIMEOUT_S = 75
SHUTDOWN_TIMEOUT_S = 5
IDLE_CHECK_INTERVAL_S = 0.05

SWEEP_TICKS = 5
"""Ticks of the server library, of 0.1 s, between two checks of time-outs, which are
seconds long."""


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
    budget : CallerBudget or None
        What all callers hold; None for one with the limits of the machine.
    limits : RequestLimits or None
        Limits of requests, whatever their class.
    """

    def __init__(
        self,
        app: ASGIApp,
        ip: str,
        port: int,
        budget: CallerBudget | None = None,
        limits: RequestLimits | None = None,
    ):
        self.budget = budget or CallerBudget(BudgetLimits.from_machine())
        self._clock = Clock.from_system()
        protocol = functools.partial(
            CallerProtocol, self.budget, self._clock, limits or RequestLimits()
        )
        config = uvicorn.Config(
            app,
            loop="asyncio",
            interface="asgi3",
            proxy_headers=False,
            http=protocol,
            backlog=self.budget.limits.backlog,
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
        self._max_idle_wait_ms = 0
        self._ip = ip
        self._listener = listening_socket(ip, port, self.budget.limits.backlog)

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

    def stop(self, max_idle_wait_ms: int = 0) -> None:
        """Stop the server once its connections are idle, after 5 s at most.

        Parameters
        ----------
        max_idle_wait_ms : int
            How long connections without a request stay open once no new ones are
            accepted: their callers may have sent one, which a close would reset.
        """
        self._max_idle_wait_ms = max_idle_wait_ms
        self.should_exit = True

    async def on_tick(self, counter: int) -> bool:
        """Check the time-outs of connections, at intervals."""
        if counter % SWEEP_TICKS == 0:
            now_ms = self._clock.now_ms()
            for connection in list(self.server_state.connections):
                connection.check_timeouts(now_ms)
        return await super().on_tick(counter)

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Accept what waits for it, then close as `stop` says."""
        await close_listeners(self.servers)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._max_idle_wait_ms / 1000
        while self.server_state.connections and loop.time() < until_s:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        await super().shutdown(sockets)


def listening_socket(ip: str, port: int, backlog: int = MAX_BACKLOG) -> socket.socket:
    """Return a listening socket whose connections have ``TCP_NODELAY`` set.

    ``asyncio`` sets it only on sockets with an explicit protocol, and accepted
    sockets inherit the protocol from the listening one.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit it.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind((ip, port))
    listener.listen(backlog)
    return listener
