"""Model of a service's engines, learned from their answers.

The time to the first event is fitted as a linear function of the prompt tokens that
the engine prefills first, by weighted least squares of the relative error. Beyond that,
a request waits while an engine has no free slot or no memory; the model learns for how
long requests occupy both.
"""

from __future__ import annotations

import msgspec

from ..fleet.model import EngineSpec
from .loadboard import Load
from .sharedsums import SharedSums

PRIOR_BASE_MS = 60.0
PRIOR_MS_PER_KILOTOKEN = 20.0
"""Assumed before there are answers: a first event after 60 ms on an idle engine, and
20 ms more for each 1,000 tokens."""

PRIOR_KILOTOKENS = 2.0
"""Kilotokens at which the prior counts as observed."""

PRIOR_WEIGHT = 5.0
"""Number of answers that have as much weight as the prior."""

PRIOR_OCCUPANCY_MS = 800.0
PRIOR_HELD_TOKENS = 4_000.0
"""Assumed time for which a request occupies a slot, and tokens that it holds."""

MIN_BASE_MS, MAX_BASE_MS = 5.0, 1_000.0
MIN_MS_PER_KILOTOKEN, MAX_MS_PER_KILOTOKEN = 2.0, 500.0
"""Bounds of the fit, far beyond known engines."""

MIN_SCALE_MS = 50.0
"""Times below this count as equal in the relative error: scheduling dominates them."""

MAX_RELATIVE_ERROR = 2.0
"""An answer that is off by more than this multiple of its prediction loses weight with
its error: faulty endpoints give such answers."""

_FIT_TERMS = 5
_TERM_COUNT = _FIT_TERMS + 3


class _Fit(msgspec.Struct, frozen=True):
    """What the model has learned.

    Attributes
    ----------
    base_ms, ms_per_kilotoken : float
        Time to the first event without prefill, and per 1,000 tokens to prefill.
    occupancy_ms, held_tokens : float
        Means over requests: time in a slot, and memory held.
    """

    base_ms: float
    ms_per_kilotoken: float
    occupancy_ms: float
    held_tokens: float


class EngineModel:
    """Predicted times at the engines of one service.

    Parameters
    ----------
    spec : EngineSpec
        Slots and memory of each engine; without a figure, memory never binds.
    """

    def __init__(self, spec: EngineSpec):
        self.spec = spec
        self._fit: _Fit | None = None
        self._fitted_count = 0
        # Weighted sums over answers of 1, k, kk, y, ky for kilotokens k and times y,
        # and sums of 1, occupancy and held tokens.
        self.sums = SharedSums(_TERM_COUNT)

    def record_first_event(
        self, prefill_tokens: int, took_ms: float, now_ms: int
    ) -> None:
        """Record how long an engine took to a first event.

        Parameters
        ----------
        prefill_tokens : int
            Prompt tokens that it had to prefill, the request's own included.
        took_ms : float
            Time from sending the request to the first event.
        now_ms : int
            Monotonic time.
        """
        predicted_ms = max(MIN_SCALE_MS, self.idle_ms(prefill_tokens))
        relative_error = abs(took_ms - predicted_ms) / predicted_ms
        weight = MIN_SCALE_MS / predicted_ms
        weight *= MAX_RELATIVE_ERROR / max(MAX_RELATIVE_ERROR, relative_error)
        k, y = prefill_tokens / 1000, took_ms
        self.sums.add((1.0, k, k * k, y, k * y, 0.0, 0.0, 0.0), weight, now_ms)

    def record_no_event(
        self, prefill_tokens: int, waited_ms: float, now_ms: int
    ) -> None:
        """Record that no event came in a time; ignored if none was expected yet.

        Without these, an overloaded engine would be judged by its fastest answers.
        """
        if waited_ms > self.idle_ms(prefill_tokens):
            self.record_first_event(prefill_tokens, waited_ms, now_ms)

    def record_end(
        self, prefill_tokens: int, stream_ms: float, held_tokens: int, now_ms: int
    ) -> None:
        """Record a complete answer: its occupancy of a slot and of memory.

        Parameters
        ----------
        prefill_tokens : int
            Tokens of its own prompt that were not cached.
        stream_ms : float
            Time from its first event to its end.
        held_tokens : int
            Tokens of memory that it held.
        now_ms : int
            Monotonic time.
        """
        occupancy_ms = stream_ms + self.idle_ms(prefill_tokens)
        terms = (0.0,) * _FIT_TERMS + (1.0, occupancy_ms, float(held_tokens))
        self.sums.add(terms, 1.0, now_ms)

    def predict_first_event_ms(
        self, load: Load, prefill_tokens: int, held_tokens: int, slots: int
    ) -> float:
        """Return the predicted time to the first event of a request sent now.

        Parameters
        ----------
        load : Load
            Requests in progress at the engine.
        prefill_tokens : int
            Tokens of the request's prompt that are not cached there.
        held_tokens : int
            Tokens of memory that the request needs.
        slots : int
            Requests that the engine runs at once.
        """
        first_ms = self.idle_ms(load.prefill_tokens + prefill_tokens)
        return first_ms + self.batch_wait_ms(load, held_tokens, slots)

    def idle_ms(self, prefill_tokens: float) -> float:
        """Return the time to the first event without a wait for slots or memory."""
        fit = self._refresh()
        return fit.base_ms + fit.ms_per_kilotoken * prefill_tokens / 1000

    def prefill_ms(self, tokens: float) -> float:
        """Return the time to prefill tokens."""
        return self._refresh().ms_per_kilotoken * tokens / 1000

    def base_ms(self) -> float:
        """Return the time to the first event of an idle engine without prefill."""
        return self._refresh().base_ms

    def occupancy_ms(self) -> float:
        """Return the mean time for which a request occupies a slot."""
        return self._refresh().occupancy_ms

    def mean_held_tokens(self) -> float:
        """Return the mean memory that a request holds, in tokens."""
        return self._refresh().held_tokens

    def batch_wait_ms(self, load: Load, held_tokens: int, slots: int) -> float:
        """Return the wait for a slot and for memory, whichever is longer."""
        missing_share = max(0.0, (load.running_count + 1 - slots) / slots)
        if self.spec.cache_tokens and load.running_count:
            missing_tokens = load.held_tokens + held_tokens - self.spec.cache_tokens
            missing_share = max(missing_share, missing_tokens / self.spec.cache_tokens)
        return missing_share * self.occupancy_ms() if missing_share else 0.0

    def _refresh(self) -> _Fit:
        if self._fit is None or self._fitted_count != self.sums.change_count:
            self._fitted_count = self.sums.change_count
            self._fit = _solve(self.sums.totals())
        return self._fit


def _solve(totals: list[float]) -> _Fit:
    """Return the least-squares solution of the sums together with the prior."""
    n, k, kk, y, ky, count, occupancy_ms, held_tokens = totals
    prior_ms = PRIOR_BASE_MS + PRIOR_KILOTOKENS * PRIOR_MS_PER_KILOTOKEN
    weight = PRIOR_WEIGHT * MIN_SCALE_MS / prior_ms
    n += weight
    y += weight * PRIOR_BASE_MS
    slope_weight = weight * PRIOR_KILOTOKENS**2
    kk += slope_weight
    ky += slope_weight * PRIOR_MS_PER_KILOTOKEN
    # The prior makes the determinant positive. A bounded slope changes the best base,
    # and a bounded base the best slope.
    slope_ms = _clamp_slope((n * ky - k * y) / (n * kk - k * k))
    base_ms = min(MAX_BASE_MS, max(MIN_BASE_MS, (y - slope_ms * k) / n))
    slope_ms = _clamp_slope((ky - base_ms * k) / kk)
    count += PRIOR_WEIGHT
    return _Fit(
        base_ms=base_ms,
        ms_per_kilotoken=slope_ms,
        occupancy_ms=(occupancy_ms + PRIOR_WEIGHT * PRIOR_OCCUPANCY_MS) / count,
        held_tokens=(held_tokens + PRIOR_WEIGHT * PRIOR_HELD_TOKENS) / count,
    )


def _clamp_slope(slope_ms: float) -> float:
    return min(MAX_MS_PER_KILOTOKEN, max(MIN_MS_PER_KILOTOKEN, slope_ms))
