"""Predicted time to first token and to completion at one endpoint.

A load report lags, so it is corrected: prompt tokens this daemon sent since
are added, what the engine prefilled since is taken off, and what other
daemons will have sent since is estimated from this daemon's own traffic.
"""

from __future__ import annotations

import msgspec

from ..ids import EndpointId, ZoneId
from .view import EndpointView, FleetView

DEFAULT_PREFILL_TOKENS_PER_S = 4_000.0
DEFAULT_DECODE_MS_PER_TOKEN = 30.0
DEFAULT_MAX_RUNNING = 32
DEFAULT_SERVICE_TIME_MS = 50.0
KV_FULL_RATIO = 0.95


class Prediction(msgspec.Struct, frozen=True):
    """What is expected of one endpoint, and from what.

    Attributes
    ----------
    first_token_ms, completion_ms : float
        Expected from now to the first token and to the whole answer.
    queue_ms : float
        Wait before prefill, part of both.
    cached_tokens : int
        Prompt tokens taken to be in the endpoint's prefix cache.
    queued_tokens, peer_tokens : float
        Prompt tokens ahead, of which expected from other daemons unseen.
    own_requests : int
        Own attempts in progress there.
    report_age_ms : int or None
        Age of the load report; ``None`` without one.
    """

    endpoint: EndpointId
    zone: ZoneId
    first_token_ms: float
    completion_ms: float
    queue_ms: float = 0.0
    cached_tokens: int = 0
    queued_tokens: float = 0.0
    peer_tokens: float = 0.0
    own_requests: int = 0
    report_age_ms: int | None = None


def expected_peer_requests(
    view: EndpointView, fleet: FleetView, endpoints: int, now_ms: int
) -> float:
    """Return how many requests other daemons sent there since the report.

    A daemon's count is taken as Poisson with an exponential prior whose mean
    is an even spread of this daemon's own rate; the own count to this
    endpoint is the one observation, since peers see the same report.
    """
    if not fleet.peers:
        return 0.0
    age_ms = max(0, now_ms - view.measured_ms)
    rate = fleet.traffic_of(view.service).requests_per_ms(now_ms)
    mean = rate * age_ms / max(1, endpoints)
    if mean <= 0.0:
        return 0.0
    return fleet.peers * (1.0 + view.sent_total) / (1.0 + 1.0 / mean)


def predict_model(
    view: EndpointView,
    fleet: FleetView,
    endpoints: int,
    prompt_tokens: int,
    cached_tokens: int,
    max_tokens: int,
    now_ms: int,
) -> Prediction:
    """Predict a generation at a worker of a model engine.

    ``endpoints`` is how many share the traffic, ``cached_tokens`` the part of
    ``prompt_tokens`` that the worker is taken to have cached.
    """
    report = view.report
    traffic = fleet.traffic_of(view.service)
    tokens_per_ms = DEFAULT_PREFILL_TOKENS_PER_S / 1_000
    decode_ms = DEFAULT_DECODE_MS_PER_TOKEN
    max_running = DEFAULT_MAX_RUNNING
    reported_tokens = 0
    reported_requests = 0
    age_ms = None
    if report is not None:
        age_ms = now_ms - view.measured_ms
        if report.prefill_tokens_per_s > 0:
            tokens_per_ms = report.prefill_tokens_per_s / 1_000
        if report.decode_ms_per_token > 0:
            decode_ms = report.decode_ms_per_token
        max_running = max(1, report.max_running)
        reported_tokens = report.waiting_tokens
        reported_requests = report.running + report.waiting
    peer_requests = expected_peer_requests(view, fleet, endpoints, now_ms)
    peer_tokens = peer_requests * traffic.prompt_tokens
    drained = tokens_per_ms * (age_ms or 0)
    queued = reported_tokens + view.sent_tokens + peer_tokens - drained
    own_drained = tokens_per_ms * max(0, now_ms - view.progress_ms)
    queued = max(queued, view.pending_tokens - own_drained, 0.0)

    output_tokens = min(float(max_tokens), traffic.output_tokens)
    answer_ms = decode_ms * output_tokens
    requests = reported_requests + view.sent_requests + peer_requests
    requests = max(requests - view.gone_requests, float(len(view.attempts)))
    full = requests >= max_running
    if report is not None and report.kv_used_ratio >= KV_FULL_RATIO:
        full = True
    slot_ms = 0.0
    if full:
        slot_ms = (max(0.0, requests - max_running) + 1) * answer_ms / max_running
    queue_ms = max(queued / tokens_per_ms, slot_ms)
    uncached = max(1, prompt_tokens - cached_tokens)
    first_ms = queue_ms + uncached / tokens_per_ms
    return Prediction(
        view.id,
        view.zone,
        first_ms,
        first_ms + answer_ms,
        queue_ms,
        cached_tokens,
        queued,
        peer_tokens,
        len(view.attempts),
        age_ms,
    )


def predict_plain(view: EndpointView) -> Prediction:
    """Predict a call of a plain service from its service time of late.

    The moving average already holds the usual queueing, so it is scaled by
    the attempts in progress over the usual number of them.
    """
    usual_ms = view.service_time_ms
    if usual_ms is None:
        usual_ms = DEFAULT_SERVICE_TIME_MS
    in_flight = len(view.attempts)
    took_ms = usual_ms * (1.0 + in_flight) / (1.0 + view.usual_in_flight)
    return Prediction(
        view.id,
        view.zone,
        took_ms,
        took_ms,
        max(0.0, took_ms - usual_ms),
        own_requests=in_flight,
    )
