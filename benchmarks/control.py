"""Safety of roll-outs: ``python -m benchmarks.control [ROLLOUTS] [KIND ...]``.

Plays seeded roll-outs of good and bad versions on manual time with the real
rules, shares and verdicts, against small fakes of endpoints and of the table.
The baseline raises the share in fixed steps and rolls back at a threshold.
For each kind of version the table counts roll-outs done and rolled back, then has
the mean and highest share of requests to the new version, the same in the canary
phase, requests sent to it late, the runs with any, and the 95th percentile of the
time to detection.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor

import msgspec

from _monsoonpulley.standins.bad_version import BadEffect, BadVersion

from .controlfakes import WARM_UP_MS, BaselineRollout, ManagedRollout, RolloutManager

ROLLOUT_MS = WARM_UP_MS + 210_000
REQUESTS_PER_S = 24.0
ENTRY_COUNT = 7
OLD_ENDPOINT_COUNT = 10
NEW_ENDPOINT_COUNT = 10
SERVICE_TIME_MS = 250.0
SERVICE_TIME_SIGMA = 0.3
ROUTES = ("/a", "/a", "/a", "/b")
GRACE_MS = 3_000
START_WALL_MS = 1_800_000_000_000
PROCESSES = 8
BOTH_FAIL = "good, 1% fail"
"""The old and the new version fail equally often."""
GOOD_KINDS = ("good", BOTH_FAIL)


def versions_by_kind(rng: random.Random) -> dict[str, BadVersion | None]:
    """Return a version of each kind; ``rng`` sets when late faults start."""
    late_ms = WARM_UP_MS + rng.randrange(10_000, 170_000)
    return {
        "good": None,
        BOTH_FAIL: BadVersion(BadEffect.FAIL, probability=0.01),
        "fails at once": BadVersion.fails_at_once(),
        "slow at once": BadVersion.slow_at_once(),
        "fails late": BadVersion.delayed(BadEffect.FAIL, after_ms=late_ms),
        "slow late": BadVersion.delayed(BadEffect.SLOW, after_ms=late_ms),
        "fails under load": BadVersion.under_load(BadEffect.FAIL, 1),
        "slow under load": BadVersion.under_load(BadEffect.SLOW, 1),
        "fails on a route": BadVersion.on_route(BadEffect.FAIL, "/b"),
        "slow on a route": BadVersion.on_route(BadEffect.SLOW, "/b"),
        "fails now and then": BadVersion(BadEffect.FAIL, probability=0.2),
    }


class Outcome(msgspec.Struct):
    """The outcome of one roll-out.

    Attributes
    ----------
    state : str
        Last state of the version.
    share : float
        Share of the requests between order and deadline that the version got.
    canary_share : float
        The same until the canary phase ended.
    late_count : int
        Requests to it later than 3 s after its first bad result.
    detection_ms : int
        From the first bad result to the last request to it.
    explanation : str
        Why the version is in its last state.
    """

    state: str
    share: float
    canary_share: float
    late_count: int
    detection_ms: int
    explanation: str = ""


class Endpoint(msgspec.Struct):
    """A fake endpoint with log-normal service times that grow slightly with load."""

    name: str
    fault: BadVersion | None
    running_count: int = 0
    started_count: int = 0

    def serve(self, route: str, age_ms: int, rng: random.Random) -> tuple[float, bool]:
        """Return the service time of a request, and whether the fault affects it."""
        self.running_count += 1
        self.started_count += 1
        duration_ms = SERVICE_TIME_MS * rng.lognormvariate(0.0, SERVICE_TIME_SIGMA)
        duration_ms *= 1.0 + 0.05 * (self.running_count - 1)
        fault = self.fault
        if fault is None or not fault.is_active(
            age_ms, self.started_count, self.running_count
        ):
            return duration_ms, False
        if not fault.affects(route, rng.random()):
            return duration_ms, False
        if fault.effect is BadEffect.SLOW:
            return duration_ms * fault.slow_factor, True
        return duration_ms * 0.2, True


def play(
    manager_type: type[RolloutManager],
    fault: BadVersion | None,
    seed: int,
    old_fault: BadVersion | None = None,
) -> Outcome:
    """Play one roll-out."""
    rng = random.Random(seed)
    manager = manager_type(START_WALL_MS + ROLLOUT_MS, ENTRY_COUNT, rng)
    old = [Endpoint(f"old-{i}", old_fault) for i in range(OLD_ENDPOINT_COUNT)]
    new = [Endpoint(f"new-{i}", fault) for i in range(NEW_ENDPOINT_COUNT)]
    manager.endpoints = {
        "v1": [e.name for e in old],
        "v2": [e.name for e in new],
    }
    pools = {"v1": old, "v2": new}
    for route in sorted(set(ROUTES)):
        times_ms = [
            SERVICE_TIME_MS * rng.lognormvariate(0.0, SERVICE_TIME_SIGMA)
            for _ in range(300)
        ]
        manager.add_baseline_results(
            route, times_ms, old_fault.probability if old_fault else 0.0
        )
    pending_ends: list[tuple[float, int, tuple]] = []
    dispatches: list[tuple[float, bool]] = []
    first_bad_ms: float | None = None
    time_ms = 0.0
    number = 0
    while True:
        time_ms += rng.expovariate(REQUESTS_PER_S / 1000)
        while pending_ends and pending_ends[0][0] <= min(time_ms, ROLLOUT_MS):
            end_ms, _, (entry_index, endpoint, attempt, is_bad, is_failure) = (
                heapq.heappop(pending_ends)
            )
            endpoint.running_count -= 1
            if is_bad and first_bad_ms is None and endpoint.name.startswith("new"):
                first_bad_ms = end_ms
            manager.advance(round(end_ms))
            manager.record_end(entry_index, attempt, is_failure)
        if time_ms >= ROLLOUT_MS:
            break
        if _is_over(manager, pending_ends, dispatches, time_ms):
            # All remaining requests go to the old version.
            remaining_count = round((ROLLOUT_MS - time_ms) * REQUESTS_PER_S / 1000)
            dispatches.extend((ROLLOUT_MS, False) for _ in range(remaining_count))
            break
        manager.advance(round(time_ms))
        number += 1
        entry_index = rng.randrange(ENTRY_COUNT)
        route = rng.choice(ROUTES)
        version = manager.choose_version(entry_index)
        allowed_ids = manager.allowed_endpoints(entry_index, version)
        candidates = [e for e in pools[version] if e.name in allowed_ids]
        endpoint = min(candidates, key=lambda e: (e.running_count, rng.random()))
        duration_ms, affected = endpoint.serve(route, round(time_ms), rng)
        is_failure = affected and fault is not None and fault.effect is BadEffect.FAIL
        attempt = manager.record_start(
            entry_index, number, version, endpoint.name, route
        )
        end = (entry_index, endpoint, attempt, affected, is_failure)
        if affected and not is_failure and first_bad_ms is None:
            # A slow request counts as bad once it has run longer than a good one would.
            first_bad_ms = time_ms + 2.5 * SERVICE_TIME_MS
        heapq.heappush(pending_ends, (time_ms + duration_ms, number, end))
        if time_ms >= WARM_UP_MS:
            dispatches.append((time_ms, version == "v2"))
    manager.advance(ROLLOUT_MS + 1_000)
    return _outcome(manager, dispatches, first_bad_ms)


def _is_over(
    manager: RolloutManager,
    pending_ends: list[tuple[float, int, tuple]],
    dispatches: list[tuple[float, bool]],
    time_ms: float,
) -> bool:
    """Return whether the version is rolled back and got no request for 20 s."""
    if manager.state() != "taken_back":
        return False
    if any(end[2][1].name.startswith("new") for end in pending_ends):
        return False
    return not any(
        is_new
        for at_ms, is_new in reversed(dispatches[-600:])
        if at_ms > time_ms - 20_000
    )


def _outcome(
    manager: RolloutManager,
    dispatches: list[tuple[float, bool]],
    first_bad_ms: float | None,
) -> Outcome:
    to_new = [at_ms for at_ms, is_new in dispatches if is_new]
    canary_end_ms = manager.canary_end_ms()
    during_canary = [is_new for at_ms, is_new in dispatches if at_ms < canary_end_ms]
    late_count = 0
    detection_ms = 0
    if first_bad_ms is not None:
        late_count = sum(at_ms > first_bad_ms + GRACE_MS for at_ms in to_new)
        detection_ms = round(max(0.0, max(to_new, default=0.0) - first_bad_ms))
    return Outcome(
        manager.state(),
        len(to_new) / len(dispatches),
        sum(during_canary) / max(1, len(during_canary)),
        late_count,
        detection_ms,
        manager.explanation(),
    )


def _play_job(job: tuple[str, str, int]) -> tuple[str, str, int, Outcome]:
    manager, kind, seed = job
    fault = versions_by_kind(random.Random(seed))[kind]
    types = {"managed": ManagedRollout, "baseline": BaselineRollout}
    old_fault = fault if kind in GOOD_KINDS else None
    return manager, kind, seed, play(types[manager], fault, seed, old_fault)


def main(arguments: list[str]) -> None:
    """Play all roll-outs and print a line for each kind of version."""
    count = int(arguments[0]) if arguments else 200
    kinds = arguments[1:] or list(versions_by_kind(random.Random(0)))
    jobs = [
        (manager, kind, seed)
        for manager in ("managed", "baseline")
        for kind in kinds
        for seed in range(count)
    ]
    outcomes_by_kind: dict[tuple[str, str], list[tuple[int, Outcome]]] = defaultdict(
        list
    )
    with ProcessPoolExecutor(PROCESSES) as pool:
        for manager, kind, seed, outcome in pool.map(_play_job, jobs, chunksize=10):
            outcomes_by_kind[manager, kind].append((seed, outcome))
    head = f"{'':9} {'version':19} {'done':>5} {'back':>5} {'share':>7} {'worst':>7}"
    print(f"{head} {'canary':>7} {'worst':>7} {'late':>6} {'runs':>5} {'p95 ms':>7}")
    for (manager, kind), results in outcomes_by_kind.items():
        _print_line(manager, kind, results)
    for (manager, kind), results in outcomes_by_kind.items():
        if manager == "managed":
            _print_misses(kind, results)


def _print_line(manager: str, kind: str, results: list[tuple[int, Outcome]]) -> None:
    outcomes = [outcome for _, outcome in results]
    count = len(outcomes)
    detection_times_ms = sorted(o.detection_ms for o in outcomes)
    print(
        f"{manager:9} {kind:19}"
        f" {sum(o.state == 'done' for o in outcomes):5}"
        f" {sum(o.state == 'taken_back' for o in outcomes):5}"
        f" {sum(o.share for o in outcomes) / count:7.2%}"
        f" {max(o.share for o in outcomes):7.2%}"
        f" {sum(o.canary_share for o in outcomes) / count:7.2%}"
        f" {max(o.canary_share for o in outcomes):7.2%}"
        f" {sum(o.late_count for o in outcomes):6}"
        f" {sum(o.late_count > 0 for o in outcomes):5}"
        f" {detection_times_ms[int(0.95 * (count - 1))]:7}"
    )


def _print_misses(kind: str, results: list[tuple[int, Outcome]]) -> None:
    expected_state = "done" if kind in GOOD_KINDS else "taken_back"
    misses = [
        (seed, o)
        for seed, o in results
        if o.state != expected_state
        or (kind not in GOOD_KINDS and (o.share > 0.05 or o.late_count))
    ]
    for seed, o in misses[:3]:
        print(
            f"missed: {kind}, seed {seed}: {o.state}, share {o.share:.2%},"
            f" {o.late_count} late; {o.explanation}"
        )


if __name__ == "__main__":
    main(sys.argv[1:])
