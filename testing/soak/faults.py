"""What may go wrong, each drawn from its own seeded generator.

A fault is injected, lasts a while and is removed. Its target is recorded as disturbed
for that time, so that the checks know which instances were undisturbed.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from _monsoonpulley.standins.rowstore import StoreFault

from .callers import BODY_CAUSE, PART_CAUSE, Caller
from .endpoints import Behaviour
from .link import Direction, Link
from .records import Disturbance
from .world import COLD_START_MS, RATE_PER_S, ZONES, World

Fault = Callable[[World, random.Random], Awaitable[None]]

FAULTS: dict[str, Fault] = {}

DRAIN_S = 4.0
"""From an endpoint's announcement that it leaves to its end: the drain timeout and a
margin."""

HEARTBEAT_S = 1.2
"""Interval at which a cold endpoint writes its row."""

ROW_EXPIRY_S = 1.5
"""Longest time until the row of a lost endpoint is removed."""


def fault(inject: Fault) -> Fault:
    """Register a fault under its function name."""
    FAULTS[inject.__name__] = inject
    return inject


@contextmanager
def _recorded_disturbance(world: World, target: str, kind: str) -> Iterator[None]:
    disturbance = world.records.start_disturbance(target, kind, world.clock.now_ms())
    yield
    disturbance.until_ms = world.clock.now_ms()


async def _wait(rng: random.Random, least_s: float, most_s: float) -> None:
    await asyncio.sleep(rng.uniform(least_s, most_s))


def _instance(world: World, rng: random.Random) -> str:
    return rng.choice(sorted(world.instances))


async def _endpoint(
    world: World, rng: random.Random, service: str | None = None
) -> str:
    """Choose an endpoint; if all have just crashed, wait for the next one."""
    while True:
        names = sorted(
            name
            for name, endpoint in world.endpoints.items()
            if service is None or endpoint.service == service
        )
        if names:
            return rng.choice(names)
        await asyncio.sleep(0.05)


@fault
async def kill_instance(world: World, rng: random.Random) -> None:
    """Kill an instance and start it again."""
    instance = world.instances[_instance(world, rng)]
    with _recorded_disturbance(world, instance.name, "kill"):
        await instance.kill()
        await _wait(rng, 0.1, 2)
        if not instance.is_running:
            await instance.start()


@fault
async def kill_all_instances(world: World, rng: random.Random) -> None:
    """Kill all instances at once, as a power loss does, and start them again."""
    instances = list(world.instances.values())
    disturbances = [
        world.records.start_disturbance(each.name, "kill", world.clock.now_ms())
        for each in instances
    ]
    await asyncio.gather(*(each.kill() for each in instances))
    await _wait(rng, 0.1, 1)
    await asyncio.gather(*(each.start() for each in instances if not each.is_running))
    for disturbance in disturbances:
        disturbance.until_ms = world.clock.now_ms()


@fault
async def stop_instance(world: World, rng: random.Random) -> None:
    """Stop an instance by SIGTERM and start it again."""
    instance = world.instances[_instance(world, rng)]
    with _recorded_disturbance(world, instance.name, "stop"):
        await instance.stop()
        await _wait(rng, 0.1, 1)
        if not instance.is_running:
            await instance.start()


@fault
async def pause_instance(world: World, rng: random.Random) -> None:
    """Pause the process of an instance."""
    instance = world.instances[_instance(world, rng)]
    with _recorded_disturbance(world, instance.name, "pause"):
        instance.signal(signal.SIGSTOP)
        await _wait(rng, 0.1, 6)
        instance.signal(signal.SIGCONT)


@fault
async def starve_instance(world: World, rng: random.Random) -> None:
    """Leave an instance a fifth of the processor, so that its timers are late."""
    instance = world.instances[_instance(world, rng)]
    with _recorded_disturbance(world, instance.name, "pause"):
        for _ in range(rng.randrange(5, 15)):
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(0.4)
            instance.signal(signal.SIGCONT)
            await asyncio.sleep(0.1)


@fault
async def pause_all_instances(world: World, rng: random.Random) -> None:
    """Pause every instance, as an overcommitted host does."""
    disturbances = []
    for instance in world.instances.values():
        disturbances.append(
            world.records.start_disturbance(
                instance.name, "pause", world.clock.now_ms()
            )
        )
        instance.signal(signal.SIGSTOP)
    await _wait(rng, 0.1, 3)
    for instance, disturbance in zip(
        world.instances.values(), disturbances, strict=True
    ):
        instance.signal(signal.SIGCONT)
        disturbance.until_ms = world.clock.now_ms()


@fault
async def reload_instance(world: World, rng: random.Random) -> None:
    """Change the settings file of an instance and signal a reload."""
    instance = world.instances[_instance(world, rng)]
    with _recorded_disturbance(world, instance.name, "reload"):
        instance.bounds["lease_duration_ms"] = rng.choice((3_000, 4_000))
        instance.write_settings()
        instance.signal(signal.SIGHUP)


async def _impair_link(link: Link, rng: random.Random) -> None:
    """Impair a link in a random way, some of them for 0.3 to 5 s."""
    kind = rng.choice(("delay", "reset", "refuse", "up", "down", "both", "silence"))
    if kind == "delay":
        link.delay_ms = rng.choice((20, 200, 800))
    elif kind == "reset":
        link.reset_all()
        return
    elif kind == "refuse":
        link.refuses_connections = True
        link.reset_all()
    elif kind == "silence":
        link.blackhole()
        return
    else:
        directions = {
            "up": [Direction.UP],
            "down": [Direction.DOWN],
            "both": list(Direction),
        }
        link.block(*directions[kind])
    await _wait(rng, 0.3, 5)
    link.heal()


@fault
async def impair_store_link(world: World, rng: random.Random) -> None:
    """Impair the link from an instance to the store."""
    name = _instance(world, rng)
    with _recorded_disturbance(world, name, "store link"):
        await _impair_link(world.store_links[name], rng)


@fault
async def impair_caller_link(world: World, rng: random.Random) -> None:
    """Impair the link from callers to an instance."""
    name = _instance(world, rng)
    with _recorded_disturbance(world, name, "caller link"):
        await _impair_link(world.caller_links[name], rng)


@fault
async def impair_endpoint_link(world: World, rng: random.Random) -> None:
    """Impair the link from the instances to an endpoint."""
    name = await _endpoint(world, rng)
    with _recorded_disturbance(world, name, "endpoint link"):
        await _impair_link(world.endpoint_links[name], rng)


@fault
async def impair_cloud_link(world: World, rng: random.Random) -> None:
    """Impair the link from the instances to the platform's API."""
    with _recorded_disturbance(world, "cloud", "link"):
        await _impair_link(world.cloud_link, rng)


@fault
async def trouble_store(world: World, rng: random.Random) -> None:
    """Let the store not answer, refuse requests or lose its answers."""
    with _recorded_disturbance(world, "store", "trouble"):
        world.store.fault = rng.choice(
            (StoreFault.SILENT, StoreFault.BUSY, StoreFault.LOST_ANSWER)
        )
        await _wait(rng, 0.3, 5)
        world.store.fault = StoreFault.NONE


@fault
async def drop_store_history(world: World, rng: random.Random) -> None:
    """Drop the change history from which the store serves its feeds."""
    with _recorded_disturbance(world, "store", "history"):
        world.store.discard_history()


@fault
async def return_store_to_copy(world: World, rng: random.Random) -> None:
    """Bring the store back from a copy 0.3 to 4 s old, after being away for a while.

    Operators and endpoints then write their rows again.
    """
    copy = world.store.take_copy()
    await _wait(rng, 0.3, 4)
    with _recorded_disturbance(world, "store", "lost writes"):
        world.store.fault = rng.choice((StoreFault.SILENT, StoreFault.BUSY))
        await _wait(rng, 0.1, 2)
        world.store.return_to(copy)
        for name in set(world.store.keys("servers")) - set(world.endpoints):
            world.store.remove("servers", name)
        world.store.fault = StoreFault.NONE
        await _wait(rng, 0, 1)
        world.write_rows_again()


@fault
async def lose_endpoint(world: World, rng: random.Random) -> None:
    """Crash an endpoint and give its address to another service."""
    name = await _endpoint(world, rng)
    endpoint = world.endpoints[name]
    with _recorded_disturbance(world, name, "lost"):
        endpoint.crash()
        await _wait(rng, 0.1, ROW_EXPIRY_S)
    if name not in world.endpoints:
        return
    address = world.remove_endpoint(name)
    await _wait(rng, 0.0, 2)
    used_by = {"app": "other", "other": "app"}[endpoint.service]
    await world.add_endpoint(used_by, address)
    await world.add_endpoint(endpoint.service)
    world.remove_surplus_endpoints()


@fault
async def drain_endpoint(world: World, rng: random.Random) -> None:
    """Drain an endpoint after it has announced that it leaves."""
    name = await _endpoint(world, rng, "app")
    endpoint = world.endpoints[name]
    await world.add_endpoint(endpoint.service)
    world.write_endpoint_row(endpoint, "draining")
    await asyncio.sleep(DRAIN_S)
    if name in world.endpoints:
        world.remove_endpoint(name)


@fault
async def set_endpoint_fault(world: World, rng: random.Random) -> None:
    """Let an endpoint misbehave for 0.5 to 5 s."""
    name = await _endpoint(world, rng)
    endpoint = world.endpoints[name]
    with _recorded_disturbance(world, name, "manner"):
        endpoint.pause_s = rng.uniform(0.3, 3)
        endpoint.behaviour = rng.choice(
            [m for m in Behaviour if m is not Behaviour.HEALTHY]
        )
        await _wait(rng, 0.5, 5)
        endpoint.behaviour = Behaviour.HEALTHY


@fault
async def say_leaving(world: World, rng: random.Random) -> None:
    """Let an endpoint say in its answers that it leaves, while its row doesn't."""
    name = await _endpoint(world, rng, "app")
    endpoint = world.endpoints[name]
    await world.add_endpoint(endpoint.service)
    endpoint.says_leaving = True
    await asyncio.sleep(DRAIN_S + rng.uniform(0, 2))
    if name in world.endpoints:
        world.remove_endpoint(name)


@fault
async def name_rate_limit(world: World, rng: random.Random) -> None:
    """Let an endpoint limit the requests from all instances for 5 to 9 s."""
    endpoint = world.endpoints[await _endpoint(world, rng, "app")]
    endpoint.limit_per_s = rng.choice((0.5, 1.6, 4.0))
    time = Disturbance(endpoint.name, "limit", world.clock.now_ms())
    world.records.limited.append(time)
    await _wait(rng, 5, 9)
    endpoint.limit_per_s = None
    time.until_ms = world.clock.now_ms()


@fault
async def make_endpoints_brittle(world: World, rng: random.Random) -> None:
    """Let the endpoints of a service have little room and bear few refusals."""
    refusals_per_s = rng.choice((2.0, 4.0, 8.0))
    time = Disturbance("app", "brittle", world.clock.now_ms())
    world.records.brittle.append(time)
    world.set_brittle("app", refusals_per_s)
    await _wait(rng, 6, 10)
    world.set_brittle("app", None)
    time.until_ms = world.clock.now_ms()


@fault
async def start_endpoints_cold(world: World, rng: random.Random) -> None:
    """Replace one or two endpoints by others that are cold after their start."""
    started = [
        await world.add_endpoint("app", cold_ms=COLD_START_MS)
        for _ in range(rng.choice((1, 2)))
    ]
    world.remove_surplus_endpoints()
    for _ in range(int(COLD_START_MS / 1000 / HEARTBEAT_S) + 1):
        await asyncio.sleep(HEARTBEAT_S)
        for endpoint in started:
            world.write_row_again(endpoint.name)


@fault
async def turn_endpoint_cold(world: World, rng: random.Random) -> None:
    """Let an endpoint turn cold without a restart, for 7 to 9 s."""
    endpoint = world.endpoints[await _endpoint(world, rng, "app")]
    cold_s = rng.uniform(7, 9)
    world.turn_cold(endpoint, round(cold_s * 1000))
    for _ in range(int(cold_s / HEARTBEAT_S) + 1):
        await asyncio.sleep(HEARTBEAT_S)
        world.write_row_again(endpoint.name)


@fault
async def silence_endpoint(world: World, rng: random.Random) -> None:
    """Hold back an endpoint's bytes for a second or so, which is no disturbance."""
    link = world.endpoint_links[await _endpoint(world, rng)]
    link.block(*Direction)
    await _wait(rng, 0.5, 1.4)
    link.heal()


@fault
async def change_configuration(world: World, rng: random.Random) -> None:
    """Write one configuration, or five in quick succession."""
    for _ in range(rng.choice((1, 1, 5))):
        world.write_configuration(rng.choice((RATE_PER_S, RATE_PER_S / 2)))
        await _wait(rng, 0.02, 0.4)


@fault
async def evacuate_zone(world: World, rng: random.Random) -> None:
    """Evacuate a data centre, and take it back after 7 to 11 s."""
    zone = rng.choice(ZONES)
    if world.evacuate(zone):
        await _wait(rng, 7, 11)
        world.take_back(zone)


@fault
async def send_crashing_requests(world: World, rng: random.Random) -> None:
    """Send requests that crash endpoints to all instances for 6 to 10 s.

    All of them have one part in their prompts, or all are the same request.
    """
    kind = rng.choice((PART_CAUSE, BODY_CAUSE))
    cause = f"{kind}{rng.getrandbits(32):x}"
    callers = [
        Caller(world, f"{name}-{cause}", name, random.Random(rng.random()))
        for name in world.instances
    ]
    end_ms = world.clock.now_ms() + rng.uniform(6_000, 10_000)
    while world.clock.now_ms() < end_ms:
        caller = rng.choice(callers)
        await caller.call("app" if kind == BODY_CAUSE else "stream", cause=cause)
        await _wait(rng, 0.1, 0.6)
    for caller in callers:
        caller.close()


def schedule(
    seed: int, count: int, length_s: float, names: tuple[str, ...] = ()
) -> list[tuple[float, str, int]]:
    """Return the start (in s), name and own seed of each fault of a seed.

    Faults are drawn from ``names``, by default from all.
    """
    rng = random.Random(seed)
    names = tuple(sorted(names or FAULTS))
    drawn = []
    while len(drawn) < count:
        at_s = rng.uniform(0, length_s)
        # Some draws give two faults in close succession, which may overlap.
        for _ in range(rng.choice((1, 1, 1, 2))):
            drawn.append((at_s, rng.choice(names), rng.getrandbits(32)))
            at_s += rng.uniform(0.05, 1.5)
    return sorted(drawn[:count])
