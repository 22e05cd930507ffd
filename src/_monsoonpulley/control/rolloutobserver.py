"""Feeds the verdict of a version with this daemon's own attempts."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..ids import AttemptId, InstanceId, ServiceId
from ..requests.context import RequestContext
from ..requests.placement import AttemptEnd, Placed
from .rolloutrows import RolloutRow, RolloutState, TripRow
from .rolloutview import RolloutView
from .verdict import FALSE_ALARM_RATE, OldResults, Result, Verdict

VerdictKey = tuple[str, str, int]
OnCanaryResult = Callable[[Result, bool], None]

SUSPECT_MS = 8_000
"""How long after a bad result this daemon goes on sending, to be certain."""

JOIN_MS = 3_000
"""How long after a bad result of a peer this daemon sends too while in doubt: the
time in which a bad version is to be stopped."""


class _Waiting(msgspec.Struct):
    """An attempt without a first answer."""

    context: RequestContext
    placed: Placed
    started_ms: int


class RolloutObserver:
    """Judges versions on their way by the attempts of this daemon.

    Parameters
    ----------
    view : RolloutView
        Says which versions are on their way; is told of trips.
    instance : InstanceId
        This daemon.
    daemons : callable
        Returns the number of live daemons, between which the false-alarm
        rate is divided.
    clock : Clock
        Of the instance.
    """

    def __init__(
        self,
        view: RolloutView,
        instance: InstanceId,
        daemons: Callable[[], int],
        clock: Clock,
    ):
        self._view = view
        self._instance = instance
        self._daemons = daemons
        self._clock = clock
        self._old: dict[ServiceId, OldResults] = {}
        self._verdicts: dict[VerdictKey, Verdict] = {}
        self._counts: dict[VerdictKey, tuple[int, int]] = {}
        self._waiting: dict[AttemptId, _Waiting] = {}
        self._judged: set[AttemptId] = set()
        self._suspected_ms: dict[VerdictKey, int] = {}
        self._joined_ms: dict[VerdictKey, int] = {}
        self._on_canary_result: list[OnCanaryResult] = []

    def on_canary_result(self, callback: OnCanaryResult) -> None:
        """Call ``callback`` with each own result of a canary and whether it is bad."""
        self._on_canary_result.append(callback)

    def hear(self, result: Result, seen_wall_ms: int) -> bool:
        """Take in a peer's result of a canary; return whether it counts as bad."""
        row = self._view.active(result.service, self._clock.wall_ms())
        if row is None or row.version != result.version:
            return False
        if row.state is not RolloutState.CANARY or seen_wall_ms < row.started_wall_ms:
            return False
        return self._judge(row, result, self._joined_ms, JOIN_MS)

    def counts(self, row: RolloutRow) -> tuple[int, int]:
        """Return the results and the bad results of a version here."""
        return self._counts.get((row.service, row.version, row.attempt), (0, 0))

    def old_results(self, service: ServiceId) -> OldResults:
        """Return the results of the version that has a service's traffic."""
        old = self._old.get(service)
        if old is None:
            old = self._old[service] = OldResults()
        return old

    def is_suspected(self, row: RolloutRow) -> bool:
        """Tell whether a bad result of a version came here just now."""
        key = (row.service, row.version, row.attempt)
        return self._clock.now_ms() < self._suspected_ms.get(key, 0)

    def is_joined(self, row: RolloutRow) -> bool:
        """Tell whether a peer's bad result just now leaves a version in doubt."""
        key = (row.service, row.version, row.attempt)
        is_recent = self._clock.now_ms() < self._joined_ms.get(key, 0)
        return is_recent and self._verdicts[key].is_doubtful()

    def started(
        self, context: RequestContext, placed: Placed, attempt: AttemptId
    ) -> None:
        """Note that an attempt was sent."""
        if self._row(placed) is not None:
            now_ms = self._clock.now_ms()
            self._waiting[attempt] = _Waiting(context, placed, now_ms)

    def progressed(self, attempt: AttemptId) -> None:
        """Note that an attempt has its first token."""
        self._waiting.pop(attempt, None)

    def ended(
        self,
        context: RequestContext,
        placed: Placed,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> None:
        """Note how an attempt ended."""
        self._waiting.pop(attempt, None)
        if attempt in self._judged:
            self._judged.discard(attempt)
            return
        if _says_nothing(end.failure):
            return
        gap_ms = None
        if end.tokens > 1:
            gap_ms = (end.total_ms - end.first_answer_ms) / (end.tokens - 1)
        result = _result(context, placed, end.first_answer_ms)
        self._take(
            placed,
            msgspec.structs.replace(
                result, is_failure=end.failure is not None, gap_ms=gap_ms
            ),
        )

    def tick(self) -> None:
        """Judge attempts that already wait longer than they should."""
        now_ms = self._clock.now_ms()
        for attempt, waiting in list(self._waiting.items()):
            waited_ms = now_ms - waiting.started_ms
            result = _result(waiting.context, waiting.placed, waited_ms)
            if self.old_results(result.service).is_slow(result):
                del self._waiting[attempt]
                self._judged.add(attempt)
                self._take(waiting.placed, result)

    def _take(self, placed: Placed, result: Result) -> None:
        old = self.old_results(result.service)
        row = self._row(placed)
        if row is None:
            if placed.version in self._view.base(result.service):
                old.add(result)
            return
        verdict = self._verdict(row)
        results, bad = self.counts(row)
        results_before = verdict.results
        is_bad = self._judge(row, result, self._suspected_ms, SUSPECT_MS)
        key = (row.service, row.version, row.attempt)
        counted = verdict.results - results_before
        self._counts[key] = (results + counted, bad + is_bad)
        if row.state is RolloutState.CANARY:
            for callback in self._on_canary_result:
                callback(result, is_bad)

    def _judge(
        self,
        row: RolloutRow,
        result: Result,
        until_ms: dict[VerdictKey, int],
        suspect_ms: int,
    ) -> bool:
        """Test a version with a result, tell if it is bad, and until when it counts."""
        old = self.old_results(row.service)
        key = (row.service, row.version, row.attempt)
        verdict = self._verdict(row)
        bad_before = verdict.bad
        why = verdict.add(result, old, self._clock.now_ms())
        is_bad = verdict.bad > bad_before
        if is_bad:
            until_ms[key] = self._clock.now_ms() + suspect_ms
        if why:
            self._trip(row, why)
        return is_bad

    def _verdict(self, row: RolloutRow) -> Verdict:
        key = (row.service, row.version, row.attempt)
        verdict = self._verdicts.get(key)
        if verdict is None:
            alpha = FALSE_ALARM_RATE / max(1, self._daemons())
            verdict = self._verdicts[key] = Verdict(alpha)
        return verdict

    def _trip(self, row: RolloutRow, why: str) -> None:
        trip = TripRow(
            service=row.service,
            version=row.version,
            attempt=row.attempt,
            instance=self._instance,
            seen_wall_ms=self._clock.wall_ms(),
            why=why,
        )
        self._view.trip(trip)

    def _row(self, placed: Placed) -> RolloutRow | None:
        """Return the row of a version on its way, ``None`` for others."""
        service = placed.route.service
        row = self._view.active(service, self._clock.wall_ms())
        if row is None or row.version != placed.version:
            return None
        return row


def _result(context: RequestContext, placed: Placed, first_answer_ms: int) -> Result:
    return Result(
        service=placed.route.service,
        version=placed.version,
        route=f"{context.class_id} {context.path}",
        endpoint=placed.endpoint,
        is_failure=False,
        first_answer_ms=first_answer_ms,
        target_ms=context.request_class.answer_within_ms,
    )


def _says_nothing(failure: Failure | None) -> bool:
    """Tell whether a failure doesn't speak against the version."""
    if failure is None:
        return False
    if failure.reason is Reason.CANCELLED:
        return True
    return failure.delivery in (Delivery.NOT_SENT, Delivery.REFUSED)
