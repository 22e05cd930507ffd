"""Sessions in which a new version is ordered by configuration."""

from __future__ import annotations

import msgspec

from _monsoonpulley.config.document import Document, Version
from _monsoonpulley.standins.bad_version import BadEffect, BadVersion
from _monsoonpulley.standins.plainservice import PlainServiceProfile
from _monsoonpulley.standins.world import EndpointPlan

from ..deployments import LETTERS, lakes
from ..recorder import Session, session

NEW = "3.3"
WINDOW_MS = 95_000
GAP_MS = 140
LOOKUP = "/services/catalogue-lookup/frames?no="


@session("good-version", lakes, seed=41)
async def good_version(play: Session) -> None:
    """A version of the intake application is ordered and done in time."""
    await _order(play, PlainServiceProfile())
    await _look_up(play, 78_000)


@session("bad-version", lakes, seed=42)
async def bad_version(play: Session) -> None:
    """A version fails after a while; it is taken back and no caller notices."""
    late = BadVersion.bad_after(BadEffect.FAIL, after_ms=30_000)
    await _order(play, PlainServiceProfile(bad_versions={NEW: late}))
    await _look_up(play, 45_000)


async def _order(play: Session, profile: PlainServiceProfile) -> None:
    """Start endpoints of the version and name it with its deadline."""
    await play.sleep_ms(2_000)
    world = play.world
    for number, letter in enumerate(LETTERS):
        zone = f"lakes-east-{letter}"
        plan = EndpointPlan(f"intake-new-{number + 1}", "intake", NEW, zone, profile)
        world.platform.livelist.seed([world.add_endpoint(plan)])
    head = await world.config_store().read_head()
    deadline_wall_ms = world.clock.wall_ms() + WINDOW_MS
    ordered = _with_version(head.document, deadline_wall_ms)
    await world.apply(ordered, head.number, "release")
    play.note("operator_orders", version=NEW, deadline_wall_ms=deadline_wall_ms)


async def _look_up(play: Session, duration_ms: int) -> None:
    """Let customers look frames up at a steady rate; then show the verdict."""
    entries = sorted(play.world.entries)
    for number in range(duration_ms // GAP_MS):
        entry = entries[number % len(entries)]
        play.post(entry, "registrar", f"{LOOKUP}{number}", {})
        await play.sleep_ms(GAP_MS)
    await play.settle()
    await play.sleep_ms(2_500)
    entry = play.world.entries["entry-1"].instance
    for row in entry.rollout_view.rows():
        shares = entry.rollout_shares.shares(row.service)
        play.note("rollout_stands", row=row, shares=shares)


def _with_version(document: Document, deadline_wall_ms: int) -> Document:
    version = Version("intake", NEW, deadline_wall_ms)
    return msgspec.structs.replace(document, versions=(*document.versions, version))
