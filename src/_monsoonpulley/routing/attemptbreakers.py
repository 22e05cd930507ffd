"""Breakers per endpoint and per (version, route), fed by attempts."""

from __future__ import annotations

import random

import msgspec

from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, EndpointId, ServiceId, VersionId
from .breaker import BreakerRule, Breakers

ENDPOINT_RULE = BreakerRule(min_count=5)
VERSION_RULE = BreakerRule(min_count=20, open_ms=2_000, max_probes=2)

VersionRoute = tuple[ServiceId, VersionId, str]


class _Open(msgspec.Struct):
    """Breaker keys of an attempt in progress and whether it probes them."""

    endpoint: EndpointId
    version_route: VersionRoute
    endpoint_probe: bool
    version_probe: bool


class AttemptBreakers:
    """Both kinds of breakers, and the attempts in progress.

    Parameters
    ----------
    rng : random.Random
        Spreads the times at which daemons probe.
    """

    def __init__(self, rng: random.Random):
        self.endpoints = Breakers(ENDPOINT_RULE, rng)
        self.versions = Breakers(VERSION_RULE, rng)
        self._open: dict[AttemptId, _Open] = {}

    def begin(
        self,
        attempt: AttemptId,
        endpoint: EndpointId,
        version_route: VersionRoute,
        now_ms: int,
    ) -> None:
        """Note that an attempt is being sent."""
        self._open[attempt] = _Open(
            endpoint,
            version_route,
            self.endpoints.begin(endpoint, now_ms),
            self.versions.begin(version_route, now_ms),
        )

    def end(self, attempt: AttemptId, failure: Failure | None, now_ms: int) -> None:
        """Note an attempt's end.

        A refusal or a cancel says nothing of either; an endpoint that can't
        be reached says nothing of its version.
        """
        opened = self._open.pop(attempt, None)
        if opened is None:
            return
        ok = _result(failure)
        self.endpoints.end(opened.endpoint, ok, opened.endpoint_probe, now_ms)
        if failure is not None and failure.delivery is Delivery.NOT_SENT:
            # Nothing listens there: more attempts would only spend the budget.
            self.endpoints.trip(opened.endpoint, now_ms)
            ok = None
        self.versions.end(opened.version_route, ok, opened.version_probe, now_ms)


def _result(failure: Failure | None) -> bool | None:
    if failure is None:
        return True
    if failure.reason is Reason.CANCELLED:
        return None
    return None if failure.delivery is Delivery.REFUSED else False
