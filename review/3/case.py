"""A drill of the store, then machines stopped and started in turn."""

import asyncio
import collections
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    KEYS,
    TROUBLE,
    Deployment,
    Request,
    Worker,
    encode_request,
    play,
    read_answer,
    route,
)

from _monsoonpulley.standins.rowstore import StoreFault  # noqa: E402

DEADLINE_MS = 4_000
WORK_S, LONG_WORK_S = 0.09, 3.3
"""Work of most requests, and of a few at which their worker is slow: seven and a half
times (the site's dose of `srv_grey`, slow) less than the longest work, 450 ms. All are
answered in time."""

USAGE_WINDOW_S = 5
LONG_BEFORE_END_S = 0.15
"""A request with long work begins this long before the end of each window."""

CLIENT_PERIOD_S = 0.5
COPY_AGE_S = 2.0
AWAY_S = 0.5


async def work(worker: Worker, request: Request, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(LONG_WORK_S if request.body == b"long" else WORK_S)
    worker.answer(request, writer, b"counted")


async def send(
    deployment: Deployment, machine: str, id: str, tenant: str, body: bytes = b"short"
) -> None:
    try:
        reader, writer = await deployment.connect(machine)
    except OSError:
        return
    deployment.record.line(f"sent     {machine} {id} {body.decode()}")
    writer.write(encode_request(id, "/submit/x", KEYS[tenant], body, DEADLINE_MS))
    answer = await read_answer(reader, 5)
    deployment.record.line(f"answered {machine} {id} {answer.status} {answer.error}")
    writer.close()


async def run_clients(deployment: Deployment) -> None:
    """Send requests of both tenants to all machines at a steady rate."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            for machine in deployment.machines:
                for tenant in KEYS:
                    number += 1
                    id = f"{tenant}-{number}"
                    group.create_task(send(deployment, machine, id, tenant))
                    await asyncio.sleep(CLIENT_PERIOD_S / 6)


async def run_long_client(deployment: Deployment) -> None:
    """Send each machine a request with long work near the end of each window."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(
                (-time.time() - LONG_BEFORE_END_S) % USAGE_WINDOW_S or USAGE_WINDOW_S
            )
            for machine in deployment.machines:
                number += 1
                id = f"long-{number}"
                group.create_task(send(deployment, machine, id, "tenant-a", b"long"))
            await asyncio.sleep(LONG_BEFORE_END_S)


async def wait_for_report(deployment: Deployment, known: int) -> None:
    async with asyncio.timeout(20):
        while len(deployment.cloud.reports) <= known:
            await asyncio.sleep(0.02)


async def drill(deployment: Deployment) -> None:
    """The store is away for a moment and comes back from an older copy."""
    store = deployment.store
    copies = collections.deque()
    loop = asyncio.get_running_loop()

    async def take_copies() -> None:
        while True:
            copies.append((loop.time(), store.take_copy()))
            await asyncio.sleep(0.1)

    taking = asyncio.create_task(take_copies())
    await asyncio.sleep(COPY_AGE_S)
    await wait_for_report(deployment, len(deployment.cloud.reports))
    await asyncio.sleep(0.5)
    taking.cancel()
    store.fault = StoreFault.SILENT
    deployment.record.line("store    away")
    await asyncio.sleep(AWAY_S)
    taken_s, copy = next(c for c in reversed(copies) if c[0] < loop.time() - COPY_AGE_S)
    store.return_to(copy)
    store.fault = StoreFault.NONE
    deployment.write_configuration()
    deployment.write_workers()
    age_s = loop.time() - taken_s
    deployment.record.line(f"store    back, era {store.era}, {age_s:.1f} s old")


async def case(deployment: Deployment) -> bool:
    configuration = {
        "version": 1,
        "routes": [route("submit", "app", "unsafe", DEADLINE_MS)],
        "services": [{"name": "app", "health_path": "/health", "max_connections": 96}],
        "limits": {"idle_timeout_ms": 15_000},
        "tenants": [{"name": name, "api_keys": [key]} for name, key in KEYS.items()],
    }
    workers = [
        Worker(f"i-{n}", "app", f"zone-{n % 2 + 1}", deployment.record, work)
        for n in range(4)
    ]
    deployment.store.era = 1
    await deployment.start(configuration, workers, 3)
    clients = [
        asyncio.create_task(run_clients(deployment)),
        asyncio.create_task(run_long_client(deployment)),
    ]
    # Until a window has passed that was counted from its start.
    await asyncio.sleep(9)
    if TROUBLE:
        await drill(deployment)
    else:
        await wait_for_report(deployment, len(deployment.cloud.reports))
    await asyncio.sleep(5)
    for machine in deployment.machines[:2]:
        await deployment.terminate(machine)
        await asyncio.sleep(0.5)
        await deployment.start_machine(machine)
        await deployment.wait_ready(machine)
        await asyncio.sleep(1)
    await asyncio.sleep(8)
    for task in clients:
        task.cancel()
    by_window: dict[int, list[dict[str, int]]] = {}
    for _, _, window, counts in deployment.cloud.reports:
        by_window.setdefault(window, []).append(counts)
    held = len(by_window) >= 4
    if not held:
        raise RuntimeError("there were too few reports")
    for window, reports in by_window.items():
        if any(counts != reports[0] for counts in reports):
            deployment.record.line(f"ONE broken: window {window}: {reports}")
            held = False
    return held


if __name__ == "__main__":
    play(case, FOLDER)
