"""Fakes for rollouts: daemons that share a table, without any I/O."""

from __future__ import annotations

import random
from collections import deque
from typing import Protocol

import msgspec

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.config.document import (
    Document,
    RequestClass,
    Service,
    ServiceKind,
    Version,
)
from _monsoonpulley.control.rollout import RolloutRules, RolloutSettings
from _monsoonpulley.control.rolloutobserver import RolloutObserver
from _monsoonpulley.control.rolloutpass import ServiceRollouts, decide_all
from _monsoonpulley.control.rolloutrows import ReportRow, RolloutRow, rollout_key
from _monsoonpulley.control.rolloutview import RolloutView
from _monsoonpulley.control.rolloutwatch import (
    JITTER_RATIO,
    POLL_INTERVAL_MS,
    REPORT_INTERVAL_MS,
    TICK_INTERVAL_MS,
)
from _monsoonpulley.control.verdict import Result
from _monsoonpulley.control.versionshares import RolloutShares
from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.external.table import Row
from _monsoonpulley.requests.placement import AttemptEnd

SERVICE = "service"
PASS_MS = 1_000
WARM_MS = 5_000
"""Time before the version is ordered."""
WRITE_MS = 10
HEARD_MS = 300
"""Until a result is with all peers: the delay of urgent news, and a margin."""
FAILED = Failure(Reason.PEER_ERROR, "service.call")


class Manager(Protocol):
    """Moves traffic to the new version."""

    endpoints: dict[str, list[str]]

    def __init__(self, deadline_wall_ms: int, daemons: int, rng: random.Random): ...

    def advance(self, now_ms: int) -> None:
        """Let time pass."""
        ...

    def remember(self, route: str, times_ms: list[float], failed: float) -> None:
        """Take in results of the old version from before."""
        ...

    def draw(self, daemon: int) -> str:
        """Draw a version."""
        ...

    def allowed(self, daemon: int, version: str) -> set[str]:
        """Return the endpoints that may be chosen."""
        ...

    def started(
        self, daemon: int, number: int, version: str, endpoint: str, route: str
    ) -> tuple:
        """Note that a request was sent."""
        ...

    def ended(self, daemon: int, attempt: tuple, failed: bool) -> None:
        """Note a request's end."""
        ...

    def state(self) -> str:
        """Return the version's state."""
        ...

    def ramp_ms(self) -> float:
        """Return when the canary ended."""
        ...

    def why(self) -> str:
        """Return why it is there."""
        ...


class _Route(msgspec.Struct, frozen=True):
    service: str


class _Placed(msgspec.Struct, frozen=True):
    route: _Route
    version: str
    endpoint: str


class _Context(msgspec.Struct, frozen=True):
    class_id: str
    path: str
    request_class: RequestClass


class _Daemon:
    """One daemon's view, shares and verdict."""

    def __init__(self, name: str, fleet: Managed):
        self.name = name
        self.view = RolloutView(lambda: fleet.document)
        self.observer = RolloutObserver(
            self.view, name, lambda: len(fleet.names), fleet.clock
        )
        self.shares = RolloutShares(
            self.view,
            name,
            lambda: fleet.names,
            lambda _, version: fleet.endpoints.get(version, []),
            fleet.clock,
            fleet.settings,
            self.observer.has_recent_bad_result,
            self.observer.should_join_canary,
        )
        self.view.on_trip(lambda trip: fleet.on_trip(self, trip))
        self.observer.on_canary_result(lambda result, _: fleet.on_result(self, result))
        self.next_poll_ms = fleet.rng.uniform(0, POLL_INTERVAL_MS)
        self.next_report_ms = fleet.rng.uniform(0, REPORT_INTERVAL_MS)
        self.current: dict[str, float] = {"v1": 1.0}
        self.held: frozenset[str] = frozenset()

    def refresh(self) -> None:
        """Take shares and held back endpoints anew."""
        self.current = self.shares.shares(SERVICE)
        self.held = self.shares.held_back_endpoints([SERVICE])


class Managed:
    """The real rules, shares and verdicts of a few daemons."""

    def __init__(self, deadline_wall_ms: int, daemons: int, rng: random.Random):
        self.endpoints: dict[str, list[str]] = {}
        self.rng = rng
        self.settings = RolloutSettings()
        self.clock = ManualClock(0, 1_800_000_000_000)
        self.request_class = RequestClass(SERVICE, 2_000)
        self.document = Document(
            services={SERVICE: Service(ServiceKind.PLAIN)},
            versions=(Version(SERVICE, "v1"),),
        )
        order = Version(SERVICE, "v2", deadline_wall_ms)
        self._ordered = msgspec.structs.replace(
            self.document, versions=(*self.document.versions, order)
        )
        self.names = [f"daemon-{number}" for number in range(daemons)]
        self._rules = RolloutRules(self.settings)
        self._row: RolloutRow | None = None
        self._revision = 0
        self._trips: list[tuple[int, object]] = []
        self._results: deque[tuple[int, int, _Daemon, Result]] = deque()
        self._reports: dict[str, ReportRow] = {}
        self._next_tick_ms = 0
        self._next_pass_ms = 0
        self._contexts: dict[str, _Context] = {}
        self._daemons = [_Daemon(name, self) for name in self.names]

    def remember(self, route: str, times_ms: list[float], failed: float) -> None:
        """Let each daemon know results of the old version from before."""
        for daemon in self._daemons:
            old = daemon.observer.baseline_results(SERVICE)
            for time_ms in times_ms:
                old.add(
                    Result(
                        service=SERVICE,
                        version="v1",
                        route=f"class {route}",
                        endpoint="old-0",
                        is_failure=self.rng.random() < failed,
                        first_answer_ms=round(time_ms),
                        target_ms=2_000,
                    )
                )

    def on_trip(self, daemon: _Daemon, trip) -> None:
        """Write a daemon's own trip to the table."""
        daemon.refresh()
        if trip.instance == daemon.name:
            self._trips.append((self.clock.now_ms() + WRITE_MS, trip))

    def on_result(self, daemon: _Daemon, result: Result) -> None:
        """Tell a daemon's peers of a result."""
        due_ms = self.clock.now_ms() + HEARD_MS
        self._results.append((due_ms, self.clock.wall_ms(), daemon, result))

    def advance(self, now_ms: int) -> None:
        """Let time pass, tick by tick."""
        while self._next_tick_ms <= now_ms:
            self.clock.advance_ms(max(0, self._next_tick_ms - self.clock.now_ms()))
            self._tick(self._next_tick_ms)
            self._next_tick_ms += TICK_INTERVAL_MS
        self.clock.advance_ms(max(0, now_ms - self.clock.now_ms()))

    def draw(self, daemon: int) -> str:
        """Draw a version by the daemon's shares."""
        shares = self._daemons[daemon].current
        if len(shares) == 1:
            return next(iter(shares))
        return self.rng.choices(list(shares), weights=list(shares.values()))[0]

    def allowed(self, daemon: int, version: str) -> set[str]:
        """Return the endpoints that the daemon may choose."""
        return set(self.endpoints[version]) - self._daemons[daemon].held

    def started(
        self, daemon: int, number: int, version: str, endpoint: str, route: str
    ) -> tuple:
        """Note that a request was sent."""
        context = self._contexts.get(route)
        if context is None:
            context = _Context("class", route, self.request_class)
            self._contexts[route] = context
        placed = _Placed(_Route(SERVICE), version, endpoint)
        attempt = (context, placed, number, self.clock.now_ms())
        self._daemons[daemon].observer.record_start(context, placed, number)
        return attempt

    def ended(self, daemon: int, attempt: tuple, failed: bool) -> None:
        """Note that a request ended."""
        context, placed, number, started_ms = attempt
        took_ms = self.clock.now_ms() - started_ms
        end = AttemptEnd(FAILED if failed else None, took_ms, took_ms)
        self._daemons[daemon].observer.record_end(context, placed, number, end)

    def state(self) -> str:
        """Return the version's state."""
        return self._row.state.value if self._row else ""

    def why(self) -> str:
        """Return why the version is where it is."""
        return self._row.why if self._row else ""

    def ramp_ms(self) -> float:
        """Return when the canary ended."""
        steps = self._row.steps if self._row else ()
        for step in steps:
            if step.state.value in ("ramp", "taken_back"):
                return step.wall_ms - 1_800_000_000_000
        return float("inf")

    def _tick(self, now_ms: int) -> None:
        if now_ms >= WARM_MS:
            self.document = self._ordered
        while self._results and self._results[0][0] <= now_ms:
            _, seen_wall_ms, sender, result = self._results.popleft()
            for daemon in self._daemons:
                if daemon is not sender:
                    daemon.observer.add_peer_result(result, seen_wall_ms)
        for daemon in self._daemons:
            if now_ms >= daemon.next_poll_ms:
                self._poll(daemon, now_ms)
            if now_ms >= daemon.next_report_ms:
                self._report(daemon, now_ms)
            daemon.observer.tick()
            daemon.refresh()
        if now_ms >= self._next_pass_ms:
            self._next_pass_ms = now_ms + PASS_MS
            self._pass(now_ms)

    def _poll(self, daemon: _Daemon, now_ms: int) -> None:
        spread = self.rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        daemon.next_poll_ms = now_ms + POLL_INTERVAL_MS * spread
        if self._row is not None:
            daemon.view.apply_row(self._row, self._revision)
        for at_ms, trip in self._trips:
            if at_ms <= now_ms:
                daemon.view.add_trip(trip)

    def _report(self, daemon: _Daemon, now_ms: int) -> None:
        spread = self.rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        daemon.next_report_ms = now_ms + REPORT_INTERVAL_MS * spread
        row = daemon.view.row(SERVICE, "v2")
        if row is None:
            return
        results, bad = daemon.observer.result_counts(row)
        self._reports[daemon.name] = ReportRow(
            service=SERVICE,
            version="v2",
            attempt=row.attempt,
            instance=daemon.name,
            incarnation=1,
            seen_token=row.token,
            results=results,
            bad=bad,
        )

    def _pass(self, now_ms: int) -> None:
        key = rollout_key(SERVICE, "v2")
        found = ServiceRollouts(
            {key: (self._row, self._revision)} if self._row else {},
            [trip for at_ms, trip in self._trips if at_ms <= now_ms],
            [(report, Row("", b"", 0)) for report in self._reports.values()],
        )
        decisions = decide_all(
            self._rules,
            self.document,
            SERVICE,
            found,
            live=self.names,
            endpoints_of=lambda _, version: self.endpoints.get(version, []),
            wall_ms=self.clock.wall_ms(),
        )
        for decision in decisions:
            if decision.after is not None:
                self._revision += 1
                token = str(self._revision)
                self._row = msgspec.structs.replace(decision.after, token=token)


class Baseline:
    """Raises a fixed share in equal steps; takes back at a threshold.

    Every 10 s it compares the new version's results of that time with the old
    one's: taken back at twice the old failures plus 5 of 100, or twice the mean
    time, on 20 results at least.
    """

    STEPS = (0.05, 0.25, 0.5, 1.0)
    CHECK_MS = 10_000
    LEAST_RESULTS = 20

    def __init__(self, deadline_wall_ms: int, daemons: int, rng: random.Random):
        self.endpoints: dict[str, list[str]] = {}
        self._rng = rng
        self._window_ms = deadline_wall_ms - 1_800_000_000_000
        self._now_ms = 0
        self._checked_ms = 0
        self._is_back = False
        self._results: dict[str, list[tuple[bool, float]]] = {"v1": [], "v2": []}

    def advance(self, now_ms: int) -> None:
        """Let time pass."""
        self._now_ms = now_ms
        if now_ms - self._checked_ms >= self.CHECK_MS:
            self._checked_ms = now_ms
            self._check()

    def remember(self, route: str, times_ms: list[float], failed: float) -> None:
        """Do without; it compares with the old version's results of the time."""

    def _check(self) -> None:
        new, old = self._results["v2"], self._results["v1"]
        if len(new) < self.LEAST_RESULTS:
            return
        failed = sum(bad for bad, _ in new) / len(new)
        usual = sum(bad for bad, _ in old) / max(1, len(old))
        mean_ms = sum(ms for _, ms in new) / len(new)
        old_ms = sum(ms for _, ms in old) / max(1, len(old)) or mean_ms
        if failed > 2 * usual + 0.05 or mean_ms > 2 * old_ms:
            self._is_back = True
        self._results = {"v1": [], "v2": []}

    def draw(self, daemon: int) -> str:
        """Draw a version by the step's share."""
        if self._is_back:
            return "v1"
        if self._now_ms < WARM_MS:
            return "v1"
        part = (self._now_ms - WARM_MS) / (self._window_ms - WARM_MS)
        step = min(3, int(len(self.STEPS) * part))
        return "v2" if self._rng.random() < self.STEPS[step] else "v1"

    def allowed(self, daemon: int, version: str) -> set[str]:
        """Return all endpoints."""
        return set(self.endpoints[version])

    def started(
        self, daemon: int, number: int, version: str, endpoint: str, route: str
    ) -> tuple:
        """Note that a request was sent."""
        return version, self._now_ms

    def ended(self, daemon: int, attempt: tuple, failed: bool) -> None:
        """Note that a request ended."""
        version, started_ms = attempt
        self._results[version].append((failed, self._now_ms - started_ms))

    def state(self) -> str:
        """Return how it ended."""
        return "taken_back" if self._is_back else "done"

    def ramp_ms(self) -> float:
        """Return when the first step ends."""
        return WARM_MS + (self._window_ms - WARM_MS) / len(self.STEPS)

    def why(self) -> str:
        """Return nothing; it doesn't say."""
        return ""
