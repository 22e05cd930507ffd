"""Shares of a service's traffic that its versions get during a roll-out.

A new version may be bad at once, later, under load or on one route only. So it gets
no more of the requests than a bad one may get, until their results have shown that it
is sound. The results of all instances are compared together with those of the old
version, and the first instance that detects a fault rolls the version back at once and
notifies its peers.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from enum import IntEnum

import msgspec

from ..clock import Clock
from ..control.exposure import DEFAULT_LIMITS, ExposureLimits, Traffic, lacks_results
from ..control.verdict import FALSE_ALARM_RATE, BaselineResults, Result, Verdict
from ..control.versionresults import Trait
from ..fleet.model import Endpoint
from ..ids import InstanceId, ServiceId
from ..observability.log import Log
from ..platform.rollouts import RolloutOrder
from ..platform.storeversion import era_of
from .tally import RolloutTally, Tally
from .timeline import judged_after_ms


class Phase(IntEnum):
    """Phase of a roll-out; where instances differ, the higher one wins."""

    HELD = 0
    CANARY = 1
    RAMP = 2
    """Only instances of builds before advance to it; for others it is the canary."""
    HALF = 3
    FULL = 4
    TAKEN_BACK = 5
    DONE = 6
    """Final: the old version's endpoints are being stopped."""


TRAFFIC_SHARES = {Phase.HELD: 0.0, Phase.HALF: 0.5, Phase.FULL: 1.0}
"""Share of the traffic in a phase. Before the version is judged it follows from what a
bad one may get."""

JUDGED_SOUND_FALSE_ALARM_RATE = 0.1
"""Probability that a sound version is rolled back by the second judgement, at most: few
are left to find, those whose first results were better than they are."""

SHARE_REFRESH_MS = 50
"""Age up to which the share of the traffic is used again, instead of computed for each
request."""

MAX_PAST = 8
"""Past orders of a service that are remembered. A copy of the store is seconds old."""

OLD_ROWS_REMOVAL_MS = 10_000
"""Time after a roll-out is done for which the old endpoints, which stop at once, may
still have rows."""

NEW_ENDPOINT_LOAD_FACTOR = 2
"""Load of a new version's endpoint relative to an old one's until the version has all
traffic: faults that depend on load have to show early."""


class Progress(msgspec.Struct, array_like=True, frozen=True):
    """Phase of an order, which ``row_version``, the version of its row, identifies."""

    service: ServiceId
    row_version: int
    phase: int


class Judgement(msgspec.Struct, frozen=True):
    """Whether the results of all instances show that a version is sound.

    Attributes
    ----------
    fault : str
        Evidence that it isn't; empty if there is none.
    lack : str
        What is missing to know; empty if nothing is.
    """

    fault: str = ""
    lack: str = ""

    @property
    def is_sound(self) -> bool:
        """Whether the results show that the version is sound."""
        return not self.fault and not self.lack


class SentRequest:
    """A request that was sent to an endpoint of a service with a roll-out.

    Parameters
    ----------
    order : RolloutOrder
        The order.
    unanswered : Result
        Its result if its first answer does not come, but for the time.
    sent_ms : int
        When it was sent.
    """

    def __init__(self, order: RolloutOrder, unanswered: Result, sent_ms: int):
        self.order = order
        self.unanswered = unanswered
        self.sent_ms = sent_ms
        self.is_counted = False

    def result_until(self, now_ms: int) -> Result:
        """Return its result if the first answer has not come until ``now_ms``."""
        return msgspec.structs.replace(
            self.unanswered, first_answer_ms=now_ms - self.sent_ms
        )


class _Rollout:
    """State of one order on this instance."""

    def __init__(self, order: RolloutOrder, seen_ms: int):
        self.order = order
        self.seen_ms = seen_ms
        self.phase = Phase.HELD
        self.phase_started_ms = seen_ms
        self.old_results = BaselineResults()
        self.verdict = Verdict(FALSE_ALARM_RATE)
        self.tally = RolloutTally(self.old_results.results)
        self.unanswered: set[SentRequest] = set()
        self.was_rolled_back_here = False
        self.canary_share = 0.0
        self.share_computed_ms: int | None = None

    def traffic(self, now_ms: int, known_share: float) -> Traffic:
        """Return the requests since the order."""
        elapsed_ms = now_ms - self.seen_ms
        duration_ms = self.order.duration_ms
        return Traffic(
            new_sent=self.tally.new_sent,
            old_sent=self.tally.old_sent,
            elapsed_ms=elapsed_ms,
            left_ms=duration_ms - elapsed_ms,
            watch_left_ms=judged_after_ms(duration_ms) - elapsed_ms,
            known_share=known_share,
            usual_failure_share=self.old_results.results.old_failure_share(),
        )


class Rollouts:
    """Orders with their phases and the results of their versions.

    Parameters
    ----------
    clock, log : Clock, Log
        Each change of phase is logged.
    rng : random.Random
        Selects the requests that go to a new version.
    limits : ExposureLimits
        Bound of the requests of a bad version.
    known_share : callable
        Returns the share of the instances whose messages arrive.

    Attributes
    ----------
    on_rolled_back : callable
        Called after an order was rolled back here or elsewhere.
    """

    def __init__(
        self,
        clock: Clock,
        log: Log,
        rng: random.Random,
        limits: ExposureLimits = DEFAULT_LIMITS,
        known_share: Callable[[], float] = lambda: 1.0,
    ):
        self._limits = limits
        self._known_share = known_share
        self._clock = clock
        self._log = log
        self._rng = rng
        self._rollouts: dict[ServiceId, _Rollout] = {}
        self._past_orders: dict[ServiceId, deque[RolloutOrder]] = {}
        self._outbox: list[Result] = []
        self.on_rolled_back: Callable[[], None] = lambda: None

    def set_limits(self, limits: ExposureLimits) -> None:
        """Set the bound of the requests of a bad version."""
        self._limits = limits

    def set_order(self, order: RolloutOrder) -> None:
        """Set an operator's order; ignore one that is not newer."""
        known = self._rollouts.get(order.service)
        if known is not None:
            if known.order.row_version >= order.row_version:
                return
            if self._is_known_again(known, order):
                return
            past = self._past_orders.setdefault(order.service, deque(maxlen=MAX_PAST))
            past.append(known.order)
        self._rollouts[order.service] = _Rollout(order, self._clock.now_ms())
        self._log.event(
            "rollout_ordered",
            service=order.service,
            version=order.version,
            duration_ms=order.duration_ms,
            row_version=order.row_version,
        )

    def _is_known_again(self, known: _Rollout, order: RolloutOrder) -> bool:
        """Return whether an order was read before the store lost writes.

        The last one goes on in its phase, as its row has only been written again. A
        past one is in the older copy until the last one has been written again.
        """
        if era_of(order.row_version) == era_of(known.order.row_version):
            return False
        if _is_same_order(known.order, order):
            known.order = order
            return True
        past = self._past_orders.get(order.service, ())
        return any(_is_same_order(each, order) for each in past)

    def remove_order(self, service: ServiceId) -> None:
        """Remove an order whose row was deleted."""
        if self._rollouts.pop(service, None) is not None:
            self._log.event("rollout_order_removed", service=service)

    def orders(self) -> list[RolloutOrder]:
        """Return all orders, including ended ones."""
        return [rollout.order for rollout in self._rollouts.values()]

    def phase(self, order: RolloutOrder) -> Phase | None:
        """Return the phase of an order; None if it is not its service's newest."""
        rollout = self._rollout_of(order)
        return rollout.phase if rollout is not None else None

    def elapsed_times_ms(self, order: RolloutOrder) -> tuple[int, int]:
        """Return the time since an order was seen, and since its phase started."""
        rollout = self._rollouts[order.service]
        now_ms = self._clock.now_ms()
        return now_ms - rollout.seen_ms, now_ms - rollout.phase_started_ms

    def advance(self, order: RolloutOrder, phase: Phase, reason: str) -> None:
        """Advance an order to a higher phase; ignore a lower one."""
        rollout = self._rollout_of(order)
        if rollout is None or phase <= rollout.phase:
            return
        self._log.event(
            "rollout_phase",
            service=order.service,
            version=order.version,
            phase=phase.name.lower(),
            previous=rollout.phase.name.lower(),
            why=reason,
            results=rollout.verdict.result_count,
            bad=rollout.verdict.bad_count,
        )
        rollout.phase = phase
        rollout.phase_started_ms = self._clock.now_ms()
        if phase is Phase.TAKEN_BACK:
            self.on_rolled_back()

    def judge(self, order: RolloutOrder) -> Judgement:
        """Return whether the results so far show that a version is sound."""
        rollout = self._rollout_of(order)
        if rollout is None:
            return Judgement(lack="the order was replaced")
        traffic = rollout.traffic(self._clock.now_ms(), self._known_share())
        results = rollout.old_results.results
        total = results.total()
        lack = lacks_results(self._limits, traffic, total.new.total, total.old.total)
        judgement = Judgement(results.find_fault(), lack)
        self._log_judgement(rollout, judgement, traffic)
        return judgement

    def judge_with_traffic(self, order: RolloutOrder) -> Judgement:
        """Return whether a version that has had all traffic has failed too often.

        Slow answers say little here, as its caches have just filled. A version that was
        judged sound is rolled back by this with a small probability only.
        """
        rollout = self._rollout_of(order)
        if rollout is None:
            return Judgement(lack="the order was replaced")
        traffic = rollout.traffic(self._clock.now_ms(), self._known_share())
        results = rollout.old_results.results
        fault = results.find_fault((Trait.FAILED,), JUDGED_SOUND_FALSE_ALARM_RATE)
        judgement = Judgement(fault)
        self._log_judgement(rollout, judgement, traffic)
        return judgement

    def _log_judgement(
        self, rollout: _Rollout, judgement: Judgement, traffic: Traffic
    ) -> None:
        total = rollout.old_results.results.total()
        self._log.event(
            "rollout_judged",
            service=rollout.order.service,
            version=rollout.order.version,
            phase=rollout.phase.name.lower(),
            fault=judgement.fault,
            lack=judgement.lack,
            results=total.new.total,
            failed=total.new.failed,
            slow=total.new.slow,
            old_results=total.old.total,
            old_failed=total.old.failed,
            old_slow=total.old.slow,
            sent=traffic.new_sent,
            old_sent=traffic.old_sent,
            budget=round(self._limits.budget(traffic), 1),
            known_share=round(traffic.known_share, 3),
        )

    def roll_back(self, order: RolloutOrder, reason: str) -> None:
        """End an order because of evidence that this instance has."""
        rollout = self._rollout_of(order)
        if rollout is not None and rollout.phase < Phase.TAKEN_BACK:
            rollout.was_rolled_back_here = True
            self.advance(order, Phase.TAKEN_BACK, reason)

    def was_rolled_back_here(self, order: RolloutOrder) -> bool:
        """Return whether a result of this instance itself ended the order."""
        rollout = self._rollout_of(order)
        return rollout is not None and rollout.was_rolled_back_here

    def eligible_endpoints(
        self, service: ServiceId, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints that the next request may go to.

        While both versions get traffic, a random draw selects one of them.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return endpoints
        version = rollout.order.version
        if rollout.phase is Phase.DONE:
            new = tuple(e for e in endpoints if e.version == version)
            is_recent = (
                self._clock.now_ms() - rollout.phase_started_ms < OLD_ROWS_REMOVAL_MS
            )
            return new if new and is_recent else endpoints
        old = tuple(e for e in endpoints if e.version != version)
        if rollout.phase is Phase.TAKEN_BACK:
            return old
        new = tuple(e for e in endpoints if e.version == version)
        share = self._share(rollout)
        if new and self._rng.random() < share:
            return new if share >= 1 else _loaded_subset(new, share * len(old))
        if not old and rollout.phase is not Phase.HELD:
            return new
        return old

    def old_endpoints(
        self, service: ServiceId, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints of the version that a roll-out in progress replaces."""
        if not self.is_in_progress(service):
            return ()
        version = self._rollouts[service].order.version
        return tuple(e for e in endpoints if e.version != version)

    def is_in_progress(self, service: ServiceId) -> bool:
        """Return whether a service's traffic is being moved to a new version."""
        rollout = self._rollouts.get(service)
        return rollout is not None and rollout.phase < Phase.TAKEN_BACK

    def carries_load(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's version has the traffic of its service.

        A new version has it once it gets all of it.
        """
        rollout = self._rollouts.get(endpoint.service)
        if rollout is None:
            return True
        is_new = endpoint.version == rollout.order.version
        if rollout.phase is Phase.DONE:
            elapsed_ms = self._clock.now_ms() - rollout.phase_started_ms
            return is_new or elapsed_ms >= OLD_ROWS_REMOVAL_MS
        return is_new is (rollout.phase is Phase.FULL)

    def record_sent(self, unanswered: Result) -> SentRequest | None:
        """Record that this instance sent a request; None without a roll-out.

        Parameters
        ----------
        unanswered : Result
            The request's result if its first answer doesn't come, but for the time.
        """
        rollout = self._rollouts.get(unanswered.service)
        if rollout is None or rollout.phase >= Phase.TAKEN_BACK:
            return None
        rollout.tally.add_sent(unanswered.version == rollout.order.version)
        sent = SentRequest(rollout.order, unanswered, self._clock.now_ms())
        rollout.unanswered.add(sent)
        return sent

    def record_first_answer(self, sent: SentRequest | None) -> None:
        """Record that the first answer to a request came, or won't come."""
        if sent is None:
            return
        rollout = self._rollouts.get(sent.order.service)
        if rollout is not None:
            rollout.unanswered.discard(sent)

    def record_end(self, sent: SentRequest | None, result: Result | None) -> None:
        """Record the result of a request, unless it was counted as slow before.

        Parameters
        ----------
        sent : SentRequest or None
            The request; None if it was sent before the order.
        result : Result or None
            Its result; None if its end says nothing of its version.
        """
        self.record_first_answer(sent)
        if result is not None and (sent is None or not sent.is_counted):
            self.record_result(result)

    def count_overdue(self) -> None:
        """Count requests as slow whose first answer is overdue.

        Otherwise quick answers would be known before slow ones.
        """
        now_ms = self._clock.now_ms()
        for rollout in self._rollouts.values():
            for sent in list(rollout.unanswered):
                result = sent.result_until(now_ms)
                if rollout.old_results.is_slow(result):
                    rollout.unanswered.discard(sent)
                    sent.is_counted = True
                    self.record_result(result)

    def record_result(self, result: Result) -> None:
        """Record a result from this instance."""
        rollout = self._rollouts.get(result.service)
        if rollout is None or rollout.phase >= Phase.TAKEN_BACK:
            return
        now_ms = self._clock.now_ms()
        is_new = result.version == rollout.order.version
        counts = rollout.old_results.add_result(result, is_new, now_ms)
        if counts is not None:
            rollout.tally.add_result(result.route, is_new, counts, now_ms)
        if is_new:
            self._outbox.append(result)
            self._evaluate(rollout, result, is_own=True)

    def drain_outbox(self) -> tuple[Result, ...]:
        """Return the results that have not been sent to the peers, and clear them."""
        results, self._outbox = tuple(self._outbox), []
        return results

    def progress(self) -> tuple[Progress, ...]:
        """Return the phase of each order, for the digest."""
        return tuple(
            Progress(service, rollout.order.row_version, int(rollout.phase))
            for service, rollout in self._rollouts.items()
        )

    def tallies(self) -> tuple[Tally, ...]:
        """Return this instance's counts of the orders in progress, for the digest."""
        return tuple(
            rollout.tally.own(service, rollout.order.row_version)
            for service, rollout in self._rollouts.items()
            if rollout.phase < Phase.TAKEN_BACK
        )

    def merge_tallies(self, peer: InstanceId, tallies: Iterable[Tally]) -> None:
        """Apply what another instance has counted."""
        for tally in tallies:
            rollout = self._rollouts.get(tally.service)
            if rollout is not None and rollout.order.row_version == tally.row_version:
                rollout.tally.merge_peer(peer, tally, self._clock.now_ms())

    def merge_peer(
        self, progress: Iterable[Progress], results: Iterable[Result]
    ) -> None:
        """Apply the phases and results from a peer's digest."""
        for each in progress:
            rollout = self._rollouts.get(each.service)
            if rollout is not None and rollout.order.row_version == each.row_version:
                self.advance(rollout.order, Phase(each.phase), "received from a peer")
        for result in results:
            rollout = self._rollouts.get(result.service)
            if rollout is not None and rollout.order.version == result.version:
                self._evaluate(rollout, result, is_own=False)

    def _evaluate(self, rollout: _Rollout, result: Result, *, is_own: bool) -> None:
        """Test the version with one more result; roll it back if that shows a fault."""
        reason = rollout.verdict.add(
            result,
            rollout.old_results,
            self._clock.now_ms(),
            is_traffic_moving=rollout.phase >= Phase.HALF,
        )
        if reason and is_own:
            self.roll_back(rollout.order, reason)
        elif reason:
            self.advance(rollout.order, Phase.TAKEN_BACK, reason)

    def _share(self, rollout: _Rollout) -> float:
        """Return the share of the next requests that go to the new version."""
        share = TRAFFIC_SHARES.get(rollout.phase)
        if share is not None:
            return share
        now_ms = self._clock.now_ms()
        computed_ms = rollout.share_computed_ms
        if computed_ms is None or now_ms - computed_ms >= SHARE_REFRESH_MS:
            traffic = rollout.traffic(now_ms, self._known_share())
            rollout.canary_share = self._limits.canary_share(traffic)
            rollout.share_computed_ms = now_ms
        return rollout.canary_share

    def _rollout_of(self, order: RolloutOrder) -> _Rollout | None:
        rollout = self._rollouts.get(order.service)
        if rollout is None or rollout.order.row_version != order.row_version:
            return None
        return rollout


def _is_same_order(one: RolloutOrder, other: RolloutOrder) -> bool:
    return (one.version, one.duration_ms) == (other.version, other.duration_ms)


def _loaded_subset(new: tuple[Endpoint, ...], old_count: float) -> tuple[Endpoint, ...]:
    """Return the new endpoints that take the load of ``old_count`` old ones.

    The result is the same on every instance.
    """
    count = max(1, int(old_count / NEW_ENDPOINT_LOAD_FACTOR))
    return tuple(sorted(new, key=lambda endpoint: endpoint.id)[:count])
