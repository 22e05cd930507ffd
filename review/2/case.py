"""One worker sends a body without end to one of its requests."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    TROUBLE,
    Deployment,
    Request,
    Worker,
    encode_request,
    play,
    read_head,
    route,
)

STREAM_TIMEOUT_MS, STREAM_DEADLINE_MS = 3_000, 3_000
SUBMIT_TIMEOUT_MS, SUBMIT_DEADLINE_MS = 2_000, 4_000
"""As on the sheet and in its site file."""

LATE_S = 0.5
PLAY_S = 10.0
PERIOD_S = 0.1

BLOCK, BLOCK_PERIOD_S = b"\n" * 20_000, 0.02
"""What comes instead of events: line feeds, 1 MB a second, until the caller closes."""


class Outcome:
    """When a request was sent, timed out and answered."""

    def __init__(self, id: str, sent_s: float, timeout_ms: int, deadline_ms: int):
        self.id = id
        self.is_awaited = deadline_ms / 1000 >= timeout_ms / 1000 + LATE_S
        """Whether its client still waits when a late answer shows."""
        self.timed_out_s = sent_s + timeout_ms / 1000
        self.answered_s: float | None = None
        """When its answer was complete."""


async def case(deployment: Deployment) -> bool:
    record = deployment.record
    spoilt: set[str] = set()

    async def work(
        worker: Worker, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.05)
        if request.target.startswith("/submit/"):
            worker.answer(request, writer, b"filed")
            return
        worker.start_stream(request, writer)
        if TROUBLE and worker.id == "m-0" and not spoilt:
            spoilt.add(request.id)
            record.line(f"spoils   {worker.id} {request.id}")
            while not writer.is_closing():
                writer.write(b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK))
                await writer.drain()
                await asyncio.sleep(BLOCK_PERIOD_S)
            raise ConnectionResetError
        for number in range(1, 5):
            event = b"id: %d\ndata: piece\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    outcomes: list[Outcome] = []

    async def call(
        machine: str, id: str, path: str, timeout_ms: int, deadline_ms: int
    ) -> None:
        reader, writer = await deployment.connect(machine)
        writer.write(encode_request(id, path, "key-a", b"x", deadline_ms))
        outcome = Outcome(id, record.now_s(), timeout_ms, deadline_ms)
        outcomes.append(outcome)
        record.line(f"sent     {machine} {id}")
        status, error, tail = 0, "", b""
        try:
            # The client leaves at its deadline.
            async with asyncio.timeout(deadline_ms / 1000):
                line, headers = await read_head(reader)
                status = int(line.split(" ")[1])
                fields = {name.lower(): value for name, value in headers}
                if "content-length" in fields:
                    await reader.readexactly(int(fields["content-length"]))
                else:
                    while not tail.endswith(b"\r\n0\r\n\r\n"):
                        piece = await reader.read(65_536)
                        if not piece:
                            break
                        tail = (tail + piece)[-7:]
            outcome.answered_s = record.now_s()
        except (asyncio.IncompleteReadError, ConnectionError) as failure:
            # An answer that the machine has ended is final, too.
            outcome.answered_s = record.now_s()
            error = repr(failure)
        except TimeoutError:
            error = "no complete answer"
        record.line(f"answered {id} {status} {error}")
        writer.close()

    configuration = {
        "version": 1,
        "routes": [
            route("check", "llm", "streaming", STREAM_TIMEOUT_MS),
            route("submit", "app", "unsafe", SUBMIT_TIMEOUT_MS),
        ],
        "services": [
            {"name": "llm", "health_path": "/health", "max_connections": 230},
            {"name": "app", "health_path": "/health", "max_connections": 96},
        ],
        "limits": {"idle_timeout_ms": 15_000},
        "tenants": [{"name": "tenant-a", "api_keys": ["key-a"]}],
    }
    workers = [
        Worker(f"m-{n}", "llm", f"zone-{n % 2 + 1}", record, work) for n in range(4)
    ]
    workers += [
        Worker(f"a-{n}", "app", f"zone-{n % 2 + 1}", record, work) for n in range(2)
    ]
    await deployment.start(configuration, workers, 3)
    started_s = record.now_s()
    calls, number = [], 0
    while record.now_s() < started_s + PLAY_S:
        number += 1
        machine = deployment.machines[number % len(deployment.machines)]
        check = call(
            machine, f"c-{number}", "/check/x", STREAM_TIMEOUT_MS, STREAM_DEADLINE_MS
        )
        submit = call(
            machine, f"s-{number}", "/submit/x", SUBMIT_TIMEOUT_MS, SUBMIT_DEADLINE_MS
        )
        calls += [asyncio.create_task(check), asyncio.create_task(submit)]
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*calls)
    unanswered = [
        o
        for o in outcomes
        if o.is_awaited and (o.answered_s is None or o.answered_s > o.timed_out_s)
    ]
    late = [
        o
        for o in unanswered
        if o.answered_s is None or o.answered_s > o.timed_out_s + LATE_S
    ]
    record.line(
        f"timeout  {sum(o.is_awaited for o in outcomes)} requests whose clients wait "
        f"longer, {len(spoilt)} stream spoilt; "
        f"{len(unanswered)} unanswered at their timeout, {len(late)} of them "
        f"{LATE_S} s later"
    )
    record.line(f"late     {[outcome.id for outcome in late]}")
    held = len(late) <= len(unanswered) / 2
    if not held:
        record.line("CONFIG broken")
    return held


if __name__ == "__main__":
    play(case, FOLDER)
