"""Small deployment and world shared by several tests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from _monsoonpulley.config.document import (
    Customer,
    Document,
    RequestClass,
    Service,
    ServiceKind,
    Version,
)
from _monsoonpulley.gateway.credentials import credential_sha256
from _monsoonpulley.journal.record import request_id_for
from _monsoonpulley.standins.engine_profile import EngineProfile
from _monsoonpulley.standins.manualloop import run_manual
from _monsoonpulley.standins.plainservice import PlainServiceProfile
from _monsoonpulley.standins.world import (
    Deployment,
    EndpointPlan,
    EntryPlan,
    World,
)

ALICE = "alice-credential"
BOB = "bob-credential"


def small_document(**changes) -> Document:
    fields = {
        "classes": {
            "question": RequestClass("model", 2_000, max_body_bytes=4_096),
            "report": RequestClass("model", 60_000),
            "lookup": RequestClass("catalogue", 1_000, repeats=2),
            "booking": RequestClass("intake", 2_000, repeats=0),
        },
        "customers": {
            "alice": Customer(credential_sha256(ALICE)),
            "bob": Customer(credential_sha256(BOB), classes=("question",)),
        },
        "services": {
            "model": Service(ServiceKind.MODEL),
            "catalogue": Service(ServiceKind.PLAIN),
            "intake": Service(ServiceKind.PLAIN, lookup=True),
        },
        "versions": (
            Version("model", "v1"),
            Version("catalogue", "v1"),
            Version("intake", "v1"),
        ),
    }
    return Document(**{**fields, **changes})


def small_deployment(**changes) -> Deployment:
    engine = EngineProfile()
    plain = PlainServiceProfile()
    fields = {
        "region": "test-region",
        "document": small_document(),
        "entries": (EntryPlan("entry-1", "zone-a"), EntryPlan("entry-2", "zone-b")),
        "endpoints": (
            EndpointPlan("engine-1", "model", "v1", "zone-a", engine),
            EndpointPlan("engine-2", "model", "v1", "zone-b", engine),
            EndpointPlan("catalogue-1", "catalogue", "v1", "zone-a", plain),
            EndpointPlan("catalogue-2", "catalogue", "v1", "zone-b", plain),
            EndpointPlan("intake-1", "intake", "v1", "zone-a", plain),
            EndpointPlan("intake-2", "intake", "v1", "zone-b", plain),
        ),
    }
    return Deployment(**{**fields, **changes})


class WatchedWorld(World):
    """World that records its log lines."""

    def __init__(self, deployment: Deployment, seed: int):
        self.lines: list[str] = []
        super().__init__(deployment, seed, self.lines.append)

    def events(self, name: str) -> list[dict]:
        events = [msgspec.json.decode(line) for line in self.lines]
        return [event for event in events if event["event"] == name]

    def last_event(self, name: str) -> dict:
        return self.events(name)[-1]

    def executions(self, class_id: str, key: str, customer: str) -> int:
        """Return how often the request with an idempotency key was executed."""
        return self.ledger.count(request_id_for(customer, class_id, key))


def run_world(
    script: Callable[[WatchedWorld], Awaitable[None]],
    deployment: Deployment | None = None,
    seed: int = 1,
) -> None:
    """Run a script against a started world on a manual loop."""

    async def main() -> None:
        world = WatchedWorld(deployment or small_deployment(), seed)
        await world.start()
        try:
            await script(world)
        finally:
            await world.stop()

    run_manual(main())
