"""An entry instance: all of its parts, put together, without sockets.

The daemon puts HTTP servers before it; tests call its application directly.
"""

from __future__ import annotations

import random

import msgspec
from starlette.applications import Starlette

from .clock import Clock
from .config.document import Document, Revision, ServiceKind
from .config.store import ConfigStore
from .config.watcher import ConfigWatcher
from .control.startingversions import StartingVersions
from .endpoints.engine import EngineClient
from .endpoints.feed import EngineFeed
from .endpoints.pool import Client, EndpointPool
from .endpoints.roster import Roster
from .gateway.app import Handlers, make_app
from .gateway.generations import GenerationHandler
from .gateway.intake import Reception
from .gateway.lookup import LookupHandler
from .gateway.services import ServiceHandler
from .identity import Identity
from .ids import EndpointId
from .journal.collection import Collection, CollectionSettings
from .journal.journal import Journal
from .journal.recovery import Recovery, RecoverySettings
from .journal.settings import JournalSettings
from .lifecycle import Lifecycle
from .log import Log
from .metrics import Metrics
from .noticewatch import NoticeWatch
from .platform.bundle import Platform
from .platform.cloud import ReclaimNotice
from .requests.dispatcher import JournalDispatcher
from .requests.passthrough import ServiceAttempts
from .requests.routed import RoutedPlacement
from .routing.router import Router
from .supervisor import Supervisor

RECLAIM_MARGIN_MS = 1_000
"""How long before a reclaim deadline the instance hands over what is left."""

RECOVERY_INTERVAL_MS = 5_000
COLLECTION_INTERVAL_MS = 60_000


class Surroundings(msgspec.Struct, frozen=True):
    """What an instance needs from outside.

    Attributes
    ----------
    platform : Platform
        The platform's services.
    make_client : callable
        Makes the client of an endpoint from its member and service kind.
    clock, rng, log, metrics
        Time, randomness, log and metrics of the process.
    """

    platform: Platform
    make_client: MakeClient
    clock: Clock
    rng: random.Random
    log: Log
    metrics: Metrics


class EntryInstance:
    """One entry instance.

    Parameters
    ----------
    identity : Identity
        Who it is.
    surroundings : Surroundings
        What it needs from outside.
    operator_sha256 : str
        SHA-256 of the operators' credential.
    """

    def __init__(
        self, identity: Identity, surroundings: Surroundings, operator_sha256: str
    ):
        self.identity = identity
        self._around = surroundings
        self._operator_sha256 = operator_sha256
        self.lifecycle = Lifecycle(surroundings.clock, surroundings.log)
        self._build_configuration()
        self._build_endpoints()
        self._build_requests()
        self._build_recovery()
        self.app = self._build_app()
        self._supervisor = self._build_supervisor()

    def document(self) -> Document | None:
        """Return the configuration in force, ``None`` before there is one."""
        revision = self.watcher.revision
        return revision.document if revision else None

    async def run(self) -> None:
        """Run the instance's tasks until cancelled."""
        await self._supervisor.run()

    def leave(self, reason: str, deadline_ms: int | None = None) -> None:
        """Begin a graceful shutdown; see `Lifecycle.leave`."""
        self.lifecycle.leave(reason, deadline_ms)

    async def drain(self) -> None:
        """Wait for what is in progress, up to the deadline, and hand over."""
        await self.lifecycle.wait_idle(RECLAIM_MARGIN_MS)
        deadline_ms = self.lifecycle.deadline_ms
        if deadline_ms is None:
            deadline_ms = self._around.clock.now_ms() + DRAIN_JOURNAL_MS
        left = await self.journal.drain(deadline_ms - RECLAIM_MARGIN_MS // 2)
        self._around.log.event("instance_drained", handed_over=left)
        self.lifecycle.stop()
