"""Load reports of an engine stand-in, which lag."""

from __future__ import annotations

from collections import deque

import msgspec

from ..clock import Clock
from ..endpoints.engine import LoadReport
from .engine_batch import Batch
from .engine_profile import EngineProfile


class LaggingReports:
    """Remembers the load long enough to report it as it was.

    Parameters
    ----------
    clock : Clock
        Gives the times of reports.
    profile : EngineProfile
        Gives the lag.
    """

    def __init__(self, clock: Clock, profile: EngineProfile):
        self._clock = clock
        self._profile = profile
        self._history: deque[tuple[int, LoadReport]] = deque()

    def record(self, batch: Batch, step_ms: float) -> None:
        """Record the load as it is now; ``step_ms`` is the last step's time."""
        now_ms = self._clock.now_ms()
        report = self._measure(batch, step_ms)
        if self._history and self._history[-1][0] == now_ms:
            self._history.pop()
        self._history.append((now_ms, report))
        self._forget(now_ms)

    def newest(self) -> LoadReport:
        """Return the load as it was one lag ago."""
        now_ms = self._clock.now_ms()
        self._forget(now_ms)
        at_ms = now_ms - self._profile.report_lag_ms
        report = self._idle_report()
        if self._history and self._history[0][0] <= at_ms:
            report = self._history[0][1]
        wall_ms = self._clock.wall_ms() - self._profile.report_lag_ms
        return msgspec.structs.replace(report, measured_wall_ms=wall_ms)

    def _forget(self, now_ms: int) -> None:
        at_ms = now_ms - self._profile.report_lag_ms
        while len(self._history) > 1 and self._history[1][0] <= at_ms:
            self._history.popleft()

    def _measure(self, batch: Batch, step_ms: float) -> LoadReport:
        waiting = batch.waiting
        used = batch.kv_blocks() / self._profile.kv_blocks
        return LoadReport(
            measured_wall_ms=0,
            running=len(batch.running),
            waiting=len(waiting),
            waiting_tokens=sum(run.prompt_tokens for run in waiting),
            kv_used_ratio=min(1.0, used),
            prefill_tokens_per_s=self._profile.prefill_tokens_per_s,
            decode_ms_per_token=step_ms,
            max_running=self._profile.max_running,
        )

    def _idle_report(self) -> LoadReport:
        profile = self._profile
        step_ms = profile.decode_base_ms + profile.decode_ms_per_running
        return self._measure(Batch(profile), step_ms)
