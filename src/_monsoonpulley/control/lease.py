"""Rules by which an instance claims, renews and releases the lease of a duty.

At most one instance acts on a duty at a time, for three reasons:

- Each write is conditional on the revision of the row that it replaces. Of two
  concurrent claims one fails, and a delayed write can't change a newer row.
- A claimer waits for the full lease duration, by its own clock, from when it
  observed the last change of the row, which is after the row changed.
- The holder's lease runs from before it sent the write that was confirmed, which
  is before the row changed.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..identity import Identity
from .leasestate import (
    NO_INSTANCE,
    Event,
    HeldLease,
    LeaseDecision,
    LeaseRow,
    LeaseSettings,
    LeaseState,
    ObservedRow,
    PendingWrite,
    RowRead,
    Tick,
    WriteConfirmed,
    WriteConflicted,
    WriteFailed,
    WriteKind,
)

replace = msgspec.structs.replace
StepResult = tuple[LeaseState, LeaseDecision | None]


class LeaseRules:
    """Rules of one lease, without I/O and without state of their own.

    Parameters
    ----------
    identity : Identity
        Instance and incarnation that decide.
    settings : LeaseSettings
        Durations and intervals of leases.
    number_floor : callable
        Returns the number above which claims take their fencing numbers, for tables
        that may lose a row with a higher number.
    """

    def __init__(
        self,
        identity: Identity,
        settings: LeaseSettings,
        number_floor: Callable[[], int] = lambda: 0,
    ):
        self._identity = identity
        self._settings = settings
        self._number_floor = number_floor

    def may_need_tick(self, state: LeaseState, now_ms: int) -> bool:
        """Return whether a `Tick` could have an effect now; most have none."""
        if state.held is not None or state.pending is not None:
            return True
        observed = state.observed
        if observed is None:
            return False
        if (
            observed.row is None
            or observed.row.holder == NO_INSTANCE
            or self._is_own(observed.row)
        ):
            return True
        return now_ms - observed.since_ms >= self._settings.lease_duration_ms

    def step(self, state: LeaseState, event: Event, now_ms: int) -> StepResult:
        """Return the state after an event, and the decision if there is one."""
        match event:
            case RowRead():
                return self._handle_read(state, event.row, event.revision, now_ms)
            case Tick():
                return self._handle_tick(state, event, now_ms)
            case WriteConfirmed():
                return self._handle_confirmed(state, event, now_ms)
            case WriteConflicted():
                if state.pending is None or state.pending.row.token != event.token:
                    return self._handle_read(state, event.row, event.revision, now_ms)
                return self._settle(state, event.row, event.revision, now_ms)
            case WriteFailed():
                return self._handle_failed(state, event, now_ms), None

    def _handle_read(
        self, state: LeaseState, row: LeaseRow | None, revision: int, now_ms: int
    ) -> StepResult:
        """Apply a read of the row, unless a newer revision is already known."""
        known = state.observed
        if known is not None and revision <= known.revision:
            return state, None
        if state.pending is not None and revision > state.pending.expected_revision:
            return self._settle(state, row, revision, now_ms)
        return self._observe(state, row, revision, now_ms)

    def _observe(
        self, state: LeaseState, row: LeaseRow | None, revision: int, now_ms: int
    ) -> StepResult:
        after = replace(state, observed=ObservedRow(row, revision, now_ms))
        if state.held is None:
            return after, None
        is_still_holder = (
            self._is_own(row) and row.fencing_number == state.held.fencing_number
        )
        if is_still_holder:
            return after, None
        after = replace(after, held=None)
        return after, self._decide("another holds it", state, now_ms)

    def _settle(
        self, state: LeaseState, row: LeaseRow | None, revision: int, now_ms: int
    ) -> StepResult:
        """Resolve the pending write from the row that the table has now.

        The revision that the write expects is gone, so no copy of it can take
        effect any more.
        """
        pending = state.pending
        if row is not None and row.token == pending.row.token:
            return self._complete_write(state, revision, now_ms)
        known = state.observed
        state = replace(state, pending=None, failures=0, retry_ms=None)
        if known is not None and revision <= known.revision:
            return state, None
        return self._observe(state, row, revision, now_ms)

    def _handle_confirmed(
        self, state: LeaseState, event: WriteConfirmed, now_ms: int
    ) -> StepResult:
        if state.pending is None or state.pending.row.token != event.token:
            return state, None
        return self._complete_write(state, event.revision, now_ms)

    def _complete_write(
        self, state: LeaseState, revision: int, now_ms: int
    ) -> StepResult:
        """Apply the effect of the pending write, which the table confirmed."""
        pending = state.pending
        after = LeaseState(ObservedRow(pending.row, revision, now_ms), None, state.held)
        if pending.kind is WriteKind.RELEASE:
            return after, None
        settings = self._settings
        deadline_ms = (
            pending.first_sent_ms + settings.lease_duration_ms - settings.margin_ms
        )
        if pending.kind is WriteKind.RENEW and not state.may_act(now_ms):
            return after, None
        if now_ms >= deadline_ms:
            return after, None
        number = pending.row.fencing_number
        after = replace(
            after, held=HeldLease(number, deadline_ms, pending.first_sent_ms)
        )
        if pending.kind is WriteKind.RENEW:
            return after, None
        return after, self._decide("the claim is confirmed", state, now_ms)

    def _handle_failed(
        self, state: LeaseState, event: WriteFailed, now_ms: int
    ) -> LeaseState:
        pending = state.pending
        if pending is None or pending.row.token != event.token:
            return state
        is_renewal = pending.kind is WriteKind.RENEW
        wait_ms = self._settings.retry_delay_ms(is_renewal, state.failures)
        state = replace(state, failures=state.failures + 1, retry_ms=now_ms + wait_ms)
        if not event.is_in_doubt and not pending.is_in_doubt:
            return replace(state, pending=None)
        waiting = replace(pending, is_in_flight=False, is_in_doubt=True)
        return replace(state, pending=waiting)

    def _handle_tick(self, state: LeaseState, tick: Tick, now_ms: int) -> StepResult:
        if state.held is not None and not state.may_act(now_ms):
            after = replace(state, held=None)
            decision = self._decide("not renewed in time", state, now_ms, tick.rank)
            return after, decision
        if state.retry_ms is not None and now_ms < state.retry_ms:
            return state, None
        if state.pending is not None:
            return self._resend(state, tick, now_ms)
        if state.observed is None:
            return state, None
        if tick.rank is None:
            return self._release(state, tick, now_ms)
        if state.held is not None:
            return self._renew_if_due(state, tick, now_ms)
        rule = self._claim_rule(state.observed, tick.rank, now_ms)
        if rule is None:
            return state, None
        return self._prepare_write(state, WriteKind.CLAIM, rule, tick, now_ms)

    def _resend(self, state: LeaseState, tick: Tick, now_ms: int) -> StepResult:
        """Send an unresolved write again unchanged; it takes effect at most once."""
        pending = state.pending
        if pending.is_in_flight:
            return state, None
        again = replace(pending, is_in_flight=True)
        after = replace(state, pending=again)
        rule = "its answer was lost"
        return after, self._decide(rule, state, now_ms, tick.rank, again)

    def _release(self, state: LeaseState, tick: Tick, now_ms: int) -> StepResult:
        """Stop acting, and release the lease if this incarnation holds it."""
        if not self._is_own(state.observed.row):
            return replace(state, held=None), None
        rule = "no longer a candidate"
        after, decision = self._prepare_write(
            state, WriteKind.RELEASE, rule, tick, now_ms
        )
        return replace(after, held=None), decision

    def _renew_if_due(self, state: LeaseState, tick: Tick, now_ms: int) -> StepResult:
        if now_ms - state.held.renewed_ms < self._settings.renew_interval_ms:
            return state, None
        return self._prepare_write(
            state, WriteKind.RENEW, "renewal is due", tick, now_ms
        )

    def _claim_rule(self, observed: ObservedRow, rank: int, now_ms: int) -> str | None:
        """Return the rule that allows a claim now, ``None`` if there is none."""
        row = observed.row
        if self._is_own(row):
            return "own lease lapsed"
        settings = self._settings
        unchanged_ms = now_ms - observed.since_ms
        if row is None or row.holder == NO_INSTANCE:
            if row is not None and row.successor == self._identity.instance:
                return "its holder named this successor"
            is_free = unchanged_ms >= settings.free_claim_delay_ms(rank)
            return "nobody holds it" if is_free else None
        if unchanged_ms >= settings.lease_duration_ms + settings.claim_delay_ms(rank):
            return "not renewed for the full lease"
        return None

    def _prepare_write(
        self, state: LeaseState, kind: WriteKind, rule: str, tick: Tick, now_ms: int
    ) -> StepResult:
        observed = state.observed
        row = self._next_row(kind, observed.row, tick)
        pending = PendingWrite(kind, row, observed.revision, now_ms)
        after = replace(state, pending=pending)
        return after, self._decide(rule, state, now_ms, tick.rank, pending)

    def _next_row(
        self, kind: WriteKind, current: LeaseRow | None, tick: Tick
    ) -> LeaseRow:
        token = tick.token
        number = current.fencing_number if current is not None else 0
        me = self._identity
        if kind is WriteKind.RELEASE:
            return LeaseRow(NO_INSTANCE, 0, number, token, successor=tick.successor)
        if kind is WriteKind.RENEW:
            renewals = current.renewals + 1
            return LeaseRow(me.instance, me.incarnation, number, token, renewals)
        number = max(number, self._number_floor())
        return LeaseRow(me.instance, me.incarnation, number + 1, token)

    def _is_own(self, row: LeaseRow | None) -> bool:
        """Return whether this incarnation of the instance holds the lease."""
        if row is None:
            return False
        me = self._identity
        return (row.holder, row.incarnation) == (me.instance, me.incarnation)

    def _decide(
        self,
        rule: str,
        state: LeaseState,
        now_ms: int,
        rank: int | None = None,
        write: PendingWrite | None = None,
    ) -> LeaseDecision:
        return LeaseDecision(
            rule=rule,
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            now_ms=now_ms,
            before=state,
            rank=rank,
            write=write,
        )
