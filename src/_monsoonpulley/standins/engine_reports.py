"""Lagging load reports of an engine stand-in."""

from __future__ import annotations

from collections import deque

import msgspec

from ..clock import Clock
from ..endpoints.engine import LoadReport
from .engine_batch import Batch
from .engine_profile import EngineProfile


class LaggingLoadReports:
    """History of the load, to report it as it was one lag ago.

    Parameters
    ----------
    clock : Clock
        Time of the reports.
    profile : EngineProfile
        Lag of the reports, and the engine's speeds.
    """

    def __init__(self, clock: Clock, profile: EngineProfile):
        self._clock = clock
        self._profile = profile
        self._history: deque[tuple[int, LoadReport]] = deque()

    def record(self, batch: Batch, step_ms: float) -> None:
        """Record the current load; ``step_ms`` is the duration of the last step."""
        now_ms = self._clock.now_ms()
        report = self._measure(batch, step_ms)
        if self._history and self._history[-1][0] == now_ms:
            self._history.pop()
        self._history.append((now_ms, report))
        self._expire_history(now_ms)

    def lagged_report(self) -> LoadReport:
        """Return the load as it was one lag ago."""
        now_ms = self._clock.now_ms()
        self._expire_history(now_ms)
        reported_ms = now_ms - self._profile.report_lag_ms
        report = self._idle_report()
        if self._history and self._history[0][0] <= reported_ms:
            report = self._history[0][1]
        wall_ms = self._clock.wall_ms() - self._profile.report_lag_ms
        return msgspec.structs.replace(report, measured_wall_ms=wall_ms)

    def _expire_history(self, now_ms: int) -> None:
        reported_ms = now_ms - self._profile.report_lag_ms
        while len(self._history) > 1 and self._history[1][0] <= reported_ms:
            self._history.popleft()

    def _measure(self, batch: Batch, step_ms: float) -> LoadReport:
        waiting = batch.waiting
        used = batch.used_kv_blocks() / self._profile.kv_blocks
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
