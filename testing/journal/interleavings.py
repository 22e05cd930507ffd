"""Seeded random interleavings of all actions of a world."""

from __future__ import annotations

import random
from collections import Counter

from .world import World

ACTION_COUNT = 12


def random_action(world: World, rng: random.Random) -> None:
    """Perform one random action on the world."""
    index = rng.randrange(3)
    action = rng.choice(
        ("submit",) * 4
        + ("tick",) * 5
        + ("faults", "faults", "store", "room", "crash", "pause", "resume")
        + ("recover", "recover", "suspect", "collect", "stop")
    )
    if action == "submit":
        body = rng.choice((b"book", b"book", b"book a frame of the gallery"))
        world.submit(index, rng.choice(("k1", "k2")), body)
    elif action == "tick":
        world.tick(rng.choice((1, 3, 7, 20, 300, 3_000, 70_000)))
    elif action == "faults":
        world.faults_per_hundred = rng.choice((0, 20, 60, 100))
    elif action == "store":
        world.table.is_down = rng.random() < 0.4
        world.objects.is_down = world.table.is_down
    elif action == "room":
        world.endpoints.has_room = rng.random() < 0.7
    elif action == "suspect":
        world.recover(index, rng.randrange(3))
    elif action == "stop":
        world.stop(index, rng.choice((0, 100, 5_000)))
    else:
        getattr(world, action)(index)


def run_interleaving(seed: int, outcomes: Counter) -> list[str]:
    """Run one seeded interleaving; return its violations."""
    rng = random.Random(f"actions/{seed}")
    can_look_up, merge = rng.random() < 0.5, rng.random() < 0.5
    world = World(seed, can_look_up=can_look_up, merge=merge)
    try:
        for _ in range(ACTION_COUNT):
            random_action(world, rng)
        world.heal()
        outcomes.update(world.outcomes)
        return world.violations
    finally:
        world.close()
