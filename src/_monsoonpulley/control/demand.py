"""Demand of a service in a data centre, estimated from counts of its requests.

Requests usually arrive in short bursts, so the estimate is a high quantile of short
windows rather than their mean. It is raised by the trend over the time that new
capacity takes to start.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum

import msgspec

MS_PER_S = 1_000


class DemandUnit(Enum):
    """Unit in which the work of a service is counted."""

    TOKENS = "tokens"
    REQUESTS = "requests"


class DemandWindow(msgspec.Struct, frozen=True):
    """Requests of a service at all entry instances of a data centre in a window.

    Attributes
    ----------
    start_ms : int
        Start of the window, by the clock of the reader.
    requests, tokens : int
        Requests that arrived and their tokens, including refused ones.
    refused_count : int
        Requests refused for lack of capacity.
    predicted_late_count : int
        Requests accepted although their predicted time exceeded the target.
    """

    start_ms: int
    requests: int
    tokens: int
    refused_count: int = 0
    predicted_late_count: int = 0


class DemandSettings(msgspec.Struct, frozen=True):
    """Settings of the demand estimate.

    Attributes
    ----------
    window_ms, horizon_ms : int
        Length of a window, and the age up to which windows count.
    quantile : float
        Share of the windows whose demand the estimate covers, 0 to 1.
    max_trend_ratio : float
        Limit of the trend, relative to the quantile of the newer windows.
    shortage_weight : float
        Relative increase of the estimate when all recent requests were refused
        or predicted late. Refused callers often do not retry, so that arrivals
        understate the demand.
    recent_ms : int
        Age up to which windows count as recent.
    """

    window_ms: int = 10_000
    horizon_ms: int = 1_800_000
    quantile: float = 0.95
    max_trend_ratio: float = 0.5
    shortage_weight: float = 0.5
    recent_ms: int = 60_000


class DemandEstimate(msgspec.Struct, frozen=True):
    """Demand to plan for, with the figures that it was computed from.

    Attributes
    ----------
    units_per_s : float
        Rate to plan for, in tokens or requests a second.
    quantile_per_s, mean_per_s : float
        Quantile and mean of the windows.
    trend_per_s : float
        Increase expected within the lead time.
    shortage_ratio : float
        Share of the recent requests that were refused or predicted late.
    windows : int
        Number of windows that counted.
    """

    units_per_s: float
    quantile_per_s: float = 0.0
    mean_per_s: float = 0.0
    trend_per_s: float = 0.0
    shortage_ratio: float = 0.0
    windows: int = 0


class DemandHistory:
    """Windows of one service in one data centre, oldest first.

    Parameters
    ----------
    settings : DemandSettings
        Settings of the estimate.
    """

    def __init__(self, settings: DemandSettings):
        self._settings = settings
        self._windows: list[DemandWindow] = []

    def add(self, window: DemandWindow) -> None:
        """Add a window that has ended, and drop those past the horizon."""
        oldest_ms = window.start_ms - self._settings.horizon_ms
        kept = [each for each in self._windows if each.start_ms > oldest_ms]
        self._windows = [*kept, window]

    def estimate(
        self, now_ms: int, lead_ms: int, unit: DemandUnit = DemandUnit.TOKENS
    ) -> DemandEstimate:
        """Return the demand to plan for, ``lead_ms`` from now."""
        return estimate(self._windows, now_ms, lead_ms, self._settings, unit)


def estimate(
    windows: Sequence[DemandWindow],
    now_ms: int,
    lead_ms: int,
    settings: DemandSettings,
    unit: DemandUnit = DemandUnit.TOKENS,
) -> DemandEstimate:
    """Return the demand to plan for, ``lead_ms`` from now."""
    oldest_ms = now_ms - settings.horizon_ms
    counted_windows = [each for each in windows if each.start_ms >= oldest_ms]
    if not counted_windows:
        return DemandEstimate(0.0)
    rates = [_rate_per_s(each, settings.window_ms, unit) for each in counted_windows]
    level = quantile(rates, settings.quantile)
    trend = _trend_per_s(counted_windows, rates, now_ms, lead_ms, settings)
    shortage = _shortage_ratio(counted_windows, now_ms, settings)
    return DemandEstimate(
        units_per_s=(level + trend) * (1 + settings.shortage_weight * shortage),
        quantile_per_s=level,
        mean_per_s=sum(rates) / len(rates),
        trend_per_s=trend,
        shortage_ratio=shortage,
        windows=len(counted_windows),
    )


def quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that is no lower than ``share`` of all values."""
    ordered = sorted(values)
    index = math.ceil(share * len(ordered)) - 1
    return ordered[max(0, min(index, len(ordered) - 1))]


def _rate_per_s(window: DemandWindow, window_ms: int, unit: DemandUnit) -> float:
    count = window.tokens if unit is DemandUnit.TOKENS else window.requests
    return count * MS_PER_S / window_ms


def _trend_per_s(
    windows: Sequence[DemandWindow],
    rates: Sequence[float],
    now_ms: int,
    lead_ms: int,
    settings: DemandSettings,
) -> float:
    """Return the increase expected within the lead time; 0 if demand falls.

    It compares quantiles of the older and the newer half of the time, so that one
    burst among many windows does not count as a trend.
    """
    span_ms = now_ms - windows[0].start_ms
    middle_ms = now_ms - span_ms / 2
    pairs = list(zip(windows, rates, strict=True))
    older = [rate for window, rate in pairs if window.start_ms < middle_ms]
    newer = [rate for window, rate in pairs if window.start_ms >= middle_ms]
    if not older or not newer:
        return 0.0
    newer_quantile = quantile(newer, settings.quantile)
    increase = newer_quantile - quantile(older, settings.quantile)
    expected = max(0.0, increase) * lead_ms / (span_ms / 2)
    return min(expected, settings.max_trend_ratio * newer_quantile)


def _shortage_ratio(
    windows: Sequence[DemandWindow], now_ms: int, settings: DemandSettings
) -> float:
    oldest_ms = now_ms - settings.recent_ms
    recent = [each for each in windows if each.start_ms >= oldest_ms]
    requests = sum(each.requests for each in recent)
    short_count = sum(each.refused_count + each.predicted_late_count for each in recent)
    return min(1.0, short_count / requests) if requests else 0.0
