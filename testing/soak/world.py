"""The entry instances of a run and their environment, on loopback."""

from __future__ import annotations

import asyncio
import os
import random
from pathlib import Path

import msgspec

from _monsoonpulley.clock import Clock
from _monsoonpulley.standins.rowstore import RowStoreStandin, StoreFault

from ..ingress.site import HOST, endpoint_row
from .endpoints import Behaviour, Endpoint
from .instances import CALLERS_PORT, READINESS_PORT, Instance
from .link import Link
from .platform import DutyApi
from .records import Crash, Disturbance, Records, Version

ZONES = ("zone-a", "zone-b")
REGIONS = {"zone-a": "region-a", "zone-b": "region-b"}
LOCAL_ZONE = "zone-a"
"""The only data centre in the region that requests of the kind "local" may reach."""

ENDPOINTS = {"app": 5, "other": 2}
ENDPOINT_PORT = 9_000
ROUTE_TIMEOUT_MS = 2_500
REPORT_TIMEOUT_MS = 7_000
"""Longer than a report, which is a long stream, and than the grace period."""

START_TIMEOUT_S = 10
"""Longest time until all instances are ready for the first time."""

OPEN_KEY, LIMITED_KEY = "open-key", "limited-key"
CUSTOMERS = {OPEN_KEY: "open", LIMITED_KEY: "limited"}
RATE_PER_S, BURST = 12.0, 12.0

BOUNDS = {
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra_retries": 30,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_slack": 12,
    "grace_period_s": 5,
    "lease_duration_ms": 3_000,
    "usage_window_s": 1,
    "drain_timeout_ms": 3_000,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuation_ms": 5_000,
}
"""The users' values, but with usage windows so short that a duty's calls show its
holder, and with budgets that faults use up."""

LIMITS = {"memory_mb": 120, "file_descriptors": 600}
"""Less than the users' smallest machines have, so that small crowds use them up."""

COLD_START_MS, COLD_PER_S = 3_000, 1.0
"""Time for which endpoints of "app" are cold after their start, and requests a second
that they tolerate then: fewer than a warm endpoint gets from all callers."""

BRITTLE_SLOTS = 2
"""Requests that a brittle endpoint has room for, so that callers fill it."""

BRITTLE_FROM_MS = 3_000
"""Time from the first statement after which brittle endpoints fall over."""

CRASH_DOWN_S = 1.0
"""Time from the crash of an endpoint until another one takes its place."""

FIRST_SUBNET = 64
"""First of the subnets of 127.0.0.0/8 for soak runs, one for each process."""


class World:
    """Entry instances, endpoints, store and platform, and the links between them.

    Parameters
    ----------
    folder : Path
        For settings and logs of the instances.
    rng : random.Random
        For the seeds of the endpoints.
    instance_count : int
        Number of entry instances.
    """

    def __init__(self, folder: Path, rng: random.Random, instance_count: int):
        self.clock = Clock.from_system()
        self.records = Records()
        self.store = RowStoreStandin(self.clock)
        self.store.era = 1
        self._states: dict[str, str] = {}
        self._evacuated: dict[str, Disturbance] = {}
        self.rng = rng
        self._subnet = f"127.{FIRST_SUBNET + os.getpid() // 250 % 128}"
        self._subnet += f".{os.getpid() % 250}"
        self._platform = DutyApi(self.records, self.clock)
        self._addresses: dict[str, tuple[str, int]] = {}
        self._refusals_per_s: dict[str, float | None] = {}
        self._brittle_since_ms: dict[str, int] = {}
        self._cold_until_ms: dict[str, int] = {}
        self._last_endpoint_number = 0
        self._restarts: set[asyncio.Task[None]] = set()
        self.instances: dict[str, Instance] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.caller_links: dict[str, Link] = {}
        self.store_links: dict[str, Link] = {}
        self.endpoint_links: dict[str, Link] = {}
        self.cloud_link = Link(self._platform.server.address)
        self._folder = folder
        self._instance_count = instance_count

    async def start(self) -> None:
        """Start everything and wait until all instances are ready."""
        store_address = await self.store.listen()
        await self._platform.server.listen("127.0.0.1", 0)
        cloud_ip = f"{self._subnet}.240"
        await self.cloud_link.listen(cloud_ip, CALLERS_PORT)
        self.write_configuration()
        for service, count in ENDPOINTS.items():
            for _ in range(count):
                await self.add_endpoint(service)
        for number in range(1, self._instance_count + 1):
            name, ip = f"instance-{number}", f"{self._subnet}.{number}"
            store = Link(lambda: store_address)
            await store.listen(f"{self._subnet}.{100 + number}", CALLERS_PORT)
            callers = Link(lambda ip=ip: (ip, CALLERS_PORT))
            await callers.listen(f"{self._subnet}.{150 + number}", CALLERS_PORT)
            self.store_links[name], self.caller_links[name] = store, callers
            self.instances[name] = Instance(
                name,
                ZONES[number % len(ZONES)],
                ip,
                self._folder,
                {
                    "store": f"{self._subnet}.{100 + number}:{CALLERS_PORT}",
                    "cloud": f"{cloud_ip}:{CALLERS_PORT}",
                },
                BOUNDS,
                LIMITS,
                REGIONS,
                self.records,
                self.clock,
            )
        await asyncio.gather(*(each.start() for each in self.instances.values()))
        async with asyncio.timeout(START_TIMEOUT_S):
            for instance in self.instances.values():
                while not await self.is_ready(instance):
                    await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop everything."""
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*(each.kill() for each in self.instances.values()))
        links = (self.caller_links, self.store_links, self.endpoint_links)
        for link in [each for group in links for each in group.values()]:
            link.close()
        self.cloud_link.close()
        for endpoint in self.endpoints.values():
            endpoint.crash()
        self._platform.server.stop_listening()
        self.store.close()

    async def heal(self) -> None:
        """End every disturbance and start the instances that are down."""
        self.store.fault = StoreFault.NONE
        for link in (*self.caller_links.values(), *self.store_links.values()):
            link.heal()
        for link in self.endpoint_links.values():
            link.heal()
        self.cloud_link.heal()
        for endpoint in self.endpoints.values():
            endpoint.behaviour = Behaviour.HEALTHY
            endpoint.limit_per_s = None
        for service in ENDPOINTS:
            self.set_brittle(service, None)
        for instance in self.instances.values():
            if not instance.is_running:
                await instance.start()
        now_ms = self.clock.now_ms()
        for disturbance in self.records.disturbances:
            if disturbance.until_ms is None:
                disturbance.until_ms = now_ms
        self.records.healed_ms = now_ms

    def caller_ip(self, instance: str) -> str:
        """Return the IP address at which callers reach an instance."""
        return f"{self._subnet}.{150 + int(instance.rpartition('-')[2])}"

    async def is_ready(self, instance: Instance) -> bool:
        """Return whether an instance reports itself ready, as a load balancer asks."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    instance.ip, READINESS_PORT
                )
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def write_configuration(self, rate_per_s: float = RATE_PER_S) -> int:
        """Write the next configuration; return its number."""
        number = len(self.records.versions) + 1
        self._document = configuration_document(number, rate_per_s)
        self.store.put("op", "config", self._document)
        self.records.versions.append(Version(number, self.clock.now_ms(), rate_per_s))
        return number

    def _on_crash(self, name: str, cause: str) -> None:
        """Crash an endpoint under a request and start another one soon."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is None:
            return
        now_ms = self.clock.now_ms()
        self.records.crashes.append(Crash(name, cause, now_ms))
        self._crash_and_replace(endpoint)

    def _crash_and_replace(self, endpoint: Endpoint) -> None:
        name = endpoint.name
        self.endpoints.pop(name, None)
        self.records.start_disturbance(name, "gone", self.clock.now_ms())
        endpoint.crash()
        # The link's address must refuse connections, as the endpoint's own would.
        self.endpoint_links.pop(name).close()
        task = asyncio.get_running_loop().create_task(self._replace(endpoint))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    def _on_fall(self, name: str) -> None:
        """Crash an endpoint that has turned too many requests away, if that counts."""
        endpoint = self.endpoints[name]
        now_ms = self.clock.now_ms()
        since_ms = self._brittle_since_ms.get(endpoint.service)
        if since_ms is None or now_ms < since_ms + BRITTLE_FROM_MS:
            return
        self.records.falls.append(Crash(name, endpoint.service, now_ms))
        self._crash_and_replace(endpoint)

    def set_brittle(self, service: str, refusals_per_s: float | None) -> None:
        """Let the endpoints of a service have little room and bear few refusals."""
        self._refusals_per_s[service] = refusals_per_s
        self._brittle_since_ms.pop(service, None)
        if refusals_per_s is not None:
            self._brittle_since_ms[service] = self.clock.now_ms()
        for endpoint in self.endpoints.values():
            if endpoint.service == service:
                self._apply_brittleness(endpoint)
                self.write_endpoint_row(endpoint, self._states[endpoint.name])

    def _apply_brittleness(self, endpoint: Endpoint) -> None:
        endpoint.refusals_per_s = self._refusals_per_s.get(endpoint.service)
        is_brittle = endpoint.refusals_per_s is not None
        endpoint.max_running = BRITTLE_SLOTS if is_brittle else None

    async def _replace(self, endpoint: Endpoint) -> None:
        await asyncio.sleep(CRASH_DOWN_S)
        await self.add_endpoint(endpoint.service)
        self.store.remove("servers", endpoint.name)
        self.records.drained_ms.setdefault(endpoint.name, self.clock.now_ms())

    def write_rows_again(self) -> None:
        """Write what operators and endpoints have written last."""
        self.store.put("op", "config", self._document)
        for zone in ZONES:
            if zone in self._evacuated:
                self.store.put("op", f"evacuate/{zone}", {})
            elif f"evacuate/{zone}" in self.store.keys("op"):
                self.store.remove("op", f"evacuate/{zone}")
        for name, endpoint in self.endpoints.items():
            self.write_endpoint_row(endpoint, self._states[name])

    def evacuate(self, zone: str) -> bool:
        """Evacuate a data centre; return whether it can be done.

        One is left: without any, nothing would be served.
        """
        if len(self._evacuated) + 1 >= len(ZONES):
            return False
        self.store.put("op", f"evacuate/{zone}", {})
        time = Disturbance(zone, "evacuation", self.clock.now_ms())
        self._evacuated[zone] = time
        self.records.evacuations.append(time)
        return True

    def take_back(self, zone: str) -> None:
        """End the evacuation of a data centre."""
        self._evacuated.pop(zone).until_ms = self.clock.now_ms()
        self.store.remove("op", f"evacuate/{zone}")

    async def add_endpoint(
        self,
        service: str,
        address: tuple[str, int] | None = None,
        cold_ms: int = 0,
    ) -> Endpoint:
        """Start an endpoint, at a given address (one used before) or a new one.

        With ``cold_ms`` it is cold for that long.
        """
        self._last_endpoint_number += 1
        name = f"endpoint-{self._last_endpoint_number}"
        rng = random.Random(f"{self.rng.random()}")
        endpoint = Endpoint(name, service, self.records, self.clock, rng)
        ip = f"{self._subnet}.{200 + self._last_endpoint_number % 40}"
        address = address or (ip, ENDPOINT_PORT + 2 * self._last_endpoint_number)
        await endpoint.listen(address[0], address[1] + 1)
        link = Link(lambda: (address[0], address[1] + 1))
        await link.listen(*address)
        endpoint.on_crash, endpoint.on_fall = self._on_crash, self._on_fall
        self._apply_brittleness(endpoint)
        self.endpoints[name], self.endpoint_links[name] = endpoint, link
        self._addresses[name] = address
        if cold_ms:
            self._record_cold(endpoint, "start", cold_ms)
        self.write_endpoint_row(endpoint)
        return endpoint

    def turn_cold(self, endpoint: Endpoint, cold_ms: int) -> None:
        """Let an endpoint that runs be cold for a while."""
        self._record_cold(endpoint, "turn", cold_ms)
        self.write_endpoint_row(endpoint, self._states[endpoint.name])

    def _record_cold(self, endpoint: Endpoint, kind: str, cold_ms: int) -> None:
        now_ms = self.clock.now_ms()
        until_ms = max(now_ms + cold_ms, self._cold_until_ms.get(endpoint.name, 0))
        self._cold_until_ms[endpoint.name] = until_ms
        time = Disturbance(endpoint.name, kind, now_ms, until_ms)
        self.records.cold.append(time)

    def write_row_again(self, name: str) -> None:
        """Write the row of an endpoint as its heartbeat does, if it still runs."""
        if name in self.endpoints:
            self.write_endpoint_row(self.endpoints[name], self._states[name])

    def remove_surplus_endpoints(self) -> None:
        """Remove the oldest endpoints of services that have more than at the start."""
        for service, count in ENDPOINTS.items():
            service_endpoints = [
                e for e in self.endpoints.values() if e.service == service
            ]
            for endpoint in service_endpoints[: len(service_endpoints) - count]:
                self.remove_endpoint(endpoint.name)

    def write_endpoint_row(self, endpoint: Endpoint, state: str = "ready") -> None:
        """Write an endpoint's row."""
        ip, port = self._addresses[endpoint.name]
        row = endpoint_row(
            f"{ip}:{port}",
            service=endpoint.service,
            state=state,
            zone=zone_of(endpoint.name),
        )
        if endpoint.max_running is not None:
            row["slots"] = endpoint.max_running
        cold_until_ms = self._cold_until_ms.get(endpoint.name, 0)
        row["cold_remaining_ms"] = max(0, cold_until_ms - self.clock.now_ms())
        self._states[endpoint.name] = state
        self.store.put("servers", endpoint.name, row)
        if state == "draining":
            self.records.drained_ms.setdefault(endpoint.name, self.clock.now_ms())

    def remove_endpoint(self, name: str) -> tuple[str, int]:
        """Remove an endpoint and its row; return its address, which is then free."""
        self.records.start_disturbance(name, "gone", self.clock.now_ms())
        self.endpoints.pop(name).crash()
        self.endpoint_links.pop(name).close()
        self.store.remove("servers", name)
        self.records.drained_ms.setdefault(name, self.clock.now_ms())
        return self._addresses[name]


def zone_of(endpoint: str) -> str:
    """Return the data centre of an endpoint."""
    return ZONES[sum(endpoint.encode()) % len(ZONES)]


def route_timeout_ms(kind: str) -> int:
    """Return the timeout of the route for a kind of requests."""
    return REPORT_TIMEOUT_MS if kind == "report" else ROUTE_TIMEOUT_MS


def configuration_document(number: int, rate_per_s: float) -> dict:
    """Return a configuration; it has one route more than the one before it."""
    kinds = {"app": "safe", "order": "unsafe", "stream": "streaming", "other": "safe"}
    kinds |= {"local": "safe", "report": "streaming"}
    kinds |= {f"feature-{feature}": "safe" for feature in range(1, number + 1)}
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": route_timeout_ms(name),
            "target_latency_ms": 300,
            "target_gap_ms": 500,
            "priority": 1,
            "service": "other" if name == "other" else "app",
            "max_attempts": 3,
            "allow_anonymous": False,
            "resume_streams": kind == "streaming",
            "allowed_regions": [REGIONS[LOCAL_ZONE]] if name == "local" else [],
        }
        for name, kind in kinds.items()
    ]
    return {
        "version": number,
        "routes": routes,
        "services": [
            {
                "name": name,
                "max_connections": 100,
                "cold_start_s": COLD_START_MS / 1000 if name == "app" else 0,
                "cold_per_s": COLD_PER_S if name == "app" else 0,
            }
            for name in ENDPOINTS
        ],
        "limits": {"idle_timeout_ms": 15_000},
        "tenants": [
            {"name": "open", "api_keys": [OPEN_KEY]},
            {
                "name": "limited",
                "api_keys": [LIMITED_KEY],
                "rate_per_s": rate_per_s,
                "burst": BURST,
            },
        ],
    }


def encode_records(records: Records) -> bytes:
    """Return the records as JSON, to be kept with the seed of a failed run."""
    return msgspec.json.format(msgspec.json.encode(records))
