"""What each gate says of a request, one line for each, in the order of `RequestRun`.

The lines explain; whether a request is rejected, and where it goes, `DryRun` decides. A
new gate gets a function here, registered behind the gate that is asked before it.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ..fleet.model import Endpoint
from ..placement_wire import GateLine
from ..registry import Registry
from .dryrun import DryRun

RequestGate = Callable[[DryRun], str | None]
"""Returns what a gate says of the request; None if it is not asked."""

EndpointGateLine = Callable[
    [DryRun, tuple[Endpoint, ...], int], tuple[str, dict[str, str]]
]
"""Returns what a gate says of the endpoints that earlier gates have left, at a time in
ms, and why, by each endpoint that it leaves out."""

request_gates: Registry[RequestGate] = Registry("gate of requests")
endpoint_gates: Registry[EndpointGateLine] = Registry("gate of endpoints")


def explain_request(run: DryRun) -> list[GateLine]:
    """Return the lines of the gates before those of endpoints."""
    lines = []
    for name in request_gates.in_order():
        says = request_gates.get(name)(run)
        if says is not None:
            lines.append(GateLine(name, says))
    return lines


def explain_endpoints(
    run: DryRun, now_ms: int
) -> tuple[list[GateLine], tuple[Endpoint, ...]]:
    """Return the lines of the gates of endpoints, and the endpoints that are left."""
    assert run.service is not None
    endpoints = tuple(
        e for e in run.parts.directory.all() if e.service == run.service.id
    )
    lines = []
    for name in endpoint_gates.in_order():
        says, left_out = endpoint_gates.get(name)(run, endpoints, now_ms)
        endpoints = tuple(e for e in endpoints if e.id not in left_out)
        lines.append(GateLine(name, says, left_out))
    return lines, endpoints


@request_gates.register("configuration")
def _explain_configuration(run: DryRun) -> str:
    if run.configuration is None:
        return "none is known"
    return f"version {run.configuration.version}"


@request_gates.register("route")
def _explain_route(run: DryRun) -> str | None:
    if run.configuration is None:
        return None
    route = run.route
    if route is None:
        return "none has this host and path"
    services = ", ".join(service for service, _ in route.services)
    return f"{route.name} ({route.kind.value}), priority {route.rank}, to {services}"


@request_gates.register("customer")
def _explain_customer(run: DryRun) -> str | None:
    if run.configuration is None or run.route is None:
        return None
    if run.customer is not None:
        return f"{run.customer.id}, priority {run.rank}"
    if run.configuration.has_customers and run.route.requires_key:
        return "unknown, and the route requires one"
    return "none"


@request_gates.register("quarantine")
def _explain_quarantine(run: DryRun) -> str | None:
    if run.service is None:
        return None
    entry = run.find_quarantine_entry()
    if entry is not None:
        return f"{entry.key} crashed {len(entry.endpoints)} endpoints"
    return f"none of {run.parts.quarantine.entry_count()} entries applies"


@request_gates.register("quota")
def _explain_quota(run: DryRun) -> str | None:
    if run.service is None or not (run.is_admitted or run.status == 429):
        return None
    if run.customer is None or run.customer.quota is None:
        return "none"
    quota = run.customer.quota
    unit = "tokens" if quota.counts_tokens else "requests"
    limit = f"{quota.rate_per_s:g} {unit}/s and a burst of {quota.burst:g}"
    verdict = "allowed" if run.is_admitted else run.detail
    return f"costs {run.quota_cost:g} of {limit}: {verdict}"


@request_gates.register("share")
def _explain_share(run: DryRun) -> str | None:
    if not run.is_admitted or run.service is None:
        return None
    if run.customer is None:
        return "no customer, no share"
    standing = run.parts.fair_shares.standing(
        run.service.id, run.rank, run.customer.id, run.parts.clock.now_ms()
    )
    if standing.factor == 1.0:
        return "its customer is within its share of the service's work"
    return (
        f"its customer had {standing.admitted_ms:.0f} ms of work admitted, of a share "
        f"of {standing.share_ms:.0f} ms: it waits {standing.factor:.2f} times as long"
    )


@request_gates.register("capacity")
def _explain_capacity(run: DryRun) -> str | None:
    if not run.is_admitted or run.service is None:
        return None
    now_ms = run.parts.clock.now_ms()
    capacity = run.parts.observe_capacity(run.service, now_ms)
    return (
        f"{capacity.ready_count} endpoints with {capacity.slots} slots, "
        f"{capacity.work_ms_per_s:.0f} ms of work/s, "
        f"{capacity.lasting_share:.2f} of that of the last seconds"
    )


@endpoint_gates.register("regions")
def _explain_regions(
    run: DryRun, endpoints: tuple[Endpoint, ...], now_ms: int
) -> tuple[str, dict[str, str]]:
    allowed = run.allowed_regions()
    if allowed is None:
        return "all are allowed", {}
    kept = run.parts.region_gate.allowed_endpoints(endpoints, allowed)
    left_out = {
        e.id: f"{e.zone} is in no allowed region" for e in endpoints if e not in kept
    }
    return f"allowed: {', '.join(sorted(allowed)) or 'none'}", left_out


@endpoint_gates.register("evacuation")
def _explain_evacuation(
    run: DryRun, endpoints: tuple[Endpoint, ...], now_ms: int
) -> tuple[str, dict[str, str]]:
    zones = run.parts.evacuations.zones
    left_out = {e.id: f"{e.zone} is evacuated" for e in endpoints if e.zone in zones}
    return f"evacuated: {', '.join(sorted(zones)) or 'none'}", left_out


@endpoint_gates.register("leaving")
def _explain_leaving(
    run: DryRun, endpoints: tuple[Endpoint, ...], now_ms: int
) -> tuple[str, dict[str, str]]:
    left_out = {e.id: "it is leaving" for e in endpoints if e.is_draining}
    return f"{len(left_out)} of {len(endpoints)} are leaving", left_out


@endpoint_gates.register("rollout")
def _explain_rollout(
    run: DryRun, endpoints: tuple[Endpoint, ...], now_ms: int
) -> tuple[str, dict[str, str]]:
    assert run.service is not None
    eligible = {e.id for e in run.eligible_endpoints()}
    left_out = {
        e.id: f"version {e.version} is not drawn"
        for e in endpoints
        if e.id not in eligible
    }
    if not run.parts.rollouts.is_in_progress(run.service.id):
        return "none in progress", left_out
    return "in progress; requests are split between versions", left_out


@endpoint_gates.register("links")
def _explain_links(
    run: DryRun, endpoints: tuple[Endpoint, ...], now_ms: int
) -> tuple[str, dict[str, str]]:
    links = run.parts.links
    linked = {e.id for e in run.linked_endpoints(endpoints)}
    left_out = {
        e.id: "its link is lost" if links.is_lost(e.id) else "its link is presumed lost"
        for e in endpoints
        if e.id not in linked
    }
    cut = "; this instance is presumably cut off" if links.is_cut_off() else ""
    return f"{links.lost_count} links are lost{cut}", left_out


@endpoint_gates.register("pauses")
def _explain_pauses(
    run: DryRun, endpoints: tuple[Endpoint, ...], now_ms: int
) -> tuple[str, dict[str, str]]:
    waits_ms = {e.id: run.parts.pauses.wait_ms(e.id, now_ms) for e in endpoints}
    left_out = _excluded(waits_ms, "it wants a pause")
    return f"{len(left_out)} want a pause of this instance", left_out


@endpoint_gates.register("rates")
def _explain_rates(
    run: DryRun, endpoints: tuple[Endpoint, ...], now_ms: int
) -> tuple[str, dict[str, str]]:
    limits = run.parts.rate_limits
    waits_ms = {e.id: limits.wait_ms(e.id, now_ms) for e in endpoints}
    left_out = _excluded(waits_ms, "it is at its rate limit")
    return f"{limits.limited_count()} endpoints name a rate limit", left_out


@endpoint_gates.register("cold")
def _explain_cold(
    run: DryRun, endpoints: tuple[Endpoint, ...], now_ms: int
) -> tuple[str, dict[str, str]]:
    cold = run.parts.cold
    waits_ms = {e.id: cold.wait_ms(e, now_ms) for e in endpoints}
    left_out = _excluded(waits_ms, "it is cold and bears no more")
    count = len(cold.cold_ids(endpoints, now_ms))
    says = f"{count} of {len(endpoints)} are cold"
    if count and run.service is not None:
        says += f" and bear {run.service.cold_per_s:g} requests/s each"
    return says, left_out


@endpoint_gates.register("brittle")
def _explain_brittle(
    run: DryRun, endpoints: tuple[Endpoint, ...], now_ms: int
) -> tuple[str, dict[str, str]]:
    assert run.service is not None
    gate, brittle = run.parts.gate, run.parts.brittle
    left_out = {
        e.id: "it has no room" for e in endpoints if not gate.has_room(e, now_ms)
    }
    per_s = brittle.refusals_per_s(run.service.id, now_ms)
    if per_s is None:
        return "the service's endpoints are not brittle", left_out
    return f"endpoints bear {per_s:g} refusals/s", left_out


def _excluded(waits_ms: dict, reason: str) -> dict[str, str]:
    """Return why endpoints are left out that have to wait, and until when."""
    return {
        endpoint: f"{reason}, no share of it here"
        if math.isinf(wait_ms)
        else f"{reason}, for {wait_ms:.0f} ms"
        for endpoint, wait_ms in waits_ms.items()
        if wait_ms > 0
    }
