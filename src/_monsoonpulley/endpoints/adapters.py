"""Registries of adapters, and what an adapter is told about its endpoint."""

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
    """One endpoint and the habits of its service.

    Attributes
    ----------
    endpoint_id : EndpointId
        Its name, the ``peer`` of failures.
    address : str
        ``ip:port`` of its HTTP interface.
    refusal_statuses : tuple of int
        HTTP statuses by which it says that it did not run a call.
    has_lookup : bool
        Whether it can be asked if a request id ran.
    """

    endpoint_id: EndpointId
    address: str
    refusal_statuses: tuple[int, ...] = (429,)
    has_lookup: bool = False


class EngineAdapter(Protocol):
    """Makes the client of one engine; registered classes have this."""

    def connect(
        self, target: EndpointTarget, sessions: HttpSessions, clock: Clock
    ) -> EngineClient:
        """Return a client; nothing is sent yet."""
        ...


class ServiceAdapter(Protocol):
    """Makes the client of one plain service's endpoint."""

    def connect(
        self, target: EndpointTarget, sessions: HttpSessions, clock: Clock
    ) -> ServiceClient:
        """Return a client; nothing is sent yet."""
        ...


engine_adapters: Registry[EngineAdapter] = Registry("engine adapter")
service_adapters: Registry[ServiceAdapter] = Registry("service adapter")
