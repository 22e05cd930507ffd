"""Cost and failover time of leases: ``python -m benchmarks.leases``.

Runs on manual time with one stand-in of the table. Prints scans, transactions and
rows written per second by kind of duty at 9 and 360 entry instances, the processor
time of an entry instance, and the time from a seeded kill until the next holder
acts, against the bound of the lease settings.
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

DUTY_KINDS = {
    # name: (shards at 9 entry instances, shards at 360 entry instances)
    "rollout per service": (2, 10),
    "capacity per data centre": (4, 6),
    "recovery": (16, 16),
    "collection": (16, 16),
    "orders per service": (2, 10),
}
COLUMN_BY_ENTRY_COUNT = {9: 0, 360: 1}
SETTLE_MS = 8_000
MEASUREMENT_MS = 20_000
TABLE_LATENCY = Latency(3, 40)


def measure_load(entry_count: int, shard_count: int) -> None:
    """Print the load of a settled group on the table."""

    async def main() -> None:
        group = LeaseGroup(1, entry_count, shard_count)
        group.table.faults.set_latency(TABLE_LATENCY)
        await group.clock.sleep_ms(SETTLE_MS)
        before = copy(group.table.counts)
        start_s = time.process_time()
        await group.clock.sleep_ms(MEASUREMENT_MS)
        cpu_s = time.process_time() - start_s
        after = group.table.counts
        group.stop()
        per_s = 1000 / MEASUREMENT_MS
        print(
            f"{entry_count:4} entry instances, {shard_count:3} duties: "
            f"{(after.scans - before.scans) * per_s:7.1f} scans/s, "
            f"{(after.commits - before.commits) * per_s:6.1f} transactions/s, "
            f"{(after.rows_written - before.rows_written) * per_s:6.1f} rows/s, "
            f"{100 * cpu_s * per_s / entry_count:.3f}% of a core per entry instance"
        )

    run_manual(main())


def measure_failovers(entry_count: int, shard_count: int, kills: int) -> list[int]:
    """Return the times until the next holder acted, one for each lost duty."""

    async def main(seed: int) -> list[int]:
        group = LeaseGroup(seed, entry_count, shard_count)
        group.table.faults.set_latency(TABLE_LATENCY)
        rng = random.Random(seed)
        await group.clock.sleep_ms(SETTLE_MS + rng.randrange(3_000))
        name = rng.choice(sorted({n for ns in group.holders().values() for n in ns}))
        lost_duties = [duty for duty, names in group.holders().items() if name in names]
        killed_ms = group.clock.now_ms()
        group.kill(name)
        await group.clock.sleep_ms(2 * group.settings.max_failover_ms())
        group.stop()
        group.assert_invariants()
        act_times_ms = [group.first_act_ms(duty, killed_ms) for duty in lost_duties]
        return [
            99_999 if act_ms is None else act_ms - killed_ms for act_ms in act_times_ms
        ]

    return [ms for seed in range(kills) for ms in run_manual(main(seed))]


def print_failovers(entry_count: int, kills: int) -> None:
    """Print the distribution of failover times of a group."""
    settings = LeaseSettings()
    failover_times_ms = sorted(measure_failovers(entry_count, 16, kills))
    if len(failover_times_ms) < 2:
        print(f"{entry_count:4} entry instances: too few duties failed over to measure")
        return
    percentiles = statistics.quantiles(failover_times_ms, n=100, method="inclusive")
    bound_ms = settings.max_failover_ms()
    late_count = Counter(ms > bound_ms + ACT_MS for ms in failover_times_ms)[True]
    print(
        f"{entry_count:4} entry instances, {kills} kills, "
        f"{len(failover_times_ms)} duties: "
        f"p50 {percentiles[49]:.0f} ms, p99 {percentiles[98]:.0f} ms, "
        f"worst {failover_times_ms[-1]} ms, "
        f"bound {bound_ms} ms (+ {ACT_MS} ms to the first act), {late_count} late"
    )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=200)
    arguments = parser.parse_args()
    print(f"rows under {LEASE_PREFIX}, table latency {TABLE_LATENCY}")
    for entry_count, column in COLUMN_BY_ENTRY_COUNT.items():
        for name, shard_counts in DUTY_KINDS.items():
            print(f"{name:26}", end="")
            measure_load(entry_count, shard_counts[column])
        print(f"{'all':26}", end="")
        measure_load(
            entry_count,
            sum(shard_counts[column] for shard_counts in DUTY_KINDS.values()),
        )
    print_failovers(9, arguments.kills)
    print_failovers(60, max(1, arguments.kills // 10))


if __name__ == "__main__":
    main()
