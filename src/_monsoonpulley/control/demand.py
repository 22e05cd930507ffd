"""Demand of a service in a data centre, estimated from what daemons saw.

Requests arrive in short bursts as a rule. The estimate
is a high quantile of short windows, not their mean, raised by the trend over the
time that new capacity takes to come.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum

import msgspec

MS_PER_S = 1_000


class DemandUnit(Enum):
    """What the work of a service is counted in."""

    TOKENS = "tokens"
    REQUESTS = "requests"


class DemandWindow(msgspec.Struct, frozen=True):
    """What all daemons of a data centre saw of a service in one short window.

    Attributes
    ----------
    start_ms : int
        Begin of the window, on the clock of the reader.
    requests, tokens : int
        Arrivals, refused ones included.
    refused : int
        Requests refused for lack of capacity.
    predicted_late : int
        Requests accepted although their prediction missed the target.
    """

    start_ms: int
    requests: int
    tokens: int
    refused_count: int = 0
    predicted_late_count: int = 0


class DemandSettings(msgspec.Struct, frozen=True):
    """How demand is estimated.

    Attributes
    ----------
    window_ms, horizon_ms : int
        Length of a window, and how far back windows count.
    quantile : float
        Share of the windows that the estimate covers, 0 to 1.
    longest_trend_ratio : float
        Most by which the trend raises the quantile.
    short_weight : float
        How much more is planned for when all requests of the newest windows
        were refused or predicted late; refused callers often stay away, so the
        arrivals then say too little.
    recent_ms : int
        How far back the newest windows reach.
    """

    window_ms: int = 10_000
    horizon_ms: int = 1_800_000
    quantile: float = 0.95
    max_trend_ratio: float = 0.5
    shortage_weight: float = 0.5
    recent_ms: int = 60_000


class DemandEstimate(msgspec.Struct, frozen=True):
    """Demand to plan for, with what it was worked out from.

    Attributes
    ----------
    units_per_s : float
        Rate to plan for, in tokens or requests a second.
    quantile_per_s, mean_per_s : float
        Quantile and mean of the windows.
    trend_per_s : float
        What the trend adds over the lead time.
    short_ratio : float
        Share of the newest requests that were refused or predicted late.
    windows : int
        How many windows counted.
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
        How demand is estimated.
    """

    def __init__(self, settings: DemandSettings):
        self._settings = settings
        self._windows: list[DemandWindow] = []

    def add(self, window: DemandWindow) -> None:
        """Take in a window that ended; those past the horizon are dropped."""
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
    used = [each for each in windows if each.start_ms >= oldest_ms]
    if not used:
        return DemandEstimate(0.0)
    rates = [_rate_per_s(each, settings.window_ms, unit) for each in used]
    level = quantile(rates, settings.quantile)
    trend = _trend_per_s(used, rates, now_ms, lead_ms, settings)
    short = _shortage_ratio(used, now_ms, settings)
    return DemandEstimate(
        units_per_s=(level + trend) * (1 + settings.shortage_weight * short),
        quantile_per_s=level,
        mean_per_s=sum(rates) / len(rates),
        trend_per_s=trend,
        shortage_ratio=short,
        windows=len(used),
    )


def quantile(values: Sequence[float], share: float) -> float:
    """Return the least value that is no lower than ``share`` of all."""
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
    """Return the rise to expect within the lead time; a fall counts as none.

    The quantiles of the older and the newer half are compared, so that one burst
    among many windows is no trend.
    """
    span_ms = now_ms - windows[0].start_ms
    middle_ms = now_ms - span_ms / 2
    pairs = list(zip(windows, rates, strict=True))
    older = [rate for window, rate in pairs if window.start_ms < middle_ms]
    newer = [rate for window, rate in pairs if window.start_ms >= middle_ms]
    if not older or not newer:
        return 0.0
    high = quantile(newer, settings.quantile)
    rise = high - quantile(older, settings.quantile)
    expected = max(0.0, rise) * lead_ms / (span_ms / 2)
    return min(expected, settings.max_trend_ratio * high)


def _shortage_ratio(
    windows: Sequence[DemandWindow], now_ms: int, settings: DemandSettings
) -> float:
    oldest_ms = now_ms - settings.recent_ms
    recent = [each for each in windows if each.start_ms >= oldest_ms]
    requests = sum(each.requests for each in recent)
    short = sum(each.refused_count + each.predicted_late_count for each in recent)
    return min(1.0, short / requests) if requests else 0.0
