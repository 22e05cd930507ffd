"""Assembly of an entry instance from its parts, without sockets.

The daemon serves its application over HTTP; tests call the application directly.
"""

from __future__ import annotations

import asyncio
import random

from ..config.document import Document, Revision, Service
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
from ..endpoints.pool import EndpointPool
from ..endpoints.roster import Roster
from ..errors import Failure, Reason
from ..external.cloud import ReclaimNotice
from ..external.livelist import Member, MemberState, Role
from ..identity import Identity
from ..ids import EndpointId, InstanceId, ServiceId
from ..journal.collection import Collection, CollectionSettings
from ..journal.journal import Journal
from ..journal.recovery import Recovery, RecoverySettings
from ..journal.settings import JournalSettings
from ..limits.returntimes import draw_elsewhere_ms
from ..peers.digest import CanaryResult, TrippedVersion
from ..peers.envelope import Sealer
from ..peers.exchange import PeerExchange
from ..peers.host import RouterHost
from ..peers.membership import Membership
from ..requests.admissiongate import AdmissionGate
from ..requests.context import RequestContext
from ..requests.crashguard import CrashGuard
from ..requests.dispatcher import JournalDispatcher
from ..requests.evacuator import Evacuator, reported_speeds
from ..requests.passthrough import ServiceAttempts
from ..requests.routed import RoutedPlacement
from ..requests.streams import Streams
from ..routing.router import Router
from .app import make_entry_app
from .environment import Environment
from .lifecycle import RECLAIM_MARGIN_MS, Lifecycle
from .noticewatch import NoticeWatch
from .tasks import EntryTasks

JOURNAL_DRAIN_TIMEOUT_MS = 60_000
"""How long a stop without a deadline waits for journalled work, which runs on
after its caller has disconnected."""


class EntryInstance:
    """An entry instance.

    Parameters
    ----------
    identity : Identity
        Identity of the instance.
    environment : Environment
        External dependencies.
    operator_sha256 : str
        SHA-256 of the operators' credential.
    """

    def __init__(
        self, identity: Identity, environment: Environment, operator_sha256: str
    ):
        self.identity = identity
        self.environment = environment
        self.lifecycle = Lifecycle(environment.clock, environment.log)
        self.membership = Membership(identity, environment.clock.now_ms())
        self._build_configuration()
        self._build_endpoints()
        self._build_peers()
        self._build_rollouts()
        self._build_requests()
        self._build_streams()
        self._build_recovery()
        self._build_control()
        self.app = make_entry_app(self, operator_sha256)
        self._supervisor = EntryTasks(self).build_supervisor()

    def document(self) -> Document | None:
        """Return the configuration in force, or ``None`` before the first one."""
        revision = self.watcher.revision
        return revision.document if revision else None

    async def run(self) -> None:
        """Run the instance's tasks until cancelled."""
        await self._supervisor.run()

    def leave(self, reason: str, deadline_ms: int | None = None) -> None:
        """Start a graceful shutdown; see `Lifecycle.leave`."""
        self.lifecycle.leave(reason, deadline_ms)
        self.exchange.leave()

    async def drain(self) -> None:
        """Wait for requests in progress until the deadline and hand over the rest."""
        await self.lifecycle.wait_drained(RECLAIM_MARGIN_MS)
        self.lifecycle.end_requests()
        storing_task = asyncio.create_task(self.streams.hand_over())
        deadline_ms = self.lifecycle.deadline_ms
        if deadline_ms is None:
            deadline_ms = self.environment.clock.now_ms() + JOURNAL_DRAIN_TIMEOUT_MS
        handed_over_count = await self.journal.drain(
            deadline_ms - RECLAIM_MARGIN_MS // 2
        )
        remaining_ms = (
            deadline_ms - RECLAIM_MARGIN_MS // 4 - self.environment.clock.now_ms()
        )
        await asyncio.wait({storing_task}, timeout=max(0, remaining_ms) / 1000)
        self.environment.log.event("instance_drained", handed_over=handed_over_count)
        self.lifecycle.stop()

    def _build_configuration(self) -> None:
        env = self.environment
        store = ConfigStore(env.platform.table, env.clock, env.rng)
        self.config_store = store
        self.watcher = ConfigWatcher(
            store,
            env.clock,
            env.rng,
            env.log,
            is_fast_poller=self._is_fast_poller,
            metrics=env.metrics,
        )
        self.watcher.on_change(self._reconfigure)

    def _build_endpoints(self) -> None:
        env = self.environment
        self.router = Router(self.identity.zone, env.rng)
        self.pool = EndpointPool(env.make_client, self._find_service)
        self.roster = Roster(
            env.platform.livelist,
            env.clock,
            env.rng,
            env.log,
            env.metrics,
        )
        self.roster.subscribe(self._apply_members)
        self.peer_host = RouterHost(
            self.membership, self.router, self.watcher, env.clock
        )
        self.engine_feed = EngineFeed(
            self._engine_clients, self.peer_host, env.clock, env.rng, env.metrics
        )
        self.notice_watch = NoticeWatch(
            env.platform.cloud,
            self._on_notice,
            env.clock,
            env.rng,
            env.metrics,
        )

    def _build_rollouts(self) -> None:
        env = self.environment
        view = RolloutView(self.document)
        self.rollout_view = view
        self.rollout_observer = RolloutObserver(
            view,
            self.identity.instance,
            lambda: len(self._live_entries()),
            env.clock,
        )
        self.rollout_shares = RolloutShares(
            view,
            self.identity.instance,
            self._live_entries,
            self.router.fleet.live_endpoints,
            env.clock,
            RolloutSettings(),
            self.rollout_observer.has_recent_bad_result,
            self.rollout_observer.should_join_canary,
        )
        self.rollout_watch = RolloutWatch(
            env.platform.table,
            self.identity,
            view,
            self.rollout_observer,
            self._update_held_back_endpoints,
            env.clock,
            random.Random(env.rng.getrandbits(64)),
            env.log,
            env.metrics,
        )
        self.rollout_view.on_trip(self._announce_trip)
        self.peer_host.on_tripped(self._handle_peer_trip)
        self.rollout_observer.on_canary_result(self._announce_canary_result)
        self.peer_host.on_result(self._handle_peer_result)

    def _announce_trip(self, trip: TripRow) -> None:
        """Notify peers at once that a version gets no more traffic."""
        self.exchange.announce_tripped(
            TrippedVersion(
                trip.service, trip.version, trip.why[:500], trip.seen_wall_ms
            )
        )

    def _announce_canary_result(self, result: Result, is_bad: bool) -> None:
        self.exchange.announce_result(result, is_bad=is_bad)

    def _handle_peer_result(self, item: CanaryResult) -> None:
        if self.rollout_observer.add_peer_result(item.result, item.seen_wall_ms):
            self.environment.log.event(
                "rollout_doubted", peer=item.instance, result=item.result
            )

    def _handle_peer_trip(self, item: TrippedVersion) -> None:
        if item.is_tripped:
            self.rollout_watch.handle_peer_trip(
                item.service, item.version, item.why, item.since_wall_ms
            )

    def _build_peers(self) -> None:
        env = self.environment
        self.exchange = PeerExchange(
            self.membership,
            env.transport,
            Sealer(env.peer_key),
            self.peer_host,
            env.clock,
            # Separate, so that peer messages don't affect the random choices of others.
            random.Random(env.rng.getrandbits(64)),
            env.log,
            env.metrics,
        )

    def _build_requests(self) -> None:
        env = self.environment
        self.placement = RoutedPlacement(
            self.router, self.rollout_shares, env.clock, env.log, env.metrics
        )
        self.placement.observer = self.rollout_observer
        self.crash_guard = CrashGuard(
            self.identity.instance,
            env.peer_key,
            self.pool.member,
            env.probe,
            self._live_entries,
            self.exchange.announce_quarantine,
            env.platform.table,
            env.clock,
            env.log,
        )
        self.placement.crash_guard = self.crash_guard
        self.placement.check_stop = self._check_retry
        self.peer_host.on_quarantine(self.crash_guard.handle_news)
        self.gate = AdmissionGate(
            self.router, self.placement, env.clock, env.log, env.metrics
        )
        self.gate.check_stop = self._check_admitted
        self.service_attempts = ServiceAttempts(
            self.placement, self.pool.client, env.clock
        )
        dispatcher = JournalDispatcher(
            self.document,
            self.placement,
            self.service_attempts,
            self.pool.client,
            env.clock,
        )
        self.journal = Journal(
            env.platform.table,
            env.platform.objects,
            env.clock,
            env.rng,
            self.identity.instance,
            self.identity.incarnation,
            dispatcher,
            env.log,
            JournalSettings(),
        )

    def _check_retry(self, predicted_ms: float) -> Failure | None:
        """Return a failure if a stop leaves a retry too little time."""
        if self.lifecycle.may_repeat(predicted_ms):
            return None
        return self._leaving_failure("gateway.retry")

    def _check_admitted(self, context: RequestContext) -> Failure | None:
        """Return a failure if a stop leaves a request that waited too little time."""
        if self.lifecycle.may_begin_admitted(context.request_id, context.deadline_ms):
            return None
        return self._leaving_failure("gateway.admit")

    def _leaving_failure(self, step: str) -> Failure:
        return Failure(
            Reason.SHUTTING_DOWN,
            step,
            "",
            "the instance is leaving; send the request again",
            retry_after_ms=draw_elsewhere_ms(self.environment.rng),
        )

    def _build_streams(self) -> None:
        env = self.environment
        holder = f"{self.identity.instance}/{self.identity.incarnation}"
        self.streams = Streams.from_platform(
            env.platform, holder, env.clock, env.rng, env.log
        )
        self.evacuator = Evacuator(
            self.streams,
            self.placement,
            self.pool.client,
            reported_speeds(self.router.fleet),
            env.clock,
            env.log,
            env.metrics,
        )

    def _build_recovery(self) -> None:
        env = self.environment
        self.recovery = Recovery(
            self.journal, env.platform.table, env.log, RecoverySettings()
        )
        self.collection = Collection(
            env.platform.table,
            env.platform.objects,
            env.clock,
            env.log,
            CollectionSettings(),
        )

    def _build_control(self) -> None:
        env = self.environment
        settings = LeaseSettings()
        rng = random.Random(env.rng.getrandbits(64))
        parts = DutyParts(
            clock=env.clock,
            log=env.log,
            document=self.document,
            recovery=self.recovery,
            collection=self.collection,
            is_gone=self._is_instance_gone,
            table=env.platform.table,
            rng=rng,
            live_entries=self._all_entries,
            endpoints_of=self.router.fleet.live_endpoints,
            rollouts=self.rollout_view,
        )
        self.duty_runner = DutyRunner(
            self.identity.instance,
            make_duties(parts),
            self._live_entries,
            settings,
            env.clock,
            env.log,
            rng,
        )
        self.leases = Leases(
            env.platform.table,
            self.identity,
            self.duty_runner,
            env.clock,
            rng,
            env.log,
            env.metrics,
            settings,
        )
        self.duty_runner.bind(self.leases)

    def _find_service(self, service: ServiceId) -> Service | None:
        document = self.document()
        return document.services.get(service) if document else None

    def _engine_clients(self) -> dict[EndpointId, EngineClient]:
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
        self.membership.apply_list(members, self.environment.clock.now_ms())
        self.router.apply_members(members, self.environment.clock.now_ms())
        self.peer_host.on_members_changed()

    def _on_notice(self, notice: ReclaimNotice) -> None:
        clock = self.environment.clock
        self.environment.log.event(
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
        self.evacuator.on_reclaim_notice(endpoint, deadline_ms)

    def _update_held_back_endpoints(self) -> None:
        """Update the canary endpoints that get no traffic from this instance."""
        document = self.document()
        services = list(document.services) if document else []
        self.router.excluded_endpoints = self.rollout_shares.held_back_endpoints(
            services
        )

    def _live_entries(self) -> list[InstanceId]:
        """Return the instances that may hold duties, in all reachable zones."""
        now_ms = self.environment.clock.now_ms()
        live = [peer.instance for peer in self.membership.live_peers(now_ms)]
        if self.membership.state is MemberState.LIVE:
            live.append(self.identity.instance)
        return sorted(live)

    def _all_entries(self) -> list[InstanceId]:
        """Return the instances that may have requests, also in unreachable zones."""
        listed = {
            InstanceId(member.instance)
            for member in self.roster.members
            if member.role is Role.ENTRY and member.state is MemberState.LIVE
        }
        return sorted(listed.union(self._live_entries()))

    def _is_instance_gone(self, instance: InstanceId, incarnation: int) -> bool:
        now_ms = self.environment.clock.now_ms()
        return self.membership.is_gone(instance, incarnation, now_ms)

    def _is_fast_poller(self) -> bool:
        return self.membership.is_fast_poller(self.environment.clock.now_ms())
