"""Simulated deployments with several data centres."""

import msgspec

from _monsoonpulley.config.document import Document
from _monsoonpulley.standins.engine_profile import EngineProfile
from _monsoonpulley.standins.plainservice import PlainServiceProfile
from _monsoonpulley.standins.world import EndpointPlan, EntryPlan

from ..support import WatchedWorld, run_world, small_deployment

SEEDS = (1, 2, 3, 4)
ZONES = ("zone-a", "zone-b", "zone-c")
LIST_LAG_MS = 30_000
SPREAD_MS = 3_000
SETTLE_MS = 8_000
LARGE_INTERVAL_MS = 20_000


def fleet_deployment(per_zone=3):
    entries = [
        EntryPlan(f"{zone}-entry-{n}", zone)
        for zone in ZONES
        for n in range(1, per_zone + 1)
    ]
    endpoints = []
    for zone in ZONES:
        for n in (1, 2):
            engine = EngineProfile()
            plain = PlainServiceProfile()
            endpoints += [
                EndpointPlan(f"{zone}-engine-{n}", "model", "v1", zone, engine),
                EndpointPlan(f"{zone}-lookup-{n}", "catalogue", "v1", zone, plain),
                EndpointPlan(f"{zone}-intake-{n}", "intake", "v1", zone, plain),
            ]
    return small_deployment(
        entries=tuple(entries),
        endpoints=tuple(endpoints),
        livelist_lag_ms=LIST_LAG_MS,
    )


def run_fleet(script, seed):
    """Run a script once the entry instances have exchanged digests."""

    async def script_after_settling(world: WatchedWorld):
        await world.clock.sleep_ms(SETTLE_MS)
        await script(world)

    run_world(script_after_settling, fleet_deployment(), seed)


def instances(world):
    return {name: entry.instance for name, entry in world.entries.items()}


def live_as_seen_by(instance, now_ms):
    return {member.instance for member in instance.membership.live_peers(now_ms)}


def changed_document(document: Document) -> Document:
    classes = dict(document.classes)
    lookup = classes["lookup"]
    classes["lookup"] = msgspec.structs.replace(lookup, max_body_bytes=4_321)
    return msgspec.structs.replace(document, classes=classes)


def partition_zone(world, zone):
    other_zones = [other for other in ZONES if other != zone]
    world.platform.network.partition({zone}, {"platform", *other_zones})
