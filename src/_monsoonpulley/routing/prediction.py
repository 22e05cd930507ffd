"""Predicted time to first token and to completion at one endpoint.

A load report lags, so it is corrected for the time since: prompt tokens that this
entry instance sent are added, tokens that the engine prefilled are subtracted, and
what other instances sent is estimated from this instance's own traffic.
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
"""Share of the KV cache in use from which new requests wait for space."""


class Prediction(msgspec.Struct, frozen=True, gc=False):
    """Predicted times at one endpoint, with the values behind them.

    Attributes
    ----------
    first_token_ms, completion_ms : float
        Predicted time from now to the first token and to the complete answer.
    queue_ms : float
        Queue wait before prefill, part of both.
    cached_tokens : int
        Prompt tokens assumed to be in the endpoint's prefix cache.
    queued_tokens, peer_tokens : float
        Prompt tokens queued ahead, and those of them that other entry instances
        are estimated to have sent since the report.
    own_requests : int
        This instance's attempts in progress there.
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
    """Return the queued prompt tokens, excluding what peers sent since the report.

    A negative result is prefill capacity left unused since the report.
    """
    report = view.report
    if report is None:
        return float(view.unreported_tokens)
    prefilled_tokens = prefill_tokens_per_ms(view) * (now_ms - view.measured_ms)
    return report.waiting_tokens + view.unreported_tokens - prefilled_tokens


def prefill_tokens_per_ms(view: EndpointView) -> float:
    """Return the reported prefill speed, or a default."""
    report = view.report
    if report is None or report.prefill_tokens_per_s <= 0:
        return DEFAULT_PREFILL_TOKENS_PER_S / 1_000
    return report.prefill_tokens_per_s / 1_000


def expected_peer_tokens(
    view: EndpointView, fleet: FleetView, endpoint_count: int, now_ms: int
) -> float:
    """Return an even share of what other instances sent since the report.

    Callers are spread evenly over entry instances, so each instance is assumed
    to send at this one's rate.
    """
    if not fleet.peer_count:
        return 0.0
    traffic = fleet.traffic_of(view.service)
    age_ms = max(0, now_ms - view.measured_ms)
    requests = fleet.peer_count * traffic.requests_per_ms(now_ms) * age_ms
    return requests * traffic.mean_prompt_tokens / max(1, endpoint_count)


def water_fill(levels: Sequence[float], amount: float) -> list[float]:
    """Split ``amount`` so that the lowest levels are raised to a common level.

    Peers see the same reports and also prefer short queues, so their unreported
    requests are assumed to have gone there first.
    """
    shares = [0.0] * len(levels)
    if amount <= 0.0 or not levels:
        return shares
    sorted_levels = sorted(levels)
    total = 0.0
    water_level = sorted_levels[0]
    for count, level in enumerate(sorted_levels, start=1):
        total += level
        water_level = (total + amount) / count
        if count == len(sorted_levels) or water_level <= sorted_levels[count]:
            break
    return [max(0.0, water_level - level) for level in levels]


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
    """Predict a generation at an engine.

    ``cached_tokens`` is the part of ``prompt_tokens`` that the engine is assumed
    to have cached, ``peer_tokens`` what other entry instances are estimated to
    have sent it since its report, ``backlog`` the result of `backlog_tokens` if
    already computed.
    """
    traffic = fleet.traffic_of(view.service)
    tokens_per_ms = prefill_tokens_per_ms(view)
    if backlog is None:
        backlog = backlog_tokens(view, now_ms)
    queued_tokens = backlog + peer_tokens
    own_prefilled_tokens = tokens_per_ms * max(0, now_ms - view.last_progress_ms)
    queued_tokens = max(
        queued_tokens, view.tokens_to_prefill - own_prefilled_tokens, 0.0
    )
    answer_ms = _decode_ms_per_token(view) * min(
        float(max_tokens), traffic.mean_output_tokens
    )
    peer_requests = peer_tokens / max(1.0, traffic.mean_prompt_tokens)
    slot_wait_ms = _slot_wait_ms(view, peer_requests, answer_ms)
    queue_ms = max(queued_tokens / tokens_per_ms, slot_wait_ms)
    first_ms = queue_ms + max(1, prompt_tokens - cached_tokens) / tokens_per_ms
    return Prediction(
        view.id,
        view.zone,
        first_ms,
        first_ms + answer_ms,
        queue_ms,
        cached_tokens,
        queued_tokens,
        peer_tokens,
        len(view.attempts),
        None if view.report is None else now_ms - view.measured_ms,
    )


def _decode_ms_per_token(view: EndpointView) -> float:
    report = view.report
    if report is None or report.decode_ms_per_token <= 0:
        return DEFAULT_DECODE_MS_PER_TOKEN
    return report.decode_ms_per_token


def _slot_wait_ms(view: EndpointView, peer_requests: float, answer_ms: float) -> float:
    """Return the wait for a batch slot or for space in the KV cache."""
    report = view.report
    if report is None:
        return 0.0
    max_running = max(1, report.max_running)
    requests = (
        report.running + report.waiting + view.unreported_requests + peer_requests
    )
    requests = max(requests - view.ended_requests, float(len(view.attempts)))
    if requests < max_running and report.kv_used_ratio < KV_FULL_RATIO:
        return 0.0
    return (max(0.0, requests - max_running) + 1) * answer_ms / max_running


def predict_plain(view: EndpointView) -> Prediction:
    """Predict a call of a plain service from its mean service time.

    The moving average already includes the usual queueing, so it is scaled by
    the ratio of attempts in progress to their mean number.
    """
    mean_ms = view.mean_service_time_ms
    if mean_ms is None:
        mean_ms = DEFAULT_SERVICE_TIME_MS
    in_flight = len(view.attempts)
    predicted_ms = mean_ms * (1.0 + in_flight) / (1.0 + view.mean_in_flight)
    return Prediction(
        view.id,
        view.zone,
        predicted_ms,
        predicted_ms,
        max(0.0, predicted_ms - mean_ms),
        own_requests=in_flight,
    )
