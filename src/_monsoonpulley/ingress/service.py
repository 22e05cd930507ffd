"""An ingress instance: its listeners, shared state and periodic tasks."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

from ..clock import Clock
from ..control.exposure import ExposureLimits
from ..control.leasestate import AnnouncedRow
from ..duties.control import Control
from ..errors import Failure
from ..fleet.model import Configuration, Endpoint
from ..fleet.relay import Relay
from ..fleet.tablefollower import TableFollower
from ..ids import InstanceId, ServiceId
from ..limits.fairshare import REFRESH_MS
from ..limits.processload import SAMPLE_INTERVAL_MS
from ..observability.log import Log
from ..placement_wire import EXPLAIN_PLACE_PATH
from ..platform.endpoints import decode_endpoint
from ..platform.localsettings import LocalSettings
from ..platform.names import ENDPOINT_TABLE, OPERATOR_TABLE, READINESS_PATH
from ..platform.rollouts import ORDER_PREFIX, decode_order
from ..platform.store import Row, Rows, Store
from ..platform.storeversion import join_version, wire_version
from ..quarantine.rows import QuarantineRows
from ..sharing.digest import Digest, UsageCounts
from ..sharing.exchange import DigestExchange
from ..sharing.registration import InstanceRow, Registration
from ..wire.httpclient import HttpClient
from ..wire.server import HttpServer
from ..wire.serverconnection import CallerLimits, Exchange
from .counters import Counters
from .parts import IngressParts
from .placementexplainer import PlacementExplainer
from .requestrun import RequestRun

CONFIGURATION_LONG_POLL_MS = 2_000
"""How long the store may hold a call until the configuration changes. It bounds
the time until a call lost on a silent connection is repeated, which has to be
within the time that the platform allows instances for reconnecting."""

CONFIGURATION_MAX_SILENCE_MS = 3_000
"""A reader's long poll and a time-out: without relays for this long, an instance
calls the store itself."""

ENDPOINTS_POLL_SHARE = 0.25
"""Pause of a reader between two calls for changed endpoint rows, as a share of the
time in which a draining endpoint may still get requests."""

ENDPOINTS_MAX_SILENCE_SHARE = 0.5
"""Time without relays after which an instance calls the store itself, as a share of
the same time; each reader sends two relays in it."""

TICK_INTERVAL_MS = 250
"""Interval of the periodic work in `IngressService.tick`."""

LINK_PROBE_INTERVAL_MS = 500
"""Interval of connections to an endpoint to which the link is lost. Requests that it
could serve meanwhile go to others."""

MIN_STALL_MS = 1_000
"""A tick this late is logged: the process stood still, and its knowledge of the
other instances is out of date."""

DRAIN_LISTEN_MS = 2_600
"""Time from the start of a stop to the end of listening. The balancer removes an
instance after two failed checks, 1 s apart, and callers connect until then."""

DRAIN_CHECK_INTERVAL_MS = 50
"""Interval of checking for requests in progress during a stop."""

DRAIN_IDLE_MS = 1_000
"""Time for which a connection without a request stays open once listening has ended:
its caller may have sent one, which a close would reset. A lost packet is sent again
within it."""

DRAIN_ANSWER_MS = 300
"""Time from the end of requests in progress to `DRAIN_MARGIN_MS`: an attempt that is
connecting notices the end only after as long."""

DRAIN_MARGIN_MS = 300
"""Margin before the platform kills the process at the end of its grace period."""

DRAIN_MAX_SHARE = 1 / 12
"""Largest share of the grace period for each of the two times above: requests in
progress may be ended in its last sixth."""


class IngressService:
    """One instance of the ingress.

    Parameters
    ----------
    settings : LocalSettings
        Settings from the platform's file.
    clock, log, counters : Clock, Log, Counters
        Time source, log and metrics of the process.
    rng : random.Random
        Breaks ties between endpoints, and splits traffic between services.
    """

    def __init__(
        self,
        settings: LocalSettings,
        clock: Clock,
        log: Log,
        counters: Counters,
        rng: random.Random,
    ):
        self.settings = settings
        self.clock = clock
        self.log = log
        self.counters = counters
        self.is_stopping = False
        self.incarnation = clock.wall_ms()
        self._rng = rng
        self._digest_sequence = 0
        self._runs: dict[asyncio.Task[None], RequestRun] = {}
        self.store = Store(
            HttpClient(settings.store_address.ip, settings.store_address.port, clock),
            lambda name, result: counters.store_calls.labels(name, result).inc(),
            self._on_store_era,
        )
        self.parts = IngressParts.from_settings(
            settings,
            clock,
            log,
            counters,
            rng,
            on_configuration=self._on_configuration,
            on_operator_row=self._on_operator_row,
            on_endpoint_removed=self._on_endpoint_removed,
            on_endpoints_stale=lambda: self._followers[ENDPOINT_TABLE].read_soon(),
            send_quarantine_news=lambda news: self.digest_exchange.broadcast_quarantine(
                news
            ),
            on_quarantined=lambda entry: self._quarantine_rows.put(entry),
            on_quarantine_lifted=lambda entry: self._quarantine_rows.remove(entry),
            on_trial_claim=lambda claim: self._quarantine_rows.claim(claim),
        )
        parts = self.parts
        self.digest_exchange = DigestExchange(
            parts.members,
            settings.zone,
            self._build_digest,
            self._send_usage,
            self._on_digest,
            self._on_usage,
            self._on_relay,
            parts.quarantine.handle_news,
            clock,
            log,
        )
        budget = parts.caller_budget
        self.caller_server = HttpServer(
            self._on_request, self._caller_limits, clock, budget
        )
        self.peer_server = HttpServer(
            self._on_peer_request, self._caller_limits, clock, budget
        )
        self._readiness_server = HttpServer(
            self._on_readiness, CallerLimits, clock, budget
        )
        self._metrics_server = HttpServer(self._on_metrics, CallerLimits, clock, budget)
        self._placement_explainer = PlacementExplainer(settings.instance, parts, rng)
        self._followers = self._make_followers()
        parts.evacuations.on_end = lambda zone, store_version: (
            parts.cold.presume_zone_cold(zone, store_version, clock.now_ms())
        )
        self._last_tick_ms = clock.now_ms()
        self._is_unready = False
        self._above_share: dict[ServiceId, set[str]] = {}
        self._control = Control(
            settings,
            self.incarnation,
            parts,
            self.store,
            rng,
            lambda: self.is_stopping,
            self.digest_exchange.receive_waiting,
        )
        self._quarantine_rows = QuarantineRows(
            self.store, parts.quarantine, parts.fingerprinter, clock, log, rng
        )
        self._registration = Registration(
            settings.instance,
            InstanceRow(settings.peer_ip, settings.peer_ports[0], settings.zone),
            self.store,
            parts.members,
            clock,
            log,
            rng,
        )

    def _on_store_era(self, before: int, after: int) -> None:
        """Act on a store that has come back from an older copy.

        The followers find out by themselves, from the versions that they hold.
        """
        self.log.event("store_lost_writes", era=after, previous=before)
        self._control.handle_era_change()
        self._registration.repeat()
        self._quarantine_rows.repeat()

    def _make_followers(self) -> dict[str, TableFollower]:
        parts = self.parts
        drain_ms = self.settings.bounds.drain_timeout_ms

        def is_reader() -> bool:
            return parts.members.is_reader(parts.zone)

        return {
            OPERATOR_TABLE: TableFollower(
                self.store,
                OPERATOR_TABLE,
                self._on_operator_rows,
                self.clock,
                self.log,
                wait_ms=CONFIGURATION_LONG_POLL_MS,
                pause_ms=0,
                max_silence_ms=CONFIGURATION_MAX_SILENCE_MS,
                max_timeout_ms=CONFIGURATION_LONG_POLL_MS,
                carries_rows=False,
                is_reader=is_reader,
                send=self.digest_exchange.broadcast_relays,
                next_recovery=self.store.next_recovery,
            ),
            ENDPOINT_TABLE: TableFollower(
                self.store,
                ENDPOINT_TABLE,
                parts.directory.apply,
                self.clock,
                self.log,
                wait_ms=0,
                pause_ms=round(ENDPOINTS_POLL_SHARE * drain_ms),
                max_silence_ms=round(ENDPOINTS_MAX_SILENCE_SHARE * drain_ms),
                carries_rows=True,
                content_of=self._content_of_endpoint_row,
                is_reader=is_reader,
                send=self.digest_exchange.broadcast_relays,
                next_recovery=self.store.next_recovery,
                on_recovered=parts.directory.on_store_recovered,
                on_read=parts.cold.record_read,
            ),
        }

    def _content_of_endpoint_row(self, row: Row) -> object:
        """Return what other instances have to know of an endpoint's row."""
        endpoint = decode_endpoint(row.key, row.value or b"")
        now_ms = self.clock.now_ms()
        if isinstance(endpoint, Endpoint) and self.parts.cold.awaits_rows(
            endpoint.zone, now_ms
        ):
            return endpoint, row.row_version
        return endpoint

    def supervised_tasks(self) -> list[tuple[str, Callable[[], Awaitable[None]]]]:
        """Return the names and coroutine functions of the tasks to supervise."""
        follower_tasks = [
            (f"follow/{name}", follower.run)
            for name, follower in self._followers.items()
        ]
        loop = self._control.loop
        control_tasks = [("control", loop.run)] if loop is not None else []
        return [
            *follower_tasks,
            *control_tasks,
            ("leases", self._control.lease.run),
            ("rollouts", self._control.status_reader.run),
            ("rollbacks", self._control.rollback_recorder.run),
            ("digests", self.digest_exchange.run),
            ("registration", self._registration.run),
            ("quarantine", self._quarantine_rows.run),
            ("sweep", self.caller_server.sweep),
            ("sweep/peers", self.peer_server.sweep),
            ("sweep/readiness", self._readiness_server.sweep),
            ("sweep/metrics", self._metrics_server.sweep),
            ("tick", self._tick),
            ("delay", self._measure_delay),
            ("links", self._probe_links),
        ]

    @property
    def is_ready(self) -> bool:
        """Whether the instance can serve callers."""
        parts = self.parts
        return (
            not self.is_stopping
            and not self._is_unready
            and parts.configuration.current is not None
            and parts.directory.is_loaded
        )

    async def listen(self, metrics_port: int) -> None:
        """Listen for callers, the balancer, other instances and metrics.

        Raises
        ------
        OSError
            If an address can't be bound.
        """
        settings = self.settings
        await self.caller_server.listen(
            settings.caller_address.ip, settings.caller_address.port
        )
        await self._readiness_server.listen(
            settings.readiness_address.ip, settings.readiness_address.port
        )
        await self._metrics_server.listen(settings.peer_ip, metrics_port)
        await self.digest_exchange.listen(settings.peer_ip, settings.peer_ports[0])
        await self.peer_server.listen(settings.peer_ip, settings.peer_ports[0])

    async def stop(self) -> None:
        """Stop after the requests in progress, or near the end of the grace period.

        Accepted connections get the answer to what their callers have sent, which is a
        refusal if it may come too late; requests that are still in progress near the
        end get a last answer.
        """
        self.is_stopping = True
        now_ms = self.clock.now_ms()
        requests_end_ms, end_ms = self._stop_times(now_ms)
        self.parts.stop_gate.begin(now_ms, DRAIN_LISTEN_MS, requests_end_ms)
        self.log.event("stopping", in_progress=len(self._runs))
        self.digest_exchange.broadcast_digest()
        self.caller_server.drain()
        self.peer_server.drain()
        await self.clock.sleep_ms(
            max(0, min(DRAIN_LISTEN_MS, requests_end_ms - now_ms))
        )
        for server in (self.caller_server, self.peer_server):
            await server.end_listening()
        await self._wait_closed(requests_end_ms)
        await self._end_requests(end_ms)
        self.digest_exchange.close()
        self.store.close()

    def _stop_times(self, now_ms: int) -> tuple[int, int]:
        """Return when a stop ends the requests in progress, and the process."""
        grace_ms = round(self.settings.bounds.grace_period_s * 1000)
        max_margin_ms = int(DRAIN_MAX_SHARE * grace_ms)
        end_ms = now_ms + grace_ms - min(DRAIN_MARGIN_MS, max_margin_ms)
        return end_ms - min(DRAIN_ANSWER_MS, max_margin_ms), end_ms

    async def _end_requests(self, end_ms: int) -> None:
        """Give the requests in progress their last answer, until ``end_ms``."""
        ended = list(self._runs.values())
        for run in ended:
            run.end_now()
        self._count_stopped("ended", len(ended))
        await self._wait_closed(end_ms)
        self._count_stopped("cut_off", len(self._runs))
        self.log.event(
            "stopped",
            ended=len(ended),
            ended_midway=sum(not run.status for run in ended),
            cut_off=len(self._runs),
            connections=self.caller_server.connection_count,
            peer_connections=self.peer_server.connection_count,
        )

    def _count_stopped(self, outcome: str, count: int) -> None:
        self.counters.stopped_requests.labels(outcome).inc(count)

    async def _wait_closed(self, until_ms: int) -> None:
        """Wait until all requests are answered and all connections are closed."""
        servers = (self.caller_server, self.peer_server)
        while self.clock.now_ms() < until_ms:
            for server in servers:
                server.close_idle(DRAIN_IDLE_MS)
            if not self._runs and not any(s.connection_count for s in servers):
                return
            await self.clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)

    def reload(self, settings: LocalSettings) -> None:
        """Apply changed bounds; changed addresses apply at the next start."""
        bounds = settings.bounds
        self.settings = settings
        self.parts.evacuations.set_evacuation_ms(bounds.evacuation_ms)
        self.parts.retry_budget.set_limit(
            bounds.retry_budget_ratio,
            bounds.budget_window_s,
            bounds.budget_extra_retries,
        )
        self.parts.quotas.set_tolerance(
            bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack
        )
        self.parts.cold.set_tolerance(bounds.cold_overage, bounds.cold_slack)
        self.parts.process_load.set_pass_ms(bounds.pass_ms)
        self.parts.rollouts.set_limits(
            ExposureLimits(bounds.exposure_share, bounds.exposure_slack)
        )

    def _on_request(self, exchange: Exchange) -> None:
        self._start_run(RequestRun(exchange, self.parts, self._rng))

    def _on_peer_request(self, exchange: Exchange) -> None:
        self._start_run(RequestRun(exchange, self.parts, self._rng, is_from_peer=True))

    def _start_run(self, run: RequestRun) -> None:
        task = asyncio.get_running_loop().create_task(run.run())
        self._runs[task] = run
        task.add_done_callback(self._on_request_done)

    def _on_request_done(self, task: asyncio.Task[None]) -> None:
        self._runs.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.log.event("request_error", error=repr(task.exception()))

    def _on_readiness(self, exchange: Exchange) -> None:
        is_readiness_path = exchange.request.target.partition(b"?")[0] == READINESS_PATH
        exchange.respond(
            (200 if self.is_ready else 503) if is_readiness_path else 404, []
        )

    def _on_metrics(self, exchange: Exchange) -> None:
        if exchange.request.target == EXPLAIN_PLACE_PATH.encode():
            self._placement_explainer.answer(exchange)
            return
        exchange.respond(
            200,
            [(b"Content-Type", b"text/plain; version=0.0.4")],
            self.counters.render(),
        )

    def _caller_limits(self) -> CallerLimits:
        current = self.parts.configuration.current
        return current.limits if current is not None else CallerLimits()

    def _on_configuration(self, configuration: Configuration) -> None:
        self.parts.quotas.configure(configuration, self.clock.now_ms())
        self.parts.endpoint_models.configure(configuration)
        self.parts.wait_limits.configure(configuration)
        unknown_regions = self.parts.region_gate.configure(configuration)
        if unknown_regions:
            self.log.event(
                "allowed_regions_unknown",
                version=configuration.version,
                regions=sorted(unknown_regions),
            )
        self.parts.cold.configure(configuration)
        self.counters.configuration_version.set(configuration.version)

    def _on_operator_rows(self, rows: Rows, is_snapshot: bool) -> None:
        # First the evacuations: the first configuration lets requests be sent.
        self.parts.evacuations.apply(
            rows, is_snapshot, self._followers[OPERATOR_TABLE].last_gap_ms
        )
        self.parts.configuration.apply(rows, is_snapshot)

    def _on_operator_row(self, row: Row) -> None:
        if not row.key.startswith(ORDER_PREFIX):
            return
        if row.value is None:
            service = ServiceId(row.key.removeprefix(ORDER_PREFIX))
            self.parts.rollouts.remove_order(service)
            return
        order = decode_order(row.value, row.row_version)
        if isinstance(order, Failure):
            self.log.event("rollout_order_refused", row=row.key, error=str(order))
            return
        self.parts.rollouts.set_order(order)

    def _on_endpoint_removed(self, endpoint: Endpoint) -> None:
        self.parts.upstreams.remove(endpoint)
        self.parts.cache_index.remove_endpoint(endpoint.id)
        self.parts.health.remove(endpoint.id)
        self.parts.endpoint_models.speeds.remove(endpoint.id)
        self.parts.links.remove(endpoint.id)

    def _build_digest(self, is_full: bool, to_all: bool) -> Digest:
        self._digest_sequence += 1
        parts = self.parts
        current = parts.configuration.current
        return Digest(
            instance=self.settings.instance,
            incarnation=self.incarnation,
            sequence=self._digest_sequence,
            ip=self.settings.peer_ip,
            port=self.settings.peer_ports[0],
            zone=self.settings.zone,
            configuration=current.version if current else 0,
            is_leaving=self.is_stopping,
            reaches_store=all(
                f.last_failure_ms is None for f in self._followers.values()
            ),
            lease_token=self._control.lease.fencing_number(),
            loads=parts.load_board.own_loads(),
            used=parts.quotas.used_by_customer() if is_full else {},
            rollouts=tuple(
                msgspec.structs.replace(p, row_version=wire_version(p.row_version))
                for p in parts.rollouts.progress()
            ),
            demand=parts.demand.own_totals() if is_full else {},
            learned=(
                parts.endpoint_models.own_sums(self.clock.now_ms()) if is_full else {}
            ),
            results=parts.rollouts.drain_outbox() if to_all else (),
            lease_row=_wire_lease_row(self._control.lease.announced_row()),
            era=self.store.era or 0,
            rate_limits=parts.rate_limits.own_notices(self.clock.now_ms()),
            leaving=parts.directory.leaving_notices(),
            quarantined=parts.quarantine.told_entries() if is_full else (),
            served=parts.quarantine.served_notices() if is_full else {},
            ended=parts.quarantine.ended_notices() if is_full else {},
            lost_links=self._lost_links(),
            brittle=parts.brittle.notices(self.clock.now_ms()),
            applies_regions=parts.region_gate.is_in_use,
            evacuated=parts.evacuations.notices(self.store.era or 0),
            work=(
                parts.fair_shares.own_entries(self.clock.now_ms()) if is_full else {}
            ),
            speeds=parts.endpoint_models.speeds.drain_outbox() if to_all else (),
            is_short=parts.process_load.is_short,
            is_unready=self._is_unready,
            tallies=tuple(
                msgspec.structs.replace(t, row_version=wire_version(t.row_version))
                for t in parts.rollouts.tallies()
            ),
        )

    def _lost_links(self) -> dict[str, int]:
        parts = self.parts
        current = parts.configuration.current
        if not parts.links.lost_count or current is None:
            return {}
        counts = {
            service: parts.links.unreachable_count(
                parts.evacuations.open_endpoints(
                    parts.directory.ready_endpoints(service)
                )
            )
            for service in current.services
        }
        return {service: count for service, count in counts.items() if count}

    def _on_digest(self, digest: Digest) -> None:
        parts = self.parts
        peer = InstanceId(digest.instance)
        now_ms = self.clock.now_ms()
        parts.load_board.update_peer(peer, digest.loads)
        parts.demand.update(peer, digest.incarnation, digest.demand, now_ms)
        parts.endpoint_models.update_peer(peer, digest.learned)
        parts.endpoint_models.speeds.apply_peer(digest.speeds, now_ms)
        parts.directory.record_peer_leaving(digest.leaving, peer)
        parts.rate_limits.update_peer(peer, digest.rate_limits, now_ms)
        parts.brittle.update_peer(digest.brittle, now_ms)
        if digest.demand:
            # Only full digests carry either.
            parts.fair_shares.update_peer(peer, digest.work)
        parts.quarantine.record_peer_served(digest.served, digest.ended)
        for entry, idle_ms in digest.quarantined:
            parts.quarantine.add_entry(entry, idle_ms)
        parts.quotas.record_peer_usage(peer, digest.incarnation, digest.used)
        era = self._era_of_digest(digest)
        if era is not None:
            parts.evacuations.record_peer(
                {z: join_version(era, v) for z, v in digest.evacuated.items() if v}
            )
        # Before the news: what they let expect is known then.
        parts.rollouts.merge_tallies(
            peer,
            [
                msgspec.structs.replace(t, row_version=join_version(era, t.row_version))
                for t in (() if era is None else digest.tallies)
            ],
        )
        progress = () if era is None else digest.rollouts
        parts.rollouts.merge_peer(
            [
                msgspec.structs.replace(p, row_version=join_version(era, p.row_version))
                for p in progress
            ],
            digest.results,
        )
        row = digest.lease_row
        if row is not None and era is not None and era == (self.store.era or 0):
            revision = join_version(era, row.revision)
            self._control.lease.observe_row(
                msgspec.structs.replace(row, revision=revision)
            )

    def _era_of_digest(self, digest: Digest) -> int | None:
        """Return the era of a digest's versions, None if it can't be known.

        Instances that know of no eras send none. Until this instance has seen the era
        change, they read the same history.
        """
        if digest.era or not self.store.era:
            return digest.era
        return self.store.era if self.store.era == self.store.first_era else None

    def _send_usage(self) -> None:
        counter = self.parts.usage
        usage = UsageCounts(
            self.settings.instance,
            self.incarnation,
            self.clock.wall_ms(),
            counter.own_counts(),
        )
        next_holders = self._control.lease.next_holders()
        self.digest_exchange.send_usage(usage, next_holders)
        for ended in counter.ended_counts(self.parts.members.incarnations()):
            instance, incarnation, counts = ended
            usage = UsageCounts(instance, incarnation, None, counts)
            self.digest_exchange.send_usage(usage, next_holders)

    def _on_usage(self, usage: UsageCounts) -> None:
        instance = InstanceId(usage.instance)
        if (instance, usage.incarnation) == (self.settings.instance, self.incarnation):
            return
        self.parts.usage.update_peer_counts(
            instance,
            usage.incarnation,
            usage.counts,
            usage.counted_until_ms,
        )

    def _on_relay(self, relay: Relay) -> None:
        follower = self._followers.get(relay.table)
        if follower is not None:
            follower.handle_relay(relay)

    async def _measure_delay(self) -> None:
        """Measure how late timers go off, until cancelled."""
        while True:
            started_ms = self.clock.now_ms()
            await self.clock.sleep_ms(SAMPLE_INTERVAL_MS)
            elapsed_ms = self.clock.now_ms() - started_ms
            self.parts.process_load.record_delay(elapsed_ms - SAMPLE_INTERVAL_MS)

    async def _tick(self) -> None:
        while True:
            await self.clock.sleep_ms(TICK_INTERVAL_MS)
            self.tick()

    def tick(self) -> None:
        """Do the periodic work once."""
        # After a standstill, all other instances would look silent before.
        self.digest_exchange.receive_waiting()
        now_ms = self.clock.now_ms()
        if now_ms - self._last_tick_ms > TICK_INTERVAL_MS + MIN_STALL_MS:
            self.log.event("process_stood_still", for_ms=now_ms - self._last_tick_ms)
        self._last_tick_ms = now_ms
        parts = self.parts
        previous_ids = parts.members.reachable_ids
        reachable_count, member_count = parts.members.refresh_counts()
        self.counters.instances.labels("reachable").set(reachable_count)
        self.counters.instances.labels("known").set(member_count)
        for peer in previous_ids - parts.members.reachable_ids:
            parts.load_board.remove_peer(peer)
            parts.endpoint_models.remove_peer(peer)
            parts.fair_shares.remove_peer(peer)
        parts.endpoint_models.refresh_speeds(parts.directory.all(), now_ms)
        parts.demand.refresh_own(now_ms)
        parts.demand.expire(now_ms)
        parts.quotas.set_members(parts.members.reachable_ids, member_count, now_ms)
        parts.retry_budget.set_member_count(member_count)
        # Unreachable instances may still send requests.
        known_ids = [member.instance for member in parts.members.all()]
        parts.sharers.set_instances(known_ids)
        parts.sharers.record_contact(
            len(parts.members.reachable_ids), self._registration.is_registered, now_ms
        )
        parts.rollouts.count_overdue()
        cold_count = parts.cold.update(parts.directory.all(), now_ms)
        self.counters.cold_endpoints.set(cold_count)
        self.counters.refused_endpoint_rows.set(parts.directory.refused_count)
        self.counters.limited_endpoints.set(parts.rate_limits.limited_count())
        parts.quarantine.set_reachable(parts.members.reachable_ids)
        parts.quarantine.tick()
        self.counters.quarantine_entries.set(parts.quarantine.entry_count())
        parts.zone_reach.set_silent_zones(parts.members.silent_zones(parts.zone))
        self._control.lease.check_holder()
        parts.directory.expire()
        parts.evacuations.expire()
        self.counters.evacuated_zones.set(len(parts.evacuations.zones))
        parts.usage.expire(self.clock.wall_ms())
        parts.upstreams.sweep()
        parts.peer_pools.sweep()
        self.counters.lost_links.set(parts.links.lost_count)
        self._report_callers()
        self._observe_services(now_ms)
        self._decide_readiness()

    def _report_callers(self) -> None:
        """Log which callers were shed, once a tick, and measure what all hold."""
        budget, counters = self.parts.caller_budget, self.counters
        counters.caller_bytes.set(budget.held_bytes)
        counters.caller_connections.set(budget.connection_count)
        report = budget.take_report()
        if report is None:
            return
        for reason, count in report.shed.items():
            counters.shed_callers.labels(reason).inc(count)
        for status, count in report.refused_statuses.items():
            counters.refused_messages.labels(status).inc(count)
        self.log.decision(report)

    def _decide_readiness(self) -> None:
        """Report for a while that this instance is not ready if it falls behind."""
        load = self.parts.process_load
        neighbours = self.parts.members.neighbours(self.parts.zone)
        load.set_neighbours(neighbours)
        is_unready = load.may_be_unready(self.clock.wall_ms())
        self.counters.loop_delay_s.set(load.delay_ms / 1_000)
        if is_unready == self._is_unready:
            return
        self._is_unready = is_unready
        self.log.event(
            "readiness_withdrawn" if is_unready else "readiness_restored",
            delay_ms=round(load.delay_ms, 1),
            neighbours=neighbours,
        )
        self.digest_exchange.broadcast_digest()

    def _observe_services(self, now_ms: int) -> None:
        """Observe capacities, and log a change of the customers above their shares."""
        parts = self.parts
        current = parts.configuration.current
        if current is None:
            return
        for service in current.services.values():
            parts.observe_capacity(service, now_ms)
            above = parts.fair_shares.above_share(service.id, now_ms)
            self.counters.customers_above_share.labels(service.id).set(len(above))
            if above.keys() != self._above_share.get(service.id, set()):
                self._above_share[service.id] = set(above)
                self.log.event(
                    "customers_above_share",
                    service=service.id,
                    factors={name: round(factor, 2) for name, factor in above.items()},
                    work=parts.fair_shares.work(service.id, now_ms),
                    refresh_ms=REFRESH_MS,
                    peers=len(parts.members.reachable_ids),
                )

    async def _probe_links(self) -> None:
        """Look whether lost links work again, until cancelled."""
        while True:
            await self.clock.sleep_ms(TICK_INTERVAL_MS)
            endpoints = self._endpoints_to_probe()
            if endpoints:
                await asyncio.gather(*map(self.parts.upstreams.probe, endpoints))

    def _endpoints_to_probe(self) -> list[Endpoint]:
        parts = self.parts
        parts.links.retain(parts.directory.all())
        endpoints = parts.links.take_probes(self.clock.now_ms(), LINK_PROBE_INTERVAL_MS)
        if endpoints and parts.links.is_cut_off():
            # Those that were tried may have ended while others are reachable.
            untried = [
                e for e in parts.directory.all() if not parts.links.is_lost(e.id)
            ]
            endpoints += self._rng.sample(untried, min(1, len(untried)))
        return endpoints


def _wire_lease_row(announced: AnnouncedRow | None) -> AnnouncedRow | None:
    if announced is None:
        return None
    revision = wire_version(announced.revision)
    return msgspec.structs.replace(announced, revision=revision)
