"""The demo's deployment: stand-ins and three entry daemons on one loop."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from ..clock import Clock
from ..config.document import (
    Customer,
    Document,
    RequestClass,
    Service,
    ServiceKind,
    Version,
)
from ..config.store import ConfigStore
from ..entry.daemon import EntryDaemon
from ..errors import Failure
from ..external.livelist import Member, Role
from ..gateway.credentials import credential_sha256
from ..ids import InstanceId, ServiceId, VersionId, ZoneId
from ..observability.log import Log
from ..settings.inivalues import ListenAddress, Secret
from ..settings.process import (
    EntrySettings,
    OperatorSettings,
    PeerSettings,
    Settings,
)
from ..standins.plan import PlatformPlan, ServedEndpoint, StandinPlan
from ..standins.platform_http import settings_for
from ..standins.serve import StandinProcess

ANY_PORT = ListenAddress("127.0.0.1", 0)
ZONES = (ZoneId("lakes-a"), ZoneId("lakes-b"), ZoneId("lakes-c"))
REGION = "lakes-east"
BENCH = "demo-bench-credential"
DESK = "demo-desk-credential"
OPERATOR = "demo-operator-credential"
MODEL = ServiceId("conservation")
INTAKE = ServiceId("intake")
PLATFORM_TIMEOUT_MS = 2_000


def demo_document() -> Document:
    """Return the configuration that the demo applies."""
    return Document(
        classes={
            "condition-report": RequestClass(MODEL, 10_000, repeats=3),
            "bench-question": RequestClass(MODEL, 800, repeats=2),
            "frame-tag": RequestClass(MODEL, 1_500, repeats=2),
            "work-order": RequestClass(INTAKE, 4_000, repeats=0),
        },
        customers={
            "bench": Customer(credential_sha256(BENCH)),
            "desk": Customer(credential_sha256(DESK)),
        },
        services={
            MODEL: Service(ServiceKind.MODEL),
            INTAKE: Service(ServiceKind.PLAIN, lookup=True),
        },
        versions=(Version(MODEL, VersionId("r14")), Version(INTAKE, VersionId("3.2"))),
    )


def _plan() -> StandinPlan:
    engines = {
        f"engine-{number}": ServedEndpoint(
            ServiceKind.MODEL, MODEL, VersionId("r14"), zone, ANY_PORT
        )
        for number, zone in enumerate(ZONES[:2], start=1)
    }
    intake = ServedEndpoint(
        ServiceKind.PLAIN, INTAKE, VersionId("3.2"), ZONES[0], ANY_PORT
    )
    platform = PlatformPlan(ANY_PORT, livelist_lag_ms=500)
    return StandinPlan(platform, {**engines, "intake-1": intake}, {})


class DemoDeployment:
    """Everything that runs; use as an async context manager.

    Attributes
    ----------
    standins : StandinProcess
        Platform and endpoints.
    daemons : dict
        Entry daemons by instance.
    lines : list of str
        Log lines of all daemons.
    """

    def __init__(self) -> None:
        self.clock = Clock.from_system()
        self.standins = StandinProcess(_plan(), self.clock)
        self.daemons: dict[InstanceId, EntryDaemon] = {}
        self.lines: list[str] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> DemoDeployment:
        self._run(self.standins.run())
        await self._apply_configuration()
        for number, zone in enumerate(ZONES, start=1):
            self._start_entry(InstanceId(f"entry-{number}"), zone)
        await self._wait_ready()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    def url(self, instance: InstanceId) -> str:
        """Return the base URL of an entry instance."""
        return f"http://127.0.0.1:{self.daemons[instance].server.port}"

    def _start_entry(self, instance: InstanceId, zone: ZoneId) -> None:
        settings = self._settings(instance, zone)
        log = Log(self.clock, self.lines.append, instance)
        daemon = EntryDaemon(settings, self.clock, log)
        self.daemons[instance] = daemon
        self.standins.platform.livelist.set_member(
            Member(
                instance=instance,
                role=Role.ENTRY,
                zone=zone,
                address=f"127.0.0.1:{daemon.server.port}",
                peer_address=daemon.peer_address,
            )
        )
        self._run(daemon.run())

    def _settings(self, instance: InstanceId, zone: ZoneId) -> Settings:
        platform_url = f"http://{self.standins.addresses()['platform']}"
        return Settings(
            entry=EntrySettings(instance, zone, REGION, ANY_PORT, ANY_PORT),
            platform=settings_for(platform_url, zone, PLATFORM_TIMEOUT_MS),
            peers=PeerSettings(Secret("demo-peer-key-for-loopback-only")),
            operator=OperatorSettings(credential_sha256(OPERATOR)),
        )

    async def _apply_configuration(self) -> None:
        table = self.standins.platform.connect("operator", ZONES[0]).table
        store = ConfigStore(table, self.clock, self.standins.fork_rng())
        result = await store.apply(
            demo_document(), expected_number=0, author="demo", note="first"
        )
        if isinstance(result, Failure):
            raise RuntimeError(f"the configuration was not accepted: {result}")

    async def _wait_ready(self) -> None:
        for daemon in self.daemons.values():
            await daemon.instance.lifecycle.wait_ready()

    def _run(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)

        async def end() -> None:
            task.cancel()
            await asyncio.wait({task})

        self._stack.push_async_callback(end)
