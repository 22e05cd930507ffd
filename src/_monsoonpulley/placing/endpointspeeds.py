"""Speeds of single endpoints, learned from their answers and shared in digests.

Endpoints of one service may run on different machines. What each of them does without
waiting shows in its fastest answers: the others wait for prompts of which digests don't
tell yet, or fall into a short slow spell. The speed of an endpoint is therefore a low
quantile of its samples, and these are spread over many seconds. Estimates are shrunk
to the mean of the service's endpoints by their errors, and count only while the
endpoints differ by more than these.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from enum import IntEnum
from itertools import islice

import msgspec

from ..ids import EndpointId

QUANTILE = 0.25
"""Quantile of the samples that counts as the time without waiting: engines prefill for
less than two thirds of the time that capacity is planned for."""

SPREAD_QUANTILES = (0.1, 0.4)
"""Quantiles around it whose distance tells the error of the estimate."""

MAX_SAMPLES = 32
SAMPLE_INTERVAL_MS = 500
"""Samples of an endpoint, and least time between two of them: they cover 16 s, so that
a spell of 600 ms touches two of them and moves no quantile."""

SAMPLE_EXPIRY_MS = 60_000
"""Then an endpoint that gets no requests is tried again as if it were like others."""

MIN_SAMPLES = 4
"""With fewer samples, an endpoint counts as equal to the others."""

MIN_ERROR = 0.03
"""Least error of the logarithm of a speed: that of times in whole milliseconds."""

MIN_SPREAD = 0.15
"""Endpoints whose speeds vary by less count as equal: nine of ten predicted times are
off by more."""

SIGNIFICANCE = 3.0
"""Standard deviations by which the differences exceed chance before they count."""

MAX_STEP_GROWTH = 0.05
"""Bound of the growth of the time of a step by each further request, as a share."""

MIN_PREFILL_KILOTOKENS = 1.0
"""With fewer tokens ahead, the time to a first event tells little about prefill."""

MIN_GAPS, MAX_GAPS = 3, 64
"""Gaps between a stream's events of which its time for a step is computed."""

MAX_OUTBOX = 4
"""Bound on the samples in a digest: about 70 bytes. With 65 instances and 45 endpoints
each aspect of an endpoint still gets several samples in two seconds."""


class Aspect(IntEnum):
    """What a sample measures."""

    PREFILL = 0
    """Time to the first event for each 1,000 tokens ahead."""
    STEP = 1
    """Time between two events of a stream."""
    PLAIN = 2
    """Time to the answer of a plain service."""


class SpeedSample(msgspec.Struct, array_like=True, frozen=True):
    """One sample, as in digests.

    Attributes
    ----------
    running_count : int
        Requests at the endpoint.
    value_us : int
        What `Aspect` says, in microseconds.
    """

    endpoint: str
    aspect: int
    running_count: int
    value_us: int


class EndpointSpeed(msgspec.Struct, frozen=True):
    """Times of one endpoint without waiting, next to those of its service.

    Attributes
    ----------
    prefill_ms, mean_prefill_ms : float
        Time to prefill 1,000 tokens here, and on average at the service's endpoints.
    event_ms : float
        Time between two events of a stream that runs alone.
    step_growth : float
        Relative growth of this time with each further request.
    prefill_factor, step_factor, plain_factor : float
        Time here relative to the mean; 1 if they don't differ.
    """

    prefill_ms: float
    mean_prefill_ms: float
    event_ms: float
    step_growth: float
    prefill_factor: float
    step_factor: float
    plain_factor: float

    def gap_ms(self, running_count: int) -> float:
        """Return the time between two events while so many requests run."""
        return self.event_ms * math.exp(self.step_growth * running_count)


class _Samples:
    """Samples of one aspect of one endpoint, and what they say."""

    def __init__(self) -> None:
        self.values: deque[tuple[int, float, int]] = deque(maxlen=MAX_SAMPLES)
        """Running requests, logarithm of the value, and time."""
        self.last_ms = -SAMPLE_INTERVAL_MS

    def add(self, running_count: int, value_us: int, now_ms: int) -> None:
        if now_ms - self.last_ms >= SAMPLE_INTERVAL_MS:
            self.last_ms = now_ms
            self.values.append((running_count, math.log(value_us), now_ms))

    def expire(self, now_ms: int) -> None:
        while self.values and now_ms - self.values[0][2] > SAMPLE_EXPIRY_MS:
            self.values.popleft()

    def estimate(self, growth: float) -> tuple[float, float] | None:
        """Return the logarithm of the time for one request alone, and its error."""
        count = len(self.values)
        if count < MIN_SAMPLES:
            return None
        logs = sorted(value - growth * running for running, value, _ in self.values)
        low, high = (_quantile(logs, share) for share in SPREAD_QUANTILES)
        width = SPREAD_QUANTILES[1] - SPREAD_QUANTILES[0]
        # The error of a quantile is sqrt(q (1 - q) / n) over the density there.
        error = math.sqrt(QUANTILE * (1 - QUANTILE) / count) * (high - low) / width
        return _quantile(logs, QUANTILE), max(MIN_ERROR, error)


class _Spread(msgspec.Struct, frozen=True):
    """Estimates of the endpoints of a service, shrunk to their mean.

    Attributes
    ----------
    mean : float
        Mean logarithm; ``nan`` without estimates.
    offsets : dict
        Differences of endpoints from the mean; empty if they are within their errors.
    """

    mean: float = math.nan
    offsets: dict[EndpointId, float] = {}


class EndpointSpeeds:
    """Speeds of the endpoints of all services."""

    def __init__(self) -> None:
        self._samples: dict[tuple[EndpointId, int], _Samples] = {}
        self._speeds: dict[EndpointId, EndpointSpeed] = {}
        self._outbox: dict[tuple[EndpointId, int], SpeedSample] = {}

    def record_first_event(
        self, endpoint: EndpointId, ahead_tokens: int, took_ms: float, now_ms: int
    ) -> None:
        """Record the time to a first event, with so many tokens to prefill ahead."""
        kilotokens = ahead_tokens / 1000
        if kilotokens >= MIN_PREFILL_KILOTOKENS:
            self._record(endpoint, Aspect.PREFILL, 0, took_ms / kilotokens, now_ms)

    def record_stream(
        self,
        endpoint: EndpointId,
        running_count: int,
        gaps_ms: list[float],
        now_ms: int,
    ) -> None:
        """Record the gaps between the events of a stream.

        A low one of them counts: others are longer by a chunk of a prompt.
        """
        if len(gaps_ms) >= MIN_GAPS:
            gap_ms = _quantile(sorted(gaps_ms), QUANTILE)
            self._record(endpoint, Aspect.STEP, running_count, gap_ms, now_ms)

    def record_answer(
        self, endpoint: EndpointId, load_factor: float, took_ms: float, now_ms: int
    ) -> None:
        """Record the answer of a plain service at an endpoint with some load."""
        self._record(endpoint, Aspect.PLAIN, 0, took_ms / load_factor, now_ms)

    def drain_outbox(self) -> tuple[SpeedSample, ...]:
        """Return samples of this instance that no digest had, the oldest ones first."""
        keys = list(islice(self._outbox, MAX_OUTBOX))
        return tuple(self._outbox.pop(key) for key in keys)

    def apply_peer(self, samples: Iterable[SpeedSample], now_ms: int) -> None:
        """Add the samples in a peer's digest."""
        for sample in samples:
            self._add(sample, now_ms)

    def remove(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that no longer exists."""
        self._speeds.pop(endpoint, None)
        for aspect in Aspect:
            self._samples.pop((endpoint, aspect), None)
            self._outbox.pop((endpoint, aspect), None)

    def expire(self, endpoints: Iterable[EndpointId], now_ms: int) -> None:
        """Forget old samples, and those of unknown endpoints once they are old."""
        known = set(endpoints)
        for key, samples in list(self._samples.items()):
            samples.expire(now_ms)
            if not samples.values and key[0] not in known:
                del self._samples[key]

    def refresh(self, endpoints: Iterable[EndpointId]) -> None:
        """Compute the speeds of the endpoints of one service from the samples."""
        ids = list(endpoints)
        growth = self._step_growth(ids)
        prefill = self._spread(ids, Aspect.PREFILL)
        step = self._spread(ids, Aspect.STEP, growth)
        plain = self._spread(ids, Aspect.PLAIN)
        is_even = not (prefill.offsets or step.offsets or plain.offsets)
        is_engine = not (math.isnan(prefill.mean) or math.isnan(step.mean))
        for endpoint in ids:
            if is_even or not (is_engine or plain.offsets):
                self._speeds.pop(endpoint, None)
                continue
            offsets = [s.offsets.get(endpoint, 0.0) for s in (prefill, step, plain)]
            prefill_ms = math.exp(prefill.mean) / 1000 if is_engine else 0.0
            event_ms = math.exp(step.mean) / 1000 if is_engine else 0.0
            self._speeds[endpoint] = EndpointSpeed(
                prefill_ms=prefill_ms * math.exp(offsets[0]),
                mean_prefill_ms=prefill_ms,
                event_ms=event_ms * math.exp(offsets[1]),
                step_growth=growth,
                prefill_factor=math.exp(offsets[0]),
                step_factor=math.exp(offsets[1]),
                plain_factor=math.exp(offsets[2]),
            )

    def speed(self, endpoint: EndpointId) -> EndpointSpeed | None:
        """Return the speed of an endpoint; None while its service's are alike."""
        return self._speeds.get(endpoint)

    def _record(
        self,
        endpoint: EndpointId,
        aspect: Aspect,
        running_count: int,
        value_ms: float,
        now_ms: int,
    ) -> None:
        value_us = max(1, round(1000 * value_ms))
        sample = SpeedSample(endpoint, aspect, running_count, value_us)
        self._add(sample, now_ms)
        self._outbox[(endpoint, aspect)] = sample

    def _add(self, sample: SpeedSample, now_ms: int) -> None:
        key = (EndpointId(sample.endpoint), sample.aspect)
        samples = self._samples.get(key)
        if samples is None:
            samples = self._samples[key] = _Samples()
        samples.add(sample.running_count, max(1, sample.value_us), now_ms)

    def _step_growth(self, endpoints: list[EndpointId]) -> float:
        """Return the growth of a step's time by requests, from within endpoints."""
        squares = products = 0.0
        for endpoint in endpoints:
            samples = self._samples.get((endpoint, Aspect.STEP))
            if samples is None or len(samples.values) < MIN_SAMPLES:
                continue
            count = len(samples.values)
            mean_n = sum(n for n, _, _ in samples.values) / count
            mean_y = sum(y for _, y, _ in samples.values) / count
            for n, y, _ in samples.values:
                squares += (n - mean_n) ** 2
                products += (n - mean_n) * (y - mean_y)
        return min(MAX_STEP_GROWTH, max(0.0, products / squares)) if squares else 0.0

    def _spread(
        self, endpoints: list[EndpointId], aspect: Aspect, growth: float = 0.0
    ) -> _Spread:
        estimates = {}
        for endpoint in endpoints:
            samples = self._samples.get((endpoint, aspect))
            estimate = samples.estimate(growth) if samples is not None else None
            if estimate is not None:
                estimates[endpoint] = estimate
        return _shrink(estimates)


def _shrink(estimates: dict[EndpointId, tuple[float, float]]) -> _Spread:
    """Return the estimates shrunk to their mean by their errors.

    The variance between the endpoints is what the estimates vary beyond their errors
    (DerSimonian and Laird 1986). It counts only where it is beyond chance.
    """
    if not estimates:
        return _Spread()
    weights = {e: 1 / error**2 for e, (_, error) in estimates.items()}
    total = sum(weights.values())
    mean = sum(weights[e] * x for e, (x, _) in estimates.items()) / total
    excess = sum(weights[e] * (x - mean) ** 2 for e, (x, _) in estimates.items())
    degrees = len(estimates) - 1
    excess -= degrees
    if degrees < 1 or excess <= SIGNIFICANCE * math.sqrt(2 * degrees):
        return _Spread(mean)
    scale = total - sum(w * w for w in weights.values()) / total
    variance = excess / scale
    if variance < MIN_SPREAD**2:
        return _Spread(mean)
    weights = {e: 1 / (error**2 + variance) for e, (_, error) in estimates.items()}
    total = sum(weights.values())
    mean = sum(weights[e] * x for e, (x, _) in estimates.items()) / total
    offsets = {
        e: (x - mean) * variance / (variance + error**2)
        for e, (x, error) in estimates.items()
    }
    return _Spread(mean, offsets)


def _quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values, interpolated."""
    position = share * (len(ordered) - 1)
    index = int(position)
    if index + 1 >= len(ordered):
        return ordered[index]
    part = position - index
    return ordered[index] * (1 - part) + ordered[index + 1] * part
