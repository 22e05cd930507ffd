"""Seeded interleavings of the journal, and its cost.

Run as ``python -m benchmarks.journal [INTERLEAVINGS [FIRST_SEED]]``.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter

import msgspec
from testing.journal import world as w
from testing.journal.faults import FaultyEndpoints, FaultyObjects, FaultyTable
from testing.journal.interleavings import ACTION_COUNT, run_interleaving

from _monsoonpulley.journal import steps as s
from _monsoonpulley.journal.journal import Journal
from _monsoonpulley.journal.transitions import Transitions
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.manualloop import run_manual, running_clock

INTERLEAVINGS = 20_000
SUBMISSIONS = 1_000
ARRIVALS_PER_S = 200
TRANSITION_ROUNDS = 20_000
MAX_PRINTED_VIOLATIONS = 5


def measure_interleavings(count: int, first_seed: int) -> int:
    """Print outcomes and violations; return the number of seeds with a violation."""
    outcomes: Counter = Counter()
    violated_count = 0
    first_violation = None
    for index in range(count):
        violations = run_interleaving(first_seed + index, outcomes)
        if violations:
            violated_count += 1
            first_violation = first_violation or index + 1
            if violated_count <= MAX_PRINTED_VIOLATIONS:
                print(f"seed {first_seed + index}: {violations[0]}")
    outcome_counts = ", ".join(
        f"{o.value} {n}" for o, n in sorted(outcomes.items(), key=str)
    )
    print(
        f"interleavings: {count} of {ACTION_COUNT} actions; outcomes: {outcome_counts}"
    )
    print(f"violated: {violated_count}; first at interleaving {first_violation}")
    return violated_count


def measure_transitions() -> float:
    """Return the processor time of one transition in microseconds."""
    transitions = Transitions(w.SETTINGS, random.Random(1))
    record = w.submission("key").to_record("i0", 1, "token", 0, 1_024)
    answer = s.RecordedAnswer(200, (), b"booked")
    events = (
        s.Submitted(record),
        s.WriteConfirmed(1),
        s.EndpointChosen("e1"),
        s.WriteConfirmed(2),
        s.Answered(answer),
        s.WriteConfirmed(3),
    )
    start_s = time.process_time()
    for _ in range(TRANSITION_ROUNDS):
        progress = s.Progress()
        for event in events:
            progress = transitions.decide(progress, event, 0, 0).progress
    cpu_s = time.process_time() - start_s
    return cpu_s / TRANSITION_ROUNDS / len(events) * 1e6


async def _run_submissions(settings) -> tuple[int, int, float]:
    """Return commits, writes and processor seconds of ``SUBMISSIONS`` submissions."""
    clock = running_clock()
    table = FaultyTable()
    rng = random.Random(1)
    endpoints = FaultyEndpoints(("e1", "e2"), rng, lambda work: None, can_look_up=True)
    log = Log(clock, lambda line: None)
    journal = Journal(
        table, FaultyObjects(), clock, rng, "i0", 1, endpoints, log, settings
    )
    start_s = time.process_time()
    tasks = []
    for number in range(SUBMISSIONS):
        submission = w.submission(f"key {number}")
        tasks.append(asyncio.create_task(journal.submit(submission)))
        await clock.sleep_ms(rng.expovariate(ARRIVALS_PER_S) * 1000)
    await asyncio.gather(*tasks)
    await journal.drain(clock.now_ms() + 10_000)
    cpu_s = time.process_time() - start_s
    return table.commits, journal.writer.counts.writes, cpu_s


def measure_commits() -> None:
    """Print table commits per 1,000 submissions by how writes are grouped."""
    for name, changes in (
        ("not grouped", {"max_group_writes": 1, "max_groups_in_flight": 1_000}),
        ("grouped 5 ms, first writes apart", {"merge_first_writes": False}),
        ("grouped 5 ms", {}),
        ("grouped 20 ms", {"group_wait_ms": 20}),
    ):
        settings = msgspec.structs.replace(w.JournalSettings(), **changes)
        commits, writes, cpu_s = run_manual(_run_submissions(settings))
        cpu_us = cpu_s / SUBMISSIONS * 1e6
        print(
            f"{name}: {commits} commits, {writes} writes for {SUBMISSIONS} "
            f"submissions at {ARRIVALS_PER_S}/s; CPU {cpu_us:.0f} us each"
        )


def main() -> None:
    """Run all measurements; exit with 1 on a violation."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else INTERLEAVINGS
    first_seed = int(sys.argv[2]) if len(sys.argv) > 2 else 0
    print(f"transition: {measure_transitions():.1f} us")
    measure_commits()
    sys.exit(1 if measure_interleavings(count, first_seed) else 0)


if __name__ == "__main__":
    main()
