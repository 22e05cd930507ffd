"""Registries of endpoint adapters, and the target that an adapter connects to."""

from __future__ import annotations

from typing import Protocol

import msgspec

from ..clock import Clock
from ..ids import EndpointId
from ..registry import Registry
from .engine import EngineClient
from .http_transport import HttpSessions
from .service import ServiceClient


class EndpointTarget(msgspec.Struct, frozen=True):
    """One endpoint and how its service behaves.

    Attributes
    ----------
    endpoint_id : EndpointId
        Id of the endpoint, the ``peer`` of its failures.
    address : str
        ``ip:port`` of its HTTP interface.
    refusal_statuses : tuple of int
        HTTP statuses that mean the endpoint did not run the call.
    has_lookup : bool
        Whether it can be asked if a request id ran.
    """

    endpoint_id: EndpointId
    address: str
    refusal_statuses: tuple[int, ...] = (429,)
    has_lookup: bool = False


class EngineAdapter(Protocol):
    """Factory of engine clients; the registered classes implement it."""

    def connect(
        self, target: EndpointTarget, sessions: HttpSessions, clock: Clock
    ) -> EngineClient:
        """Return a client without connecting yet."""
        ...


class ServiceAdapter(Protocol):
    """Factory of clients of plain-service endpoints."""

    def connect(
        self, target: EndpointTarget, sessions: HttpSessions, clock: Clock
    ) -> ServiceClient:
        """Return a client without connecting yet."""
        ...


engine_adapters: Registry[EngineAdapter] = Registry("engine adapter")
service_adapters: Registry[ServiceAdapter] = Registry("service adapter")
