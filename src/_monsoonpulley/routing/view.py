"""What one daemon believes about the endpoints: members, loads, own attempts.

Times are milliseconds of one clock, the caller's ``now_ms``. A report's
``measured_wall_ms`` is brought to it by the report's age, so either clock of
`Clock` may be used, as long as it is always the same.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..endpoints.engine import LoadReport
from ..external.livelist import Member, MemberState, Role
from ..ids import AttemptId, EndpointId, ServiceId, VersionId, ZoneId
from .pool import Pool, ServiceTraffic

MAX_REPORT_AGE_MS = 10_000
SERVICE_TIME_WEIGHT = 0.2
KEEP_LEFT_MS = 3_600_000


class OwnAttempt(msgspec.Struct):
    """One attempt of this daemon in progress at an endpoint."""

    endpoint: EndpointId
    started_ms: int
    prefill_tokens: int
    decode_tokens: int
    in_flight_at_start: int
    first_token_ms: int | None = None


class EndpointView(msgspec.Struct):
    """One endpoint as this daemon sees it.

    Attributes
    ----------
    report, measured_ms : LoadReport or None, int
        Newest load report and when it was measured, in ``now_ms``'s clock.
    attempts : dict
        This daemon's attempts in progress.
    pending_tokens : int
        Prompt tokens of own attempts without a first token.
    sent_requests, sent_tokens : int
        Own attempts in progress that started after the report was measured,
        and prompt tokens sent since then, finished attempts included.
    decoding_tokens : int
        Tokens own attempts may still generate.
    gone_requests : int
        Own attempts that the report counts and that ended since.
    progress_ms : int
        When an own attempt last showed progress.
    service_time_ms, usual_in_flight : float or None, float
        Moving averages for plain services.
    """

    id: EndpointId
    service: ServiceId
    version: VersionId
    zone: ZoneId
    address: str = ""
    state: MemberState = MemberState.LIVE
    report: LoadReport | None = None
    measured_ms: int = 0
    attempts: dict[AttemptId, OwnAttempt] = msgspec.field(default_factory=dict)
    pending_tokens: int = 0
    sent_requests: int = 0
    sent_tokens: int = 0
    decoding_tokens: int = 0
    gone_requests: int = 0
    progress_ms: int = 0
    service_time_ms: float | None = None
    usual_in_flight: float = 0.0

    def _refresh(self) -> None:
        """Count again what the newest report can't know."""
        since = [a for a in self.attempts.values() if a.started_ms > self.measured_ms]
        self.sent_requests = len(since)
        self.sent_tokens = sum(a.prefill_tokens for a in since)
        self.gone_requests = 0


class FleetView:
    """Every known endpoint, pooled by service, version and data centre."""

    def __init__(self) -> None:
        self.endpoints: dict[EndpointId, EndpointView] = {}
        self.traffic: dict[ServiceId, ServiceTraffic] = {}
        self.peers = 0
        self._pools: dict[ServiceId, dict[VersionId, dict[ZoneId, Pool]]] = {}
        self._left: dict[EndpointId, int] = {}
        self._attempts: dict[AttemptId, OwnAttempt] = {}

    def versions(self, service: ServiceId) -> list[VersionId]:
        """Return the versions with a LIVE endpoint."""
        return [
            version
            for version, pools in self._pools.get(service, {}).items()
            if any(pool.endpoints for pool in pools.values())
        ]

    def pools(self, service: ServiceId, version: VersionId) -> dict[ZoneId, Pool]:
        """Return the pools of a version by data centre."""
        return self._pools.get(service, {}).get(version, {})

    def live_endpoints(
        self, service: ServiceId, version: VersionId
    ) -> list[EndpointId]:
        """Return the LIVE endpoints of a version in all data centres."""
        pools = self.pools(service, version).values()
        return [view.id for pool in pools for view in pool.endpoints]

    def pool_size(self, service: ServiceId) -> int:
        """Return how many LIVE endpoints a service has."""
        return sum(
            len(pool.endpoints)
            for pools in self._pools.get(service, {}).values()
            for pool in pools.values()
        )

    def traffic_of(self, service: ServiceId) -> ServiceTraffic:
        """Return the traffic counters of a service."""
        traffic = self.traffic.get(service)
        if traffic is None:
            traffic = self.traffic[service] = ServiceTraffic()
        return traffic

    def apply_members(self, members: Iterable[Member], now_ms: int) -> None:
        """Take in the platform's list, which lags.

        An endpoint once marked as leaving stays so; one that is missing from
        the list gets no new work, and comes back if it was not leaving.
        """
        listed: set[EndpointId] = set()
        for member in members:
            if member.role is not Role.ENDPOINT:
                continue
            endpoint = EndpointId(member.instance)
            listed.add(endpoint)
            self._apply_member(endpoint, member, now_ms)
        for endpoint in [e for e in self.endpoints if e not in listed]:
            self._forget(endpoint)
        for endpoint, left_ms in list(self._left.items()):
            if endpoint not in listed and now_ms - left_ms > KEEP_LEFT_MS:
                del self._left[endpoint]

    def _apply_member(self, endpoint: EndpointId, member: Member, now_ms: int) -> None:
        view = self.endpoints.get(endpoint)
        if view is not None and view.version != member.version:
            self._pool(view).discard(endpoint)
            view.version = member.version
        if view is None:
            view = EndpointView(
                endpoint, member.service, member.version, member.zone, member.address
            )
            self.endpoints[endpoint] = view
        view.address = member.address
        if endpoint in self._left or member.state is MemberState.LEAVING:
            self.mark_leaving(endpoint, now_ms)
            return
        self._pool(view).add(view)

    def _pool(self, view: EndpointView) -> Pool:
        versions = self._pools.setdefault(view.service, {})
        return versions.setdefault(view.version, {}).setdefault(view.zone, Pool())

    def _forget(self, endpoint: EndpointId) -> None:
        view = self.endpoints[endpoint]
        self._pool(view).discard(endpoint)
        if not view.attempts:
            del self.endpoints[endpoint]

    def mark_leaving(self, endpoint: EndpointId, now_ms: int) -> None:
        """Give an endpoint no new work, whatever a list says later."""
        self._left.setdefault(endpoint, now_ms)
        view = self.endpoints.get(endpoint)
        if view is None:
            return
        view.state = MemberState.LEAVING
        self._pool(view).discard(endpoint)

    def apply_load(
        self,
        endpoint: EndpointId,
        report: LoadReport,
        now_ms: int,
        wall_ms: int | None = None,
    ) -> None:
        """Take in a load report; one older than the newest is dropped.

        Parameters
        ----------
        endpoint : EndpointId
            Which endpoint it is about.
        report : LoadReport
            The report.
        now_ms : int
            The present, in the clock of all calls.
        wall_ms : int, optional
            The present by the wall; without it ``now_ms`` is wall time.
        """
        view = self.endpoints.get(endpoint)
        if view is None:
            return
        age_ms = (now_ms if wall_ms is None else wall_ms) - report.measured_wall_ms
        measured_ms = now_ms - min(max(age_ms, 0), MAX_REPORT_AGE_MS)
        newest = view.report
        if newest and newest.measured_wall_ms >= report.measured_wall_ms:
            return
        view.report = report
        view.measured_ms = measured_ms
        view._refresh()

    def record_start(
        self,
        attempt: AttemptId,
        endpoint: EndpointId,
        prefill_tokens: int,
        decode_tokens: int,
        now_ms: int,
    ) -> None:
        """Note that an attempt was sent, with its uncached prompt tokens."""
        view = self.endpoints.get(endpoint)
        if view is None or attempt in self._attempts:
            return
        own = OwnAttempt(
            endpoint, now_ms, prefill_tokens, decode_tokens, len(view.attempts)
        )
        self._attempts[attempt] = own
        if not view.pending_tokens:
            view.progress_ms = now_ms
        view.attempts[attempt] = own
        view.pending_tokens += prefill_tokens
        view.decoding_tokens += decode_tokens
        view.sent_requests += 1
        view.sent_tokens += prefill_tokens
        self.traffic_of(view.service).count(prefill_tokens, now_ms)

    def record_progress(self, attempt: AttemptId, now_ms: int) -> None:
        """Note a token of an attempt; the first ends its prefill."""
        own = self._attempts.get(attempt)
        if own is None:
            return
        view = self.endpoints[own.endpoint]
        if own.first_token_ms is None:
            own.first_token_ms = now_ms
            view.pending_tokens -= own.prefill_tokens
            view.progress_ms = now_ms
        if own.decode_tokens > 0:
            own.decode_tokens -= 1
            view.decoding_tokens -= 1

    def record_end(
        self, attempt: AttemptId, now_ms: int, ok: bool = True, output_tokens: int = 0
    ) -> None:
        """Note the end of an attempt; only whole answers move the averages."""
        own = self._attempts.pop(attempt, None)
        if own is None:
            return
        view = self.endpoints[own.endpoint]
        del view.attempts[attempt]
        view.decoding_tokens -= own.decode_tokens
        if own.first_token_ms is None:
            view.pending_tokens -= own.prefill_tokens
        if own.started_ms > view.measured_ms:
            view.sent_requests -= 1
        else:
            view.gone_requests += 1
        if not ok:
            return
        self._learn(view, own, now_ms, output_tokens)

    def _learn(
        self, view: EndpointView, own: OwnAttempt, now_ms: int, output_tokens: int
    ) -> None:
        took_ms = float(now_ms - own.started_ms)
        if view.service_time_ms is None:
            view.service_time_ms = took_ms
            view.usual_in_flight = float(own.in_flight_at_start)
        else:
            view.service_time_ms += SERVICE_TIME_WEIGHT * (
                took_ms - view.service_time_ms
            )
            view.usual_in_flight += SERVICE_TIME_WEIGHT * (
                own.in_flight_at_start - view.usual_in_flight
            )
        if output_tokens:
            self.traffic_of(view.service).observe_output(output_tokens)
