"""Cost of a log line, and bytes that the journal logs per submission.

Run as ``python -m benchmarks.logging``.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
from testing.journal import world as w
from testing.journal.faults import FaultyEndpoints, FaultyObjects, FaultyTable

from _monsoonpulley.clock import Clock
from _monsoonpulley.journal.journal import Journal
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.manualloop import run_manual, running_clock

REQUESTS = 20_000
SUBMISSIONS = 200
CANDIDATES = tuple(
    {"endpoint": f"pool-{number}", "zone": "zone-a", "first_token_ms": 12.5}
    for number in range(3)
)


def write_request_lines(log: Log, number: int) -> int:
    """Write the log lines of one request and return their number."""
    request_id = f"rq-{number:032x}"
    endpoint = f"pool-{number % 100}"
    log.event("admit", rule="room", request_id=request_id, service="pool", queued=0)
    log.event(
        "route",
        rule="predicted-completion/local",
        request_id=request_id,
        chosen=endpoint,
        candidates=CANDIDATES,
    )
    log.event("request_ended", request_id=request_id, outcome="done", total_ms=33)
    return 3


def write_duty_lines(log: Log, number: int) -> int:
    """Write a lease decision on one of 16 duties and return 1, the lines written."""
    log.event("lease_decision", rule="renewal is due", duty=f"recovery/{number % 16}")
    return 1


def measure_lines(write: Callable[[Log, int], int]) -> float:
    """Return the processor time of one line in microseconds."""
    log = Log(Clock.from_system(), lambda line: None, "entry-1")
    start_s = time.process_time()
    lines = sum(write(log, number) for number in range(REQUESTS))
    return (time.process_time() - start_s) / lines * 1e6


async def _submit_all() -> list[str]:
    clock = running_clock()
    rng = random.Random(1)
    lines: list[str] = []
    log = Log(clock, lines.append, "entry-1")
    endpoints = FaultyEndpoints(("e1", "e2"), rng, lambda work: None, can_look_up=True)
    journal = Journal(
        FaultyTable(),
        FaultyObjects(),
        clock,
        rng,
        "entry-1",
        1_800_000_000_000,
        endpoints,
        log,
        w.JournalSettings(),
    )
    submissions = [w.submission(f"key {number}") for number in range(SUBMISSIONS)]
    await asyncio.gather(*(journal.submit(submission) for submission in submissions))
    await journal.drain(clock.now_ms() + 10_000)
    return lines


def main() -> None:
    """Run and print all measurements."""
    print(f"request line: {measure_lines(write_request_lines):.2f} us")
    print(f"duty line: {measure_lines(write_duty_lines):.2f} us")
    lines = run_manual(_submit_all())
    journal_lines = [
        line for line in lines if msgspec.json.decode(line)["event"] == "journal"
    ]
    size_bytes = sum(len(line.encode()) for line in journal_lines) / SUBMISSIONS
    line_count = len(journal_lines) / SUBMISSIONS
    print(f"journal: {size_bytes:.0f} bytes in {line_count:.1f} lines a submission")


if __name__ == "__main__":
    main()
