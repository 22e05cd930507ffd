"""Tests versions by the results of own attempts and of peers' canaries."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, InstanceId, ServiceId
from ..requests.context import RequestContext
from ..requests.placement import AttemptEnd, PlacedAttempt
from .attemptevidence import EVIDENCE, AttemptEnding, Evidence
from .rolloutrows import RolloutRow, RolloutState, TripRow
from .rolloutview import RolloutView
from .verdict import FALSE_ALARM_RATE, BaselineResults, Result, Verdict

VerdictKey = tuple[str, str, int]
OnCanaryResult = Callable[[Result, bool], None]

SUSPICION_MS = 8_000
"""Time after an own bad result in which this entry instance keeps sending to the
version, so that its verdict is reached soon."""

JOINING_MS = 3_000
"""Time after a peer's bad result in which this entry instance sends to the canary as
well while the version is in doubt: a bad version is to be stopped within it."""


class _PendingAttempt(msgspec.Struct):
    """An attempt in progress that has no first answer yet."""

    context: RequestContext
    placed: PlacedAttempt
    started_ms: int


class RolloutObserver:
    """Evaluates versions in rollout by the results that this entry instance knows.

    Parameters
    ----------
    view : RolloutView
        Names the versions in rollout; receives the trips.
    instance : InstanceId
        This entry instance.
    entry_count : callable
        Returns the number of live entry instances, among which the false-alarm
        rate is divided.
    clock : Clock
        Clock of this instance.
    """

    def __init__(
        self,
        view: RolloutView,
        instance: InstanceId,
        entry_count: Callable[[], int],
        clock: Clock,
    ):
        self._view = view
        self._instance = instance
        self._entry_count = entry_count
        self._clock = clock
        self._baselines: dict[ServiceId, BaselineResults] = {}
        self._verdicts: dict[VerdictKey, Verdict] = {}
        self._result_counts: dict[VerdictKey, tuple[int, int]] = {}
        self._pending: dict[AttemptId, _PendingAttempt] = {}
        self._counted_as_slow: set[AttemptId] = set()
        self._suspicion_ends_ms: dict[VerdictKey, int] = {}
        self._joining_ends_ms: dict[VerdictKey, int] = {}
        self._on_canary_result: list[OnCanaryResult] = []

    def on_canary_result(self, callback: OnCanaryResult) -> None:
        """Call ``callback`` with each own result of a canary and whether it is bad."""
        self._on_canary_result.append(callback)

    def add_peer_result(self, result: Result, seen_wall_ms: int) -> bool:
        """Add a peer's result of a canary; return whether it counts as bad."""
        row = self._view.active_row(result.service, self._clock.wall_ms())
        if row is None or row.version != result.version:
            return False
        if row.state is not RolloutState.CANARY or seen_wall_ms < row.started_wall_ms:
            return False
        return self._add_to_verdict(row, result, self._joining_ends_ms, JOINING_MS)

    def result_counts(self, row: RolloutRow) -> tuple[int, int]:
        """Return the numbers of own results and of own bad results of a version."""
        return self._result_counts.get((row.service, row.version, row.attempt), (0, 0))

    def baseline_results(self, service: ServiceId) -> BaselineResults:
        """Return the results of the version that has the service's traffic."""
        baseline = self._baselines.get(service)
        if baseline is None:
            baseline = self._baselines[service] = BaselineResults()
        return baseline

    def has_recent_bad_result(self, row: RolloutRow) -> bool:
        """Return whether an own bad result came in the last `SUSPICION_MS`."""
        key = (row.service, row.version, row.attempt)
        return self._clock.now_ms() < self._suspicion_ends_ms.get(key, 0)

    def should_join_canary(self, row: RolloutRow) -> bool:
        """Return whether a peer's recent bad result leaves a version in doubt."""
        key = (row.service, row.version, row.attempt)
        is_recent = self._clock.now_ms() < self._joining_ends_ms.get(key, 0)
        return is_recent and self._verdicts[key].is_doubtful()

    def record_start(
        self, context: RequestContext, placed: PlacedAttempt, attempt: AttemptId
    ) -> None:
        """Record that an attempt was sent."""
        if self._active_row(placed) is not None:
            now_ms = self._clock.now_ms()
            self._pending[attempt] = _PendingAttempt(context, placed, now_ms)

    def record_progress(self, attempt: AttemptId) -> None:
        """Record that an attempt has its first token."""
        self._pending.pop(attempt, None)

    def record_end(
        self,
        context: RequestContext,
        placed: PlacedAttempt,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> None:
        """Record the result of an attempt, unless it was counted as slow before."""
        self._pending.pop(attempt, None)
        if attempt in self._counted_as_slow:
            self._counted_as_slow.discard(attempt)
            return
        evidence = EVIDENCE[_ending_of(end.failure)]
        if evidence is Evidence.NOTHING:
            return
        has_begun = end.tokens > 0
        is_over = evidence is not Evidence.TIMES_AT_LEAST
        waited_ms = end.first_answer_ms if has_begun or is_over else end.total_ms
        gap_count = end.tokens - is_over
        gap_ms = None
        if gap_count > 0:
            gap_ms = (end.total_ms - end.first_answer_ms) / gap_count
        self._add_own_result(
            placed,
            msgspec.structs.replace(
                _make_result(context, placed, waited_ms),
                is_failure=evidence in (Evidence.FAILURE, Evidence.CRASH),
                gap_ms=gap_ms,
                is_censored=not is_over and not has_begun,
            ),
        )

    def tick(self) -> None:
        """Count attempts as slow whose first answer is overdue."""
        now_ms = self._clock.now_ms()
        for attempt, pending in list(self._pending.items()):
            waited_ms = now_ms - pending.started_ms
            result = msgspec.structs.replace(
                _make_result(pending.context, pending.placed, waited_ms),
                is_censored=True,
            )
            if self.baseline_results(result.service).is_slow(result):
                del self._pending[attempt]
                self._counted_as_slow.add(attempt)
                self._add_own_result(pending.placed, result)

    def _add_own_result(self, placed: PlacedAttempt, result: Result) -> None:
        baseline = self.baseline_results(result.service)
        if not baseline.is_evidence(result):
            return
        row = self._active_row(placed)
        if row is None:
            if placed.version in self._view.base_versions(result.service):
                baseline.add(result, self._clock.now_ms())
            return
        verdict = self._verdict(row)
        results, bad = self.result_counts(row)
        count_before = verdict.result_count
        is_bad = self._add_to_verdict(
            row, result, self._suspicion_ends_ms, SUSPICION_MS
        )
        key = (row.service, row.version, row.attempt)
        counted = verdict.result_count - count_before
        self._result_counts[key] = (results + counted, bad + is_bad)
        if row.state is RolloutState.CANARY:
            for callback in self._on_canary_result:
                callback(result, is_bad)

    def _add_to_verdict(
        self,
        row: RolloutRow,
        result: Result,
        ends_ms: dict[VerdictKey, int],
        duration_ms: int,
    ) -> bool:
        """Add a result to the verdict; return whether it is bad.

        A bad result sets the version's entry of ``ends_ms`` to ``duration_ms`` from
        now.
        """
        baseline = self.baseline_results(row.service)
        key = (row.service, row.version, row.attempt)
        verdict = self._verdict(row)
        bad_before = verdict.bad_count
        why = verdict.add(
            result,
            baseline,
            self._clock.now_ms(),
            is_traffic_moving=row.state is RolloutState.SOAK,
        )
        is_bad = verdict.bad_count > bad_before
        if is_bad:
            ends_ms[key] = self._clock.now_ms() + duration_ms
        if why:
            self._stop_version(row, why)
        return is_bad

    def _verdict(self, row: RolloutRow) -> Verdict:
        key = (row.service, row.version, row.attempt)
        verdict = self._verdicts.get(key)
        if verdict is None:
            alpha = FALSE_ALARM_RATE / max(1, self._entry_count())
            verdict = self._verdicts[key] = Verdict(alpha)
        return verdict

    def _stop_version(self, row: RolloutRow, why: str) -> None:
        trip = TripRow(
            service=row.service,
            version=row.version,
            attempt=row.attempt,
            instance=self._instance,
            seen_wall_ms=self._clock.wall_ms(),
            why=why,
        )
        self._view.add_trip(trip)

    def _active_row(self, placed: PlacedAttempt) -> RolloutRow | None:
        """Return the row of the version if it is in rollout, else ``None``."""
        service = placed.route.service
        row = self._view.active_row(service, self._clock.wall_ms())
        if row is None or row.version != placed.version:
            return None
        return row


def _make_result(
    context: RequestContext, placed: PlacedAttempt, first_answer_ms: int
) -> Result:
    return Result(
        service=placed.route.service,
        version=placed.version,
        route=f"{context.class_id} {context.path}",
        endpoint=placed.endpoint,
        is_failure=False,
        first_answer_ms=first_answer_ms,
        target_ms=context.request_class.answer_within_ms,
    )


def _ending_of(failure: Failure | None) -> AttemptEnding:
    """Return how an attempt ended that ended with a failure, or without one."""
    if failure is None:
        return AttemptEnding.ANSWERED
    if failure.reason is Reason.CANCELLED:
        return AttemptEnding.CALLER_LEFT
    if failure.delivery is Delivery.NOT_SENT:
        return AttemptEnding.NOT_SENT
    if failure.delivery is Delivery.REFUSED:
        return AttemptEnding.REFUSED
    return AttemptEnding.FAILED
