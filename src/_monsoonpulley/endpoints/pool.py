"""Clients of the endpoints on the live list, created once each."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..external.livelist import Member, Role
from ..ids import EndpointId
from .engine import EngineClient
from .service import ServiceClient

Client = EngineClient | ServiceClient
MakeClient = Callable[[Member], Client | None]


class EndpointPool:
    """Clients by endpoint, updated from the live list.

    Parameters
    ----------
    make_client : callable
        Creates the client of a member; returns ``None`` if its service is not
        in the configuration.
    """

    def __init__(self, make_client: MakeClient):
        self._make_client = make_client
        self._clients: dict[EndpointId, Client] = {}
        self._members: dict[EndpointId, Member] = {}

    def update(self, members: Iterable[Member]) -> None:
        """Apply the live list; recreate clients whose address or service changed."""
        listed = {
            EndpointId(member.instance): member
            for member in members
            if member.role is Role.ENDPOINT
        }
        for endpoint in set(self._clients) - set(listed):
            del self._clients[endpoint]
        for endpoint, member in listed.items():
            previous = self._members.get(endpoint)
            if endpoint in self._clients and _has_same_target(previous, member):
                continue
            client = self._make_client(member)
            if client is not None:
                self._clients[endpoint] = client
        self._members = listed

    def client(self, endpoint: EndpointId) -> Client | None:
        """Return the client of an endpoint, ``None`` if it is not listed."""
        return self._clients.get(endpoint)

    def member(self, endpoint: EndpointId) -> Member | None:
        """Return the list entry of an endpoint, ``None`` if it is not listed."""
        return self._members.get(endpoint)

    def members(self) -> list[Member]:
        """Return the list entries of all endpoints."""
        return list(self._members.values())


def _has_same_target(previous: Member | None, member: Member) -> bool:
    return (
        previous is not None
        and previous.address == member.address
        and previous.service == member.service
    )
