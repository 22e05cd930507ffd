"""Predicted time to first token and to completion at one endpoint.

A load report lags, so it is corrected: prompt tokens this daemon sent since
are added, what the engine prefilled since is taken off, and what other
daemons will have sent since is estimated from this daemon's own traffic.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..ids import EndpointId, ZoneId
from .view import EndpointView, FleetView

DEFAULT_PREFILL_TOKENS_PER_S = 4_000.0
DEFAULT_DECODE_MS_PER_TOKEN = 30.0
DEFAULT_SERVICE_TIME_MS = 50.0
KV_FULL_RATIO = 0.95


class Prediction(msgspec.Struct, frozen=True, gc=False):
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


def backlog_tokens(view: EndpointView, now_ms: int) -> float:
    """Return the prompt tokens queued there, but for what peers sent unseen.

    Negative is what the worker could have prefilled besides since its report.
    """
    report = view.report
    if report is None:
        return float(view.sent_tokens)
    drained = prefill_tokens_per_ms(view) * (now_ms - view.measured_ms)
    return report.waiting_tokens + view.sent_tokens - drained


def prefill_tokens_per_ms(view: EndpointView) -> float:
    """Return the prefill speed of late."""
    report = view.report
    if report is None or report.prefill_tokens_per_s <= 0:
        return DEFAULT_PREFILL_TOKENS_PER_S / 1_000
    return report.prefill_tokens_per_s / 1_000


def expected_peer_tokens(
    view: EndpointView, fleet: FleetView, endpoints: int, now_ms: int
) -> float:
    """Return an even share of what other daemons sent since the report.

    Callers are spread evenly over daemons, so each is taken to send at this
    daemon's own rate.
    """
    if not fleet.peers:
        return 0.0
    traffic = fleet.traffic_of(view.service)
    age_ms = max(0, now_ms - view.measured_ms)
    requests = fleet.peers * traffic.requests_per_ms(now_ms) * age_ms
    return requests * traffic.prompt_tokens / max(1, endpoints)


def fill_lowest(levels: Sequence[float], amount: float) -> list[float]:
    """Split ``amount`` so that the lowest levels are raised to one height.

    Peers see the same reports and also prefer short queues, so what they sent
    unseen is taken to have gone there first.
    """
    fills = [0.0] * len(levels)
    if amount <= 0.0 or not levels:
        return fills
    order = sorted(levels)
    total = 0.0
    height = order[0]
    for count, level in enumerate(order, start=1):
        total += level
        height = (total + amount) / count
        if count == len(order) or height <= order[count]:
            break
    return [max(0.0, height - level) for level in levels]


def predict_model(
    view: EndpointView,
    fleet: FleetView,
    prompt_tokens: int,
    cached_tokens: int,
    max_tokens: int,
    peer_tokens: float,
    now_ms: int,
    backlog: float | None = None,
) -> Prediction:
    """Predict a generation at a worker of a model engine.

    ``cached_tokens`` is the part of ``prompt_tokens`` that the worker is taken
    to have cached, ``peer_tokens`` what other daemons sent it unseen,
    ``backlog`` the result of `backlog_tokens` if it is known.
    """
    traffic = fleet.traffic_of(view.service)
    tokens_per_ms = prefill_tokens_per_ms(view)
    if backlog is None:
        backlog = backlog_tokens(view, now_ms)
    queued = backlog + peer_tokens
    own_drained = tokens_per_ms * max(0, now_ms - view.progress_ms)
    queued = max(queued, view.pending_tokens - own_drained, 0.0)
    answer_ms = _decode_ms(view) * min(float(max_tokens), traffic.output_tokens)
    peer_requests = peer_tokens / max(1.0, traffic.prompt_tokens)
    slot_ms = _slot_wait_ms(view, peer_requests, answer_ms)
    queue_ms = max(queued / tokens_per_ms, slot_ms)
    first_ms = queue_ms + max(1, prompt_tokens - cached_tokens) / tokens_per_ms
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
        None if view.report is None else now_ms - view.measured_ms,
    )


def _decode_ms(view: EndpointView) -> float:
    report = view.report
    if report is None or report.decode_ms_per_token <= 0:
        return DEFAULT_DECODE_MS_PER_TOKEN
    return report.decode_ms_per_token


def _slot_wait_ms(view: EndpointView, peer_requests: float, answer_ms: float) -> float:
    """Return the wait for a place in the batch or in the KV cache."""
    report = view.report
    if report is None:
        return 0.0
    max_running = max(1, report.max_running)
    requests = report.running + report.waiting + view.sent_requests + peer_requests
    requests = max(requests - view.gone_requests, float(len(view.attempts)))
    if requests < max_running and report.kv_used_ratio < KV_FULL_RATIO:
        return 0.0
    return (max(0.0, requests - max_running) + 1) * answer_ms / max_running


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
