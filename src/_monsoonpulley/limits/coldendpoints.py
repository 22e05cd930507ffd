"""Endpoints that are cold, and what all instances together send them.

A cold endpoint bears few requests a second and falls over beyond. Its rows in the
store say how long it stays cold; after a start it is presumed cold until a row says
otherwise. Of the requests that it bears each sharer (`limits.sharers`) has a whole
number in any window, so that no exchange of messages is needed to keep to the sum.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from ..fleet.model import Configuration, Endpoint, Service
from ..ids import EndpointId, ServiceId, ZoneId
from .sharers import Sharers

VIEW_FACTOR = 2
"""The users' bound over the sum of the shares, at least. Two groups of instances of
which one has forgotten the other (`Members` lets only a majority do so) may each send
the whole, and the sum is still allowed."""

MIN_WINDOW_MS = 1_000
"""The users' bound is for any second."""

LATE_ROW_PAUSE_MS = 1_000
"""An endpoint that was warm gets nothing for this long once a row says that it is cold.
What all instances sent before they saw the row is then out of the users' second."""

UNLISTED_MEMORY_MS = 60_000
"""Time for which the requests to an endpoint without a row are remembered: as long as
the endpoint itself, see `fleet.directory`."""

STALL_MS = 1_200
"""An instance that stood still for an interval of the endpoints' rows may have missed
rows that all others have seen."""

STALL_RETRY_MS = 250
"""Retry time until the rows are read again: two attempts of a call to the store."""

MIN_RETRY_MS = 100
MAX_RETRY_MS = 5_000
"""Bounds of the retry time of requests that cold endpoints can't take."""

RETRY_SPREAD = 0.25
"""Retry times are spread over this part of them, so that callers who were refused don't
return together."""


class ColdSource(Enum):
    """Why an endpoint counts as cold."""

    ROW = "row"
    START = "start"
    """It started, and its row doesn't say."""
    EVACUATION = "evacuation"
    """The evacuation of its data centre has ended, and no later row says."""


class ColdChange(msgspec.Struct, frozen=True):
    """An endpoint that turned cold or warm, and on what grounds.

    Attributes
    ----------
    source : ColdSource or None
        None if it is warm.
    for_ms : int
        Time for which it stays cold if nothing else is heard.
    row_version, row_age_ms : int or None
        Newest row that says whether it is cold, and the time since it was first seen.
    """

    endpoint: EndpointId
    service: ServiceId
    source: ColdSource | None
    for_ms: int
    row_version: int | None
    row_age_ms: int | None


class _Bound(msgspec.Struct, frozen=True):
    """What cold endpoints of a service bear: ``units`` requests in any window."""

    start_ms: int
    units: int
    window_ms: int


class _State(msgspec.Struct):
    """What is known of an endpoint, and this instance's requests to it.

    Attributes
    ----------
    row_version : int
        Newest row that was seen.
    said_version, said_ms, said_until_ms : int or None
        Newest row that says whether it is cold, when that was first seen, and the end
        of the time that it names.
    started_ms : int or None
        Time of its start while no row says otherwise.
    paused_until_ms : int
        Until then nothing is sent.
    reserved_count : int
        Requests for which it was chosen and that were not sent yet.
    sent_ms : deque of int
        Times of the last requests that were sent.
    is_cold : bool
        As last passed on to ``on_change``.
    """

    row_version: int = -1
    said_version: int | None = None
    said_ms: int | None = None
    said_until_ms: int = 0
    started_ms: int | None = None
    paused_until_ms: int = 0
    reserved_count: int = 0
    sent_ms: deque[int] = msgspec.field(default_factory=deque)
    is_cold: bool = False


class ColdEndpoints:
    """Which endpoints are cold, and this instance's share of what they bear.

    Parameters
    ----------
    sharers : Sharers
        Divides what an endpoint bears.
    rng : random.Random
        Spreads retry times.
    overage, slack : float
        In any second the users allow the rate that a cold endpoint bears times
        ``overage``, and ``slack`` requests.
    on_change : callable
        Called with a `ColdChange` when an endpoint turns cold or warm.
    on_stall : callable
        Called with the time for which the process stood still, if the rows have to be
        read again.
    """

    def __init__(
        self,
        sharers: Sharers,
        rng: random.Random,
        overage: float,
        slack: float,
        on_change: Callable[[ColdChange], None] = lambda change: None,
        on_stall: Callable[[int], None] = lambda for_ms: None,
    ):
        self._sharers = sharers
        self._rng = rng
        self._overage = overage
        self._slack = slack
        self._on_change = on_change
        self._on_stall = on_stall
        self._services: dict[ServiceId, Service] = {}
        self._bounds: dict[ServiceId, _Bound] = {}
        self._states: dict[EndpointId, _State] = {}
        self._zones: dict[ZoneId, tuple[int, int]] = {}
        self._places_ms: dict[ServiceId, float] = {}
        self._last_ms: int | None = None
        self._stalled_ms: int | None = None
        # From then on all endpoints are warm, unless something else is heard; mostly it
        # is past, so that requests cost no look at each endpoint.
        self._all_warm_ms = 0

    def configure(self, configuration: Configuration) -> None:
        """Apply what a configuration says of cold endpoints."""
        self._services = configuration.services
        self._compute_bounds()

    def set_tolerance(self, overage: float, slack: float) -> None:
        """Apply changed settings."""
        self._overage, self._slack = overage, slack
        self._compute_bounds()

    def record_row(
        self, endpoint: Endpoint, row_version: int, has_started: bool, now_ms: int
    ) -> None:
        """Apply an endpoint's row, of any age.

        Load addressed: endpoints that have just started or turn cold under traffic.

        Parameters
        ----------
        endpoint : Endpoint
            As the row describes it.
        row_version : int
            The row's version; a row that was seen before changes nothing.
        has_started : bool
            Whether the row shows a start during traffic.
        now_ms : int
            Monotonic time. The row's time counts from now on, as the wall clocks of the
            machines may differ.
        """
        state = self._states.get(endpoint.id)
        is_new = state is None
        if state is None or has_started:
            state = self._states[endpoint.id] = _State(
                sent_ms=state.sent_ms if state else deque(),
                reserved_count=state.reserved_count if state else 0,
                is_cold=state.is_cold if state else False,
            )
            state.started_ms = now_ms if has_started else None
            if not is_new:
                # What was sent to the process before it may reach this one.
                state.paused_until_ms = now_ms + LATE_ROW_PAUSE_MS
        if row_version <= state.row_version:
            return
        state.row_version = row_version
        if endpoint.cold_for_ms is not None:
            was_cold = self.is_cold(endpoint, now_ms)
            state.said_version, state.said_ms = row_version, now_ms
            state.said_until_ms = now_ms + endpoint.cold_for_ms
            state.started_ms = None
            if endpoint.cold_for_ms and not (is_new or has_started or was_cold):
                state.paused_until_ms = now_ms + LATE_ROW_PAUSE_MS
        self._extend(state.said_until_ms)
        if state.started_ms is not None:
            self._extend(state.started_ms + self._longest_start_ms())
        self._report(endpoint, state, now_ms)

    def presume_zone_cold(self, zone: ZoneId, store_version: int, now_ms: int) -> None:
        """Presume the endpoints of a data centre cold until newer rows say otherwise.

        Load addressed: endpoints that got no requests while their data centre was
        evacuated, and that all instances may use again at the same moment.

        Parameters
        ----------
        zone : ZoneId
            The data centre.
        store_version : int
            Version of the store that ended the evacuation. Only rows with a higher
            version say whether an endpoint is cold.
        now_ms : int
            Monotonic time; each endpoint's presumption ends ``cold_start_ms`` of its
            service later.
        """
        self._zones[zone] = (store_version, now_ms)
        self._extend(now_ms + self._longest_start_ms())

    def awaits_rows(self, zone: ZoneId, now_ms: int) -> bool:
        """Return whether newer rows may end the presumption for a data centre.

        They have to be passed on then, even if they say the same as older ones.
        """
        presumption = self._zones.get(zone)
        if presumption is None:
            return False
        return now_ms < presumption[1] + self._longest_start_ms()

    def record_time(self, now_ms: int) -> None:
        """Find out whether the process stood still since the last call.

        Load addressed: requests that have piled up at a process that stood still, when
        endpoints turned cold meanwhile. Until `record_read` each endpoint that could be
        cold gets only this instance's share.
        """
        last_ms, self._last_ms = self._last_ms, now_ms
        if self._bounds and last_ms is not None and now_ms - last_ms >= STALL_MS:
            self._stalled_ms = now_ms
            self._extend(now_ms + self._longest_start_ms())
            self._on_stall(now_ms - last_ms)

    def record_read(self, from_ms: int) -> None:
        """Record that the rows are known as the store had them at ``from_ms``."""
        if self._stalled_ms is not None and from_ms >= self._stalled_ms:
            self._stalled_ms = None

    def is_cold(self, endpoint: Endpoint, now_ms: int) -> bool:
        """Return whether an endpoint counts as cold."""
        bound = self._bounds.get(endpoint.service)
        return bound is not None and self._cold_for(endpoint, bound, now_ms)[0] > 0

    def cold_ids(
        self, endpoints: Iterable[Endpoint], now_ms: int
    ) -> frozenset[EndpointId]:
        """Return the ids of those endpoints that count as cold."""
        if not self._bounds or now_ms >= self._all_warm_ms:
            return frozenset()
        return frozenset(e.id for e in endpoints if self.is_cold(e, now_ms))

    def usable_endpoints(
        self, endpoints: tuple[Endpoint, ...], now_ms: int
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints that this instance may choose for a request now."""
        if not self._bounds:
            return endpoints
        self.record_time(now_ms)
        if now_ms >= self._all_warm_ms:
            return endpoints
        return tuple(e for e in endpoints if self.wait_ms(e, now_ms) == 0)

    def wait_ms(self, endpoint: Endpoint, now_ms: int) -> float:
        """Return the time until an endpoint may be chosen; infinite without a share."""
        state = self._states.get(endpoint.id)
        reserved_count = state.reserved_count if state else 0
        return self._wait_ms(endpoint, reserved_count, now_ms)

    def may_send(self, endpoint: Endpoint, now_ms: int) -> bool:
        """Return whether a request for which the endpoint was chosen may be sent.

        The endpoint may have turned cold since, or the connection may have taken long.
        """
        if self._bounds:
            self.record_time(now_ms)
        return self._wait_ms(endpoint, 0, now_ms) == 0

    def retry_after_ms(self, endpoints: tuple[Endpoint, ...], now_ms: int) -> int:
        """Return when a request that these cold endpoints can't take may return.

        Load addressed: callers who come back to cold endpoints that bear few of them.
        Each gets the next place in what the endpoints bear, as if all instances refused
        as many requests as this one; none is later than the first endpoint's end of
        being cold.
        """
        bounds = [
            (endpoint, bound)
            for endpoint in endpoints
            if (bound := self._bounds.get(endpoint.service)) is not None
        ]
        per_ms = sum(bound.units / bound.window_ms for _, bound in bounds)
        warm_ms = min(
            (self._cold_for(e, bound, now_ms)[0] for e, bound in bounds),
            default=MAX_RETRY_MS,
        )
        # An endpoint that is warm here is only left out after a stall.
        warm_ms = warm_ms or STALL_RETRY_MS
        wait_ms: float = warm_ms
        if per_ms:
            service = endpoints[0].service
            first_ms = max(now_ms, self._places_ms.get(service, 0))
            place_ms = first_ms + self._sharers.instance_count / per_ms
            self._places_ms[service] = min(place_ms, now_ms + warm_ms)
            wait_ms = self._places_ms[service] - now_ms
        wait_ms *= self._rng.uniform(1.0, 1.0 + RETRY_SPREAD)
        return max(MIN_RETRY_MS, min(MAX_RETRY_MS, round(wait_ms)))

    def record_choice(self, endpoint: Endpoint) -> None:
        """Reserve a request for an endpoint that was chosen."""
        if endpoint.service in self._bounds:
            state = self._states.setdefault(endpoint.id, _State())
            state.reserved_count += 1

    def refund(self, endpoint: EndpointId) -> None:
        """Undo `record_choice`, as the request was not sent after all."""
        state = self._states.get(endpoint)
        if state is not None:
            state.reserved_count = max(0, state.reserved_count - 1)

    def record_send(self, endpoint: Endpoint, now_ms: int) -> None:
        """Count a request that is being sent, after `record_choice`."""
        bound = self._bounds.get(endpoint.service)
        if bound is None:
            return
        state = self._states.setdefault(endpoint.id, _State())
        state.reserved_count = max(0, state.reserved_count - 1)
        state.sent_ms.append(now_ms)
        # No instance's share is larger than the whole.
        while len(state.sent_ms) > max(1, bound.units):
            state.sent_ms.popleft()

    def bearable_per_s(self, service: ServiceId) -> float:
        """Return the requests a second of a cold endpoint; infinite if none is cold."""
        bound = self._bounds.get(service)
        return math.inf if bound is None else 1000 * bound.units / bound.window_ms

    def update(self, endpoints: Iterable[Endpoint], now_ms: int) -> int:
        """Report changes since the last call; return how many endpoints are cold."""
        self.record_time(now_ms)
        if not self._bounds:
            return 0
        self._zones = {
            zone: presumption
            for zone, presumption in self._zones.items()
            if self.awaits_rows(zone, now_ms)
        }
        endpoints = list(endpoints)
        self._forget_unlisted({endpoint.id for endpoint in endpoints}, now_ms)
        cold_count = 0
        for endpoint in endpoints:
            state = self._states.get(endpoint.id)
            if state is not None:
                self._report(endpoint, state, now_ms)
                cold_count += state.is_cold
        return cold_count

    def remove(self, endpoint: EndpointId) -> None:
        """Remove what is known of an endpoint whose process has ended.

        What was sent to it stays known for a process that takes its place.
        """
        state = self._states.pop(endpoint, None)
        if state is not None and (state.sent_ms or state.reserved_count):
            self._states[endpoint] = _State(
                sent_ms=state.sent_ms,
                reserved_count=state.reserved_count,
                is_cold=state.is_cold,
            )

    def _forget_unlisted(self, listed: set[EndpointId], now_ms: int) -> None:
        for endpoint, state in list(self._states.items()):
            last_ms = state.sent_ms[-1] if state.sent_ms else 0
            if endpoint not in listed and now_ms - last_ms > UNLISTED_MEMORY_MS:
                del self._states[endpoint]

    def _compute_bounds(self) -> None:
        self._bounds = {
            service.id: self._compute_bound(service)
            for service in self._services.values()
            if service.cold_start_ms > 0 and service.cold_per_s > 0
        }
        # What was heard before may count now.
        start_ms = self._longest_start_ms()
        for state in self._states.values():
            self._extend(state.said_until_ms)
            if state.started_ms is not None:
                self._extend(state.started_ms + start_ms)
        for _, from_ms in self._zones.values():
            self._extend(from_ms + start_ms)

    def _longest_start_ms(self) -> int:
        return max((bound.start_ms for bound in self._bounds.values()), default=0)

    def _extend(self, until_ms: int) -> None:
        self._all_warm_ms = max(self._all_warm_ms, until_ms)

    def _compute_bound(self, service: Service) -> _Bound:
        per_s = service.cold_per_s
        allowed = math.floor(per_s * self._overage + self._slack)
        units = min(max(1, math.floor(per_s)), allowed // VIEW_FACTOR)
        # Less than one request a second is one in a longer window.
        window_ms = max(MIN_WINDOW_MS, math.ceil(1000 * units / per_s))
        return _Bound(service.cold_start_ms, units, window_ms)

    def _cold_for(
        self, endpoint: Endpoint, bound: _Bound, now_ms: int
    ) -> tuple[int, ColdSource | None]:
        """Return how long an endpoint stays cold, and why; 0 if it is warm."""
        ends: list[tuple[int, ColdSource]] = []
        state = self._states.get(endpoint.id)
        if state is not None:
            ends.append((state.said_until_ms, ColdSource.ROW))
            if state.started_ms is not None:
                ends.append((state.started_ms + bound.start_ms, ColdSource.START))
        presumption = self._zones.get(endpoint.zone)
        if presumption is not None:
            store_version, from_ms = presumption
            said_version = state.said_version if state is not None else None
            if said_version is None or said_version <= store_version:
                ends.append((from_ms + bound.start_ms, ColdSource.EVACUATION))
        end_ms, source = max(ends, key=lambda end: end[0], default=(0, None))
        return (end_ms - now_ms, source) if end_ms > now_ms else (0, None)

    def _is_limited(self, endpoint: Endpoint, bound: _Bound, now_ms: int) -> bool:
        stalled_ms = self._stalled_ms
        if stalled_ms is not None and now_ms < stalled_ms + bound.start_ms:
            return True
        return self._cold_for(endpoint, bound, now_ms)[0] > 0

    def _wait_ms(self, endpoint: Endpoint, reserved_count: int, now_ms: int) -> float:
        bound = self._bounds.get(endpoint.service)
        if bound is None or not self._is_limited(endpoint, bound, now_ms):
            return 0
        own_units = 0
        if self._sharers.is_settled and bound.units:
            own_units = self._sharers.own_units(endpoint.id, bound.units)
        if not own_units:
            return math.inf
        state = self._states.get(endpoint.id)
        if state is None:
            return 0
        if now_ms < state.paused_until_ms:
            return state.paused_until_ms - now_ms
        sent_ms = state.sent_ms
        while sent_ms and sent_ms[0] < now_ms - bound.window_ms:
            sent_ms.popleft()
        excess = reserved_count + len(sent_ms) - own_units
        if excess < 0:
            return 0
        if excess < len(sent_ms):
            return sent_ms[excess] + bound.window_ms - now_ms + 1
        return bound.window_ms

    def _report(self, endpoint: Endpoint, state: _State, now_ms: int) -> None:
        bound = self._bounds.get(endpoint.service)
        for_ms, source = (
            self._cold_for(endpoint, bound, now_ms) if bound is not None else (0, None)
        )
        if (for_ms > 0) == state.is_cold:
            return
        state.is_cold = for_ms > 0
        row_age_ms = None if state.said_ms is None else now_ms - state.said_ms
        self._on_change(
            ColdChange(
                endpoint.id,
                endpoint.service,
                source,
                for_ms,
                state.said_version,
                row_age_ms,
            )
        )
