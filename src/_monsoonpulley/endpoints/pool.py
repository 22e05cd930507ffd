"""Clients of the endpoints on the live list, created once each."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..config.document import Service
from ..external.livelist import Member, Role
from ..ids import EndpointId, ServiceId
from .engine import EngineClient
from .service import ServiceClient

Client = EngineClient | ServiceClient
MakeClient = Callable[[Member, Service], Client | None]
FindService = Callable[[ServiceId], Service | None]


class EndpointPool:
    """Clients by endpoint, updated from the live list.

    Parameters
    ----------
    make_client : callable
        Creates the client of a member from its service's settings; returns ``None``
        if it can't have one.
    find_service : callable
        Returns a service's settings, ``None`` if it is not in the configuration.
    """

    def __init__(self, make_client: MakeClient, find_service: FindService):
        self._make_client = make_client
        self._find_service = find_service
        self._clients: dict[EndpointId, Client] = {}
        self._targets: dict[EndpointId, tuple[str, Service]] = {}
        self._members: dict[EndpointId, Member] = {}

    def update(self, members: Iterable[Member]) -> None:
        """Apply the live list; recreate clients whose address or settings changed."""
        listed = {
            EndpointId(member.instance): member
            for member in members
            if member.role is Role.ENDPOINT
        }
        for endpoint in set(self._clients) - set(listed):
            self._remove_client(endpoint)
        for endpoint, member in listed.items():
            self._update_client(endpoint, member)
        self._members = listed

    def _update_client(self, endpoint: EndpointId, member: Member) -> None:
        service = self._find_service(member.service)
        if service is None:
            self._remove_client(endpoint)
            return
        target = (member.address, service)
        if self._targets.get(endpoint) == target:
            return
        self._remove_client(endpoint)
        client = self._make_client(member, service)
        if client is not None:
            self._clients[endpoint] = client
            self._targets[endpoint] = target

    def _remove_client(self, endpoint: EndpointId) -> None:
        self._clients.pop(endpoint, None)
        self._targets.pop(endpoint, None)

    def client(self, endpoint: EndpointId) -> Client | None:
        """Return the client of an endpoint, ``None`` if it is not listed."""
        return self._clients.get(endpoint)

    def member(self, endpoint: EndpointId) -> Member | None:
        """Return the list entry of an endpoint, ``None`` if it is not listed."""
        return self._members.get(endpoint)

    def members(self) -> list[Member]:
        """Return the list entries of all endpoints."""
        return list(self._members.values())
