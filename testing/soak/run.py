"""Play one seed and find the promises that were broken."""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path

import msgspec

from .callers import CONNECTIONS_PER_INSTANCE, REPORTS_PER_INSTANCE, Caller
from .faults import FAULTS, schedule
from .misbehaving import MisbehavingCallers, measure_instances
from .promises import RECOVERY_TIMEOUT_MS, STABLE_MS, find_violations
from .records import Records
from .world import World, encode_records

WARM_UP_S = 1.0
"""Time with requests before the first fault."""

SETTLE_S = STABLE_MS / 1000 + 1
"""Time with requests after the last fault: longer than `STABLE_MS`, so that all
instances become undisturbed and are checked as such."""


class Plan(msgspec.Struct, frozen=True):
    """Parameters of a run.

    Attributes
    ----------
    seed : int
        Seed of the faults and the requests.
    length_s : float
        Time in which faults start.
    fault_count : int
        Number of faults.
    instance_count : int
        Number of entry instances, each a process.
    fault_names : tuple of str
        Faults that are drawn from; empty for all.
    """

    seed: int
    length_s: float = 15.0
    fault_count: int = 12
    instance_count: int = 4
    fault_names: tuple[str, ...] = ()


class Outcome(msgspec.Struct):
    """Result of a run."""

    plan: Plan
    violations: list[str]
    call_count: int
    answered_count: int
    faults: list[str]
    records: Records


async def play(plan: Plan, folder: Path) -> Outcome:
    """Play a seed; write settings and logs of the instances to ``folder``."""
    rng = random.Random(plan.seed)
    world = World(folder, random.Random(rng.random()), plan.instance_count)
    faults = schedule(plan.seed, plan.fault_count, plan.length_s, plan.fault_names)
    try:
        await world.start()
        callers = [
            Caller(world, f"{name}-c{number}", name, random.Random(rng.random()))
            for name in world.instances
            for number in range(CONNECTIONS_PER_INSTANCE)
        ]
        reporters = [
            Caller(world, f"{name}-r{number}", name, random.Random(rng.random()))
            for name in world.instances
            for number in range(REPORTS_PER_INSTANCE)
        ]
        # Their own generators: the others draw as they did without them.
        misbehaving = [
            MisbehavingCallers(world, name, random.Random(f"{plan.seed}-{name}"))
            for name in world.instances
        ]
        caller_tasks = [asyncio.create_task(caller.run()) for caller in callers]
        caller_tasks += [asyncio.create_task(r.run_reports()) for r in reporters]
        caller_tasks += [asyncio.create_task(each.run()) for each in misbehaving]
        caller_tasks.append(asyncio.create_task(measure_instances(world)))
        await asyncio.sleep(WARM_UP_S)
        await _play_faults(world, faults)
        await world.heal()
        await _wait_until_serving(world)
        await asyncio.sleep(SETTLE_S)
        for task in caller_tasks:
            task.cancel()
        results = await asyncio.gather(*caller_tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result
        for caller in (*callers, *reporters, *misbehaving):
            caller.close()
    finally:
        await world.stop()
    records = world.records
    return Outcome(
        plan=plan,
        violations=find_violations(records),
        call_count=len(records.calls),
        answered_count=sum(call.status == 200 for call in records.calls.values()),
        faults=[f"{at_s:5.1f} s {name}" for at_s, name, _ in faults],
        records=records,
    )


async def _play_faults(world: World, faults: list[tuple[float, str, int]]) -> None:
    async def play_one(at_s: float, name: str, seed: int) -> None:
        await asyncio.sleep(at_s)
        await FAULTS[name](world, random.Random(seed))

    await asyncio.gather(*(play_one(*each) for each in faults))


async def _wait_until_serving(world: World) -> None:
    """Record when each instance serves again after the last disturbance."""

    async def wait(name: str) -> None:
        caller = Caller(world, f"{name}-probe", name, random.Random(name))
        served = world.records.served_again_ms
        served[name] = -1
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_MS / 1000):
                while True:
                    call = await caller.call("other")
                    if call is not None and call.status == 200:
                        served[name] = world.clock.now_ms()
                        return
                    await asyncio.sleep(0.1)
        except TimeoutError:
            return
        finally:
            caller.close()

    await asyncio.gather(*(wait(name) for name in world.instances))


def play_seed(plan: Plan, keep: Path | None = None) -> Outcome:
    """Play a seed in its own event loop; keep logs and records of a failed run."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        outcome = asyncio.run(play(plan, Path(folder)))
        if outcome.violations and keep is not None:
            kept = keep / f"seed-{plan.seed}"
            kept.mkdir(parents=True, exist_ok=True)
            for log in Path(folder).glob("*.log"):
                (kept / log.name).write_bytes(log.read_bytes())
            (kept / "records.json").write_bytes(encode_records(outcome.records))
    return outcome
