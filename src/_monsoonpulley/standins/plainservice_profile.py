"""Habits and faults of a plain service stand-in, and the count of executions."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec

from ..ids import EndpointId, RequestId, VersionId
from .bad_version import BadVersion


class ExecutionLedger:
    """Executions per request id over all endpoints of a test."""

    def __init__(self) -> None:
        self._counts: Counter[RequestId] = Counter()
        self.by_endpoint: list[tuple[RequestId, EndpointId]] = []

    def record(self, request: RequestId, endpoint: EndpointId) -> None:
        """Count one execution."""
        self._counts[request] += 1
        self.by_endpoint.append((request, endpoint))

    def count(self, request: RequestId) -> int:
        """Return how often a request was executed."""
        return self._counts[request]

    def most(self) -> int:
        """Return the highest count of any request; 0 without executions."""
        return max(self._counts.values(), default=0)


class PlainFault(Enum):
    """What goes wrong with one call."""

    CRASH_BEFORE = "crash_before"
    """The process crashes after it read the call and before it executes it."""
    CRASH_AFTER = "crash_after"
    """The process crashes after it executed the call and before it answers."""
    RESET = "reset"
    """The connection breaks after the bytes were sent; the call is executed."""
    HANG = "hang"
    """The call is neither executed nor answered."""
    SLOW = "slow"
    """The service time is ``slow_factor`` times as long."""
    EXECUTE_LATE = "execute_late"
    """The call stays unread for ``late_ms`` and is executed then."""


class PlainServiceProfile(msgspec.Struct, frozen=True):
    """Performance and habits of a plain service's endpoint.

    Attributes
    ----------
    service_ms : int
        Time from reading a call to executing it.
    lookup : bool
        Whether it can be asked if a request id ran.
    refusal_status : int
        HTTP status by which it says that it did not run a call.
    slow_factor : float
        For ``SLOW``.
    late_ms : int
        For ``EXECUTE_LATE``.
    bad_versions : dict of VersionId to BadVersion
        Versions that are bad, and how. Failing ones answer with status 500
        and execute nothing.
    """

    service_ms: int = 20
    lookup: bool = True
    refusal_status: int = 429
    slow_factor: float = 20.0
    late_ms: int = 30_000
    bad_versions: dict[VersionId, BadVersion] = {}
