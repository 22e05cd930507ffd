"""A process that serves stand-ins of the platform and of endpoints over HTTP."""

from __future__ import annotations

import asyncio
import random
import signal

from ..clock import Clock
from ..config.document import ServiceKind
from ..entry.httpserver import HttpServer
from ..external.cloud import InstanceSpec
from ..external.livelist import Member, Role
from ..ids import EndpointId, VersionId
from .endpoints_http import engine_app, service_app
from .engine import EngineStandin
from .plainservice import ExecutionLedger, PlainServiceStandin
from .plan import ListedEntry, ServedEndpoint, StandinPlan
from .platform import PlatformStandin
from .platform_http import PlatformHttp


class StandinProcess:
    """The HTTP servers of all stand-ins in a plan.

    Parameters
    ----------
    plan : StandinPlan
        What to serve.
    clock : Clock
        Clock of the running loop.
    """

    def __init__(self, plan: StandinPlan, clock: Clock):
        self._clock = clock
        self._rng = random.Random(plan.platform.seed)
        self.ledger = ExecutionLedger()
        self.engines: dict[EndpointId, EngineStandin] = {}
        self.services: dict[EndpointId, PlainServiceStandin] = {}
        self.platform = PlatformStandin(
            clock, self.fork_rng(), lag_ms=plan.platform.livelist_lag_ms
        )
        listen = plan.platform.listen
        app = PlatformHttp(self.platform).app()
        self.platform_server = HttpServer(app, listen.ip, listen.port)
        self.endpoint_servers = {
            EndpointId(name): self._make_endpoint_server(EndpointId(name), endpoint)
            for name, endpoint in plan.endpoints.items()
        }
        members = [self._endpoint_member(name, plan) for name in self.endpoint_servers]
        members += [_entry_member(name, entry) for name, entry in plan.entries.items()]
        self.platform.livelist.seed(members)
        for member in members:
            self._add_to_cloud(member)
        self.platform.cloud.on_ended.append(
            lambda ended: self._crash_endpoint(ended.name)
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        servers = [self.platform_server, *self.endpoint_servers.values()]
        async with asyncio.TaskGroup() as group:
            for server in servers:
                group.create_task(server.run())

    def addresses(self) -> dict[str, str]:
        """Return ``ip:port`` by endpoint name, and the platform's as ``platform``."""
        servers = {"platform": self.platform_server, **self.endpoint_servers}
        return {name: f"127.0.0.1:{server.port}" for name, server in servers.items()}

    def _make_endpoint_server(
        self, name: EndpointId, plan: ServedEndpoint
    ) -> HttpServer:
        if plan.kind is ServiceKind.MODEL:
            engine = EngineStandin(
                name,
                plan.version,
                self._clock,
                self.fork_rng(),
                plan.engine_profile(),
            )
            self.engines[name] = engine
            app = engine_app(engine, self._clock)
        else:
            service = PlainServiceStandin(
                name,
                plan.version,
                self._clock,
                self.fork_rng(),
                plan.service_profile(),
                self.ledger,
            )
            self.services[name] = service
            app = service_app(service)
        return HttpServer(app, plan.listen.ip, plan.listen.port)

    def _endpoint_member(self, name: EndpointId, plan: StandinPlan) -> Member:
        endpoint = plan.endpoints[name]
        port = self.endpoint_servers[name].port
        return Member(
            instance=name,
            role=Role.ENDPOINT,
            zone=endpoint.zone,
            address=f"{endpoint.listen.ip}:{port}",
            service=endpoint.service,
            version=endpoint.version,
        )

    def _add_to_cloud(self, member: Member) -> None:
        spec = InstanceSpec(
            member.zone, "small", True, member.service, VersionId(member.version)
        )
        self.platform.cloud.add_running(member.instance, spec)

    def _crash_endpoint(self, name: str) -> None:
        endpoint = EndpointId(name)
        standin = self.engines.get(endpoint) or self.services.get(endpoint)
        if standin is not None:
            standin.crash()
        server = self.endpoint_servers.get(endpoint)
        if server is not None:
            server.force_exit = True
            server.stop()

    def fork_rng(self) -> random.Random:
        """Return a new random generator, seeded from the plan's seed."""
        return random.Random(self._rng.getrandbits(64))


def run_standin(plan: StandinPlan) -> None:
    """Print the addresses and serve a plan until SIGTERM or SIGINT."""
    asyncio.run(_run(plan))


async def _run(plan: StandinPlan) -> None:
    process = StandinProcess(plan, Clock.from_system())
    for name, address in process.addresses().items():
        print(f"{name} {address}", flush=True)
    task = asyncio.create_task(process.run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    await asyncio.wait({task})


def _entry_member(name: str, entry: ListedEntry) -> Member:
    return Member(
        instance=name,
        role=Role.ENTRY,
        zone=entry.zone,
        address=str(entry.http),
        peer_address=f"tcp://{entry.peer}",
    )
