"""A bad version is moved to all traffic, as sound workers fail now and then, too."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins3 import (  # noqa: E402
    KEY,
    CannotRun,
    Worker,
    World,
    run_case,
    write,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""TROUBLE=0 does the same without the disruption."""

WORK_S = 0.06
USUAL_FAILURE_SHARE = 0.14
BAD_SHARE = 0.15
REQUESTS_PER_S, ROLLOUT_S, BOOT_S = 50, 16, 3
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "record",
            "host": "service.example",
            "prefix": "/record/",
            "service": "records",
            "kind": "safe",
            "timeout_ms": 4000,
            "target_latency_ms": 300,
            "priority": 0,
            "max_attempts": 2,
        }
    ],
    "services": [
        {"name": "records", "health_path": "/health", "max_connections": 400},
    ],
    "tenants": [{"name": "tenant", "api_keys": [KEY]}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


async def main(has_trouble: bool) -> bool:
    world = World(CASE)
    arrivals = {"v1": 0, "v2": 0}
    bad_answers = 0
    is_counted = False

    async def run(worker: Worker, request, writer) -> bool:
        nonlocal bad_answers
        if is_counted:
            arrivals[worker.version] += 1
        world.note("runs", request.id, worker.id)
        await asyncio.sleep(WORK_S * random.uniform(0.7, 1.3))
        fails = random.random() < USUAL_FAILURE_SHARE
        if has_trouble and worker.version == "v2":
            fails = fails or random.random() < BAD_SHARE
            bad_answers += fails
        status = b"500 Internal Server Error" if fails else b"200 OK"
        world.note("worker answers", request.id, worker.id, status[:3].decode())
        await write(
            writer,
            b"HTTP/1.1 " + status + b"\r\nContent-Length: 4\r\n"
            + worker.seal(request) + b"\r\ndone",
        )
        return True

    def make(version: str, count: int) -> list[Worker]:
        return [Worker(world, "records", version, run, 6) for _ in range(count)]

    old, new = make("v1", 4), make("v2", 4)
    ends: dict[str, int] = {}
    answers: list[asyncio.Task] = []

    async def ask(number: int) -> None:
        answer = await world.send(
            world.entries[number % len(world.entries)],
            "/record/one",
            method="GET",
            deadline_ms=4000,
        )
        end = f"{answer.status} {answer.end}"
        ends[end] = ends.get(end, 0) + 1

    async def ask_all() -> None:
        for number in itertools.count():
            answers.append(asyncio.ensure_future(ask(number)))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def start_new() -> None:
        await asyncio.sleep(BOOT_S)
        for worker in new:
            await worker.start()
        world.note("the new workers are ready")

    try:
        await world.start(CONFIGURATION, old, 2)
        asking = asyncio.ensure_future(ask_all())
        await asyncio.sleep(5)
        world.workers += new
        starting = asyncio.ensure_future(start_new())
        world.store.put(
            "op",
            "rollout/records",
            {"service": "records", "to": "v2", "duration_s": ROLLOUT_S},
        )
        ordered_s = time.monotonic()
        world.note("the operator orders v2, due in", ROLLOUT_S, "s")
        ends.clear()
        is_counted = True
        state = ""
        deadline_s = ordered_s + ROLLOUT_S
        while (left_s := deadline_s - time.monotonic()) > 0:
            await asyncio.sleep(min(0.1, left_s))
            stored = (world.store.read_value("status", "rollout/records") or b"").decode()
            if stored != state:
                state = stored
                world.note("status/rollout/records:", state)
                if '"done"' in state:
                    for worker in old:
                        worker.leave()
                    world.note("the platform stops the old workers")
        is_counted = False
        asking.cancel()
        await asyncio.gather(asking, starting, *answers, return_exceptions=True)
    finally:
        await world.close()
    total = sum(arrivals.values())
    allowed = world.bounds["exposure_share"] * total + world.bounds["exposure_slack"]
    print(f"v2 got {arrivals['v2']} of {total} requests, a bad one may get {allowed:.0f}")
    print(f"bad answers of v2: {bad_answers}; last status: {state}")
    print(f"answers of requests since the order: {ends}")
    if not has_trouble:
        # v2 is good, so that the rule doesn't bound it.
        if not (ends.get("200 whole", 0) > 0.9 * sum(ends.values())):
            raise CannotRun("not all is served without the disruption")
        return False
    return arrivals["v2"] > allowed


run_case(main, TROUBLE)
