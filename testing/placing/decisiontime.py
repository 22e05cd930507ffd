"""Time of a placement decision: ``python -m testing.placing.decisiontime``."""

from __future__ import annotations

import random
import time

from _monsoonpulley.ids import EndpointId
from _monsoonpulley.placing.placer import Requirements
from _monsoonpulley.placing.promptcacheindex import PromptPart

from .fleetplay import Instance, make_endpoint

DECISIONS = 1_000
SAMPLES = 32


def main() -> None:
    """Print the time of a decision, and of computing the endpoints' speeds."""
    for count in (30, 300):
        for speeds in ((1.0,), (0.6, 1.0, 1.6)):
            instance = Instance("i-0", 1)
            endpoints = tuple(make_endpoint(f"engine-{n}") for n in range(count))
            rng = random.Random(1)
            for number in range(SAMPLES * count):
                engine = EndpointId(f"engine-{number % count}")
                speed, now_ms = speeds[number % count % len(speeds)], 500 * number
                wait = rng.uniform(1, 1.5) / speed
                learned = instance.models.speeds
                learned.record_first_event(engine, 5_000, 100 * wait, now_ms // count)
                learned.record_stream(engine, 5, [30 * wait] * 5, now_ms // count)
            begin_s = time.perf_counter()
            instance.models.refresh_speeds(endpoints, 20_000)
            refresh_ms = 1000 * (time.perf_counter() - begin_s)
            parts = tuple(PromptPart(f"part-{n}", 1_000) for n in range(3))
            requirements = Requirements(True, parts, 3_000, 3_000, 9_000)
            begin_s = time.perf_counter()
            for _ in range(DECISIONS):
                instance.placer.choose(requirements, endpoints, set(), "zone-a", 20_000)
            took_us = 1e6 * (time.perf_counter() - begin_s) / DECISIONS
            print(
                f"{count} endpoints, speeds {speeds}: decision {took_us:.0f} us,"
                f" refresh {refresh_ms:.1f} ms"
            )


if __name__ == "__main__":
    main()
