"""Sessions in which a configuration orders a new version."""

from __future__ import annotations

import msgspec

from _monsoonpulley.config.document import Document, Version
from _monsoonpulley.standins.bad_version import BadEffect, BadVersion
from _monsoonpulley.standins.plainservice import PlainServiceProfile
from _monsoonpulley.standins.world import EndpointPlan

from ..deployments import LETTERS, lakes
from ..recorder import Session, session

NEW_VERSION = "3.3"
ROLLOUT_WINDOW_MS = 95_000
LOOKUP_GAP_MS = 140
LOOKUP_PATH = "/services/catalogue-lookup/frames?no="


@session("good-version", lakes, seed=41)
async def good_version(play: Session) -> None:
    """Order a version of the intake application, which is rolled out in time."""
    await _order_version(play, PlainServiceProfile())
    await _send_lookups(play, 78_000)


@session("bad-version", lakes, seed=42)
async def bad_version(play: Session) -> None:
    """Order a version that fails after 30 s and is rolled back, unseen by callers."""
    late = BadVersion.delayed(BadEffect.FAIL, after_ms=30_000)
    await _order_version(play, PlainServiceProfile(bad_versions={NEW_VERSION: late}))
    await _send_lookups(play, 45_000)


async def _order_version(play: Session, profile: PlainServiceProfile) -> None:
    """Start endpoints of the new version and order it with a deadline."""
    await play.sleep_ms(2_000)
    world = play.world
    for number, letter in enumerate(LETTERS):
        zone = f"lakes-east-{letter}"
        plan = EndpointPlan(
            f"intake-new-{number + 1}", "intake", NEW_VERSION, zone, profile
        )
        world.platform.livelist.seed([world.add_endpoint(plan)])
    head = await world.config_store().read_head()
    deadline_wall_ms = world.clock.wall_ms() + ROLLOUT_WINDOW_MS
    ordered = _with_version(head.document, deadline_wall_ms)
    await world.apply(ordered, head.number, "release")
    play.record_event(
        "operator_orders", version=NEW_VERSION, deadline_wall_ms=deadline_wall_ms
    )


async def _send_lookups(play: Session, duration_ms: int) -> None:
    """Send lookups at a steady rate, then record the state of the roll-out."""
    entries = sorted(play.world.entries)
    for number in range(duration_ms // LOOKUP_GAP_MS):
        entry = entries[number % len(entries)]
        play.post(entry, "registrar", f"{LOOKUP_PATH}{number}", {})
        await play.sleep_ms(LOOKUP_GAP_MS)
    await play.wait_for_answers()
    await play.sleep_ms(2_500)
    entry = play.world.entries["entry-1"].instance
    for row in entry.rollout_view.rows():
        shares = entry.rollout_shares.shares(row.service)
        play.record_event("rollout_stands", row=row, shares=shares)


def _with_version(document: Document, deadline_wall_ms: int) -> Document:
    version = Version("intake", NEW_VERSION, deadline_wall_ms)
    return msgspec.structs.replace(document, versions=(*document.versions, version))
