"""Services whose endpoints fall over when they turn too many requests away.

Endpoints say so in all their answers. What one says holds for all endpoints of its
service at all instances, for a few seconds after the last such answer. The room of each
of these is divided between some instances (`limits.sharers`).
"""

from __future__ import annotations

from ..ids import EndpointId, ServiceId
from .endpointpauses import EndpointPauses
from .sharers import Sharers

MEMORY_MS = 5_000
"""Time for which a statement holds. Without answers nothing is sent that could be
turned away; the first answer after it tells again."""

ROOM_SHARE = 0.75
"""Share of a brittle endpoint's slots that all instances use. The rest holds requests
whose callers have left, and those of instances that don't know of each other yet."""

SPENDABLE_SHARE = 0.5
"""Share of the refusals that an endpoint bears which the instances cause together."""

MAX_PAUSE_MS = 5_000
"""Longest pause after a refusal."""

BrittleNotice = tuple[float, int]
"""Refusals a second that an endpoint bears, and the statement's age in ms, as in
digests."""


class BrittleServices:
    """What endpoints say of the refusals that they bear, and what follows from it.

    Parameters
    ----------
    sharers : Sharers
        Divides the room of the endpoints.
    pauses : EndpointPauses
        Gets a pause after each refusal of a brittle endpoint.
    """

    def __init__(self, sharers: Sharers, pauses: EndpointPauses):
        self._sharers = sharers
        self._pauses = pauses
        # Refusals a second and the time of the statement, as heard here and from peers.
        self._heard: dict[ServiceId, tuple[float, int]] = {}
        self._told: dict[ServiceId, tuple[float, int]] = {}

    def record_answer(
        self, service: ServiceId, refusals_per_s: float, now_ms: int
    ) -> None:
        """Record an answer that tells how many refusals its endpoint bears."""
        self._heard[service] = (refusals_per_s, now_ms)

    def update_peer(self, notices: dict[str, BrittleNotice], now_ms: int) -> None:
        """Record what answers to another instance told, as its digest says."""
        for name, (refusals_per_s, age_ms) in notices.items():
            service, told_ms = ServiceId(name), now_ms - age_ms
            known = self._told.get(service)
            if known is None or known[1] < told_ms:
                self._told[service] = (refusals_per_s, told_ms)

    def notices(self, now_ms: int) -> dict[str, BrittleNotice]:
        """Return the statements heard here that hold, with their ages, for the digest.

        Those of others aren't passed on: they would look newer with each delay, and
        never end.
        """
        self._expire(now_ms)
        return {
            service: (refusals_per_s, now_ms - heard_ms)
            for service, (refusals_per_s, heard_ms) in self._heard.items()
        }

    def refusals_per_s(self, service: ServiceId, now_ms: int) -> float | None:
        """Return how many refusals the endpoints of a service bear; None: any."""
        statements = [
            known[service] for known in (self._heard, self._told) if service in known
        ]
        if not statements:
            return None
        refusals_per_s, made_ms = max(statements, key=lambda statement: statement[1])
        return None if now_ms - made_ms > MEMORY_MS else refusals_per_s

    def own_room(
        self, endpoint: EndpointId, service: ServiceId, slots: int, now_ms: int
    ) -> int | None:
        """Return how many requests of this instance an endpoint has room for.

        None if it is not brittle, and gets as many as there are.
        """
        if self.refusals_per_s(service, now_ms) is None:
            return None
        return self._sharers.own_units(endpoint, _room(slots))

    def record_refusal(
        self, endpoint: EndpointId, service: ServiceId, slots: int, now_ms: int
    ) -> int | None:
        """Record that an endpoint had no room; return the pause (ms), if any follows.

        If each sharer that is refused pauses so long, all of them together stay within
        `SPENDABLE_SHARE` of what the endpoint bears.
        """
        refusals_per_s = self.refusals_per_s(service, now_ms)
        if refusals_per_s is None:
            return None
        spendable_per_s = SPENDABLE_SHARE * max(refusals_per_s, 1.0)
        sharer_count = len(self._sharers.choose(endpoint, _room(slots)))
        pause_ms = round(1_000 * sharer_count / spendable_per_s)
        pause_ms = min(pause_ms, MAX_PAUSE_MS)
        self._pauses.record_refusal(endpoint, pause_ms, now_ms)
        return pause_ms

    def _expire(self, now_ms: int) -> None:
        for known in (self._heard, self._told):
            for service, (_, made_ms) in list(known.items()):
                if now_ms - made_ms > MEMORY_MS:
                    del known[service]


def _room(slots: int) -> int:
    return max(1, int(slots * ROOM_SHARE))
