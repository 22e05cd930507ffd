"""Play seeds: ``python -m testing.soak --seeds 50 [--first N] [--jobs N]``.

Prints a line for each seed and each violation; exits with code 1 if there was a
violation. ``--keep FOLDER`` keeps the logs and records of failed seeds.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import cyclopts

from .run import Outcome, Plan, play_seed

app = cyclopts.App(name="soak", help=__doc__)


@app.default
def soak(
    seeds: int = 1,
    first: int | None = None,
    jobs: int = 3,
    length_s: float = 15.0,
    faults: int = 12,
    instances: int = 4,
    keep: Path | None = None,
) -> int:
    """Play ``seeds`` seeds from ``first`` on, by default from the current time."""
    start = first if first is not None else int(time.time())
    plans = [Plan(start + n, length_s, faults, instances) for n in range(seeds)]
    failed = 0
    # One seed per process, since the process id determines the loopback subnet.
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        for outcome in pool.map(play_seed, plans, [keep] * len(plans)):
            failed += bool(outcome.violations)
            _print(outcome)
    print(f"{len(plans)} seeds, {failed} with a broken promise")
    return 1 if failed else 0


def _print(outcome: Outcome) -> None:
    word = "BROKEN" if outcome.violations else "held"
    print(
        f"seed {outcome.plan.seed}: {word},"
        f" {outcome.answered_count} of {outcome.call_count} calls served",
        flush=True,
    )
    if outcome.violations:
        print("\n".join(f"  {line}" for line in outcome.faults))
    for line in outcome.violations:
        print(f"  {line}", flush=True)


if __name__ == "__main__":
    sys.exit(app())
