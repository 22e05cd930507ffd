"""A whole deployment in one process: platform, endpoints, entry instances.

Used by tests on manual time. It connects stand-ins of the platform and the
endpoints to real entry instances; test scripts act on all of them.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec
from starlette.types import ASGIApp

from ..clock import Clock
from ..config.document import Document, Revision, Service, ServiceKind
from ..config.store import ConfigStore
from ..endpoints.pool import Client
from ..entry.instance import EntryInstance, Environment
from ..errors import Failure, Reason
from ..external.cloud import InstanceSpec
from ..external.livelist import Member, Role
from ..gateway.credentials import credential_sha256
from ..identity import Identity
from ..ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from ..observability.log import Log
from ..observability.metrics import NoMetrics
from .caller import Caller
from .engine import EngineStandin
from .engine_counters import ComputedBlocks
from .engine_profile import EngineProfile
from .manualloop import running_clock
from .operators import OperatorFaults, PeerOperatorClientStandin
from .peernetwork import PeerNetwork
from .plainservice import ExecutionLedger, PlainServiceProfile, PlainServiceStandin
from .platform import PlatformStandin
from .processes import Processes

OPERATOR_CREDENTIAL = "operator-credential"
PEER_KEY = "key-of-the-stand-in-peers"

Sink = Callable[[str], None]


class EndpointPlan(msgspec.Struct, frozen=True):
    """An endpoint of a deployment: engine or plain service, by its profile."""

    endpoint: EndpointId
    service: ServiceId
    version: VersionId
    zone: ZoneId
    profile: EngineProfile | PlainServiceProfile


class EntryPlan(msgspec.Struct, frozen=True):
    """An entry instance of a deployment."""

    instance: InstanceId
    zone: ZoneId


class Deployment(msgspec.Struct, frozen=True):
    """Description of a `World`.

    Attributes
    ----------
    region : str
        Name of the region.
    document : Document
        Initial configuration.
    entries, endpoints
        Instances at the start.
    livelist_lag_ms : int
        Time until a change shows on the live list.
    """

    region: str
    document: Document
    entries: tuple[EntryPlan, ...]
    endpoints: tuple[EndpointPlan, ...]
    livelist_lag_ms: int = 5_000


class RunningEntry(msgspec.Struct):
    """An entry instance and the task that runs it."""

    instance: EntryInstance
    task: asyncio.Task


class World:
    """A running deployment.

    Parameters
    ----------
    deployment : Deployment
        What to run.
    seed : int
        Seed of all random draws.
    sink : callable
        Receives the log lines of all entry instances, in order.
    """

    def __init__(self, deployment: Deployment, seed: int, sink: Sink):
        self.clock: Clock = running_clock()
        self.rng = random.Random(seed)
        self.platform = PlatformStandin(
            self.clock, self._fork_rng(), lag_ms=deployment.livelist_lag_ms
        )
        self.peer_network = PeerNetwork(self.platform.network, self._fork_rng())
        self.ledger = ExecutionLedger()
        self.computed_blocks = ComputedBlocks()
        self.engines: dict[EndpointId, EngineStandin] = {}
        self.services: dict[EndpointId, PlainServiceStandin] = {}
        self.entries: dict[InstanceId, RunningEntry] = {}
        self.processes = Processes()
        self.operator_faults = OperatorFaults()
        self._deployment = deployment
        self._sink = sink
        self.platform.cloud.on_ended.append(self._on_instance_ended)

    async def start(self) -> None:
        """Apply the initial configuration and start every instance."""
        self.processes.install_task_factory()
        await self.apply(self._deployment.document, 0, "setup")
        members = [self.add_endpoint(plan) for plan in self._deployment.endpoints]
        members += [self._entry_member(plan) for plan in self._deployment.entries]
        self.platform.livelist.seed(members)
        for plan in self._deployment.entries:
            self.start_entry(plan)
        await self.clock.sleep_ms(100)

    async def stop(self) -> None:
        """Cancel the tasks of all entry instances and wait for their ends."""
        for entry in list(self.entries.values()):
            entry.task.cancel()
        tasks = [entry.task for entry in self.entries.values()]
        if tasks:
            await asyncio.wait(tasks)

    def caller(self, instance: InstanceId, credential: str) -> Caller:
        """Return a caller that sends to one entry instance."""
        app = self.entries[instance].instance.app
        return Caller(self.processes.wrap_application(instance, app), credential)

    def operator(self, instance: InstanceId) -> Caller:
        """Return a caller with the operator credential for one entry instance."""
        return self.caller(instance, OPERATOR_CREDENTIAL)

    def config_store(self) -> ConfigStore:
        """Return a configuration store such as an operator's process uses."""
        platform = self.platform.connect("operator", ZoneId("operator"))
        return ConfigStore(platform.table, self.clock, self._fork_rng())

    async def apply(self, document: Document, expected: int, author: str) -> Revision:
        """Apply a configuration and return its revision.

        Raises
        ------
        RuntimeError
            If the configuration is not accepted.
        """
        revision = await self.config_store().apply(
            document, expected_number=expected, author=author
        )
        if not isinstance(revision, Revision):
            raise RuntimeError(f"the configuration was not accepted: {revision}")
        return revision

    def add_endpoint(self, plan: EndpointPlan) -> Member:
        """Start an endpoint and return its member for the live list."""
        if isinstance(plan.profile, EngineProfile):
            self.engines[plan.endpoint] = EngineStandin(
                plan.endpoint,
                plan.version,
                self.clock,
                self._fork_rng(),
                plan.profile,
                self.computed_blocks,
            )
        else:
            self.services[plan.endpoint] = PlainServiceStandin(
                plan.endpoint,
                plan.version,
                self.clock,
                self._fork_rng(),
                plan.profile,
                self.ledger,
            )
        self._add_to_cloud(plan.endpoint, plan.zone, plan.service, plan.version)
        return Member(
            instance=plan.endpoint,
            role=Role.ENDPOINT,
            zone=plan.zone,
            address=plan.endpoint,
            service=plan.service,
            version=plan.version,
        )

    def start_entry(self, plan: EntryPlan) -> EntryInstance:
        """Start an entry instance, or restart it with a new incarnation."""
        identity = Identity(
            plan.instance, plan.zone, self._deployment.region, self.clock.wall_ms()
        )
        environment = Environment(
            platform=self.platform.connect(plan.instance, plan.zone),
            make_client=self._make_client,
            clock=self.clock,
            rng=self._fork_rng(),
            log=Log(self.clock, self._sink, plan.instance),
            metrics=NoMetrics(),
            transport=self.peer_network.connect(plan.instance, plan.zone),
            peer_key=PEER_KEY,
            peer_operators=PeerOperatorClientStandin(
                self._find_application, self.operator_faults
            ),
            probe=self._probe,
        )
        instance = EntryInstance(
            identity, environment, credential_sha256(OPERATOR_CREDENTIAL)
        )
        task = self.processes.start(plan.instance, instance.run())
        self.entries[plan.instance] = RunningEntry(instance, task)
        return instance

    def kill_entry(self, name: InstanceId) -> None:
        """Kill an entry instance with all its tasks, without notice."""
        del self.entries[name]
        self.processes.kill(name)

    def _find_application(self, address: str) -> ASGIApp | None:
        entry = self.entries.get(InstanceId(address))
        if entry is None:
            return None
        return self.processes.wrap_application(address, entry.instance.app)

    def _entry_member(self, plan: EntryPlan) -> Member:
        self._add_to_cloud(plan.instance, plan.zone, ServiceId(""), VersionId(""))
        return Member(
            instance=plan.instance,
            role=Role.ENTRY,
            zone=plan.zone,
            address=plan.instance,
            peer_address=plan.instance,
        )

    def _add_to_cloud(
        self, name: str, zone: ZoneId, service: ServiceId, version: VersionId
    ) -> None:
        spec = InstanceSpec(zone, "small", True, service, version)
        self.platform.cloud.add_running(name, spec)

    def _make_client(self, member: Member, service: Service) -> Client | None:
        endpoint = EndpointId(member.instance)
        if service.kind is ServiceKind.MODEL:
            return self.engines.get(endpoint)
        return self.services.get(endpoint)

    async def _probe(self, member: Member) -> Failure | None:
        endpoint = EndpointId(member.instance)
        standin = self.engines.get(endpoint) or self.services.get(endpoint)
        if standin is None or not standin.is_crashed:
            return None
        return Failure(Reason.NOT_LISTENING, "endpoint.probe", endpoint)

    def _on_instance_ended(self, instance) -> None:
        name = instance.name
        standins: Iterable = (
            self.engines.get(EndpointId(name)),
            self.services.get(EndpointId(name)),
        )
        for standin in standins:
            if standin is not None:
                standin.crash()
        if InstanceId(name) in self.entries:
            self.kill_entry(InstanceId(name))

    def _fork_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))
