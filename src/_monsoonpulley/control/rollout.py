"""Decides how a version is rolled out by its deadline, or rolled back.

Stage times are planned backwards from the deadline: the ramp and the soak are short
and come last. The remaining time is spent as a canary with a small share, in which
a fault that appears late affects few requests.
"""

from __future__ import annotations

import msgspec

from ..config.document import Version
from ..ids import InstanceId, VersionId
from ..observability.log import Decision
from .rolloutrows import SETTLED, RolloutRow, RolloutState, RolloutStep

replace = msgspec.structs.replace

RAMP_SHARES = (0.2, 0.45)
MAX_HISTORY_STEPS = 20
"""Transitions kept in a row's history."""


class RolloutSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Stage times and required evidence of rollouts; the same on every instance.

    Attributes
    ----------
    canary_share : float
        Mean share of the service's requests in the canary stage.
    min_canary_ms, min_step_ms, min_soak_ms, confirm_ms : int
        Minimum durations of the canary, of a ramp step, of the soak, and of the
        confirmations after it.
    max_step_ms, max_soak_ms : int
        Maximum durations of a ramp step and of the soak, however far the deadline.
    step_ratio, soak_ratio : float
        Parts of the time from start to deadline for a ramp step and for the soak.
    min_canary_results, min_total_results : int
        Results required before the ramp and before the end.
    done_margin_ms : int
        How long before the deadline ``done`` must be written, so that every entry
        instance reads it in time.
    """

    canary_share: float = 0.04
    min_canary_ms: int = 20_000
    min_step_ms: int = 5_000
    min_soak_ms: int = 15_000
    confirm_ms: int = 10_000
    max_step_ms: int = 150_000
    max_soak_ms: int = 900_000
    step_ratio: float = 0.02
    soak_ratio: float = 0.06
    min_canary_results: int = 10
    min_total_results: int = 30
    done_margin_ms: int = 4_000

    def min_time_after_ms(self, state: RolloutState, share: float = 0.0) -> int:
        """Return the minimum duration of all stages after this one."""
        end_ms = self.confirm_ms + self.done_margin_ms
        if state is RolloutState.SOAK:
            return end_ms
        end_ms += self.min_soak_ms
        steps = sum(step > share for step in RAMP_SHARES)
        end_ms += steps * self.min_step_ms
        if state is RolloutState.PENDING:
            end_ms += self.min_canary_ms
        return end_ms


class Evidence(msgspec.Struct, frozen=True):
    """Sum of the results of the version that entry instances reported."""

    results: int = 0
    bad: int = 0


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """What the holder knows about a version besides its row.

    Attributes
    ----------
    endpoints : int
        Number of LIVE endpoints of the version.
    base : tuple of VersionId
        Versions that have the traffic now.
    ahead : VersionId or str
        Version whose rollout goes first; empty if it is this one's turn.
    next_deadline_wall_ms : int or None
        Earliest deadline of the other versions in the queue.
    trip : str
        Why an entry instance stopped the version's traffic; empty if none did.
    live, confirmed : tuple of InstanceId
        Live entry instances, and those in which the row's shares are in force.
    """

    endpoints: int
    base: tuple[VersionId, ...] = ()
    ahead: str = ""
    next_deadline_wall_ms: int | None = None
    evidence: Evidence = Evidence()
    trip: str = ""
    live: tuple[InstanceId, ...] = ()
    confirmed: tuple[InstanceId, ...] = ()


class RolloutDecision(Decision, frozen=True, kw_only=True, tag="rollout_decision"):
    """The holder's decision on a version, with all its inputs.

    Attributes
    ----------
    before, after : RolloutRow or None
        Row before the decision; row to write, ``None`` if it doesn't change.
    runner_up : RolloutState
        Next best alternative to the decided state.
    """

    order: Version
    now_wall_ms: int
    observation: Observation
    before: RolloutRow | None
    after: RolloutRow | None = None
    runner_up: RolloutState = RolloutState.ROLLED_BACK


class RolloutRules:
    """Rules by which versions advance or are rolled back.

    Parameters
    ----------
    settings : RolloutSettings
        Stage times and required evidence.
    """

    def __init__(self, settings: RolloutSettings):
        self._settings = settings

    def decide(
        self,
        row: RolloutRow | None,
        order: Version,
        observation: Observation,
        now_wall_ms: int,
    ) -> RolloutDecision:
        """Return the decision on an ordered version at ``now_wall_ms``."""
        decider = _Decider(self._settings, row, order, observation, now_wall_ms)
        return decider.decide()

    def decide_removed(
        self, row: RolloutRow, now_wall_ms: int
    ) -> RolloutDecision | None:
        """Return the rollback of a removed version; ``None`` if it is settled."""
        if row.state in SETTLED:
            return None
        order = Version(row.service, row.version, row.deadline_wall_ms)
        decider = _Decider(
            self._settings, row, order, Observation(endpoints=0), now_wall_ms
        )
        return decider.roll_back("the configuration no longer names it")


class _Decider:
    """Makes one decision on one version."""

    def __init__(
        self,
        settings: RolloutSettings,
        row: RolloutRow | None,
        order: Version,
        observation: Observation,
        now_wall_ms: int,
    ):
        self._settings = settings
        self._row = row
        self._order = order
        self._observation = observation
        self._now_ms = now_wall_ms

    def decide(self) -> RolloutDecision:
        row = self._row
        if row is None:
            return self._create_row(1)
        if row.state in SETTLED:
            return self._decide_settled(row)
        if row.deadline_wall_ms != self._order.deadline_wall_ms:
            changed = replace(row, deadline_wall_ms=self._order.deadline_wall_ms)
            return self._decide_change("the deadline was changed", changed)
        if self._observation.trip:
            return self.roll_back(self._observation.trip)
        if self._remaining_ms() <= 0:
            return self.roll_back(f"the deadline came in state {row.state.value}")
        if row.state is RolloutState.PENDING:
            return self._decide_pending()
        if row.state is RolloutState.CANARY:
            return self._decide_canary(row)
        if row.state is RolloutState.RAMP:
            return self._decide_ramp(row)
        return self._decide_soak(row)

    def roll_back(self, why: str) -> RolloutDecision:
        current = self._new_row(1) if self._row is None else self._row
        after = replace(current, state=RolloutState.ROLLED_BACK, share=0.0)
        return self._decide_change(why, after, runner_up=current.state)

    def _create_row(
        self, attempt: int, steps: tuple[RolloutStep, ...] = ()
    ) -> RolloutDecision:
        new_row = replace(self._new_row(attempt), steps=steps)
        if self._remaining_ms() <= 0:
            after = replace(new_row, state=RolloutState.ROLLED_BACK)
            rule = "its deadline had passed when it was first seen"
            return self._decide_change(rule, after, runner_up=RolloutState.PENDING)
        return self._decide_change("a version was ordered", new_row)

    def _decide_settled(self, row: RolloutRow) -> RolloutDecision:
        has_new_deadline = self._order.deadline_wall_ms != row.deadline_wall_ms
        if row.state is RolloutState.ROLLED_BACK and has_new_deadline:
            return self._create_row(row.attempt + 1, row.steps)
        return self._decide_wait("it is settled")

    def _decide_pending(self) -> RolloutDecision:
        if self._remaining_ms() < self._settings.min_time_after_ms(
            RolloutState.PENDING
        ):
            return self.roll_back(self._describe_missed_start())
        if self._observation.ahead:
            return self._decide_wait(f"{self._observation.ahead} goes first")
        if not self._observation.endpoints:
            return self._decide_wait("none of its endpoints is live")
        share = self._settings.canary_share
        rule = "endpoints are live and it is its turn"
        started = replace(self._row, started_wall_ms=self._now_ms)
        return self._decide_advance(rule, started, RolloutState.CANARY, share)

    def _describe_missed_start(self) -> str:
        if self._observation.ahead:
            return f"too little time was left behind {self._observation.ahead}"
        if not self._observation.endpoints:
            return "no endpoint of it came up in time"
        return "too little time is left for a rollout"

    def _decide_canary(self, row: RolloutRow) -> RolloutDecision:
        settings = self._settings
        results = self._observation.evidence.results
        if self._remaining_ms() < settings.min_time_after_ms(RolloutState.CANARY):
            why = "too little time is left for the ramp and the soak"
            if results < settings.min_canary_results:
                why = f"only {results} of {settings.min_canary_results} results in time"
            return self.roll_back(why)
        if self._remaining_ms() > self._ramp_lead_ms(row):
            return self._decide_wait("time is left for the canary")
        if results < settings.min_canary_results:
            return self._decide_wait("evidence is missing")
        rule = f"{results} results without a fault and the ramp is due"
        return self._decide_advance(rule, row, RolloutState.RAMP, RAMP_SHARES[0])

    def _decide_ramp(self, row: RolloutRow) -> RolloutDecision:
        settings = self._settings
        if self._remaining_ms() < settings.min_time_after_ms(
            RolloutState.RAMP, row.share
        ):
            return self.roll_back("too little time is left for the ramp and the soak")
        if self._now_ms - row.since_wall_ms < self._step_ms(row):
            return self._decide_wait("the step of the ramp goes on")
        larger_shares = [share for share in RAMP_SHARES if share > row.share]
        if larger_shares:
            rule = "the step went without a fault"
            return self._decide_advance(rule, row, RolloutState.RAMP, larger_shares[0])
        rule = "the ramp went without a fault"
        return self._decide_advance(rule, row, RolloutState.SOAK, 1.0)

    def _decide_soak(self, row: RolloutRow) -> RolloutDecision:
        settings = self._settings
        unconfirmed = [
            i for i in self._observation.live if i not in self._observation.confirmed
        ]
        results = self._observation.evidence.results
        if self._remaining_ms() < settings.done_margin_ms:
            why = (
                f"not confirmed by {', '.join(unconfirmed)}"
                if unconfirmed
                else "no end"
            )
            if results < settings.min_total_results:
                why = f"only {results} of {settings.min_total_results} results"
            return self.roll_back(f"the deadline came: {why}")
        if self._now_ms - row.since_wall_ms < self._soak_ms(row):
            return self._decide_wait("the soak goes on")
        if results < settings.min_total_results:
            return self._decide_wait("evidence is missing")
        if unconfirmed or not self._observation.live:
            return self._decide_wait("confirmations are missing")
        rule = (
            "soaked without a fault and confirmed by "
            f"{len(self._observation.live)} daemons"
        )
        return self._decide_advance(rule, row, RolloutState.DONE, 1.0)

    def _new_row(self, attempt: int) -> RolloutRow:
        return RolloutRow(
            service=self._order.service,
            version=self._order.version,
            state=RolloutState.PENDING,
            deadline_wall_ms=self._order.deadline_wall_ms,
            attempt=attempt,
        )

    def _remaining_ms(self) -> int:
        return self._order.deadline_wall_ms - self._now_ms

    def _total_ms(self, row: RolloutRow) -> int:
        return max(0, row.deadline_wall_ms - row.started_wall_ms)

    def _step_ms(self, row: RolloutRow) -> int:
        settings = self._settings
        planned_ms = round(self._total_ms(row) * settings.step_ratio)
        planned_ms = min(max(planned_ms, settings.min_step_ms), settings.max_step_ms)
        return min(planned_ms, max(settings.min_step_ms, self._available_step_ms(row)))

    def _soak_ms(self, row: RolloutRow) -> int:
        settings = self._settings
        planned_ms = round(self._total_ms(row) * settings.soak_ratio)
        planned_ms = min(max(planned_ms, settings.min_soak_ms), settings.max_soak_ms)
        available_ms = row.deadline_wall_ms - row.since_wall_ms
        available_ms -= settings.min_time_after_ms(RolloutState.SOAK)
        return min(planned_ms, max(settings.min_soak_ms, available_ms))

    def _available_step_ms(self, row: RolloutRow) -> int:
        """Return the time for this step if all later stages take their minimum."""
        remaining_ms = row.deadline_wall_ms - row.since_wall_ms
        return remaining_ms - self._settings.min_time_after_ms(
            RolloutState.RAMP, row.share
        )

    def _ramp_lead_ms(self, row: RolloutRow) -> int:
        """Return how long before the deadline the ramp is due.

        It is due earlier if another version waits for this one.
        """
        settings = self._settings
        lead_ms = len(RAMP_SHARES) * self._step_ms(row) + self._soak_ms(row)
        lead_ms += 2 * settings.confirm_ms + settings.done_margin_ms
        next_deadline_ms = self._observation.next_deadline_wall_ms
        if next_deadline_ms is not None:
            latest_end_ms = next_deadline_ms - 2 * settings.min_time_after_ms(
                RolloutState.PENDING
            )
            lead_ms += max(0, row.deadline_wall_ms - latest_end_ms)
        canary_ms = self._now_ms - row.since_wall_ms
        if canary_ms < settings.min_canary_ms:
            lead_ms = settings.min_time_after_ms(RolloutState.CANARY)
        return lead_ms

    def _decide_wait(self, rule: str) -> RolloutDecision:
        return self._make_decision(rule, None, RolloutState.ROLLED_BACK)

    def _decide_advance(
        self, rule: str, row: RolloutRow, state: RolloutState, share: float
    ) -> RolloutDecision:
        return self._decide_change(rule, replace(row, state=state, share=share))

    def _decide_change(
        self,
        rule: str,
        after: RolloutRow,
        runner_up: RolloutState = RolloutState.ROLLED_BACK,
    ) -> RolloutDecision:
        if (
            self._row is None
            or after.state is not self._row.state
            or (after.share != self._row.share)
        ):
            after = replace(after, since_wall_ms=self._now_ms)
        step = RolloutStep(after.state, after.share, self._now_ms, rule)
        steps = (*after.steps, step)[-MAX_HISTORY_STEPS:]
        after = replace(after, why=rule, steps=steps)
        return self._make_decision(rule, after, runner_up)

    def _make_decision(
        self, rule: str, after: RolloutRow | None, runner_up: RolloutState
    ) -> RolloutDecision:
        return RolloutDecision(
            rule=rule,
            order=self._order,
            now_wall_ms=self._now_ms,
            observation=self._observation,
            before=self._row,
            after=after,
            runner_up=runner_up,
        )
