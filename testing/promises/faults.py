"""Faults that the tests of the promises bring about, one or two at a time."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

from _monsoonpulley.registry import Registry
from _monsoonpulley.standins.faults import FaultKind, Latency
from _monsoonpulley.standins.plainservice import PlainFault

from ..support import WatchedWorld

Fault = Callable[[WatchedWorld, random.Random], Awaitable[None]]

faults: Registry[Fault] = Registry("fault")

OUTAGE_MS = 4_000
NOTICE_MS = 4_000


@faults.register("store-outage")
async def store_outage(world: WatchedWorld, rng: random.Random) -> None:
    """The store is away for some seconds."""
    world.platform.faults.outage(True)
    await world.clock.sleep_ms(OUTAGE_MS)
    world.platform.faults.outage(False)


@faults.register("store-slow")
async def store_slow(world: WatchedWorld, rng: random.Random) -> None:
    """The store takes long for each call."""
    world.platform.faults.slow(Latency(400, 1_500))
    await world.clock.sleep_ms(OUTAGE_MS)
    world.platform.faults.slow(None)


@faults.register("answers-lost")
async def answers_lost(world: WatchedWorld, rng: random.Random) -> None:
    """Answers of commits are lost after the write took effect."""
    world.platform.faults.next_commit(FaultKind.LOST_ANSWER, rng.randrange(1, 4))


@faults.register("writes-delayed")
async def writes_delayed(world: WatchedWorld, rng: random.Random) -> None:
    """Commits take effect seconds after their callers gave up."""
    world.platform.faults.next_commit(FaultKind.DELAYED_EFFECT, rng.randrange(1, 4))


@faults.register("entry-killed")
async def entry_killed(world: WatchedWorld, rng: random.Random) -> None:
    """An entry instance dies without warning."""
    names = sorted(world.entries)
    if len(names) < 2:
        return
    name = rng.choice(names)
    world.kill_entry(name)
    world.platform.livelist.remove(name)


@faults.register("zone-reclaimed")
async def zone_reclaimed(world: WatchedWorld, rng: random.Random) -> None:
    """A data centre's instances are taken, some before their notice ends."""
    world.platform.cloud.reclaim_zone("zone-b", NOTICE_MS, early_crash_probability=0.5)


@faults.register("endpoint-crashes")
async def endpoint_crashes(world: WatchedWorld, rng: random.Random) -> None:
    """One engine and one endpoint of each plain service die."""
    rng.choice(sorted(world.engines.items()))[1].crash()
    for prefix in ("intake", "catalogue"):
        names = [name for name in sorted(world.services) if name.startswith(prefix)]
        world.services[rng.choice(names)].crash()


@faults.register("connections-reset")
async def connections_reset(world: WatchedWorld, rng: random.Random) -> None:
    """Plain services run calls and lose the connection before they answer."""
    for name in sorted(world.services):
        fault = rng.choice((PlainFault.RESET, PlainFault.CRASH_AFTER))
        world.services[name].inject(fault)


@faults.register("calls-executed-late")
async def calls_executed_late(world: WatchedWorld, rng: random.Random) -> None:
    """Plain services run a call long after its caller has given up."""
    for name in sorted(world.services):
        world.services[name].inject(PlainFault.EXECUTE_LATE)


@faults.register("platform-cut-off")
async def platform_cut_off(world: WatchedWorld, rng: random.Random) -> None:
    """A data centre can't reach the platform or the other one for a while."""
    world.platform.network.partition({"zone-a"}, {"zone-b", "platform"})
    await world.clock.sleep_ms(OUTAGE_MS)
    world.platform.network.heal_all()
