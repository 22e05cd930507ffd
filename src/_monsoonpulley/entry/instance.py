"""An entry instance: all of its parts, put together, without sockets.

The daemon puts HTTP servers before it; tests call its application directly.
"""

from __future__ import annotations

import asyncio
import random

from ..config.document import Document, Revision
from ..config.store import ConfigStore
from ..config.watcher import ConfigWatcher
from ..control import rolloutduty  # noqa: F401  (registers the duty)
from ..control.duties import DutyRunner, make_duties
from ..control.leases import Leases
from ..control.leasestate import LeaseSettings
from ..control.parts import DutyParts
from ..control.rollout import RolloutSettings
from ..control.rolloutobserver import RolloutObserver
from ..control.rolloutrows import TripRow
from ..control.rolloutview import RolloutView
from ..control.rolloutwatch import RolloutWatch
from ..control.verdict import Result
from ..control.versionshares import RolloutShares
from ..endpoints.engine import EngineClient
from ..endpoints.feed import EngineFeed
from ..endpoints.pool import Client, EndpointPool
from ..endpoints.roster import Roster
from ..external.cloud import ReclaimNotice
from ..external.livelist import Member, MemberState, Role
from ..identity import Identity
from ..ids import EndpointId, InstanceId
from ..journal.collection import Collection, CollectionSettings
from ..journal.journal import Journal
from ..journal.recovery import Recovery, RecoverySettings
from ..journal.settings import JournalSettings
from ..peers.digest import CanaryResult, TrippedVersion
from ..peers.envelope import Sealer
from ..peers.exchange import PeerExchange
from ..peers.host import RouterHost
from ..peers.membership import Membership
from ..requests.admissiongate import AdmissionGate
from ..requests.dispatcher import JournalDispatcher
from ..requests.evacuator import Evacuator, reported_speeds
from ..requests.passthrough import ServiceAttempts
from ..requests.routed import RoutedPlacement
from ..requests.streams import Streams
from ..routing.router import Router
from .app import make_entry_app
from .lifecycle import Lifecycle
from .noticewatch import NoticeWatch
from .surroundings import Surroundings
from .tasks import EntryTasks

RECLAIM_MARGIN_MS = 1_000
"""How long before a reclaim deadline the instance hands over what is left."""

DRAIN_JOURNAL_MS = 60_000
"""How long a planned stop waits for work that runs without its caller."""


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
        self.surroundings = surroundings
        self.lifecycle = Lifecycle(surroundings.clock, surroundings.log)
        self.membership = Membership(identity, surroundings.clock.now_ms())
        self._build_configuration()
        self._build_endpoints()
        self._build_peers()
        self._build_rollouts()
        self._build_requests()
        self._build_streams()
        self._build_recovery()
        self._build_control()
        self.app = make_entry_app(self, operator_sha256)
        self._supervisor = EntryTasks(self).supervisor()

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
        self.exchange.leave()

    async def drain(self) -> None:
        """Wait for what is in progress, up to the deadline, and hand over."""
        await self.lifecycle.wait_idle(RECLAIM_MARGIN_MS)
        storing = asyncio.create_task(self.streams.hand_over())
        deadline_ms = self.lifecycle.deadline_ms
        if deadline_ms is None:
            deadline_ms = self.surroundings.clock.now_ms() + DRAIN_JOURNAL_MS
        left = await self.journal.drain(deadline_ms - RECLAIM_MARGIN_MS // 2)
        left_ms = (
            deadline_ms - RECLAIM_MARGIN_MS // 4 - self.surroundings.clock.now_ms()
        )
        await asyncio.wait({storing}, timeout=max(0, left_ms) / 1000)
        self.surroundings.log.event("instance_drained", handed_over=left)
        self.lifecycle.stop()

    def _build_configuration(self) -> None:
        around = self.surroundings
        store = ConfigStore(around.platform.table, around.clock, around.rng)
        self.config_store = store
        self.watcher = ConfigWatcher(
            store,
            around.clock,
            around.rng,
            around.log,
            is_fast_poller=self._is_fast_poller,
            metrics=around.metrics,
        )
        self.watcher.on_change(self._reconfigure)

    def _build_endpoints(self) -> None:
        around = self.surroundings
        self.router = Router(self.identity.zone, around.rng)
        self.pool = EndpointPool(self._make_client)
        self.roster = Roster(
            around.platform.livelist,
            around.clock,
            around.rng,
            around.log,
            around.metrics,
        )
        self.roster.subscribe(self._apply_members)
        self.peer_host = RouterHost(
            self.membership, self.router, self.watcher, around.clock
        )
        self.feed = EngineFeed(
            self._engines, self.peer_host, around.clock, around.rng, around.metrics
        )
        self.notices = NoticeWatch(
            around.platform.cloud,
            self._on_notice,
            around.clock,
            around.rng,
            around.metrics,
        )

    def _build_rollouts(self) -> None:
        around = self.surroundings
        view = RolloutView(self.document)
        self.rollouts = view
        self.rollout_observer = RolloutObserver(
            view,
            self.identity.instance,
            lambda: len(self._live_entries()),
            around.clock,
        )
        self.versions = RolloutShares(
            view,
            self.identity.instance,
            self._live_entries,
            self.router.fleet.live_endpoints,
            around.clock,
            RolloutSettings(),
            self.rollout_observer.has_recent_bad_result,
            self.rollout_observer.should_join_canary,
        )
        self.rollout_watch = RolloutWatch(
            around.platform.table,
            self.identity,
            view,
            self.rollout_observer,
            self._hold_back,
            around.clock,
            random.Random(around.rng.getrandbits(64)),
            around.log,
            around.metrics,
        )
        self.rollouts.on_trip(self._tell_trip)
        self.peer_host.on_tripped(self._hear_trip)
        self.rollout_observer.on_canary_result(self._tell_result)
        self.peer_host.on_result(self._hear_result)

    def _tell_trip(self, trip: TripRow) -> None:
        """Tell the peers at once that a version gets no more traffic."""
        self.exchange.announce_tripped(
            TrippedVersion(
                trip.service, trip.version, trip.why[:500], trip.seen_wall_ms
            )
        )

    def _tell_result(self, result: Result, is_bad: bool) -> None:
        self.exchange.announce_result(result, is_bad=is_bad)

    def _hear_result(self, item: CanaryResult) -> None:
        if self.rollout_observer.add_peer_result(item.result, item.seen_wall_ms):
            self.surroundings.log.event(
                "rollout_doubted", peer=item.instance, result=item.result
            )

    def _hear_trip(self, item: TrippedVersion) -> None:
        if item.is_tripped:
            self.rollout_watch.handle_peer_trip(
                item.service, item.version, item.why, item.since_wall_ms
            )

    def _build_peers(self) -> None:
        around = self.surroundings
        self.exchange = PeerExchange(
            self.membership,
            around.transport,
            Sealer(around.peer_key),
            self.peer_host,
            around.clock,
            # Of its own, so that messages of peers shift no other draws.
            random.Random(around.rng.getrandbits(64)),
            around.log,
            around.metrics,
        )

    def _build_requests(self) -> None:
        around = self.surroundings
        self.placement = RoutedPlacement(
            self.router, self.versions, around.clock, around.log, around.metrics
        )
        self.placement.observer = self.rollout_observer
        self.gate = AdmissionGate(
            self.router, self.placement, around.clock, around.log, around.metrics
        )
        self.attempts = ServiceAttempts(self.placement, self.pool.client, around.clock)
        dispatcher = JournalDispatcher(
            self.document,
            self.placement,
            self.attempts,
            self.pool.client,
            around.clock,
        )
        self.journal = Journal(
            around.platform.table,
            around.platform.objects,
            around.clock,
            around.rng,
            self.identity.instance,
            self.identity.incarnation,
            dispatcher,
            around.log,
            JournalSettings(),
        )

    def _build_streams(self) -> None:
        around = self.surroundings
        holder = f"{self.identity.instance}/{self.identity.incarnation}"
        self.streams = Streams.from_platform(
            around.platform, holder, around.clock, around.rng, around.log
        )
        self.evacuator = Evacuator(
            self.streams,
            self.placement,
            self.pool.client,
            reported_speeds(self.router.fleet),
            around.clock,
            around.log,
            around.metrics,
        )

    def _build_recovery(self) -> None:
        around = self.surroundings
        self.recovery = Recovery(
            self.journal, around.platform.table, around.log, RecoverySettings()
        )
        self.collection = Collection(
            around.platform.table,
            around.platform.objects,
            around.clock,
            around.log,
            CollectionSettings(),
        )

    def _build_control(self) -> None:
        around = self.surroundings
        settings = LeaseSettings()
        rng = random.Random(around.rng.getrandbits(64))
        parts = DutyParts(
            clock=around.clock,
            log=around.log,
            document=self.document,
            recovery=self.recovery,
            collection=self.collection,
            is_gone=self._is_gone,
            table=around.platform.table,
            rng=rng,
            live_entries=self._all_entries,
            endpoints_of=self.router.fleet.live_endpoints,
            rollouts=self.rollouts,
        )
        self.duties = DutyRunner(
            self.identity.instance,
            make_duties(parts),
            self._live_entries,
            settings,
            around.clock,
            around.log,
            rng,
        )
        self.leases = Leases(
            around.platform.table,
            self.identity,
            self.duties,
            around.clock,
            rng,
            around.log,
            around.metrics,
            settings,
        )
        self.duties.bind(self.leases)

    def _make_client(self, member: Member) -> Client | None:
        document = self.document()
        service = document.services.get(member.service) if document else None
        if service is None:
            return None
        return self.surroundings.make_client(member, service)

    def _engines(self) -> dict[EndpointId, EngineClient]:
        document = self.document()
        if document is None:
            return {}
        engines: dict[EndpointId, EngineClient] = {}
        for endpoint in self.peer_host.read_endpoints():
            client = self.pool.client(endpoint)
            if client is not None:
                engines[endpoint] = client
        return engines

    def _reconfigure(self, revision: Revision) -> None:
        self.router.reconfigure(revision.document)
        self.pool.update(self.roster.members)
        self.peer_host.on_members_changed()
        self.exchange.announce_revision(revision.number)

    def _apply_members(self, members: tuple[Member, ...]) -> None:
        self.pool.update(members)
        self.membership.apply_list(members, self.surroundings.clock.now_ms())
        self.router.apply_members(members, self.surroundings.clock.now_ms())
        self.peer_host.on_members_changed()

    def _on_notice(self, notice: ReclaimNotice) -> None:
        clock = self.surroundings.clock
        self.surroundings.log.event(
            "reclaim_notice",
            reclaimed=notice.instance,
            deadline_wall_ms=notice.deadline_wall_ms,
        )
        deadline_ms = clock.now_ms() + notice.deadline_wall_ms - clock.wall_ms()
        if notice.instance == self.identity.instance:
            self.leave("reclaim", deadline_ms)
            return
        endpoint = EndpointId(notice.instance)
        self.router.mark_leaving(endpoint, clock.now_ms())
        self.exchange.announce_leaving(endpoint)
        self.evacuator.notice(endpoint, deadline_ms)

    def _hold_back(self) -> None:
        """Keep a canary's traffic on few endpoints."""
        document = self.document()
        services = list(document.services) if document else []
        self.router.excluded_endpoints = self.versions.held_back_endpoints(services)

    def _live_entries(self) -> list[InstanceId]:
        """Return who may hold duties, of all data centres that are heard."""
        now_ms = self.surroundings.clock.now_ms()
        live = [peer.instance for peer in self.membership.live_peers(now_ms)]
        if self.membership.state is MemberState.LIVE:
            live.append(self.identity.instance)
        return sorted(live)

    def _all_entries(self) -> list[InstanceId]:
        """Return who may have requests, also in data centres not heard now."""
        listed = {
            InstanceId(member.instance)
            for member in self.roster.members
            if member.role is Role.ENTRY and member.state is MemberState.LIVE
        }
        return sorted(listed.union(self._live_entries()))

    def _is_gone(self, instance: InstanceId, incarnation: int) -> bool:
        now_ms = self.surroundings.clock.now_ms()
        return self.membership.is_gone(instance, incarnation, now_ms)

    def _is_fast_poller(self) -> bool:
        return self.membership.is_fast_poller(self.surroundings.clock.now_ms())
