"""Faults that the tests of the promises inject, in pairs."""

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
    """Let the store be unavailable for `OUTAGE_MS`."""
    world.platform.faults.set_outage(True)
    await world.clock.sleep_ms(OUTAGE_MS)
    world.platform.faults.set_outage(False)


@faults.register("store-slow")
async def store_slow(world: WatchedWorld, rng: random.Random) -> None:
    """Let the store answer each call after 400 to 1,500 ms."""
    world.platform.faults.set_latency(Latency(400, 1_500))
    await world.clock.sleep_ms(OUTAGE_MS)
    world.platform.faults.set_latency(None)


@faults.register("answers-lost")
async def answers_lost(world: WatchedWorld, rng: random.Random) -> None:
    """Lose the answers of the next commits, whose writes take effect."""
    world.platform.faults.fail_next_commits(FaultKind.LOST_ANSWER, rng.randrange(1, 4))


@faults.register("writes-delayed")
async def writes_delayed(world: WatchedWorld, rng: random.Random) -> None:
    """Let the next commits take effect seconds after their callers gave up."""
    world.platform.faults.fail_next_commits(
        FaultKind.DELAYED_EFFECT, rng.randrange(1, 4)
    )


@faults.register("entry-killed")
async def entry_killed(world: WatchedWorld, rng: random.Random) -> None:
    """Kill an entry instance without notice."""
    names = sorted(world.entries)
    if len(names) < 2:
        return
    name = rng.choice(names)
    world.kill_entry(name)
    world.platform.livelist.remove(name)


@faults.register("zone-reclaimed")
async def zone_reclaimed(world: WatchedWorld, rng: random.Random) -> None:
    """Reclaim a data centre's instances, about half before their notice ends."""
    world.platform.cloud.reclaim_zone("zone-b", NOTICE_MS, early_crash_probability=0.5)


@faults.register("endpoint-crashes")
async def endpoint_crashes(world: WatchedWorld, rng: random.Random) -> None:
    """Crash one engine and one endpoint of each plain service."""
    rng.choice(sorted(world.engines.items()))[1].crash()
    for prefix in ("intake", "catalogue"):
        names = [name for name in sorted(world.services) if name.startswith(prefix)]
        world.services[rng.choice(names)].crash()


@faults.register("connections-reset")
async def connections_reset(world: WatchedWorld, rng: random.Random) -> None:
    """Let plain services run a call and reset or crash before they answer."""
    for name in sorted(world.services):
        fault = rng.choice((PlainFault.RESET, PlainFault.CRASH_AFTER))
        world.services[name].inject(fault)


@faults.register("calls-executed-late")
async def calls_executed_late(world: WatchedWorld, rng: random.Random) -> None:
    """Let plain services run a call long after its caller gave up."""
    for name in sorted(world.services):
        world.services[name].inject(PlainFault.EXECUTE_LATE)


@faults.register("platform-unreachable")
async def platform_unreachable(world: WatchedWorld, rng: random.Random) -> None:
    """Partition a data centre from the platform and the other one for `OUTAGE_MS`."""
    world.platform.network.partition({"zone-a"}, {"zone-b", "platform"})
    await world.clock.sleep_ms(OUTAGE_MS)
    world.platform.network.reconnect_all()
