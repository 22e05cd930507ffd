"""Data centres whose endpoints don't count as capacity: evacuated and returning ones.

Endpoints that come back from an evacuation may be cold, and requests return to them in
steps. What was ordered elsewhere to replace them is kept until they bear their share of
the load: until then they count as if the data centre were still evacuated.
"""

from __future__ import annotations

import msgspec

from ..clock import Clock
from ..fleet.directory import EndpointDirectory
from ..fleet.evacuations import Evacuations
from ..fleet.model import Endpoint, Service
from ..ids import ServiceId, ZoneId
from ..placing.loadboard import LoadBoard

BEARING_SHARE = 0.5
"""Requests in progress at a returned endpoint, relative to the others', from which it
bears load. Placement evens out loads, so that half of the others' is far above what a
cold endpoint gets, and within the spread between equal ones."""

MAX_RETURN_MS = 120_000
"""Longest time for which a returned data centre doesn't count. Its endpoints may be
slower than the others, or out of reach of most instances, and never get their load;
the planner would then neither count them nor order any there again."""

LOAD_HALF_LIFE_MS = 2_000
"""Half-life of the loads that are compared: several of the users' answers, which last a
fraction of a second to a few seconds."""


class _Return(msgspec.Struct):
    """Loads since an evacuation of a data centre ended, for one service.

    Attributes
    ----------
    ended_ms, observed_ms : int
        End of the evacuation, and first observation here.
    last_ms : int
        Last observation.
    load, other_load : float
        Decaying sums of the requests per endpoint, there and elsewhere.
    """

    ended_ms: int
    observed_ms: int
    last_ms: int
    load: float = 0.0
    other_load: float = 0.0
    is_over: bool = False


class ClosedZones:
    """Data centres that capacity planning leaves out.

    Parameters
    ----------
    evacuations : Evacuations
        Which data centres are evacuated, and when evacuations ended.
    directory, board : EndpointDirectory, LoadBoard
        Endpoints and their loads.
    clock : Clock
        Time source.
    return_ms : float
        Time over which requests return after an evacuation.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        directory: EndpointDirectory,
        board: LoadBoard,
        clock: Clock,
        return_ms: float,
    ):
        self._evacuations = evacuations
        self._directory = directory
        self._board = board
        self._clock = clock
        self._return_ms = return_ms
        self._returns: dict[tuple[ServiceId, ZoneId], _Return] = {}

    def find(self, service: Service) -> frozenset[ZoneId]:
        """Return the data centres whose endpoints of a service don't count now.

        Called regularly, as it observes the loads of endpoints that return.
        """
        evacuated = self._evacuations.zones
        if not evacuated and not self._evacuations.ended_zones:
            return evacuated
        ready = self._directory.ready_endpoints(service.id)
        returning = {
            zone
            for zone in self._evacuations.ended_zones
            if self._is_returning(service, zone, ready)
        }
        return evacuated | returning

    def _is_returning(
        self, service: Service, zone: ZoneId, ready: tuple[Endpoint, ...]
    ) -> bool:
        """Return whether endpoints there exist and don't bear load yet."""
        here = [e for e in ready if e.zone == zone]
        others = [e for e in self._evacuations.open_endpoints(ready) if e.zone != zone]
        ended_ms = self._evacuations.ended_ms(zone)
        if not here or not others or ended_ms is None:
            return False
        now_ms = self._clock.now_ms()
        state = self._returns.get((service.id, zone))
        if state is None or state.ended_ms != ended_ms:
            state = _Return(ended_ms, now_ms, now_ms)
            self._returns[service.id, zone] = state
        if state.is_over:
            return False
        kept = 0.5 ** ((now_ms - state.last_ms) / LOAD_HALF_LIFE_MS)
        state.last_ms = now_ms
        state.load = kept * state.load + self._mean_load(here)
        state.other_load = kept * state.other_load + self._mean_load(others)
        least_ms = max(service.cold_start_ms, self._return_ms)
        observed_ms = now_ms - state.observed_ms
        bears_load = state.load >= BEARING_SHARE * state.other_load
        state.is_over = observed_ms >= max(least_ms, MAX_RETURN_MS) or (
            observed_ms >= least_ms and bears_load
        )
        return not state.is_over

    def _mean_load(self, endpoints: list[Endpoint]) -> float:
        loads = [self._board.load(e.id).running_count for e in endpoints]
        return sum(loads) / len(loads)
