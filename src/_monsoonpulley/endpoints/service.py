"""Interface of plain services: HTTP endpoints whose calls may not be repeatable."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import AttemptId, RequestId


class ServiceCall(msgspec.Struct, frozen=True):
    """One attempt at a pass-through request.

    Attributes
    ----------
    path : str
        Path and query string as the endpoint sees it, starting with ``/``.
    headers : tuple of (str, str)
        End-to-end headers, names in lower case.
    timeout_ms : int
        Time limit for the complete answer, after which the call fails with
        ``Delivery.MAYBE``.
    runs_at_most_once : bool
        Whether the call may run at most once, so that nothing below resends it.
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
    """Complete answer of an endpoint."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Execution(Enum):
    """Whether a request id ran, as reported by its endpoint."""

    RAN = "ran"
    RUNNING = "running"
    NOT_RUN = "not_run"
    """It did not run, and the endpoint refuses it from now on."""
    UNKNOWN = "unknown"
    """The endpoint has no record of it."""


class Lookup(msgspec.Struct, frozen=True):
    """Result of a lookup; ``answer`` is set if the request ran."""

    execution: Execution
    answer: ServiceAnswer | None = None


class ServiceClient(Protocol):
    """Client of one plain-service endpoint. Failures carry a ``delivery``."""

    async def call(self, call: ServiceCall) -> ServiceAnswer | Failure:
        """Send the call once and return the endpoint's answer."""
        ...

    async def lookup(self, request_id: RequestId) -> Lookup | Failure:
        """Return whether the request ran; after ``NOT_RUN`` it is refused for ever."""
        ...
