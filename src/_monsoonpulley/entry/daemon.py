"""The entry process: an entry instance with its sockets, signals and settings."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal

from ..callerbudget import CallerBudget
from ..clock import Clock
from ..config.document import Service, ServiceKind
from ..endpoints import builtin  # noqa: F401  (registers the adapters)
from ..endpoints.adapters import EndpointTarget, engine_adapters, service_adapters
from ..endpoints.http_transport import HttpSessions
from ..endpoints.pool import Client
from ..explain.peeroperators import HttpPeerOperatorClient
from ..external.connect import connect_platform, open_platform_session
from ..external.livelist import Member
from ..identity import Identity
from ..ids import EndpointId
from ..observability.log import Log
from ..observability.metrics import Metrics, create_metrics
from ..peers.pynng_transport import PynngTransport
from ..settings.process import Settings
from .callerprotocol import RequestLimits
from .httpserver import HttpServer
from .instance import EntryInstance, Environment

ENGINE_ADAPTER = "openai"
SERVICE_ADAPTER = "http"

MAX_IDLE_WAIT_MS = 1_000
"""A packet of a request that is lost on its way is sent again within it."""

REPORT_INTERVAL_MS = 1_000
"""Interval of logging which callers were shed, and of measuring what all hold."""

CLOSE_MARGIN_MS = 200
"""Time before the deadline of a stop that is left for closing all connections."""


class EntryDaemon:
    """An entry instance run as a process.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Clock of the running event loop.
    log : Log
        Log of the process.
    """

    def __init__(self, settings: Settings, clock: Clock, log: Log):
        self._settings = settings
        self._clock = clock
        self._log = log
        self._endpoint_sessions = HttpSessions()
        self._platform_session = open_platform_session()
        self._metrics = self._build_metrics()
        self._budget = CallerBudget(settings.limits.caller_limits())
        self._transport = self._build_transport()
        entry = settings.entry
        self.instance = EntryInstance(
            Identity(entry.instance, entry.zone, entry.region, self._clock.wall_ms()),
            self._build_environment(),
            settings.operator.credential_sha256,
        )
        listen = entry.http_listen
        limits = settings.limits
        self.server = HttpServer(
            self.instance.app,
            listen.ip,
            listen.port,
            self._budget,
            RequestLimits(
                max_header_bytes=limits.header_bytes,
                max_body_bytes=limits.body_bytes,
                max_in_progress=limits.in_progress,
                header_timeout_ms=limits.header_ms,
            ),
        )

    async def run(self) -> None:
        """Serve until a shutdown was requested and the instance has drained."""
        self._log.event(
            "instance_listening", http=self.server.url, peers=self.peer_address
        )
        server_task = asyncio.create_task(self.server.run(), name="http")
        instance_task = asyncio.create_task(self.instance.run(), name="instance")
        drain_task = asyncio.create_task(self._drain(), name="drain")
        report_task = asyncio.create_task(self._report_callers(), name="callers")
        try:
            done, _ = await asyncio.wait(
                {server_task, instance_task, drain_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if drain_task in done:
                self.server.stop(self._max_idle_wait_ms())
                await server_task
            for task in done:
                task.result()
        finally:
            await _cancel_tasks({server_task, instance_task, drain_task, report_task})
            await self._endpoint_sessions.close()
            await self._platform_session.close()
            await self._transport.close()

    @property
    def peer_address(self) -> str:
        """Address at which other entry instances reach this one."""
        return self._transport.address

    def leave(self, reason: str) -> None:
        """Start a planned stop, which waits for requests in progress."""
        wait_ms = self._settings.limits.shutdown_ms
        self.instance.leave(reason, self._clock.now_ms() + wait_ms)

    def leave_on_signals(self) -> None:
        """Start a planned stop on SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.leave, number.name)

    async def _report_callers(self) -> None:
        budget, metrics = self._budget, self._metrics
        while True:
            await self._clock.sleep_ms(REPORT_INTERVAL_MS)
            metrics.gauge("callers.held_bytes", budget.held_bytes)
            metrics.gauge("callers.connections", budget.connection_count)
            report = budget.take_report()
            if report is None:
                continue
            for reason, count in report.shed.items():
                metrics.incr(f"callers.shed.{reason.replace(' ', '_')}", count)
            for status, count in report.refused_statuses.items():
                metrics.incr(f"callers.refused.{status}", count)
            self._log.decision(report)

    async def _drain(self) -> None:
        await self.instance.lifecycle.wait_leaving()
        await self.instance.drain()

    def _max_idle_wait_ms(self) -> int:
        """Return how long callers' connections without a request may stay open."""
        deadline_ms = self.instance.lifecycle.deadline_ms
        if deadline_ms is None:
            return MAX_IDLE_WAIT_MS
        left_ms = deadline_ms - CLOSE_MARGIN_MS - self._clock.now_ms()
        return max(0, min(MAX_IDLE_WAIT_MS, left_ms))

    def _build_environment(self) -> Environment:
        settings = self._settings
        return Environment(
            platform=connect_platform(settings.platform, self._platform_session),
            make_client=self._make_client,
            clock=self._clock,
            rng=random.Random(secrets.randbits(128)),
            log=self._log,
            metrics=self._metrics,
            transport=self._transport,
            peer_key=settings.peers.key.value,
            peer_operators=HttpPeerOperatorClient(self._platform_session),
        )

    def _build_metrics(self) -> Metrics:
        metrics = self._settings.metrics
        return create_metrics(metrics.host, metrics.port, metrics.prefix)

    def _build_transport(self) -> PynngTransport:
        listen = self._settings.entry.peer_listen
        transport = PynngTransport(f"tcp://{listen}", self._metrics, self._budget)
        failure = transport.open()
        if failure is not None:
            raise RuntimeError(str(failure))
        return transport

    def _make_client(self, member: Member, service: Service) -> Client:
        target = EndpointTarget(
            EndpointId(member.instance),
            member.address,
            service.refusal_statuses,
            service.lookup,
        )
        if service.kind is ServiceKind.MODEL:
            adapter = engine_adapters.get(ENGINE_ADAPTER)
        else:
            adapter = service_adapters.get(SERVICE_ADAPTER)
        return adapter.connect(target, self._endpoint_sessions, self._clock)


def run_entry(settings: Settings) -> None:
    """Run an entry instance until it has drained after a signal or a reclaim."""
    asyncio.run(_run(settings))


async def _run(settings: Settings) -> None:
    clock = Clock.from_system()
    level = settings.log.level.value
    log = Log.from_settings(clock, settings.entry.instance, level)
    daemon = EntryDaemon(settings, clock, log)
    daemon.leave_on_signals()
    await daemon.run()


async def _cancel_tasks(tasks: set[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
