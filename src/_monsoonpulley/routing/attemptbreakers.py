"""Breakers by endpoint and by (version, route), updated by attempts."""

from __future__ import annotations

import random

import msgspec

from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, EndpointId, ServiceId, VersionId
from .breaker import BreakerRule, Breakers

ENDPOINT_RULE = BreakerRule(min_results=5)
VERSION_RULE = BreakerRule(min_results=20, open_ms=2_000, max_probes=2)

VersionRoute = tuple[ServiceId, VersionId, str]


class _AttemptCalls(msgspec.Struct):
    """An attempt's breaker keys, and for which breakers it is a probe."""

    endpoint: EndpointId
    version_route: VersionRoute
    is_endpoint_probe: bool
    is_version_probe: bool


class AttemptBreakers:
    """The breakers of endpoints and versions, and the attempts in progress.

    Parameters
    ----------
    rng : random.Random
        Source of jitter, so that entry instances don't probe all at once.
    """

    def __init__(self, rng: random.Random):
        self.endpoints = Breakers(ENDPOINT_RULE, rng)
        self.versions = Breakers(VERSION_RULE, rng)
        self._attempts: dict[AttemptId, _AttemptCalls] = {}

    def start_attempt(
        self,
        attempt: AttemptId,
        endpoint: EndpointId,
        version_route: VersionRoute,
        now_ms: int,
    ) -> None:
        """Record that an attempt is being sent."""
        self._attempts[attempt] = _AttemptCalls(
            endpoint,
            version_route,
            self.endpoints.start_call(endpoint, now_ms),
            self.versions.start_call(version_route, now_ms),
        )

    def endpoint_of(self, attempt: AttemptId) -> EndpointId | None:
        """Return the endpoint of an attempt in progress, None if it has ended."""
        calls = self._attempts.get(attempt)
        return None if calls is None else calls.endpoint

    def end_attempt(
        self, attempt: AttemptId, failure: Failure | None, now_ms: int
    ) -> None:
        """Record an attempt's end.

        A refusal or a cancel affects neither breaker. An unreachable endpoint
        does not count against its version.
        """
        calls = self._attempts.pop(attempt, None)
        if calls is None:
            return
        succeeded = _succeeded(failure)
        self.endpoints.record_result(
            calls.endpoint, succeeded, calls.is_endpoint_probe, now_ms
        )
        if failure is not None and failure.delivery is Delivery.NOT_SENT:
            # The endpoint is unreachable: retries there would waste the budget.
            self.endpoints.force_open(calls.endpoint, now_ms)
            succeeded = None
        self.versions.record_result(
            calls.version_route, succeeded, calls.is_version_probe, now_ms
        )


def _succeeded(failure: Failure | None) -> bool | None:
    if failure is None:
        return True
    if failure.reason is Reason.CANCELLED:
        return None
    return None if failure.delivery is Delivery.REFUSED else False
