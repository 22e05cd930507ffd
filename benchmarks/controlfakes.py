"""Fakes for roll-outs: entry instances that share a table, without I/O."""

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
PASS_INTERVAL_MS = 1_000
WARM_UP_MS = 5_000
"""Time before the new version is ordered."""
WRITE_DELAY_MS = 10
RESULT_DELAY_MS = 300
"""Until all peers have a result: the delay of urgent items, with a margin."""
FAILURE = Failure(Reason.PEER_ERROR, "service.call")


class RolloutManager(Protocol):
    """Shifts traffic to the new version."""

    endpoints: dict[str, list[str]]

    def __init__(self, deadline_wall_ms: int, entry_count: int, rng: random.Random): ...

    def advance(self, now_ms: int) -> None:
        """Advance the time."""
        ...

    def add_baseline_results(
        self, route: str, times_ms: list[float], failure_ratio: float
    ) -> None:
        """Add results of the old version from before the roll-out."""
        ...

    def choose_version(self, entry_index: int) -> str:
        """Return a random version, weighted by the traffic shares."""
        ...

    def allowed_endpoints(self, entry_index: int, version: str) -> set[str]:
        """Return the endpoints that an entry instance may choose."""
        ...

    def record_start(
        self, entry_index: int, number: int, version: str, endpoint: str, route: str
    ) -> tuple:
        """Record that a request was sent."""
        ...

    def record_end(self, entry_index: int, attempt: tuple, is_failure: bool) -> None:
        """Record the end of a request."""
        ...

    def state(self) -> str:
        """Return the version's state."""
        ...

    def canary_end_ms(self) -> float:
        """Return when the canary phase ended, in milliseconds of the run."""
        ...

    def explanation(self) -> str:
        """Return why the version is in its state."""
        ...


class _Route(msgspec.Struct, frozen=True):
    service: str


class _Placement(msgspec.Struct, frozen=True):
    route: _Route
    version: str
    endpoint: str


class _Context(msgspec.Struct, frozen=True):
    class_id: str
    path: str
    request_class: RequestClass


class _Entry:
    """The view, shares and observer of one entry instance."""

    def __init__(self, name: str, manager: ManagedRollout):
        self.name = name
        self.view = RolloutView(lambda: manager.document)
        self.observer = RolloutObserver(
            self.view, name, lambda: len(manager.names), manager.clock
        )
        self.shares = RolloutShares(
            self.view,
            name,
            lambda: manager.names,
            lambda _, version: manager.endpoints.get(version, []),
            manager.clock,
            manager.settings,
            self.observer.has_recent_bad_result,
            self.observer.should_join_canary,
        )
        self.view.on_trip(lambda trip: manager.on_trip(self, trip))
        self.observer.on_canary_result(
            lambda result, _: manager.on_result(self, result)
        )
        self.next_poll_ms = manager.rng.uniform(0, POLL_INTERVAL_MS)
        self.next_report_ms = manager.rng.uniform(0, REPORT_INTERVAL_MS)
        self.version_shares: dict[str, float] = {"v1": 1.0}
        self.held_back_ids: frozenset[str] = frozenset()

    def refresh(self) -> None:
        """Compute the shares and the held-back endpoints again."""
        self.version_shares = self.shares.shares(SERVICE)
        self.held_back_ids = self.shares.held_back_endpoints([SERVICE])


class ManagedRollout:
    """Several entry instances with the real rules, shares and verdicts."""

    def __init__(self, deadline_wall_ms: int, entry_count: int, rng: random.Random):
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
        self._document_with_order = msgspec.structs.replace(
            self.document, versions=(*self.document.versions, order)
        )
        self.names = [f"daemon-{number}" for number in range(entry_count)]
        self._rules = RolloutRules(self.settings)
        self._row: RolloutRow | None = None
        self._revision = 0
        self._trips: list[tuple[int, object]] = []
        self._results: deque[tuple[int, int, _Entry, Result]] = deque()
        self._reports: dict[str, ReportRow] = {}
        self._next_tick_ms = 0
        self._next_pass_ms = 0
        self._contexts: dict[str, _Context] = {}
        self._entries = [_Entry(name, self) for name in self.names]

    def add_baseline_results(
        self, route: str, times_ms: list[float], failure_ratio: float
    ) -> None:
        """Add earlier results of the old version at each entry instance."""
        for entry in self._entries:
            baseline_results = entry.observer.baseline_results(SERVICE)
            for time_ms in times_ms:
                baseline_results.add(
                    Result(
                        service=SERVICE,
                        version="v1",
                        route=f"class {route}",
                        endpoint="old-0",
                        is_failure=self.rng.random() < failure_ratio,
                        first_answer_ms=round(time_ms),
                        target_ms=2_000,
                    ),
                    self.clock.now_ms(),
                )

    def on_trip(self, entry: _Entry, trip) -> None:
        """Write an entry instance's own trip to the table."""
        entry.refresh()
        if trip.instance == entry.name:
            self._trips.append((self.clock.now_ms() + WRITE_DELAY_MS, trip))

    def on_result(self, entry: _Entry, result: Result) -> None:
        """Send a result to the peers of an entry instance."""
        due_ms = self.clock.now_ms() + RESULT_DELAY_MS
        self._results.append((due_ms, self.clock.wall_ms(), entry, result))

    def advance(self, now_ms: int) -> None:
        """Advance the time, tick by tick."""
        while self._next_tick_ms <= now_ms:
            self.clock.advance_ms(max(0, self._next_tick_ms - self.clock.now_ms()))
            self._tick(self._next_tick_ms)
            self._next_tick_ms += TICK_INTERVAL_MS
        self.clock.advance_ms(max(0, now_ms - self.clock.now_ms()))

    def choose_version(self, entry_index: int) -> str:
        """Return a random version, weighted by the entry instance's shares."""
        shares = self._entries[entry_index].version_shares
        if len(shares) == 1:
            return next(iter(shares))
        return self.rng.choices(list(shares), weights=list(shares.values()))[0]

    def allowed_endpoints(self, entry_index: int, version: str) -> set[str]:
        """Return the endpoints that the entry instance may choose."""
        return set(self.endpoints[version]) - self._entries[entry_index].held_back_ids

    def record_start(
        self, entry_index: int, number: int, version: str, endpoint: str, route: str
    ) -> tuple:
        """Record that a request was sent."""
        context = self._contexts.get(route)
        if context is None:
            context = _Context("class", route, self.request_class)
            self._contexts[route] = context
        placement = _Placement(_Route(SERVICE), version, endpoint)
        attempt = (context, placement, number, self.clock.now_ms())
        self._entries[entry_index].observer.record_start(context, placement, number)
        return attempt

    def record_end(self, entry_index: int, attempt: tuple, is_failure: bool) -> None:
        """Record that a request ended."""
        context, placement, number, started_ms = attempt
        elapsed_ms = self.clock.now_ms() - started_ms
        end = AttemptEnd(FAILURE if is_failure else None, elapsed_ms, elapsed_ms)
        self._entries[entry_index].observer.record_end(context, placement, number, end)

    def state(self) -> str:
        """Return the version's state."""
        return self._row.state.value if self._row else ""

    def explanation(self) -> str:
        """Return why the version is in its state."""
        return self._row.why if self._row else ""

    def canary_end_ms(self) -> float:
        """Return when the canary ended."""
        steps = self._row.steps if self._row else ()
        for step in steps:
            if step.state.value in ("ramp", "taken_back"):
                return step.wall_ms - 1_800_000_000_000
        return float("inf")

    def _tick(self, now_ms: int) -> None:
        if now_ms >= WARM_UP_MS:
            self.document = self._document_with_order
        while self._results and self._results[0][0] <= now_ms:
            _, observed_wall_ms, sender, result = self._results.popleft()
            for entry in self._entries:
                if entry is not sender:
                    entry.observer.add_peer_result(result, observed_wall_ms)
        for entry in self._entries:
            if now_ms >= entry.next_poll_ms:
                self._poll(entry, now_ms)
            if now_ms >= entry.next_report_ms:
                self._report(entry, now_ms)
            entry.observer.tick()
            entry.refresh()
        if now_ms >= self._next_pass_ms:
            self._next_pass_ms = now_ms + PASS_INTERVAL_MS
            self._pass(now_ms)

    def _poll(self, entry: _Entry, now_ms: int) -> None:
        jitter = self.rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        entry.next_poll_ms = now_ms + POLL_INTERVAL_MS * jitter
        if self._row is not None:
            entry.view.apply_row(self._row, self._revision)
        for at_ms, trip in self._trips:
            if at_ms <= now_ms:
                entry.view.add_trip(trip)

    def _report(self, entry: _Entry, now_ms: int) -> None:
        jitter = self.rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        entry.next_report_ms = now_ms + REPORT_INTERVAL_MS * jitter
        row = entry.view.row(SERVICE, "v2")
        if row is None:
            return
        result_count, bad_count = entry.observer.result_counts(row)
        self._reports[entry.name] = ReportRow(
            service=SERVICE,
            version="v2",
            attempt=row.attempt,
            instance=entry.name,
            incarnation=1,
            seen_token=row.token,
            results=result_count,
            bad=bad_count,
        )

    def _pass(self, now_ms: int) -> None:
        key = rollout_key(SERVICE, "v2")
        rollouts = ServiceRollouts(
            {key: (self._row, self._revision)} if self._row else {},
            [trip for at_ms, trip in self._trips if at_ms <= now_ms],
            [(report, Row("", b"", 0)) for report in self._reports.values()],
        )
        decisions = decide_all(
            self._rules,
            self.document,
            SERVICE,
            rollouts,
            live=self.names,
            endpoints_of=lambda _, version: self.endpoints.get(version, []),
            wall_ms=self.clock.wall_ms(),
        )
        for decision in decisions:
            if decision.after is not None:
                self._revision += 1
                token = str(self._revision)
                self._row = msgspec.structs.replace(decision.after, token=token)


class BaselineRollout:
    """A roll-out in fixed steps that rolls back at a threshold.

    Every 10 s it compares both versions' results of that time. It rolls back when
    the new version has more than twice the old failure ratio plus 0.05, or more
    than twice the mean time, with at least 20 results.
    """

    STEPS = (0.05, 0.25, 0.5, 1.0)
    CHECK_INTERVAL_MS = 10_000
    MIN_RESULTS = 20

    def __init__(self, deadline_wall_ms: int, entry_count: int, rng: random.Random):
        self.endpoints: dict[str, list[str]] = {}
        self._rng = rng
        self._window_ms = deadline_wall_ms - 1_800_000_000_000
        self._now_ms = 0
        self._last_check_ms = 0
        self._is_rolled_back = False
        self._results: dict[str, list[tuple[bool, float]]] = {"v1": [], "v2": []}

    def advance(self, now_ms: int) -> None:
        """Advance the time."""
        self._now_ms = now_ms
        if now_ms - self._last_check_ms >= self.CHECK_INTERVAL_MS:
            self._last_check_ms = now_ms
            self._check()

    def add_baseline_results(
        self, route: str, times_ms: list[float], failure_ratio: float
    ) -> None:
        """Do nothing; it compares with current results of the old version only."""

    def _check(self) -> None:
        new, old = self._results["v2"], self._results["v1"]
        if len(new) < self.MIN_RESULTS:
            return
        failure_ratio = sum(is_bad for is_bad, _ in new) / len(new)
        baseline_ratio = sum(is_bad for is_bad, _ in old) / max(1, len(old))
        mean_ms = sum(ms for _, ms in new) / len(new)
        old_ms = sum(ms for _, ms in old) / max(1, len(old)) or mean_ms
        if failure_ratio > 2 * baseline_ratio + 0.05 or mean_ms > 2 * old_ms:
            self._is_rolled_back = True
        self._results = {"v1": [], "v2": []}

    def choose_version(self, entry_index: int) -> str:
        """Return a random version by the share of the current step."""
        if self._is_rolled_back:
            return "v1"
        if self._now_ms < WARM_UP_MS:
            return "v1"
        elapsed_ratio = (self._now_ms - WARM_UP_MS) / (self._window_ms - WARM_UP_MS)
        step = min(3, int(len(self.STEPS) * elapsed_ratio))
        return "v2" if self._rng.random() < self.STEPS[step] else "v1"

    def allowed_endpoints(self, entry_index: int, version: str) -> set[str]:
        """Return all endpoints of a version."""
        return set(self.endpoints[version])

    def record_start(
        self, entry_index: int, number: int, version: str, endpoint: str, route: str
    ) -> tuple:
        """Record that a request was sent."""
        return version, self._now_ms

    def record_end(self, entry_index: int, attempt: tuple, is_failure: bool) -> None:
        """Record that a request ended."""
        version, started_ms = attempt
        self._results[version].append((is_failure, self._now_ms - started_ms))

    def state(self) -> str:
        """Return whether the version was rolled back or is done."""
        return "taken_back" if self._is_rolled_back else "done"

    def canary_end_ms(self) -> float:
        """Return when the first step ends, in milliseconds of the run."""
        return WARM_UP_MS + (self._window_ms - WARM_UP_MS) / len(self.STEPS)

    def explanation(self) -> str:
        """Return an empty text; this roll-out gives no reason."""
        return ""
