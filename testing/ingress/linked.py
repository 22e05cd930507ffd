"""Several instances whose links to the endpoints can be lost one by one."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from _monsoonpulley.clock import Clock
from _monsoonpulley.ids import EndpointId
from _monsoonpulley.ingress.parts import IngressParts
from _monsoonpulley.ingress.upstreams import Upstreams
from _monsoonpulley.standins.rowstore import RowStoreStandin

from ..soak.link import Link
from .site import (
    Answer,
    EndpointStandin,
    Script,
    Site,
    configuration,
    endpoint_row,
)

FIRST_SUBNET = 200
"""First of the subnets of 127.0.0.0/8 for these tests; the soak has lower ones."""

PEER_PORT = 7_600

PROBE_CONNECTIONS = 8

REQUEST_INTERVAL_S = 0.04


class Loss(Enum):
    """How an instance loses a link to an endpoint."""

    SILENT = "silent"
    """Open connections end and new ones are never answered."""
    RESET = "reset"
    """Open and new connections are reset."""
    CLOSED = "closed"
    """Open connections are reset and new ones refused, as if nothing listened."""
    REFUSED = "refused"
    """New connections are reset while open ones live on."""


class SilentAddress:
    """An address whose queue of connections is full, so that others hang."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.address = self._listener.getsockname()
        self._fillers = [socket.socket() for _ in range(2)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(self.address)

    def close(self) -> None:
        for each in (*self._fillers, self._listener):
            each.close()


def closed_address() -> tuple[str, int]:
    """Return an address at which nothing listens."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return unused.getsockname()


class LinkedUpstreams(Upstreams):
    """Pools that reach each endpoint over a link of this instance alone."""

    def __init__(self, parts: IngressParts):
        super().__init__(parts.clock, parts.upstreams._on_open)
        self.links: dict[EndpointId, Link] = {}
        self.replaced: dict[EndpointId, tuple[str, int]] = {}

    def pool(self, endpoint, max_connections):
        return super().pool(self._linked(endpoint), max_connections)

    async def probe(self, endpoint):
        self.pool(endpoint, PROBE_CONNECTIONS)  # The address may have been replaced.
        return await super().probe(self._linked(endpoint))

    def _linked(self, endpoint):
        address = self.replaced.get(endpoint.id) or self.links[endpoint.id].address()
        ip, port = address
        return msgspec.structs.replace(endpoint, ip=ip, port=port)


class LinkedFleet:
    """Instances, endpoints, and a link for each pair of them.

    Parameters
    ----------
    instance_count : int
        Number of instances, each in a data centre of its own.
    """

    def __init__(self, instance_count: int):
        clock = Clock.from_system()
        self.store = RowStoreStandin(clock)
        self.silent = SilentAddress()
        subnet = f"127.{FIRST_SUBNET + os.getpid() // 250 % 50}.{os.getpid() % 250}"
        self.sites = [
            Site(number, f"{subnet}.{number}", PEER_PORT, self.store)
            for number in range(1, instance_count + 1)
        ]
        self.endpoints: list[EndpointStandin] = []
        self._request_numbers = itertools.count(1)

    async def start(
        self,
        script: Script,
        endpoint_count: int = 3,
        make_endpoint: Callable[[Script], EndpointStandin] = EndpointStandin,
        **changes: object,
    ) -> None:
        """Start everything and wait until the instances know each other."""
        await self.store.listen()
        for number in range(endpoint_count):
            endpoint = make_endpoint(script)
            address = await endpoint.listen()
            self.endpoints.append(endpoint)
            self.store.put("servers", f"i-{number}", endpoint_row(address))
        document = configuration(**changes)
        for site in self.sites:
            await site.start(document)
            upstreams = LinkedUpstreams(site.service.parts)
            for endpoint in site.service.parts.directory.all():
                link = Link(lambda each=endpoint: (each.ip, each.port))
                await link.listen("127.0.0.1", 0)
                upstreams.links[endpoint.id] = link
            site.service.parts.upstreams = upstreams
            site.service.parts.crash_watch._connect = upstreams.probe
        for site in self.sites:
            await site.wait_until(
                lambda site=site: (
                    len(site.service.parts.members.reachable_ids) == len(self.sites) - 1
                )
            )

    async def stop(self) -> None:
        for site in self.sites:
            for link in self._upstreams(site).links.values():
                link.close()
            await site.stop()
        for endpoint in self.endpoints:
            endpoint.close()
        self.silent.close()
        self.store.close()

    def lose_links(
        self, sites: Iterable[Site], loss: Loss, kept: Iterable[str] = ()
    ) -> None:
        """Cut instances off from all endpoints but those that are ``kept``."""
        for site in sites:
            upstreams = self._upstreams(site)
            for name, link in upstreams.links.items():
                if name in kept:
                    continue
                link.refuses_connections = True
                if loss is Loss.SILENT:
                    upstreams.replaced[name] = self.silent.address
                if loss is Loss.CLOSED:
                    upstreams.replaced[name] = closed_address()
                if loss is not Loss.REFUSED:
                    link.reset_all()

    def heal(self) -> None:
        """Restore all links."""
        for site in self.sites:
            upstreams = self._upstreams(site)
            upstreams.replaced.clear()
            for link in upstreams.links.values():
                link.heal()

    async def send(self, site: Site, **arguments: object) -> Answer:
        """Send one request to an instance on a new connection."""
        return await site.send_request(f"q{next(self._request_numbers)}", **arguments)

    async def count_served(self, sites: list[Site], count: int) -> int:
        """Send requests to the instances in turn; return how many are served."""
        tasks = []
        for number in range(count):
            tasks.append(asyncio.create_task(self.send(sites[number % len(sites)])))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        answers = await asyncio.gather(*tasks)
        return sum(got.status == 200 and got.is_whole for got in answers)

    @staticmethod
    def _upstreams(site: Site) -> LinkedUpstreams:
        return site.service.parts.upstreams
