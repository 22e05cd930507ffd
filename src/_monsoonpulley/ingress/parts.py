"""State and services that all requests on one instance share."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from ..callerbudget import BudgetLimits, CallerBudget
from ..clock import Clock
from ..control.exposure import ExposureLimits
from ..duties.usage import UsageCounter
from ..fleet.configurationholder import ConfigurationHolder
from ..fleet.directory import EndpointDirectory
from ..fleet.evacuations import Evacuations
from ..fleet.model import Configuration, Endpoint, Service
from ..ids import EndpointId, InstanceId, ServiceId, ZoneId
from ..limits.brittleness import BrittleServices
from ..limits.coldendpoints import ColdChange, ColdEndpoints
from ..limits.endpointpauses import EndpointPauses
from ..limits.endpointrates import EndpointRateLimits
from ..limits.fairshare import FairShares
from ..limits.processload import ProcessLoad
from ..limits.quota import QuotaLedger
from ..limits.retrybudget import RetryBudget
from ..limits.sharers import Sharers
from ..limits.waitlimit import WaitLimits
from ..observability.log import Log
from ..placing.demandmeter import DemandMeter
from ..placing.endpointgate import EndpointGate
from ..placing.endpointlinks import EndpointLinks
from ..placing.endpointmodels import EndpointModels
from ..placing.health import EndpointHealth
from ..placing.loadboard import LoadBoard
from ..placing.placer import Placer
from ..placing.promptcacheindex import PromptCacheIndex
from ..placing.regiongate import RegionGate
from ..placing.servicecapacity import Capacity, ServiceCapacities
from ..placing.zonereach import ZoneReach
from ..platform.localsettings import LocalSettings
from ..platform.store import Row
from ..quarantine.crashwatch import CrashWatch
from ..quarantine.evidence import CrashReport, Entry, QuarantineNews
from ..quarantine.fingerprint import Fingerprinter
from ..quarantine.history import ServedParts
from ..quarantine.quarantine import Quarantine
from ..quarantine.trials import TrialClaim
from ..rollouts.rollouts import Rollouts
from ..sharing.members import Members
from ..stopgate import StopGate
from .answermemory import AnswerMemory
from .counters import Counters
from .linkrecords import connection_recorder
from .peerpools import PeerPools
from .upstreams import Upstreams


class IngressParts(msgspec.Struct):
    """The shared objects that every request uses; one of each per instance."""

    zone: ZoneId
    clock: Clock
    log: Log
    counters: Counters
    configuration: ConfigurationHolder
    directory: EndpointDirectory
    evacuations: Evacuations
    region_gate: RegionGate
    members: Members
    quotas: QuotaLedger
    retry_budget: RetryBudget
    sharers: Sharers
    rate_limits: EndpointRateLimits
    pauses: EndpointPauses
    brittle: BrittleServices
    cold: ColdEndpoints
    gate: EndpointGate
    links: EndpointLinks
    load_board: LoadBoard
    health: EndpointHealth
    cache_index: PromptCacheIndex
    wait_limits: WaitLimits
    fair_shares: FairShares
    capacities: ServiceCapacities
    process_load: ProcessLoad
    endpoint_models: EndpointModels
    demand: DemandMeter
    placer: Placer
    zone_reach: ZoneReach
    upstreams: Upstreams
    peer_pools: PeerPools
    caller_budget: CallerBudget
    answer_memory: AnswerMemory
    fingerprinter: Fingerprinter
    served_parts: ServedParts
    ended_parts: ServedParts
    quarantine: Quarantine
    crash_watch: CrashWatch
    usage: UsageCounter
    rollouts: Rollouts
    stop_gate: StopGate

    def observe_capacity(self, service: Service, now_ms: int) -> Capacity:
        """Return the capacity of a service, and tell the fair shares."""
        ready = self.directory.ready_endpoints(service.id)
        capacity = self.capacities.observe(service, ready, now_ms)
        self.fair_shares.set_capacity(
            service.id, capacity.work_ms_per_s, capacity.lasting_share
        )
        return capacity

    @classmethod
    def from_settings(
        cls,
        settings: LocalSettings,
        clock: Clock,
        log: Log,
        counters: Counters,
        rng: random.Random,
        *,
        on_configuration: Callable[[Configuration], None],
        on_operator_row: Callable[[Row], None],
        on_endpoint_removed: Callable[[Endpoint], None],
        on_endpoints_stale: Callable[[], None],
        send_quarantine_news: Callable[[QuarantineNews], None],
        on_quarantined: Callable[[Entry], None],
        on_quarantine_lifted: Callable[[Entry], None],
        on_trial_claim: Callable[[TrialClaim], None],
    ) -> IngressParts:
        """Return the shared objects of an instance that has just started."""
        bounds = settings.bounds
        load_board, health, cache_index, endpoint_models = (
            LoadBoard(),
            EndpointHealth(),
            PromptCacheIndex(),
            EndpointModels(),
        )
        sharers = Sharers(settings.instance)
        rate_limits = EndpointRateLimits(
            settings.instance, sharers, rng, _log_rate_limits(log)
        )
        pauses = EndpointPauses()
        brittle = BrittleServices(sharers, pauses)

        def on_stall(for_ms: int) -> None:
            log.event("endpoints_presumed_cold", stood_still_ms=for_ms)
            on_endpoints_stale()

        cold = ColdEndpoints(
            sharers,
            rng,
            bounds.cold_overage,
            bounds.cold_slack,
            _log_cold_changes(log),
            on_stall,
        )

        def on_endpoint_ended(endpoint: EndpointId) -> None:
            rate_limits.remove(endpoint)
            pauses.remove(endpoint)
            cold.remove(endpoint)
            sharers.remove(endpoint)

        def on_endpoint_row(
            endpoint: Endpoint, row_version: int, has_started: bool
        ) -> None:
            cold.record_row(endpoint, row_version, has_started, clock.now_ms())

        directory = EndpointDirectory(
            clock, log, on_endpoint_removed, on_endpoint_ended, on_endpoint_row
        )
        members = Members(settings.instance, clock, log)

        def known_share() -> float:
            """Return the share of the instances whose digests arrive."""
            reachable_count, member_count = members.last_counts
            return reachable_count / member_count

        rollouts = Rollouts(
            clock,
            log,
            rng,
            ExposureLimits(bounds.exposure_share, bounds.exposure_slack),
            known_share,
        )
        evacuations = Evacuations(clock, log, bounds.evacuation_ms)

        def takes_load(endpoint: Endpoint) -> bool:
            """Return whether a ready endpoint counts as capacity."""
            return (
                rollouts.carries_load(endpoint)
                and not evacuations.is_evacuated(endpoint.zone)
                and not cold.is_cold(endpoint, clock.now_ms())
            )

        links = EndpointLinks()
        upstreams = Upstreams(clock, connection_recorder(links, clock, log))
        quarantine = Quarantine(
            settings.instance,
            clock,
            log,
            send_quarantine_news,
            on_quarantined,
            on_quarantine_lifted,
            on_trial_claim,
        )

        def on_crash(report: CrashReport) -> None:
            counters.endpoint_crashes.labels(report.service).inc()
            quarantine.record_crash(report)

        caller_budget = CallerBudget(
            BudgetLimits.from_machine(settings.memory_bytes, settings.file_descriptors)
        )

        return cls(
            zone=settings.zone,
            clock=clock,
            log=log,
            counters=counters,
            configuration=ConfigurationHolder(
                clock, log, on_configuration, on_operator_row
            ),
            directory=directory,
            evacuations=evacuations,
            region_gate=RegionGate(
                settings.region_by_zone, settings.zone, settings.region
            ),
            members=members,
            quotas=QuotaLedger(
                bounds.quota_window_s,
                bounds.quota_overage,
                bounds.quota_slack,
                starts_full=settings.is_first_start,
            ),
            retry_budget=RetryBudget(
                bounds.retry_budget_ratio,
                bounds.budget_window_s,
                bounds.budget_extra_retries,
            ),
            sharers=sharers,
            rate_limits=rate_limits,
            pauses=pauses,
            brittle=brittle,
            cold=cold,
            gate=EndpointGate(rate_limits, pauses, brittle, cold, load_board, rng),
            links=links,
            load_board=load_board,
            health=health,
            cache_index=cache_index,
            wait_limits=WaitLimits(),
            fair_shares=FairShares(),
            capacities=ServiceCapacities(takes_load, _log_capacity(log)),
            process_load=ProcessLoad(bounds.pass_ms),
            endpoint_models=endpoint_models,
            demand=DemandMeter(settings.instance),
            placer=Placer(load_board, health, cache_index, endpoint_models, rng),
            zone_reach=ZoneReach(),
            upstreams=upstreams,
            peer_pools=PeerPools(clock),
            caller_budget=caller_budget,
            answer_memory=AnswerMemory(caller_budget),
            fingerprinter=Fingerprinter(),
            served_parts=ServedParts(),
            ended_parts=ServedParts(),
            quarantine=quarantine,
            crash_watch=CrashWatch(
                settings.instance,
                clock,
                log,
                upstreams.probe,
                directory.is_current,
                links.is_cut_off,
                on_crash,
            ),
            usage=UsageCounter(bounds.usage_window_s),
            rollouts=rollouts,
            stop_gate=StopGate(),
        )


def _log_rate_limits(
    log: Log,
) -> Callable[[EndpointId, float | None, float | None, InstanceId], None]:
    def log_change(
        endpoint: EndpointId,
        before: float | None,
        after: float | None,
        source: InstanceId,
    ) -> None:
        log.event(
            "endpoint_rate_limit",
            endpoint=endpoint,
            before_per_s=before,
            after_per_s=after,
            heard_by=source,
        )

    return log_change


def _log_capacity(log: Log) -> Callable[[ServiceId, Capacity, Capacity], None]:
    def log_change(service: ServiceId, before: Capacity, after: Capacity) -> None:
        log.event(
            "service_capacity",
            service=service,
            ready=after.ready_count,
            slots=after.slots,
            work_ms_per_s=after.work_ms_per_s,
            lasting_share=round(after.lasting_share, 3),
            ready_before=before.ready_count,
        )

    return log_change


def _log_cold_changes(log: Log) -> Callable[[ColdChange], None]:
    def log_change(change: ColdChange) -> None:
        log.event(
            "endpoint_warm" if change.source is None else "endpoint_cold",
            endpoint=change.endpoint,
            service=change.service,
            source=change.source.value if change.source is not None else "",
            for_ms=change.for_ms,
            row_version=change.row_version,
            row_age_ms=change.row_age_ms,
        )

    return log_change
