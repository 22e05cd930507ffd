"""Profile and faults of a plain service stand-in, and a count of executions."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec

from ..ids import EndpointId, RequestId, VersionId
from .bad_version import BadVersion


class ExecutionLedger:
    """Executions of requests on all endpoints of a test.

    Attributes
    ----------
    executions : list of (RequestId, EndpointId)
        Each execution, in order.
    """

    def __init__(self) -> None:
        self._counts: Counter[RequestId] = Counter()
        self.executions: list[tuple[RequestId, EndpointId]] = []

    def record(self, request: RequestId, endpoint: EndpointId) -> None:
        """Record one execution."""
        self._counts[request] += 1
        self.executions.append((request, endpoint))

    def count(self, request: RequestId) -> int:
        """Return the number of executions of a request."""
        return self._counts[request]

    def max_count(self) -> int:
        """Return the highest count of any request, or 0 without executions."""
        return max(self._counts.values(), default=0)


class PlainFault(Enum):
    """Fault of one call."""

    CRASH_BEFORE = "crash_before"
    """The process crashes after reading the call and before executing it."""
    CRASH_AFTER = "crash_after"
    """The process crashes after executing the call and before answering."""
    RESET = "reset"
    """The connection breaks after the call was sent; the call is executed."""
    HANG = "hang"
    """The call is neither executed nor answered."""
    SLOW = "slow"
    """The service time is multiplied by ``slow_factor``."""
    EXECUTE_LATE = "execute_late"
    """The call is read and executed only after ``late_ms``."""


class PlainServiceProfile(msgspec.Struct, frozen=True):
    """Performance and behaviour of a plain service's endpoint.

    Attributes
    ----------
    service_ms : int
        Time from reading a call to executing it.
    supports_lookup : bool
        Whether it can answer if a request id ran.
    refusal_status : int
        HTTP status of a refusal, which means that the call did not run.
    slow_factor : float
        Multiplier of the service time for ``PlainFault.SLOW``.
    late_ms : int
        Delay for ``PlainFault.EXECUTE_LATE``.
    bad_versions : dict of VersionId to BadVersion
        Bad versions, and how they behave. Failing ones answer with status 500
        and execute nothing.
    """

    service_ms: int = 20
    supports_lookup: bool = True
    refusal_status: int = 429
    slow_factor: float = 20.0
    late_ms: int = 30_000
    bad_versions: dict[VersionId, BadVersion] = {}
