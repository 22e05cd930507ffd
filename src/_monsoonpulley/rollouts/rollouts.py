"""Which version of a service gets how much of its traffic.

Answers for versions that are bad at once, late, under load or on one route: a small
share of the requests goes to the new version first, results of all instances are
tested together against the old version's, and any instance that sees the fault
takes the version back at once and tells the others.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import IntEnum

import msgspec

from ..clock import Clock
from ..control.verdict import FALSE_ALARM_RATE, BaselineResults, Result, Verdict
from ..fleet.model import Endpoint
from ..ids import ServiceId
from ..observability.log import Log
from ..platform.rollouts import RolloutOrder


class Phase(IntEnum):
    """How far a version has come; of two, the higher one holds."""

    HELD = 0
    CANARY = 1
    RAMP = 2
    HALF = 3
    FULL = 4
    TAKEN_BACK = 5
    DONE = 6
    """Final: the old version's endpoints are being stopped."""


SHARES = {
    Phase.HELD: 0.0,
    Phase.CANARY: 0.04,
    Phase.RAMP: 0.2,
    Phase.HALF: 0.5,
    Phase.FULL: 1.0,
}
"""Shares of the traffic; the canary's is below half of what a bad version may get
in all, so that the rest is left for a fault that shows late."""

STOPPING_MS = 10_000
"""After a version is done, the old endpoints stop at once; their rows go later."""

CONCENTRATION = 2
"""How many times the load of an old endpoint one of a new version gets before it has
all traffic: faults that show under load have to show early."""


class Progress(msgspec.Struct, array_like=True, frozen=True):
    """Where an order stands; ``order`` is the version of the order's row."""

    service: ServiceId
    order: int
    phase: int


class _Rollout:
    """One order on this instance."""

    def __init__(self, order: RolloutOrder, seen_ms: int):
        self.order = order
        self.seen_ms = seen_ms
        self.phase = Phase.HELD
        self.phase_ms = seen_ms
        self.old = BaselineResults()
        self.verdict = Verdict(FALSE_ALARM_RATE)


class Rollouts:
    """Orders, how far they have come, and results of their versions.

    Parameters
    ----------
    clock, log : Clock, Log
        Time, and where each change is noted.
    rng : random.Random
        Draws which requests go to a new version.
    """

    def __init__(self, clock: Clock, log: Log, rng: random.Random):
        self._clock = clock
        self._log = log
        self._rng = rng
        self._rollouts: dict[ServiceId, _Rollout] = {}
        self._outbox: list[Result] = []

    def set_order(self, order: RolloutOrder) -> None:
        """Take over an operator's order; a known one changes nothing."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.row_version >= order.row_version:
            return
        self._rollouts[order.service] = _Rollout(order, self._clock.now_ms())
        self._log.event(
            "rollout_ordered",
            service=order.service,
            version=order.version,
            duration_ms=order.duration_ms,
            row_version=order.row_version,
        )

    def drop_order(self, service: ServiceId) -> None:
        """Forget an order whose row was removed."""
        if self._rollouts.pop(service, None) is not None:
            self._log.event("rollout_order_removed", service=service)

    def orders(self) -> list[RolloutOrder]:
        """Return all orders, ended ones too."""
        return [rollout.order for rollout in self._rollouts.values()]

    def phase(self, order: RolloutOrder) -> Phase | None:
        """Return how far an order has come, None if it is no longer the newest."""
        rollout = self._current(order)
        return rollout.phase if rollout is not None else None

    def elapsed_ms(self, order: RolloutOrder) -> tuple[int, int]:
        """Return the time since an order was seen, and since its phase began."""
        rollout = self._rollouts[order.service]
        now_ms = self._clock.now_ms()
        return now_ms - rollout.seen_ms, now_ms - rollout.phase_ms

    def advance(self, order: RolloutOrder, phase: Phase, why: str) -> None:
        """Take an order to a higher phase; a lower one changes nothing."""
        rollout = self._current(order)
        if rollout is None or phase <= rollout.phase:
            return
        self._log.event(
            "rollout_phase",
            service=order.service,
            version=order.version,
            phase=phase.name.lower(),
            previous=rollout.phase.name.lower(),
            why=why,
            results=rollout.verdict.result_count,
            bad=rollout.verdict.bad_count,
        )
        rollout.phase = phase
        rollout.phase_ms = self._clock.now_ms()

    def allowed(
        self, service: ServiceId, endpoints: tuple[Endpoint, ...]
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints of the version that takes the next request."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return endpoints
        version = rollout.order.version
        if rollout.phase is Phase.DONE:
            new = tuple(e for e in endpoints if e.version == version)
            is_recent = self._clock.now_ms() - rollout.phase_ms < STOPPING_MS
            return new if new and is_recent else endpoints
        old = tuple(e for e in endpoints if e.version != version)
        if rollout.phase is Phase.TAKEN_BACK:
            return old
        new = tuple(e for e in endpoints if e.version == version)
        share = SHARES[rollout.phase]
        if new and self._rng.random() < share:
            return new if share >= 1 else _concentrated(new, share * len(old))
        if not old and rollout.phase is not Phase.HELD:
            return new
        return old

    def note(self, result: Result) -> None:
        """Take in a result of this instance."""
        rollout = self._rollouts.get(result.service)
        if rollout is None or rollout.phase >= Phase.TAKEN_BACK:
            return
        if result.version != rollout.order.version:
            rollout.old.add(result)
            return
        self._outbox.append(result)
        self._test(rollout, result)

    def take_outbox(self) -> tuple[Result, ...]:
        """Return the results that the others have not been told."""
        results, self._outbox = tuple(self._outbox), []
        return results

    def progress(self) -> tuple[Progress, ...]:
        """Return how far each order has come, for the digest."""
        return tuple(
            Progress(service, rollout.order.row_version, int(rollout.phase))
            for service, rollout in self._rollouts.items()
        )

    def hear(self, progress: Iterable[Progress], results: Iterable[Result]) -> None:
        """Take in what another instance knows."""
        for each in progress:
            rollout = self._rollouts.get(each.service)
            if rollout is not None and rollout.order.row_version == each.order:
                self.advance(rollout.order, Phase(each.phase), "told by another")
        for result in results:
            rollout = self._rollouts.get(result.service)
            if rollout is not None and rollout.order.version == result.version:
                self._test(rollout, result)

    def _test(self, rollout: _Rollout, result: Result) -> None:
        why = rollout.verdict.add(result, rollout.old, self._clock.now_ms())
        if why:
            self.advance(rollout.order, Phase.TAKEN_BACK, why)

    def _current(self, order: RolloutOrder) -> _Rollout | None:
        rollout = self._rollouts.get(order.service)
        if rollout is None or rollout.order.row_version != order.row_version:
            return None
        return rollout


def _concentrated(new: tuple[Endpoint, ...], worth: float) -> tuple[Endpoint, ...]:
    """Return those of a version that share the load of ``worth`` old endpoints.

    They are the same on every instance.
    """
    count = max(1, int(worth / CONCENTRATION))
    return tuple(sorted(new, key=lambda endpoint: endpoint.id)[:count])
