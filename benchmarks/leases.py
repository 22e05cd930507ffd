"""Cost and speed of leases: ``python -m benchmarks.leases``.

On manual time, with one table stand-in: reads, transactions and rows written a
second by kind of duty at 9 and 360 daemons; processor time of a daemon; and the
time from a seeded kill until a successor acts, against the stated bound.
"""

from __future__ import annotations

import argparse
import random
import statistics
import time
from collections import Counter
from copy import copy

from testing.control.leasegroup import ACT_MS, LeaseGroup

from _monsoonpulley.control.leasestate import LEASE_PREFIX, LeaseSettings
from _monsoonpulley.standins.faults import Latency
from _monsoonpulley.standins.manualloop import run_manual

KINDS = {
    # name: (shards at 9 daemons, shards at 360 daemons)
    "rollout per service": (2, 10),
    "capacity per data centre": (4, 6),
    "recovery": (16, 16),
    "collection": (16, 16),
    "orders per service": (2, 10),
}
SIZES = {9: 0, 360: 1}
SETTLED_MS = 8_000
MEASURED_MS = 20_000
TABLE_LATENCY = Latency(3, 40)


def measure_load(size: int, shards: int) -> None:
    """Print what a settled group asks of the table."""

    async def main() -> None:
        group = LeaseGroup(1, size, shards)
        group.table.faults.set_latency(TABLE_LATENCY)
        await group.clock.sleep_ms(SETTLED_MS)
        before = copy(group.table.counts)
        began_s = time.process_time()
        await group.clock.sleep_ms(MEASURED_MS)
        took_s = time.process_time() - began_s
        after = group.table.counts
        group.stop()
        per_s = 1000 / MEASURED_MS
        print(
            f"{size:4} daemons, {shards:3} duties: "
            f"{(after.scans - before.scans) * per_s:7.1f} scans/s, "
            f"{(after.commits - before.commits) * per_s:6.1f} transactions/s, "
            f"{(after.rows_written - before.rows_written) * per_s:6.1f} rows/s, "
            f"{100 * took_s * per_s / size:.3f}% of a core a daemon"
        )

    run_manual(main())


def measure_kills(size: int, shards: int, kills: int) -> list[int]:
    """Return the times until a successor acted, one for each lost duty."""

    async def main(seed: int) -> list[int]:
        group = LeaseGroup(seed, size, shards)
        group.table.faults.set_latency(TABLE_LATENCY)
        rng = random.Random(seed)
        await group.clock.sleep_ms(SETTLED_MS + rng.randrange(3_000))
        name = rng.choice(sorted({n for ns in group.holders().values() for n in ns}))
        lost = [duty for duty, names in group.holders().items() if name in names]
        killed_ms = group.clock.now_ms()
        group.kill(name)
        await group.clock.sleep_ms(2 * group.settings.max_failover_ms())
        group.stop()
        group.assert_invariants()
        times = [group.first_act_ms(duty, killed_ms) for duty in lost]
        return [99_999 if at is None else at - killed_ms for at in times]

    return [ms for seed in range(kills) for ms in run_manual(main(seed))]


def print_kills(size: int, kills: int) -> None:
    """Print the spread of take-over times of a group."""
    settings = LeaseSettings()
    times = sorted(measure_kills(size, 16, kills))
    cuts = statistics.quantiles(times, n=100, method="inclusive")
    bound_ms = settings.max_failover_ms()
    late = Counter(ms > bound_ms + ACT_MS for ms in times)[True]
    print(
        f"{size:4} daemons, {kills} kills, {len(times)} duties: "
        f"p50 {cuts[49]:.0f} ms, p99 {cuts[98]:.0f} ms, worst {times[-1]} ms, "
        f"bound {bound_ms} ms (+ {ACT_MS} ms to the first act), {late} late"
    )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=200)
    arguments = parser.parse_args()
    print(f"rows under {LEASE_PREFIX}, table latency {TABLE_LATENCY}")
    for size, column in SIZES.items():
        for name, shards in KINDS.items():
            print(f"{name:26}", end="")
            measure_load(size, shards[column])
        print(f"{'all':26}", end="")
        measure_load(size, sum(shards[column] for shards in KINDS.values()))
    print_kills(9, arguments.kills)
    print_kills(60, max(1, arguments.kills // 10))


if __name__ == "__main__":
    main()
