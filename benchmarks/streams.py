"""Evacuation plans for a reclaimed engine: ``python -m benchmarks.streams``.

Long reports stream through a real entry instance on manual time while an engine is
reclaimed at short notice. Prints for each plan, summed over seeds, the recomputed
tokens and the tokens that came later than the target allows, and
the writes that checkpoints of streams would cost the platform.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from itertools import pairwise

import msgspec

from _monsoonpulley.config.document import (
    Customer,
    Document,
    RequestClass,
    Service,
    ServiceKind,
    Version,
)
from _monsoonpulley.gateway.credentials import credential_sha256
from _monsoonpulley.ids import EndpointId
from _monsoonpulley.requests.evacuation import (
    Conditions,
    EngineStream,
    EvacuationMethod,
    EvacuationPlan,
    EvacuationStep,
    plan_evacuation,
)
from _monsoonpulley.standins.engine_profile import EngineProfile
from _monsoonpulley.standins.manualloop import run_manual
from _monsoonpulley.standins.world import (
    Deployment,
    EndpointPlan,
    EntryPlan,
    World,
)

CUSTOMER = "bench-credential"
SEEDS = range(1, 9)
ENGINES = 6
STREAMS = 24
NOTICES_MS = (2_000, 5_000, 15_000)
TOKEN_GAP_MS = 100
PROFILE = EngineProfile(kv_bytes_per_token=8_192, kv_bytes_per_ms=32_768)

PEAK_TOKENS_PER_S = 2_600_000
TOKEN_GAP_AT_PEAK_MS = 40
PLATFORM_WRITES_PER_S = 300


def planner_for(method: EvacuationMethod, is_late: bool):
    """Return a planner that uses one method for every stream."""

    def plan(
        endpoint: EndpointId,
        streams: Sequence[EngineStream],
        conditions: Conditions,
        now_ms: int,
    ) -> EvacuationPlan:
        available_ms = max(0, conditions.notice_left_ms - conditions.margin_ms)
        start_ms = available_ms if is_late else 0
        steps = [
            EvacuationStep(each.request_id, method, start_ms, 0, 0) for each in streams
        ]
        return EvacuationPlan(
            rule=method.value,
            endpoint=endpoint,
            steps=tuple(steps),
            streams=tuple(streams),
            conditions=conditions,
            now_ms=now_ms,
        )

    return plan


PLANNERS = {
    "wait for the loss": planner_for(EvacuationMethod.FINISH, is_late=False),
    "recompute at once": planner_for(EvacuationMethod.RECOMPUTE, is_late=False),
    "recompute late": planner_for(EvacuationMethod.RECOMPUTE, is_late=True),
    "plan": plan_evacuation,
}


class Outcome(msgspec.Struct):
    """Results of one run."""

    recomputed_tokens: int
    late_tokens: int
    longest_gap_ms: int
    unfinished_count: int


def deployment() -> Deployment:
    """Return a deployment of one entry instance and its engines."""
    document = Document(
        classes={"report": RequestClass("model", 60_000)},
        customers={"bench": Customer(credential_sha256(CUSTOMER))},
        services={"model": Service(ServiceKind.MODEL)},
        versions=(Version("model", "v1"),),
    )
    engines = tuple(
        EndpointPlan(f"engine-{number}", "model", "v1", "zone-a", PROFILE)
        for number in range(ENGINES)
    )
    return Deployment("bench", document, (EntryPlan("entry-1", "zone-a"),), engines)


async def play(planner, seed: int, notice_ms: int) -> Outcome:
    """Stream reports while one engine is reclaimed, and return the results."""
    rng = random.Random(seed)
    world = World(deployment(), seed, lambda line: None)
    await world.start()
    world.entries["entry-1"].instance.evacuator.planner = planner
    times_by_stream: list[list[int]] = [[] for _ in range(STREAMS)]
    tasks = []
    for number in range(STREAMS):
        words = rng.randrange(200, 1_200)
        body = {
            "model": "report",
            "prompt": f"report {number} " + "gesso " * words,
            "max_tokens": rng.randrange(100, 1_500),
            "stream": True,
        }
        caller = world.caller("entry-1", CUSTOMER)
        part_times_ms = times_by_stream[number]
        on_chunk = _time_recorder(world, part_times_ms)
        tasks.append(
            asyncio.create_task(
                caller.post_json("/v1/completions", body, on_chunk=on_chunk)
            )
        )
        await world.clock.sleep_ms(rng.randrange(20, 120))
    await world.clock.sleep_ms(1_000)
    reclaimed_name = f"engine-{rng.randrange(ENGINES)}"
    recomputed_before = _recomputed_tokens(world)
    world.platform.cloud.reclaim(reclaimed_name, notice_ms)
    answers = [await task for task in tasks]
    outcome = _outcome(world, times_by_stream, recomputed_before)
    outcome.unfinished_count = sum(b"[DONE]" not in answer.body for answer in answers)
    await world.stop()
    return outcome


def _time_recorder(world: World, part_times_ms: list[int]):
    return lambda part: part_times_ms.append(world.clock.now_ms())


def _recomputed_tokens(world: World) -> int:
    engines = world.engines.values()
    return sum(engine.counters.recomputed_prompt_tokens for engine in engines)


def _outcome(
    world: World, times_by_stream: list[list[int]], recomputed_before: int
) -> Outcome:
    gaps = [
        later - earlier
        for part_times_ms in times_by_stream
        for earlier, later in pairwise(part_times_ms)
    ]
    late_tokens = sum(gap > TOKEN_GAP_MS for gap in gaps)
    return Outcome(
        _recomputed_tokens(world) - recomputed_before,
        late_tokens,
        max(gaps, default=0),
        0,
    )


def compare_planners() -> None:
    """Print a line for each planner and notice time."""
    print(f"{len(SEEDS)} seeds, {STREAMS} reports at {ENGINES} engines, sums:")
    for notice_ms in NOTICES_MS:
        for name, planner in PLANNERS.items():
            outcomes = [run_manual(play(planner, seed, notice_ms)) for seed in SEEDS]
            print(
                f"notice {notice_ms / 1000:4.0f} s  {name:<18} "
                f"recomputed {sum(each.recomputed_tokens for each in outcomes):7} "
                f"tokens  "
                f"late {sum(each.late_tokens for each in outcomes):4} tokens  "
                f"longest gap {max(each.longest_gap_ms for each in outcomes):6} ms  "
                f"unfinished {sum(each.unfinished_count for each in outcomes)}"
            )


def print_checkpoint_cost() -> None:
    """Print the writes that checkpoints need at the peak expected in two years."""
    concurrent_streams = PEAK_TOKENS_PER_S * TOKEN_GAP_AT_PEAK_MS / 1000
    print(f"concurrent streams at the peak: {concurrent_streams:.0f}")
    for interval_s in (10, 60, 300):
        writes = concurrent_streams / interval_s
        share = PLATFORM_WRITES_PER_S / writes
        print(
            f"one checkpoint every {interval_s:3} s: {writes:6.0f} writes/s; "
            f"all of {PLATFORM_WRITES_PER_S} writes/s cover {share:.1%} of streams"
        )


if __name__ == "__main__":
    compare_planners()
    print_checkpoint_cost()
