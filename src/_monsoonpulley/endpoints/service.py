"""Plain services: HTTP back ends some of whose calls may not be repeated."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import AttemptId, RequestId


class ServiceCall(msgspec.Struct, frozen=True):
    """One attempt of a pass-through request.

    Attributes
    ----------
    path : str
        Path and query string as the endpoint sees it, starting with ``/``.
    headers : tuple of (str, str)
        End-to-end headers, names in lower case.
    timeout_ms : int
        After this long without a whole answer the call fails with
        ``Delivery.MAYBE``.
    runs_at_most_once : bool
        The call may run at most once: nothing below may send it again.
    """

    request_id: RequestId
    attempt_id: AttemptId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_ms: int
    runs_at_most_once: bool = False


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The endpoint's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Execution(Enum):
    """What an endpoint says about a request id when asked."""

    RAN = "ran"
    RUNNING = "running"
    NOT_RUN = "not_run"
    """It did not run and, having said so, the endpoint will refuse it."""
    UNKNOWN = "unknown"
    """The endpoint keeps no such record."""


class Lookup(msgspec.Struct, frozen=True):
    """Answer to the question whether a request ran; ``answer`` if it did."""

    execution: Execution
    answer: ServiceAnswer | None = None


class ServiceClient(Protocol):
    """One endpoint of a plain service. Failures carry a ``delivery``."""

    async def call(self, call: ServiceCall) -> ServiceAnswer | Failure:
        """Send the call once and return the endpoint's answer."""
        ...

    async def lookup(self, request_id: RequestId) -> Lookup | Failure:
        """Ask whether the request ran; a ``NOT_RUN`` also bars it for ever."""
        ...
