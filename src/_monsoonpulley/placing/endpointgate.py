"""Which endpoints may get a request of this instance now, by what they ask for.

An endpoint can limit the requests a second from all instances, can ask this instance
for a pause, and can say that it falls over when it turns too many requests away: then
it gets only what it has room for. While it is cold it bears few requests. The stricter
of its limits holds. All are asked here, before the choice between
endpoints. What keeps an endpoint out for longer, that it leaves, is in
`fleet.directory`; failures weigh in the choice itself.
"""

from __future__ import annotations

import random

import msgspec

from ..fleet.model import Endpoint
from ..ids import EndpointId
from ..limits.brittleness import BrittleServices
from ..limits.coldendpoints import ColdEndpoints
from ..limits.endpointpauses import EndpointPauses
from ..limits.endpointrates import EndpointRateLimits
from .loadboard import LoadBoard
from .placer import PlacementRefusal

FULL_RETRY_MS = 500
"""Retry time while brittle endpoints have no room."""

PAUSE_SPREAD = 0.25
"""Retry times after a pause, and while there is no room, are spread over this share of
it, so that the callers who were refused don't return together."""


class Admission(msgspec.Struct, frozen=True):
    """Endpoints that may get a request, and how many may not.

    Attributes
    ----------
    usable : tuple of Endpoint
        Those that may get it.
    paused_count, limited_count, full_count, cold_count : int
        Those that want a pause, those at their rate limit, brittle ones without room,
        and cold ones without a share of this instance.
    cold_ids : frozenset of EndpointId
        Those among the usable ones that are cold.
    """

    usable: tuple[Endpoint, ...]
    paused_count: int = 0
    limited_count: int = 0
    full_count: int = 0
    cold_count: int = 0
    cold_ids: frozenset[EndpointId] = frozenset()


class EndpointGate:
    """Decides whether endpoints may get requests of this instance.

    Parameters
    ----------
    rate_limits : EndpointRateLimits
        Limits that endpoints name for all instances together.
    pauses : EndpointPauses
        Pauses that endpoints ask this instance for.
    brittle : BrittleServices
        Services whose endpoints may not be asked for more than they have room for.
    cold : ColdEndpoints
        Endpoints that bear few requests for a while.
    board : LoadBoard
        Requests in progress at the endpoints.
    rng : random.Random
        Spreads retry times.
    """

    def __init__(
        self,
        rate_limits: EndpointRateLimits,
        pauses: EndpointPauses,
        brittle: BrittleServices,
        cold: ColdEndpoints,
        board: LoadBoard,
        rng: random.Random,
    ):
        self._rate_limits = rate_limits
        self._pauses = pauses
        self._brittle = brittle
        self._cold = cold
        self._board = board
        self._rng = rng

    def admit(self, endpoints: tuple[Endpoint, ...], now_ms: int) -> Admission:
        """Return which of the endpoints may get a request now."""
        unpaused = tuple(e for e in endpoints if not self.is_paused(e.id, now_ms))
        unlimited = self._rate_limits.usable_endpoints(unpaused, now_ms)
        shared = self._cold.usable_endpoints(unlimited, now_ms)
        usable = tuple(e for e in shared if self.has_room(e, now_ms))
        return Admission(
            usable,
            paused_count=len(endpoints) - len(unpaused),
            limited_count=len(unpaused) - len(unlimited),
            full_count=len(shared) - len(usable),
            cold_count=len(unlimited) - len(shared),
            cold_ids=self._cold.cold_ids(usable, now_ms),
        )

    def has_room(self, endpoint: Endpoint, now_ms: int) -> bool:
        """Return whether an endpoint presumably won't turn another request away.

        Those that bear any number of refusals always have room.
        """
        room = self._brittle.own_room(
            endpoint.id, endpoint.service, endpoint.slots, now_ms
        )
        return room is None or self._board.own_running_count(endpoint.id) < room

    def is_paused(self, endpoint: EndpointId, now_ms: int) -> bool:
        """Return whether an endpoint wants no requests of this instance."""
        return self._pauses.wait_ms(endpoint, now_ms) > 0

    def refuse(
        self, endpoints: tuple[Endpoint, ...], prompt_tokens: int, now_ms: int
    ) -> PlacementRefusal:
        """Return the refusal of a request that none of the endpoints may get.

        Its retry time is when the first pause ends, when the limits allow the next
        request, when cold endpoints bear it, or when there may be room. Its prompt
        counts whole as work that has arrived.
        """
        unpaused = tuple(e for e in endpoints if not self.is_paused(e.id, now_ms))
        unlimited = self._rate_limits.usable_endpoints(unpaused, now_ms)
        if unlimited and not self._cold.usable_endpoints(unlimited, now_ms):
            return PlacementRefusal(
                "cold endpoints bear no more requests",
                self._cold.retry_after_ms(unlimited, now_ms),
                prompt_tokens,
            )
        if unlimited:
            spread_ms = FULL_RETRY_MS * self._rng.uniform(1.0, 1.0 + PAUSE_SPREAD)
            return PlacementRefusal(
                "brittle endpoints have no room", round(spread_ms), prompt_tokens
            )
        if unpaused:
            return PlacementRefusal(
                "all endpoints are at their rate limit",
                self._rate_limits.retry_after_ms(unpaused, now_ms),
                prompt_tokens,
            )
        shortest_ms = min(self._pauses.wait_ms(e.id, now_ms) for e in endpoints)
        spread_ms = shortest_ms * self._rng.uniform(1.0, 1.0 + PAUSE_SPREAD)
        return PlacementRefusal(
            "all endpoints want a pause", round(spread_ms), prompt_tokens
        )

    def bears_more(self, endpoint: Endpoint, now_ms: int) -> bool:
        """Return whether a request may be sent for which an endpoint was chosen."""
        return self._cold.may_send(endpoint, now_ms)

    def record_choice(self, endpoint: Endpoint, now_ms: int) -> None:
        """Count a request that is about to be sent."""
        self._rate_limits.record_send(endpoint.id, now_ms)
        self._cold.record_choice(endpoint)

    def record_send(self, endpoint: Endpoint, now_ms: int) -> None:
        """Record that a request is being sent."""
        self._cold.record_send(endpoint, now_ms)

    def refund(self, endpoint: EndpointId, now_ms: int) -> None:
        """Uncount a request that was not sent after all."""
        self._rate_limits.refund(endpoint, now_ms)
        self._cold.refund(endpoint)
