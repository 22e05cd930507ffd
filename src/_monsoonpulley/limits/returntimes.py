"""When the callers of refused requests may return, and which of them find capacity.

Load addressed: in an overload many callers are refused at once, and each returns once.
If all are told the time by which the queue is shorter, far more return than it has room
for. So only as many are told a time as the capacity that will be there for them allows,
at a random moment of the time for which they wait, and they are admitted before new
requests. The others are told that there is no capacity before their deadline.

What will be there is the fleet's, from the recent work in all digests; so no instance
has to know whom the others told a time. Those who were told before count in the share
that is told one: it is that of the work refused lately, in the whole fleet, for which
there is capacity.
"""

from __future__ import annotations

import random

import msgspec

from .fairshare import UTILIZATION, ServiceWork

TOLD_SHARE = 0.25
"""Latest time that a caller is told, as a share of the time that it has left. Callers
wait for up to a third."""

MAX_ON_TIME_SHARE = 0.3
"""A caller that returns after a larger share of its time did not come when it was told:
between the above and a third, for what it takes to connect."""

ELSEWHERE_RETRY_MS = 100
"""Shortest retry time of a request that other instances can serve at once: the balancer
chooses one for the new connection."""

MIN_SPENT_MS = 80
"""A caller that has spent less has not returned: the shortest retry time is 100 ms."""

MIN_RETURN_SHARE = 0.05
"""Share of the admitted work that is kept for callers who return, however much arrives.
Most of them are answered late, while new requests can be in time, so that a larger
share costs answers within the target (``testing.placing.customerplay``)."""


def draw_elsewhere_ms(rng: random.Random) -> int:
    """Return when a caller may send its request to another instance."""
    return round(ELSEWHERE_RETRY_MS * rng.uniform(1.0, 2.0))


class ReturnTime(msgspec.Struct, frozen=True):
    """What a refused caller is told.

    Attributes
    ----------
    retry_after_ms : int
        When it may return; its whole time if there is no capacity before its deadline.
    is_kept : bool
        Whether there will be capacity for it then.
    """

    retry_after_ms: int
    is_kept: bool


def has_returned(spent_ms: float) -> bool:
    """Return whether a caller that has waited so long was presumably refused before."""
    return spent_ms >= MIN_SPENT_MS


def is_on_time(spent_ms: float, left_ms: float) -> bool:
    """Return whether a caller presumably returns at the time that it was told."""
    return has_returned(spent_ms) and spent_ms <= MAX_ON_TIME_SHARE * (
        spent_ms + left_ms
    )


def kept_share(work: ServiceWork, capacity_ms_per_s: float) -> float:
    """Return the share of the refused work for which there will be capacity.

    Parameters
    ----------
    work : ServiceWork
        Recent work of the service.
    capacity_ms_per_s : float
        Time of the service's endpoints in a second.
    """
    refused = work.arrived_ms_per_s - work.admitted_ms_per_s
    if refused <= 0:
        return 1.0
    spare = UTILIZATION * capacity_ms_per_s - work.arrived_ms_per_s
    kept = max(MIN_RETURN_SHARE * work.admitted_ms_per_s, spare)
    return min(1.0, kept / refused)


def tell_return_time(
    drained_ms: float, left_ms: float, share: float, rng: random.Random
) -> ReturnTime:
    """Return when a refused caller may return.

    Parameters
    ----------
    drained_ms : float
        Time by which the shortest queue is short enough.
    left_ms : float
        Time that the caller has left.
    share : float
        Share of such callers for which there will be capacity.
    rng : random.Random
        Chooses them and their times.
    """
    latest_ms = TOLD_SHARE * left_ms
    if drained_ms > latest_ms or rng.random() >= share:
        return ReturnTime(max(1, round(left_ms)), is_kept=False)
    return ReturnTime(round(rng.uniform(drained_ms, latest_ms)), is_kept=True)
