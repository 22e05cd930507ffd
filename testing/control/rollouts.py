"""Deployments with a rollout, callers of the service, and reads of the result."""

from __future__ import annotations

import asyncio
import random

import msgspec

from _monsoonpulley.config.document import Version
from _monsoonpulley.standins.bad_version import BadVersion
from _monsoonpulley.standins.engine_profile import EngineProfile
from _monsoonpulley.standins.plainservice import PlainServiceProfile
from _monsoonpulley.standins.world import Deployment, EndpointPlan, EntryPlan

from ..support import ALICE, small_deployment, small_document

DEADLINE_MS = 240_000
ENTRIES = tuple(EntryPlan(f"entry-{i}", f"zone-{'ab'[i % 2]}") for i in range(4))


def rollout_deployment(
    bad_version: BadVersion | None = None,
    deadline_ms: int | None = DEADLINE_MS,
    wall_ms: int = 1_800_000_000_000,
    other_orders: tuple[Version, ...] = (),
    versions: tuple[str, ...] = ("v1", "v2"),
) -> Deployment:
    """Return a deployment in which ``v2`` of the catalogue is ordered.

    ``v2`` is left out of the document if ``deadline_ms`` is ``None``.
    """
    profile = PlainServiceProfile()
    if bad_version is not None:
        profile = PlainServiceProfile(bad_versions={"v2": bad_version})
    document = small_document()
    ordered = other_orders
    if deadline_ms is not None:
        ordered = (Version("catalogue", "v2", wall_ms + deadline_ms), *other_orders)
    document = msgspec.structs.replace(
        document, versions=(*document.versions, *ordered)
    )
    engine = EngineProfile()
    endpoints = [
        EndpointPlan(
            f"catalogue-{version}-{n}",
            "catalogue",
            version,
            f"zone-{'ab'[n % 2]}",
            profile,
        )
        for version in versions
        for n in range(4)
    ]
    endpoints.append(EndpointPlan("engine-1", "model", "v1", "zone-a", engine))
    return small_deployment(
        document=document, entries=ENTRIES, endpoints=tuple(endpoints)
    )


def engine_deployment(bad_version: BadVersion, deadline_ms: int) -> Deployment:
    """Return a deployment in which ``v2`` of the model service is ordered."""
    profile = EngineProfile(bad_versions={"v2": bad_version})
    document = small_document()
    order = Version("model", "v2", 1_800_000_000_000 + deadline_ms)
    return small_deployment(
        document=msgspec.structs.replace(
            document, versions=(*document.versions, order)
        ),
        entries=ENTRIES,
        endpoints=tuple(
            EndpointPlan(f"engine-{version}-{n}", "model", version, zone, profile)
            for version in ("v1", "v2")
            for n, zone in enumerate(("zone-a", "zone-b", "zone-a", "zone-b"))
        ),
    )


class Calls:
    """Sends calls of the catalogue at a mean rate through random entry instances."""

    def __init__(self, world, seed: int, per_s: float = 20.0, paths=("/frames",)):
        self.world = world
        self.rng = random.Random(seed)
        self.gap_ms = 1000 / per_s
        self.paths = paths
        self.answers: list[tuple[int, int, str]] = []
        self._tasks: set[asyncio.Task] = set()

    async def run_ms(self, duration_ms: int, until=lambda: False) -> None:
        """Send for a time, or until ``until`` holds, and wait for the answers."""
        clock = self.world.clock
        end_ms = clock.now_ms() + duration_ms
        while clock.now_ms() < end_ms and not until():
            if self.world.entries:
                self._tasks.add(asyncio.create_task(self._send_one()))
            await clock.sleep_ms(self.rng.uniform(0.5, 1.5) * self.gap_ms)
        await asyncio.gather(*self._tasks)
        self._tasks.clear()

    async def _send_one(self) -> None:
        entry = self.rng.choice(sorted(self.world.entries))
        path = "/services/lookup" + self.rng.choice(self.paths)
        caller = self.world.caller(entry, ALICE)
        response = await caller.request("GET", path)
        version = ""
        if response.status == 200:
            version = response.json().get("version", "")
        now_ms = self.world.clock.now_ms()
        self.answers.append((now_ms, response.status, version))

    def failed_answers(self) -> list[tuple[int, int, str]]:
        """Return the answers with a status other than 200."""
        return [answer for answer in self.answers if answer[1] != 200]


def stored_row(world, version: str = "v2", service: str = "catalogue") -> dict | None:
    """Return a version's decoded row in the table, ``None`` if it is absent."""
    found = world.platform.table.rows.get(f"rollout/{service}/{version}")
    return msgspec.json.decode(found.value) if found else None


def stored_state(world, version: str = "v2", service: str = "catalogue") -> str:
    """Return a version's state in the table, empty if its row is absent."""
    found = stored_row(world, version, service)
    return found["state"] if found else ""


def routed_wall_ms(world, version: str) -> list[int]:
    """Return the wall times at which attempts were routed to a version."""
    return [
        line["wall_ms"] for line in world.events("route") if line["version"] == version
    ]
