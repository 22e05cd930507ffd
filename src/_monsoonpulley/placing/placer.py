"""The choice of an endpoint for a request.

Answers for every load: the endpoint with the least predicted time to the first
event, or to the answer of a plain service, takes the request. What it would have
to read counts more than once, for those behind it: where engines are busy,
prompts that share parts keep together. A request that can't be answered before
its deadline anywhere is refused at once.
"""

from __future__ import annotations

import random

import msgspec

from ..fleet.model import Endpoint
from ..ids import EndpointId, ZoneId
from .health import EndpointHealth
from .loadboard import LoadBoard
from .promptmemory import PromptMemory, PromptPart

PREFILL_TOKENS_PER_MS = 60.0
"""Prompt tokens that an engine reads in a ms: the lower of the users' sheets."""

FIRST_EVENT_MS = 60.0
"""Prefill of nothing and the tokens of one event, on an idle engine."""

RUNNING_MS = 0.8
"""What each running request adds to the time to a first event: longer steps."""

STREAM_MS = 1_500.0
"""Time that a stream holds its slot, at the mean of the sheets."""

SERVICE_MS = 80.0
"""Time of a plain service's request, at the mean of the sheets."""

FULLNESS_SHARE = 0.2
"""By which a plain service's request takes longer on an endpoint that is full: such
endpoints slow down, so that the emptier one is preferred."""

FAILURE_MS = 100.0
"""What one recent failure counts in predicted time."""

READING_WEIGHT = 4.0
"""How many times what a request has to read counts besides its own wait: others
wait for it too, and what it displaces is read again. From the load played by
``python -m testing.placing.fleetplay``; 0 misses the aims of `test_fleet`."""

OTHER_ZONE_MS = 1.0
"""A round trip to another data centre, which decides between equals."""

NONE_RETRY_MS = 1_000
"""An endpoint that has just started is known to all instances by then."""

SHORTEST_RETRY_MS = 100
LONGEST_RETRY_MS = 5_000
"""Of what a refused caller is told: predictions reach no further."""


class Need(msgspec.Struct, frozen=True):
    """What a request asks of an endpoint.

    Attributes
    ----------
    is_generation : bool
        Whether an engine runs it.
    parts : tuple of PromptPart
        Parts of its prompt that may be cached, in order.
    prompt_tokens : int
        Whole length of its prompt.
    left_ms : int
        Time until its deadline or its route's timeout.
    """

    is_generation: bool
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    left_ms: int


class Choice(msgspec.Struct, frozen=True):
    """The endpoint that takes the request, and why.

    Attributes
    ----------
    predicted_ms : float
        Until its first event, or its answer.
    unread_tokens : int
        Prompt tokens that it is thought to read.
    running : int
        Requests known to be there.
    runner_up : str
        The next best, empty for none.
    candidates : int
        Endpoints that were compared.
    """

    endpoint: Endpoint
    predicted_ms: float
    unread_tokens: int
    running: int
    runner_up: str
    candidates: int


class NoPlace(msgspec.Struct, frozen=True):
    """Why no endpoint takes the request, and when one may."""

    reason: str
    retry_after_ms: int


class Placer:
    """Chooses endpoints by predicted time.

    Parameters
    ----------
    board, health, memory : LoadBoard, EndpointHealth, PromptMemory
        What is known of the endpoints.
    rng : random.Random
        Breaks ties, so that instances don't all choose the same.
    """

    def __init__(
        self,
        board: LoadBoard,
        health: EndpointHealth,
        memory: PromptMemory,
        rng: random.Random,
    ):
        self._board = board
        self._health = health
        self._memory = memory
        self._rng = rng

    def choose(
        self,
        need: Need,
        endpoints: tuple[Endpoint, ...],
        tried: set[EndpointId],
        zone: str,
        now_ms: int,
        cut: frozenset[ZoneId] = frozenset(),
    ) -> Choice | NoPlace:
        """Return the endpoint for a request, or why there is none.

        Parameters
        ----------
        need : Need
            The request.
        endpoints : tuple of Endpoint
            Those of the service that take requests.
        tried : set of EndpointId
            Those that had the request already.
        zone : str
            The data centre of this instance.
        now_ms : int
            Monotonic time.
        cut : frozenset of ZoneId
            Data centres that can't be reached.
        """
        candidates = [e for e in endpoints if e.id not in tried]
        if not candidates:
            return NoPlace("no endpoint takes requests", NONE_RETRY_MS)
        reachable = [e for e in candidates if e.zone not in cut]
        candidates = reachable or candidates
        sound = [e for e in candidates if not self._health.is_avoided(e.id, now_ms)]
        candidates = sound or candidates
        cached = (
            self._memory.cached_tokens(need.parts, [e.id for e in candidates], now_ms)
            if need.parts
            else {}
        )
        ranked: list[tuple[float, float, Endpoint, int, int]] = []
        for endpoint in candidates:
            unread = max(0, need.prompt_tokens - cached.get(endpoint.id, 0))
            load = self._board.load(endpoint.id)
            if need.is_generation:
                time_ms = _first_event_ms(
                    load.running, load.unread_tokens + unread, endpoint.slots
                )
            else:
                time_ms = _answer_ms(load.running, endpoint.slots)
            time_ms += self._health.excess_ms(endpoint.id, now_ms)
            time_ms += FAILURE_MS * self._health.failures(endpoint.id, now_ms)
            if endpoint.zone != zone:
                time_ms += OTHER_ZONE_MS
            time_ms += self._rng.random()
            cost_ms = time_ms
            if need.is_generation:
                cost_ms += READING_WEIGHT * unread / PREFILL_TOKENS_PER_MS
            ranked.append((cost_ms, time_ms, endpoint, unread, load.running))
        ranked.sort(key=lambda entry: entry[0])
        in_time = [entry for entry in ranked if entry[1] <= need.left_ms]
        if not in_time:
            shortest_ms = min(entry[1] for entry in ranked)
            return NoPlace(
                "no endpoint can answer in time",
                _retry_after_ms(shortest_ms - need.left_ms),
            )
        _, time_ms, endpoint, unread, running = in_time[0]
        return Choice(
            endpoint,
            round(time_ms, 1),
            unread,
            running,
            in_time[1][2].id if len(in_time) > 1 else "",
            len(candidates),
        )


def _first_event_ms(running: int, unread_tokens: int, slots: int) -> float:
    """Return the predicted time to a first event at an engine."""
    time_ms = FIRST_EVENT_MS + unread_tokens / PREFILL_TOKENS_PER_MS
    time_ms += RUNNING_MS * running
    waiting = running + 1 - slots
    if waiting > 0:
        time_ms += waiting * STREAM_MS / slots
    return time_ms


def _answer_ms(running: int, slots: int) -> float:
    """Return the predicted time to the answer of a plain service."""
    waiting = max(0, running + 1 - slots)
    return SERVICE_MS * (1 + (FULLNESS_SHARE * running + waiting) / slots)


def _retry_after_ms(missing_ms: float) -> int:
    """Return when the queue will have drained by ``missing_ms``."""
    return max(SHORTEST_RETRY_MS, min(LONGEST_RETRY_MS, round(missing_ms)))
