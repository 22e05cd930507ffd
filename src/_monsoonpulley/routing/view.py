"""One entry instance's view of the endpoints: membership, loads, own attempts.

Times are milliseconds of the clock of ``now_ms``. A report's ``measured_wall_ms``
is converted to it by the report's age, so either clock of `Clock` may be used, as
long as it is always the same.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..endpoints.engine import LoadReport
from ..external.livelist import Member, MemberState, Role
from ..ids import AttemptId, EndpointId, ServiceId, VersionId, ZoneId
from .pool import Pool, ServiceTraffic

MAX_REPORT_AGE_MS = 10_000
"""Older reports are dated to this age."""
SERVICE_TIME_WEIGHT = 0.2
"""Weight of a new sample in the moving averages of plain services."""
LEAVING_RETENTION_MS = 3_600_000
"""Time for which endpoints that are no longer listed stay marked as leaving."""


class OwnAttempt(msgspec.Struct):
    """An attempt of this entry instance in progress at an endpoint."""

    endpoint: EndpointId
    started_ms: int
    prefill_tokens: int
    decode_tokens: int
    in_flight_at_start: int
    first_token_ms: int | None = None


class EndpointView(msgspec.Struct):
    """One endpoint as this entry instance sees it.

    Attributes
    ----------
    report, measured_ms : LoadReport or None, int
        Newest load report and when it was measured, in the clock of ``now_ms``.
    attempts : dict
        This instance's attempts in progress.
    tokens_to_prefill : int
        Uncached prompt tokens of own attempts without a first token.
    unreported_requests, unreported_tokens : int
        Own attempts in progress that started after the report was measured,
        and prompt tokens sent since then, finished attempts included.
    tokens_to_decode : int
        Tokens that own attempts may still generate.
    ended_requests : int
        Own attempts that the report counts and that have ended since.
    last_progress_ms : int
        When an own attempt last produced its first token, or was sent while no
        other had tokens to prefill.
    mean_service_time_ms, mean_in_flight : float or None, float
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
    tokens_to_prefill: int = 0
    unreported_requests: int = 0
    unreported_tokens: int = 0
    tokens_to_decode: int = 0
    ended_requests: int = 0
    last_progress_ms: int = 0
    mean_service_time_ms: float | None = None
    mean_in_flight: float = 0.0

    def _reset_unreported(self) -> None:
        """Recount the own attempts that the newest report can't include."""
        unreported = [
            a for a in self.attempts.values() if a.started_ms > self.measured_ms
        ]
        self.unreported_requests = len(unreported)
        self.unreported_tokens = sum(a.prefill_tokens for a in unreported)
        self.ended_requests = 0


class FleetView:
    """All known endpoints, pooled by service, version and data centre."""

    def __init__(self) -> None:
        self.endpoints: dict[EndpointId, EndpointView] = {}
        self.traffic: dict[ServiceId, ServiceTraffic] = {}
        self.peer_count = 0
        self._pools: dict[ServiceId, dict[VersionId, dict[ZoneId, Pool]]] = {}
        self._marked_leaving_ms: dict[EndpointId, int] = {}
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

    def live_endpoint_count(self, service: ServiceId) -> int:
        """Return how many LIVE endpoints a service has."""
        return sum(
            len(pool.endpoints)
            for pools in self._pools.get(service, {}).values()
            for pool in pools.values()
        )

    def traffic_of(self, service: ServiceId) -> ServiceTraffic:
        """Return the traffic statistics of a service."""
        traffic = self.traffic.get(service)
        if traffic is None:
            traffic = self.traffic[service] = ServiceTraffic()
        return traffic

    def apply_members(self, members: Iterable[Member], now_ms: int) -> None:
        """Apply the platform's member list, which lags behind.

        An endpoint once marked as leaving stays so. One that is missing from the
        list gets no new requests; it returns with the list unless it is leaving.
        """
        listed: set[EndpointId] = set()
        for member in members:
            if member.role is not Role.ENDPOINT:
                continue
            endpoint = EndpointId(member.instance)
            listed.add(endpoint)
            self._apply_member(endpoint, member, now_ms)
        for endpoint in [e for e in self.endpoints if e not in listed]:
            self._remove(endpoint)
        for endpoint, marked_ms in list(self._marked_leaving_ms.items()):
            if endpoint not in listed and now_ms - marked_ms > LEAVING_RETENTION_MS:
                del self._marked_leaving_ms[endpoint]

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
        if endpoint in self._marked_leaving_ms or member.state is MemberState.LEAVING:
            self.mark_leaving(endpoint, now_ms)
            return
        self._pool(view).add(view)

    def _pool(self, view: EndpointView) -> Pool:
        versions = self._pools.setdefault(view.service, {})
        return versions.setdefault(view.version, {}).setdefault(view.zone, Pool())

    def _remove(self, endpoint: EndpointId) -> None:
        view = self.endpoints[endpoint]
        self._pool(view).discard(endpoint)
        if not view.attempts:
            del self.endpoints[endpoint]

    def mark_leaving(self, endpoint: EndpointId, now_ms: int) -> None:
        """Send an endpoint no new requests, whatever later lists contain."""
        self._marked_leaving_ms.setdefault(endpoint, now_ms)
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
        """Apply a load report unless it is older than the newest one.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint that reported.
        report : LoadReport
            The report.
        now_ms : int
            Current time, in the clock of all calls.
        wall_ms : int, optional
            Current wall time; by default ``now_ms`` is wall time.
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
        view._reset_unreported()

    def record_attempt_start(
        self,
        attempt: AttemptId,
        endpoint: EndpointId,
        prefill_tokens: int,
        decode_tokens: int,
        now_ms: int,
    ) -> None:
        """Record that an attempt was sent, with its uncached prompt tokens."""
        view = self.endpoints.get(endpoint)
        if view is None or attempt in self._attempts:
            return
        own = OwnAttempt(
            endpoint, now_ms, prefill_tokens, decode_tokens, len(view.attempts)
        )
        self._attempts[attempt] = own
        if not view.tokens_to_prefill:
            view.last_progress_ms = now_ms
        view.attempts[attempt] = own
        view.tokens_to_prefill += prefill_tokens
        view.tokens_to_decode += decode_tokens
        view.unreported_requests += 1
        view.unreported_tokens += prefill_tokens
        self.traffic_of(view.service).record_request(prefill_tokens, now_ms)

    def record_token(self, attempt: AttemptId, now_ms: int) -> None:
        """Record a token of an attempt; the first one ends its prefill."""
        own = self._attempts.get(attempt)
        if own is None:
            return
        view = self.endpoints[own.endpoint]
        if own.first_token_ms is None:
            own.first_token_ms = now_ms
            view.tokens_to_prefill -= own.prefill_tokens
            view.last_progress_ms = now_ms
        if own.decode_tokens > 0:
            own.decode_tokens -= 1
            view.tokens_to_decode -= 1

    def record_attempt_end(
        self,
        attempt: AttemptId,
        now_ms: int,
        succeeded: bool = True,
        output_tokens: int = 0,
    ) -> None:
        """Record an attempt's end; only complete answers update the averages."""
        own = self._attempts.pop(attempt, None)
        if own is None:
            return
        view = self.endpoints[own.endpoint]
        del view.attempts[attempt]
        view.tokens_to_decode -= own.decode_tokens
        if own.first_token_ms is None:
            view.tokens_to_prefill -= own.prefill_tokens
        if own.started_ms > view.measured_ms:
            view.unreported_requests -= 1
        else:
            view.ended_requests += 1
        if not succeeded:
            return
        self._update_averages(view, own, now_ms, output_tokens)

    def _update_averages(
        self, view: EndpointView, own: OwnAttempt, now_ms: int, output_tokens: int
    ) -> None:
        elapsed_ms = float(now_ms - own.started_ms)
        if view.mean_service_time_ms is None:
            view.mean_service_time_ms = elapsed_ms
            view.mean_in_flight = float(own.in_flight_at_start)
        else:
            view.mean_service_time_ms += SERVICE_TIME_WEIGHT * (
                elapsed_ms - view.mean_service_time_ms
            )
            view.mean_in_flight += SERVICE_TIME_WEIGHT * (
                own.in_flight_at_start - view.mean_in_flight
            )
        if output_tokens:
            self.traffic_of(view.service).record_output(output_tokens)
