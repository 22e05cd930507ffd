"""Requests with ``Upgrade: h2c`` are run without their bodies and answered 200."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-3"))

from deployment import KEY, World, Worker, run_case, write  # noqa: E402

WORK_S, REQUESTS, PAUSE_S = 0.05, 40, 0.1
# What HTTP clients that also speak HTTP/2 send without TLS (RFC 7540, 3.2).
UPGRADE = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQCAAAAAAIAAAAA",
}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "order",
            "host": "service.example",
            "prefix": "/order/",
            "service": "desk",
            "kind": "unsafe",
            "timeout_ms": 4000,
            "target_latency_ms": 300,
            "priority": 0,
            "max_attempts": 1,
        }
    ],
    "services": [
        {"name": "desk", "health_path": "/health", "max_connections": 400},
    ],
    "tenants": [{"name": "tenant", "api_keys": [KEY]}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


async def main(has_trouble: bool) -> int:
    world = World(CASE)
    bodies: dict[str, bytes] = {}

    async def run(worker: Worker, request, writer) -> bool:
        bodies[request.id] = request.body
        world.note("runs", request.id, worker.id, "body", request.body)
        await asyncio.sleep(WORK_S)
        await write(
            writer,
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
            + worker.seal(request) + b"\r\ndone",
        )
        return True

    workers = [Worker(world, "desk", "v1", run, 6) for _ in range(4)]
    changed = served = 0
    try:
        await world.start(CONFIGURATION, workers, 2)
        for number in range(REQUESTS):
            body = b"order %d" % number
            answer = await world.send(
                world.entries[number % len(world.entries)],
                "/order/file",
                body=body,
                headers=UPGRADE if has_trouble else {},
                deadline_ms=4000,
                note=f"body {body}",
            )
            served += answer.status == 200
            changed += bodies.get(answer.request_id, body) != body
            await asyncio.sleep(PAUSE_S)
    finally:
        await world.close()
    print(f"{REQUESTS} requests, {len(bodies)} ran, {served} answered 200")
    print(f"{changed} ran with another body than the client's")
    if not has_trouble and served != REQUESTS:
        return 2
    return 1 if changed else 0


run_case(main)
