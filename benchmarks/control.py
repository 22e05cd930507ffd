"""Rollouts measured: ``python -m benchmarks.control [ROLLOUTS] [FAULT ...]``.

Plays seeded rollouts of good and bad versions on manual time, by the real
rules, shares and verdicts, against small fakes of endpoints and of the table.
The baseline raises a fixed share step by step and takes back at a threshold.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor

import msgspec

from _monsoonpulley.standins.bad_version import BadEffect, BadVersion

from .controlfakes import WARM_MS, Baseline, Managed, Manager

WINDOW_MS = WARM_MS + 210_000
REQUESTS_PER_S = 24.0
DAEMONS = 7
OLD_ENDPOINTS = 10
NEW_ENDPOINTS = 10
SERVICE_MS = 250.0
SIGMA = 0.3
ROUTES = ("/a", "/a", "/a", "/b")
GRACE_MS = 3_000
START_WALL_MS = 1_800_000_000_000
PROCESSES = 8
OFTEN_FAILING = "good, 1% fail"
"""Both versions fail as often."""
GOOD = ("good", OFTEN_FAILING)


def faults(rng: random.Random) -> dict[str, BadVersion | None]:
    """Return the kinds of versions, with times of late faults drawn."""
    late_ms = WARM_MS + rng.randrange(10_000, 170_000)
    return {
        "good": None,
        OFTEN_FAILING: BadVersion(BadEffect.FAIL, probability=0.01),
        "fails at once": BadVersion.fails_at_once(),
        "slow at once": BadVersion.slow_at_once(),
        "fails late": BadVersion.bad_after(BadEffect.FAIL, after_ms=late_ms),
        "slow late": BadVersion.bad_after(BadEffect.SLOW, after_ms=late_ms),
        "fails under load": BadVersion.under_load(BadEffect.FAIL, 1),
        "slow under load": BadVersion.under_load(BadEffect.SLOW, 1),
        "fails on a route": BadVersion.on_route(BadEffect.FAIL, "/b"),
        "slow on a route": BadVersion.on_route(BadEffect.SLOW, "/b"),
        "fails now and then": BadVersion(BadEffect.FAIL, probability=0.2),
    }


class Outcome(msgspec.Struct):
    """How one rollout went.

    Attributes
    ----------
    state : str
        Last state of the version.
    share : float
        Share of the requests from order to deadline that the version got.
    canary_share : float
        The same until the ramp or the end.
    after_showing : int
        Requests to it from 3 s after its first bad result on.
    noticed_ms : int
        From the first bad result to the last request to it.
    """

    state: str
    share: float
    canary_share: float
    after_showing: int
    noticed_ms: int
    why: str = ""


class Endpoint(msgspec.Struct):
    """A fake endpoint: log-normal times, a little longer with load."""

    name: str
    bad: BadVersion | None
    running: int = 0
    started: int = 0

    def serve(self, route: str, age_ms: int, rng: random.Random) -> tuple[float, bool]:
        """Return how long a request takes, and whether it is affected."""
        self.running += 1
        self.started += 1
        took_ms = SERVICE_MS * rng.lognormvariate(0.0, SIGMA)
        took_ms *= 1.0 + 0.05 * (self.running - 1)
        bad = self.bad
        if bad is None or not bad.is_active(age_ms, self.started, self.running):
            return took_ms, False
        if not bad.affects(route, rng.random()):
            return took_ms, False
        if bad.effect is BadEffect.SLOW:
            return took_ms * bad.slow_factor, True
        return took_ms * 0.2, True


def play(
    manager_type: type[Manager],
    bad: BadVersion | None,
    seed: int,
    old_bad: BadVersion | None = None,
) -> Outcome:
    """Play one rollout."""
    rng = random.Random(seed)
    manager = manager_type(START_WALL_MS + WINDOW_MS, DAEMONS, rng)
    old = [Endpoint(f"old-{i}", old_bad) for i in range(OLD_ENDPOINTS)]
    new = [Endpoint(f"new-{i}", bad) for i in range(NEW_ENDPOINTS)]
    manager.endpoints = {
        "v1": [e.name for e in old],
        "v2": [e.name for e in new],
    }
    pools = {"v1": old, "v2": new}
    for route in sorted(set(ROUTES)):
        times_ms = [SERVICE_MS * rng.lognormvariate(0.0, SIGMA) for _ in range(300)]
        manager.remember(route, times_ms, old_bad.probability if old_bad else 0.0)
    ends: list[tuple[float, int, tuple]] = []
    sent: list[tuple[float, bool]] = []
    shown_ms: float | None = None
    time_ms = 0.0
    number = 0
    while True:
        time_ms += rng.expovariate(REQUESTS_PER_S / 1000)
        while ends and ends[0][0] <= min(time_ms, WINDOW_MS):
            end_ms, _, (daemon, endpoint, attempt, is_bad, fails) = heapq.heappop(ends)
            endpoint.running -= 1
            if is_bad and shown_ms is None and endpoint.name.startswith("new"):
                shown_ms = end_ms
            manager.advance(round(end_ms))
            manager.ended(daemon, attempt, fails)
        if time_ms >= WINDOW_MS:
            break
        if _is_over(manager, ends, sent, time_ms):
            # All that is still to come goes to the old version.
            rest = round((WINDOW_MS - time_ms) * REQUESTS_PER_S / 1000)
            sent.extend((WINDOW_MS, False) for _ in range(rest))
            break
        manager.advance(round(time_ms))
        number += 1
        daemon = rng.randrange(DAEMONS)
        route = rng.choice(ROUTES)
        version = manager.draw(daemon)
        allowed = manager.allowed(daemon, version)
        usable = [e for e in pools[version] if e.name in allowed]
        endpoint = min(usable, key=lambda e: (e.running, rng.random()))
        took_ms, affected = endpoint.serve(route, round(time_ms), rng)
        fails = affected and bad is not None and bad.effect is BadEffect.FAIL
        attempt = manager.started(daemon, number, version, endpoint.name, route)
        end = (daemon, endpoint, attempt, affected, fails)
        if affected and not fails and shown_ms is None:
            # A slow one shows when it has run longer than a good one would.
            shown_ms = time_ms + 2.5 * SERVICE_MS
        heapq.heappush(ends, (time_ms + took_ms, number, end))
        if time_ms >= WARM_MS:
            sent.append((time_ms, version == "v2"))
    manager.advance(WINDOW_MS + 1_000)
    return _outcome(manager, sent, shown_ms)


def _is_over(
    manager: Manager,
    ends: list[tuple[float, int, tuple]],
    sent: list[tuple[float, bool]],
    time_ms: float,
) -> bool:
    """Tell whether the version is back and got nothing for 20 s."""
    if manager.state() != "taken_back":
        return False
    if any(end[2][1].name.startswith("new") for end in ends):
        return False
    return not any(
        is_new for at_ms, is_new in reversed(sent[-600:]) if at_ms > time_ms - 20_000
    )


def _outcome(
    manager: Manager, sent: list[tuple[float, bool]], shown_ms: float | None
) -> Outcome:
    to_new = [at_ms for at_ms, is_new in sent if is_new]
    ramp_ms = manager.ramp_ms()
    until = [is_new for at_ms, is_new in sent if at_ms < ramp_ms]
    late = 0
    noticed_ms = 0
    if shown_ms is not None:
        late = sum(at_ms > shown_ms + GRACE_MS for at_ms in to_new)
        noticed_ms = round(max(0.0, max(to_new, default=0.0) - shown_ms))
    return Outcome(
        manager.state(),
        len(to_new) / len(sent),
        sum(until) / max(1, len(until)),
        late,
        noticed_ms,
        manager.why(),
    )


def _job(job: tuple[str, str, int]) -> tuple[str, str, int, Outcome]:
    manager, kind, seed = job
    bad = faults(random.Random(seed))[kind]
    types = {"managed": Managed, "baseline": Baseline}
    old_bad = bad if kind in GOOD else None
    return manager, kind, seed, play(types[manager], bad, seed, old_bad)


def main(arguments: list[str]) -> None:
    """Play all rollouts and print what became of them."""
    count = int(arguments[0]) if arguments else 200
    kinds = arguments[1:] or list(faults(random.Random(0)))
    jobs = [
        (manager, kind, seed)
        for manager in ("managed", "baseline")
        for kind in kinds
        for seed in range(count)
    ]
    found: dict[tuple[str, str], list[tuple[int, Outcome]]] = defaultdict(list)
    with ProcessPoolExecutor(PROCESSES) as pool:
        for manager, kind, seed, outcome in pool.map(_job, jobs, chunksize=10):
            found[manager, kind].append((seed, outcome))
    head = f"{'':9} {'version':19} {'done':>5} {'back':>5} {'share':>7} {'worst':>7}"
    print(f"{head} {'canary':>7} {'worst':>7} {'late':>6} {'runs':>5} {'p95 ms':>7}")
    for (manager, kind), results in found.items():
        _print_line(manager, kind, results)
    for (manager, kind), results in found.items():
        if manager == "managed":
            _print_misses(kind, results)


def _print_line(manager: str, kind: str, results: list[tuple[int, Outcome]]) -> None:
    outcomes = [outcome for _, outcome in results]
    count = len(outcomes)
    noticed = sorted(o.noticed_ms for o in outcomes)
    print(
        f"{manager:9} {kind:19}"
        f" {sum(o.state == 'done' for o in outcomes):5}"
        f" {sum(o.state == 'taken_back' for o in outcomes):5}"
        f" {sum(o.share for o in outcomes) / count:7.2%}"
        f" {max(o.share for o in outcomes):7.2%}"
        f" {sum(o.canary_share for o in outcomes) / count:7.2%}"
        f" {max(o.canary_share for o in outcomes):7.2%}"
        f" {sum(o.after_showing for o in outcomes):6}"
        f" {sum(o.after_showing > 0 for o in outcomes):5}"
        f" {noticed[int(0.95 * (count - 1))]:7}"
    )


def _print_misses(kind: str, results: list[tuple[int, Outcome]]) -> None:
    wanted = "done" if kind in GOOD else "taken_back"
    missed = [
        (seed, o)
        for seed, o in results
        if o.state != wanted
        or (kind not in GOOD and (o.share > 0.05 or o.after_showing))
    ]
    for seed, o in missed[:3]:
        print(
            f"missed: {kind}, seed {seed}: {o.state}, share {o.share:.2%},"
            f" {o.after_showing} late; {o.why}"
        )


if __name__ == "__main__":
    main(sys.argv[1:])
