"""A bad version whose slow answers no client waits for is moved to all traffic."""

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

FIRST_EVENT_S, EVENT_S, EVENTS = 0.28, 0.02, 8
SLOW_FACTOR, SLOW_SHARE = 8, 0.5
PATIENCE_S = 2.0
REQUESTS_PER_S, ROLLOUT_S = 50, 16
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "question",
            "host": "service.example",
            "prefix": "/question/",
            "service": "engine",
            "kind": "streaming",
            "timeout_ms": 12000,
            "target_latency_ms": 300,
            "target_gap_ms": 200,
            "priority": 0,
            "max_attempts": 1,
            "resume_streams": False,
        }
    ],
    "services": [
        {
            "name": "engine",
            "health_path": "/health",
            "max_connections": 400,
            "engine": {"slots": 32, "kv_cache_tokens": 500000},
        }
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
    is_counted = False

    async def run(worker: Worker, request, writer) -> bool:
        if is_counted:
            arrivals[worker.version] += 1
        world.note("reaches", request.id, worker.id)
        is_slow = (
            has_trouble and worker.version == "v2" and random.random() < SLOW_SHARE
        )
        factor = SLOW_FACTOR if is_slow else 1
        await asyncio.sleep(FIRST_EVENT_S * factor)
        world.note("runs", request.id, worker.id, "slowly" if is_slow else "")
        await write(
            writer,
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n" + worker.seal(request) + b"\r\n",
        )
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: token\n\n" % number
            await write(writer, b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_S * factor)
        await write(writer, b"0\r\n\r\n")
        return True

    def make(version: str, count: int) -> list[Worker]:
        return [Worker(world, "engine", version, run, 32) for _ in range(count)]

    old, new = make("v1", 4), make("v2", 4)
    ends: dict[str, int] = {}
    answers: list[asyncio.Task] = []

    async def ask(number: int) -> None:
        answer = await world.send(
            world.entries[number % len(world.entries)],
            "/question/ask",
            body=b"a question",
            headers={
                "Monsoonpulley-Model": "m",
                "Monsoonpulley-Token-Counts": "40,48",
                "Monsoonpulley-Prompt-Prefix": f"{number + 10:x}:40",
            },
            patience_s=PATIENCE_S,
        )
        end = f"{answer.status} {answer.end}"
        ends[end] = ends.get(end, 0) + 1

    async def ask_all() -> None:
        for number in itertools.count():
            answers.append(asyncio.ensure_future(ask(number)))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    try:
        await world.start(CONFIGURATION, old, 2)
        asking = asyncio.ensure_future(ask_all())
        await asyncio.sleep(5)
        for worker in new:
            await worker.start()
        world.workers += new
        world.store.put(
            "op",
            "rollout/engine",
            {"service": "engine", "to": "v2", "duration_s": ROLLOUT_S},
        )
        ordered_s = time.monotonic()
        world.note("the operator orders v2, due in", ROLLOUT_S, "s")
        ends.clear()
        is_counted = True
        state = ""
        deadline_s = ordered_s + ROLLOUT_S
        while (left_s := deadline_s - time.monotonic()) > 0:
            await asyncio.sleep(min(0.1, left_s))
            stored = (world.store.read_value("status", "rollout/engine") or b"").decode()
            if stored != state:
                state = stored
                world.note("status/rollout/engine:", state)
                if '"done"' in state:
                    for worker in old:
                        worker.leave()
                    world.note("the platform stops the old workers")
        is_counted = False
        asking.cancel()
        await asyncio.gather(asking, *answers, return_exceptions=True)
    finally:
        await world.close()
    total = sum(arrivals.values())
    allowed = (
        world.bounds["exposure_share"] * total + world.bounds["exposure_slack"]
    )
    print(f"v2 got {arrivals['v2']} of {total} requests, a bad one may get {allowed:.0f}")
    print(f"last status: {state}")
    print(f"answers of requests since the order: {ends}")
    if not has_trouble:
        # v2 is good, so that the rule doesn't bound it.
        if not (set(ends) == {"200 whole"}):
            raise CannotRun("not all is served without the disruption")
        return False
    return arrivals["v2"] > allowed


run_case(main, TROUBLE)
