"""Connects the peers with the routing, configuration and loads of an instance."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..config.document import Revision, ServiceKind
from ..config.watcher import ConfigWatcher
from ..endpoints.engine import CacheEvent, LoadReport
from ..external.livelist import MemberState
from ..ids import EndpointId, ServiceId
from ..quarantine.evidence import QuarantineNews
from ..routing.router import Router
from .digest import (
    MAX_LOAD_AGE_MS,
    CanaryResult,
    Digest,
    LoadItem,
    QuarantineItem,
    ServiceSummary,
    Summary,
    TrippedVersion,
)
from .membership import Membership
from .reporters import EndpointKeys, Reporters, endpoint_key

OnTripped = Callable[[TrippedVersion], None]
OnQuarantine = Callable[[QuarantineNews], None]
OnResult = Callable[[CanaryResult], None]


class RouterHost:
    """The `exchange.PeerHost` and `feed.FeedSink` of one instance.

    Parameters
    ----------
    membership : Membership
        State of the peers.
    router : Router
        Receives loads, leaving endpoints and unreachable data centres.
    watcher : ConfigWatcher
        Receives and provides revisions.
    clock : Clock
        Clock of the instance.
    """

    def __init__(
        self,
        membership: Membership,
        router: Router,
        watcher: ConfigWatcher,
        clock: Clock,
    ):
        self.reporters = Reporters(membership.identity.instance)
        self._membership = membership
        self._router = router
        self._watcher = watcher
        self._clock = clock
        self._keys = EndpointKeys()
        self._reports: dict[EndpointId, LoadReport] = {}
        self._on_tripped: list[OnTripped] = []
        self._on_result: list[OnResult] = []
        self._on_quarantine: list[OnQuarantine] = []

    def on_tripped(self, callback: OnTripped) -> None:
        """Call ``callback`` with each change of a version from a peer."""
        self._on_tripped.append(callback)

    def on_result(self, callback: OnResult) -> None:
        """Call ``callback`` with each result of a canary from a peer."""
        self._on_result.append(callback)

    def on_quarantine(self, callback: OnQuarantine) -> None:
        """Call ``callback`` with news of the quarantine from a peer."""
        self._on_quarantine.append(callback)

    def handle_quarantine(self, item: QuarantineItem) -> None:
        """Apply news of crashes and of what is refused, with their present ages."""
        passed_ms = max(0, self._clock.wall_ms() - item.sent_wall_ms)
        reports = tuple(
            msgspec.structs.replace(report, age_ms=report.age_ms + passed_ms)
            for report in item.news.reports
        )
        for callback in self._on_quarantine:
            callback(msgspec.structs.replace(item.news, reports=reports))

    def read_endpoints(self) -> list[EndpointId]:
        """Return the engines whose loads and events this instance reads."""
        self._distribute_engines()
        return self.reporters.endpoints_to_read()

    def apply_load(
        self, endpoint: EndpointId, report: LoadReport, now_ms: int, wall_ms: int
    ) -> None:
        """Apply a report that this instance read itself."""
        self._reports[endpoint] = report
        self._router.apply_load(endpoint, report, now_ms, wall_ms)

    def apply_cache_events(
        self, endpoint: EndpointId, events: tuple[CacheEvent, ...]
    ) -> None:
        """Apply cache events that this instance read itself."""
        self._router.apply_cache_events(endpoint, events)

    def revision(self) -> Revision | None:
        """Return the configuration in force."""
        return self._watcher.revision

    def reported_loads(self) -> list[LoadItem]:
        """Return fresh loads of the endpoints that this instance reports on."""
        wall_ms = self._clock.wall_ms()
        items = []
        for endpoint in self.reporters.reported_endpoints():
            report = self._reports.get(endpoint)
            if report and wall_ms - report.measured_wall_ms <= MAX_LOAD_AGE_MS:
                key = endpoint_key(endpoint)
                items.append(LoadItem.from_report(key, report, wall_ms))
        return items

    def service_loads(self) -> tuple[ServiceSummary, ...]:
        """Return the mean load of each service's live endpoints in this zone."""
        reports: dict[ServiceId, list[LoadReport]] = {}
        for view in self._router.fleet.endpoints.values():
            is_local = view.zone == self._membership.identity.zone
            if is_local and view.state is MemberState.LIVE and view.report is not None:
                reports.setdefault(view.service, []).append(view.report)
        wall_ms = self._clock.wall_ms()
        return tuple(
            ServiceSummary(service, len(found), _mean_load(found, wall_ms))
            for service, found in sorted(reports.items())
        )

    def handle_loads(self, digest: Digest, sent_wall_ms: int) -> None:
        """Apply the loads in a digest."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        for item in digest.loads:
            endpoint = self._keys.get(item.key)
            report = item.to_report(sent_wall_ms)
            is_fresh = wall_ms - report.measured_wall_ms <= 2 * MAX_LOAD_AGE_MS
            if endpoint is not None and is_fresh:
                self._router.apply_load(endpoint, report, now_ms, wall_ms)

    def handle_service_loads(self, summary: Summary, sent_wall_ms: int) -> None:
        """Apply mean loads of another data centre to each endpoint there."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        loads = {item.service: item.load for item in summary.services}
        for endpoint, view in self._router.fleet.endpoints.items():
            load = loads.get(view.service)
            if view.zone == summary.zone and load is not None:
                report = load.to_report(sent_wall_ms)
                self._router.apply_load(endpoint, report, now_ms, wall_ms)

    def handle_leaving_endpoint(self, endpoint: EndpointId) -> None:
        """Stop sending new work to a leaving endpoint."""
        self._router.mark_leaving(endpoint, self._clock.now_ms())

    def handle_tripped_version(self, item: TrippedVersion) -> None:
        """Pass on that a version was tripped or cleared."""
        for callback in self._on_tripped:
            callback(item)

    def handle_result(self, item: CanaryResult) -> None:
        """Pass on a result of a version that receives its first traffic."""
        for callback in self._on_result:
            callback(item)

    def handle_revision_number(self, number: int) -> None:
        """Pass the revision number of a peer to the watcher."""
        self._watcher.record_peer_number(number)

    def handle_revision(self, revision: Revision) -> None:
        """Pass a revision from a peer to the watcher."""
        self._watcher.offer(revision)

    def on_members_changed(self) -> None:
        """Update routing and the distribution of engines for the membership."""
        now_ms = self._clock.now_ms()
        membership = self._membership
        zone = membership.identity.zone
        self._router.set_peer_count(len(membership.live_peers(now_ms, zone)))
        self._router.set_unreachable_zones(membership.unreachable_zones(now_ms))
        self._router.update_slots()
        self._distribute_engines()

    def _distribute_engines(self) -> None:
        """Distribute the engines here and in zones without entry instances."""
        endpoints = self._router.fleet.endpoints
        self._keys.update(endpoints)
        served = self._membership.served_zones()
        kinds = self._service_kinds()
        engines = [
            view.id
            for view in endpoints.values()
            if view.zone not in served and kinds.get(view.service) is ServiceKind.MODEL
        ]
        now_ms = self._clock.now_ms()
        self.reporters.update(self._membership.live_instances(now_ms), engines)
        for endpoint in set(self._reports) - set(endpoints):
            del self._reports[endpoint]

    def _service_kinds(self) -> dict[ServiceId, ServiceKind]:
        revision = self._watcher.revision
        services = revision.document.services if revision else {}
        return {name: service.kind for name, service in services.items()}


def _mean_load(reports: list[LoadReport], wall_ms: int) -> LoadItem:
    count = len(reports)
    mean = LoadReport(
        measured_wall_ms=max(report.measured_wall_ms for report in reports),
        running=sum(report.running for report in reports) // count,
        waiting=sum(report.waiting for report in reports) // count,
        waiting_tokens=sum(report.waiting_tokens for report in reports) // count,
        kv_used_ratio=sum(report.kv_used_ratio for report in reports) / count,
        prefill_tokens_per_s=sum(r.prefill_tokens_per_s for r in reports) / count,
        decode_ms_per_token=sum(r.decode_ms_per_token for r in reports) / count,
        max_running=sum(report.max_running for report in reports) // count,
    )
    return LoadItem.from_report(0, mean, wall_ms)
