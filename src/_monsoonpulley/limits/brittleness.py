"""Services whose endpoints fall over when they turn too many requests away.

Endpoints say so in all their answers. What one says holds for all endpoints of its
service at all instances, for a few seconds after the last such answer.
"""

from __future__ import annotations

from ..ids import EndpointId, ServiceId
from .endpointpauses import EndpointPauses

MEMORY_MS = 5_000
"""Time for which a statement holds. Without answers nothing is sent that could be
turned away; the first answer after it tells again."""

ROOM_SHARE = 0.75
"""Share of a brittle endpoint's slots that all instances use. What others have sent in
the last digest interval is not known; the rest has to hold it."""

SPENDABLE_SHARE = 0.5
"""Share of the refusals that an endpoint bears which the instances cause together."""

MAX_PAUSE_MS = 5_000
"""Longest pause after a refusal, as the number of instances that use an endpoint is
lower in a large deployment than the number of all."""

BrittleNotice = tuple[float, int]
"""Refusals a second that an endpoint bears, and the statement's age in ms, as in
digests."""


class BrittleServices:
    """What endpoints say of the refusals that they bear, and what follows from it.

    Parameters
    ----------
    pauses : EndpointPauses
        Gets a pause after each refusal of a brittle endpoint.
    """

    def __init__(self, pauses: EndpointPauses):
        self._pauses = pauses
        self._statements: dict[ServiceId, tuple[float, int]] = {}
        self._member_count = 1

    def set_member_count(self, member_count: int) -> None:
        """Set how many instances share the refusals that an endpoint bears."""
        self._member_count = max(1, member_count)

    def record_answer(
        self, service: ServiceId, refusals_per_s: float, now_ms: int
    ) -> None:
        """Record an answer that tells how many refusals its endpoint bears."""
        self._statements[service] = (refusals_per_s, now_ms)

    def update_peer(self, notices: dict[str, BrittleNotice], now_ms: int) -> None:
        """Record what answers to another instance told, as its digest says."""
        for name, (refusals_per_s, age_ms) in notices.items():
            service, told_ms = ServiceId(name), now_ms - age_ms
            known = self._statements.get(service)
            if known is None or known[1] < told_ms:
                self._statements[service] = (refusals_per_s, told_ms)

    def notices(self, now_ms: int) -> dict[str, BrittleNotice]:
        """Return the statements that hold, with their ages, for the digest."""
        self._expire(now_ms)
        return {
            service: (refusals_per_s, now_ms - told_ms)
            for service, (refusals_per_s, told_ms) in self._statements.items()
        }

    def refusals_per_s(self, service: ServiceId, now_ms: int) -> float | None:
        """Return how many refusals the endpoints of a service bear; None: any."""
        statement = self._statements.get(service)
        if statement is None or now_ms - statement[1] > MEMORY_MS:
            return None
        return statement[0]

    def max_running(self, service: ServiceId, slots: int, now_ms: int) -> float | None:
        """Return how many requests an endpoint may have in progress; None: any."""
        if self.refusals_per_s(service, now_ms) is None:
            return None
        return max(1, int(slots * ROOM_SHARE))

    def record_refusal(
        self, endpoint: EndpointId, service: ServiceId, now_ms: int
    ) -> int | None:
        """Record that an endpoint had no room; return the pause (ms), if any follows.

        If each instance that is refused pauses so long, all of them together stay
        within `SPENDABLE_SHARE` of what the endpoint bears.
        """
        refusals_per_s = self.refusals_per_s(service, now_ms)
        if refusals_per_s is None:
            return None
        spendable_per_s = SPENDABLE_SHARE * max(refusals_per_s, 1.0)
        pause_ms = round(1_000 * self._member_count / spendable_per_s)
        pause_ms = min(pause_ms, MAX_PAUSE_MS)
        self._pauses.record_refusal(endpoint, pause_ms, now_ms)
        return pause_ms

    def _expire(self, now_ms: int) -> None:
        for service, (_, told_ms) in list(self._statements.items()):
            if now_ms - told_ms > MEMORY_MS:
                del self._statements[service]
