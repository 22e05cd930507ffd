"""What may go wrong, each drawn from its own seeded generator.

A fault harms, waits and heals. What it harms is noted as a disturbance from the
harm to the healing, so that the checks know which instances were calm.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from _monsoonpulley.standins.rowstore import StoreFault

from .endpoints import Manner
from .link import Direction, Link
from .world import RATE_PER_S, World

Fault = Callable[[World, random.Random], Awaitable[None]]

FAULTS: dict[str, Fault] = {}

DRAIN_S = 4.0
"""From an endpoint's announcement to its end, as the platform's drain bound and a
margin."""

LAPSE_S = 1.5
"""Until the row of a lost endpoint is removed."""


def fault(play: Fault) -> Fault:
    """Register a fault by its name."""
    FAULTS[play.__name__] = play
    return play


@contextmanager
def _harmed(world: World, what: str, kind: str) -> Iterator[None]:
    disturbance = world.records.begin(what, kind, world.clock.now_ms())
    yield
    disturbance.until_ms = world.clock.now_ms()


async def _wait(rng: random.Random, least_s: float, most_s: float) -> None:
    await asyncio.sleep(rng.uniform(least_s, most_s))


def _instance(world: World, rng: random.Random) -> str:
    return rng.choice(sorted(world.instances))


def _endpoint(world: World, rng: random.Random, service: str | None = None) -> str:
    names = sorted(
        name
        for name, endpoint in world.endpoints.items()
        if service is None or endpoint.service == service
    )
    return rng.choice(names)


@fault
async def kill_instance(world: World, rng: random.Random) -> None:
    """An instance is killed and starts again."""
    instance = world.instances[_instance(world, rng)]
    with _harmed(world, instance.name, "kill"):
        await instance.kill()
        await _wait(rng, 0.1, 2)
        if not instance.is_running:
            await instance.start()


@fault
async def kill_all_instances(world: World, rng: random.Random) -> None:
    """Power is lost everywhere."""
    instances = list(world.instances.values())
    harms = [
        world.records.begin(each.name, "kill", world.clock.now_ms())
        for each in instances
    ]
    await asyncio.gather(*(each.kill() for each in instances))
    await _wait(rng, 0.1, 1)
    await asyncio.gather(*(each.start() for each in instances if not each.is_running))
    for harm in harms:
        harm.until_ms = world.clock.now_ms()


@fault
async def stop_instance(world: World, rng: random.Random) -> None:
    """An instance is told to stop and starts again."""
    instance = world.instances[_instance(world, rng)]
    with _harmed(world, instance.name, "stop"):
        await instance.stop()
        await _wait(rng, 0.1, 1)
        if not instance.is_running:
            await instance.start()


@fault
async def pause_instance(world: World, rng: random.Random) -> None:
    """An instance stands still for a while."""
    instance = world.instances[_instance(world, rng)]
    with _harmed(world, instance.name, "pause"):
        instance.signal(signal.SIGSTOP)
        await _wait(rng, 0.1, 6)
        instance.signal(signal.SIGCONT)


@fault
async def pause_all_instances(world: World, rng: random.Random) -> None:
    """Every instance stands still, as when a host is overcommitted."""
    harms = []
    for instance in world.instances.values():
        harms.append(world.records.begin(instance.name, "pause", world.clock.now_ms()))
        instance.signal(signal.SIGSTOP)
    await _wait(rng, 0.1, 3)
    for instance, harm in zip(world.instances.values(), harms, strict=True):
        instance.signal(signal.SIGCONT)
        harm.until_ms = world.clock.now_ms()


@fault
async def reload_instance(world: World, rng: random.Random) -> None:
    """The settings file of an instance changes, with a signal."""
    instance = world.instances[_instance(world, rng)]
    with _harmed(world, instance.name, "reload"):
        instance.bounds["lease_duration_ms"] = rng.choice((3_000, 4_000))
        instance.write_settings()
        instance.signal(signal.SIGHUP)


async def _harm_link(link: Link, rng: random.Random) -> None:
    """Harm a link in one of its ways for some seconds."""
    kind = rng.choice(("delay", "reset", "refuse", "up", "down", "both", "silence"))
    if kind == "delay":
        link.delay_ms = rng.choice((20, 200, 800))
    elif kind == "reset":
        link.reset_all()
        return
    elif kind == "refuse":
        link.refuses = True
        link.reset_all()
    elif kind == "silence":
        link.silence()
        return
    else:
        cuts = {"up": [Direction.UP], "down": [Direction.DOWN], "both": list(Direction)}
        link.cut(*cuts[kind])
    await _wait(rng, 0.3, 5)
    link.heal()


@fault
async def harm_store_link(world: World, rng: random.Random) -> None:
    """An instance's way to the store is harmed."""
    name = _instance(world, rng)
    with _harmed(world, name, "store link"):
        await _harm_link(world.store_links[name], rng)


@fault
async def harm_caller_link(world: World, rng: random.Random) -> None:
    """The way from callers to an instance is harmed."""
    name = _instance(world, rng)
    with _harmed(world, name, "caller link"):
        await _harm_link(world.caller_links[name], rng)


@fault
async def harm_endpoint_link(world: World, rng: random.Random) -> None:
    """The way to an endpoint is harmed."""
    name = _endpoint(world, rng)
    with _harmed(world, name, "endpoint link"):
        await _harm_link(world.endpoint_links[name], rng)


@fault
async def harm_cloud_link(world: World, rng: random.Random) -> None:
    """The platform's API is hard to reach."""
    with _harmed(world, "cloud", "link"):
        await _harm_link(world.cloud_link, rng)


@fault
async def trouble_store(world: World, rng: random.Random) -> None:
    """The store answers nobody, refuses, or loses its answers."""
    with _harmed(world, "store", "trouble"):
        world.store.fault = rng.choice(
            (StoreFault.SILENT, StoreFault.BUSY, StoreFault.LOST_ANSWER)
        )
        await _wait(rng, 0.3, 5)
        world.store.fault = StoreFault.NONE


@fault
async def forget_history(world: World, rng: random.Random) -> None:
    """The store forgets what its feeds could tell."""
    with _harmed(world, "store", "history"):
        world.store.discard_history()


@fault
async def lose_endpoint(world: World, rng: random.Random) -> None:
    """An endpoint is lost; another service gets its address."""
    name = _endpoint(world, rng)
    endpoint = world.endpoints[name]
    with _harmed(world, name, "lost"):
        endpoint.die()
        await _wait(rng, 0.1, LAPSE_S)
    if name not in world.endpoints:
        return
    address = world.remove_endpoint(name)
    await _wait(rng, 0.0, 2)
    used_by = {"app": "other", "other": "app"}[endpoint.service]
    await world.add_endpoint(used_by, address)
    await world.add_endpoint(endpoint.service)
    world.thin_out()


@fault
async def drain_endpoint(world: World, rng: random.Random) -> None:
    """An endpoint announces that it leaves, and leaves."""
    name = _endpoint(world, rng, "app")
    endpoint = world.endpoints[name]
    await world.add_endpoint(endpoint.service)
    world.describe(endpoint, "draining")
    await asyncio.sleep(DRAIN_S)
    if name in world.endpoints:
        world.remove_endpoint(name)


@fault
async def sicken_endpoint(world: World, rng: random.Random) -> None:
    """An endpoint fails in part."""
    name = _endpoint(world, rng)
    endpoint = world.endpoints[name]
    with _harmed(world, name, "manner"):
        endpoint.manner = rng.choice([m for m in Manner if m is not Manner.SOUND])
        await _wait(rng, 0.5, 5)
        endpoint.manner = Manner.SOUND


@fault
async def change_configuration(world: World, rng: random.Random) -> None:
    """The operators write configurations, some of them in quick succession."""
    for _ in range(rng.choice((1, 1, 5))):
        world.configure(rng.choice((RATE_PER_S, RATE_PER_S / 2)))
        await _wait(rng, 0.02, 0.4)


def schedule(seed: int, count: int, length_s: float) -> list[tuple[float, str, int]]:
    """Return the faults of a seed: when, which, and the seed of its choices."""
    rng = random.Random(seed)
    names = sorted(FAULTS)
    drawn = []
    while len(drawn) < count:
        at_s = rng.uniform(0, length_s)
        # Faults of one kind in series, and others beside them.
        for _ in range(rng.choice((1, 1, 1, 2))):
            drawn.append((at_s, rng.choice(names), rng.getrandbits(32)))
            at_s += rng.uniform(0.05, 1.5)
    return sorted(drawn[:count])
