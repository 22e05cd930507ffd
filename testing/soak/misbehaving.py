"""Callers that don't behave, beside the others."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable, Iterable
from pathlib import Path

from ..crowds.clients import Crowd
from ..crowds.requests import RequestWriter, short_lines
from ..ingress.site import HOST
from .instances import CALLERS_PORT
from .world import OPEN_KEY, World

MEAN_PAUSE_S = 1.0
"""Mean time between two crowds at an instance."""

MAX_STAY_S = 2.0
"""Longest time for which a crowd stays once it has sent what it wants."""

SAMPLE_INTERVAL_S = 0.2
"""Interval of measuring the instances' memory and descriptors."""

BODY_BYTES, SMALL_CHUNKS_BYTES, TRAILER_BYTES = 4_000_000, 100_000, 500_000

WRITER = RequestWriter(HOST, OPEN_KEY, "/app/x")

Pieces = Callable[[int], Iterable[bytes]]

CROWDS: dict[str, tuple[int, Pieces]] = {
    "idle": (250, lambda _: []),
    "begun heads": (250, lambda _: [b"GET / HTTP/1.1\r\nHost: "]),
    "large chunks": (15, lambda _: WRITER.endless_chunks(65_536, BODY_BYTES)),
    "small chunks": (10, lambda _: WRITER.endless_chunks(2, SMALL_CHUNKS_BYTES)),
    "short lines": (100, lambda _: WRITER.unfinished(short_lines())),
    "trailers": (3, lambda _: WRITER.endless_trailers(b"ab:\r\n", TRAILER_BYTES)),
}
"""Number of clients and what each sends; none of their requests is ever complete."""


class MisbehavingCallers:
    """One crowd after the other at one instance.

    Parameters
    ----------
    world : World
        World that the instance belongs to.
    instance : str
        Name of the instance.
    rng : random.Random
        Chooses the crowds and when they come.
    """

    def __init__(self, world: World, instance: str, rng: random.Random):
        self._ip = world.instances[instance].ip
        self._rng = rng
        self._crowd: Crowd | None = None

    async def run(self) -> None:
        """Press on the instance until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))
            name = self._rng.choice(sorted(CROWDS))
            count, pieces = CROWDS[name]
            self._crowd = Crowd(self._ip, CALLERS_PORT)
            await self._crowd.press(count, pieces)
            await asyncio.sleep(self._rng.uniform(0, MAX_STAY_S))
            self.close()

    def close(self) -> None:
        """Reset the connections of the present crowd."""
        if self._crowd is not None:
            self._crowd.leave()
            self._crowd = None


async def measure_instances(world: World) -> None:
    """Record the most memory and descriptors of the instances until cancelled."""
    records = world.records
    while True:
        for instance in world.instances.values():
            if instance.is_running:
                memory_mb, descriptors = _measure(instance.pid)
                records.memory_mb = max(records.memory_mb, memory_mb)
                records.descriptors = max(records.descriptors, descriptors)
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _measure(pid: int) -> tuple[float, int]:
    folder = Path(f"/proc/{pid}")
    try:
        lines = (folder / "status").read_text().splitlines()
        descriptors = len(os.listdir(folder / "fd"))
    except (FileNotFoundError, ProcessLookupError, PermissionError):
        return 0.0, 0
    peak_kb = [int(line.split()[1]) for line in lines if line.startswith("VmHWM:")]
    return (peak_kb[0] * 1024 / 1_000_000 if peak_kb else 0.0), descriptors
