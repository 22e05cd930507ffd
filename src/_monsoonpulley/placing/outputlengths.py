"""Lengths of answers, learned by route, customer and the caller's hint.

The logarithm of a stream's number of events is fitted as a linear function of that of
the hint. The slope is the mixture of the hint and the mean of the kind: it is near 1
where hints are good, and near 0 where they say nothing.
"""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

MAX_KINDS = 1_024
"""Bound on the kinds kept, several times the routes and customers in use; those without
answers for longest are dropped first. About 200 kB."""

FADING = 0.995
"""Weight of an answer relative to the next one: 200 answers count, whose error of the
mean is below a tenth of the scatter."""

PRIOR_EVENTS = 20.0
PRIOR_SCATTER = 1.0
"""Assumed before there are answers: 20 events, often off by a factor of 2.7."""

PRIOR_WEIGHT = 5.0
"""Number of answers that have as much weight as what is known of a larger kind."""


class OutputLength(msgspec.Struct, frozen=True):
    """Predicted number of events of a stream.

    Attributes
    ----------
    events : float
        Median.
    scatter : float
        Standard deviation of the logarithm.
    """

    events: float
    scatter: float

    @property
    def mean_events(self) -> float:
        """Return the mean of the log-normal distribution."""
        return self.events * math.exp(self.scatter**2 / 2)


class _Kind:
    """Faded sums over the answers of one kind; ``x`` of the hint, ``y`` of events."""

    def __init__(self) -> None:
        self.n = self.x = self.y = self.xx = self.xy = self.yy = 0.0

    def add(self, x: float, y: float) -> None:
        self.n = FADING * self.n + 1
        self.x = FADING * self.x + x
        self.y = FADING * self.y + y
        self.xx = FADING * self.xx + x * x
        self.xy = FADING * self.xy + x * y
        self.yy = FADING * self.yy + y * y

    def predict(self, x: float, prior: OutputLength) -> OutputLength:
        """Return the prediction, shrunk to the one for a larger kind."""
        n = self.n
        mean_x, mean_y = self.x / n, self.y / n
        var_x = max(0.0, self.xx / n - mean_x**2)
        var_y = max(0.0, self.yy / n - mean_y**2)
        cov = self.xy / n - mean_x * mean_y
        # The prior weight on the hint's variance shrinks the slope to that of a hint
        # that says nothing while there are few answers.
        slope = min(1.0, max(0.0, cov / var_x * n / (n + PRIOR_WEIGHT) if var_x else 0))
        log_events = mean_y + slope * (x - mean_x)
        rest = max(0.0, var_y - 2 * slope * cov + slope**2 * var_x)
        share = n / (n + PRIOR_WEIGHT)
        log_events = share * log_events + (1 - share) * math.log(prior.events)
        scatter = math.sqrt(share * rest + (1 - share) * prior.scatter**2)
        return OutputLength(math.exp(log_events), scatter)


class OutputLengths:
    """Lengths of the streams of one instance, by service, route and customer."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[tuple[str, ...], _Kind] = OrderedDict()

    def record_end(
        self, service: str, route: str, customer: str, hint: int | None, events: int
    ) -> None:
        """Record the number of events of a complete stream."""
        x, y = math.log(max(1, hint or 1)), math.log(max(1, events))
        for key in _keys(service, route, customer, hint):
            kind = self._kinds.pop(key, None) or _Kind()
            kind.add(x, y)
            self._kinds[key] = kind
        while len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)

    def predict(
        self, service: str, route: str, customer: str, hint: int | None
    ) -> OutputLength:
        """Return the predicted number of events of a stream.

        What is known of the customer on the route is shrunk to what is known of the
        route, and that to the service. Streams with and without hints are kinds apart.
        """
        x = math.log(max(1, hint or 1))
        length = OutputLength(PRIOR_EVENTS, PRIOR_SCATTER)
        for key in _keys(service, route, customer, hint):
            kind = self._kinds.get(key)
            if kind is not None:
                length = kind.predict(x, length)
        return length


def _keys(
    service: str, route: str, customer: str, hint: int | None
) -> tuple[tuple[str, ...], ...]:
    """Return the kinds that a stream belongs to, the largest one first."""
    group = "hint" if hint else ""
    return (
        (service, group),
        (service, group, route),
        (service, group, route, customer),
    )
