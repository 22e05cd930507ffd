"""The generations of one instance: running ones and those that can be continued."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..external.bundle import Platform
from ..ids import CustomerId, EndpointId, RequestId
from ..observability.log import Log
from .context import RequestContext
from .detached import DetachedLimits, DetachedStreams
from .generation import Generation
from .handover import HandOverReport, StreamStore
from .streamstate import StreamState

COLLECTION_INTERVAL_MS = 300_000
"""Mean time between two deletions of expired streams."""

STORE_RETRY_MS = 1_000
"""Retry time that a caller is given while the object store is unreachable."""

STOP_TIMEOUT_MS = 500
"""How long a running stream may take to end at its next event boundary."""


class RunningStream:
    """A generation in progress with its caller.

    Attributes
    ----------
    stop : callable or None
        Ends the response at its next event boundary with a failure as the
        reason; ``None`` while there is no response to end.
    ended : asyncio.Event
        Set once the generation has ended at this instance.
    is_stored : bool
        Whether the object store may hold an earlier state of it.
    is_registered : bool
        Whether `Streams.register` was called for it.
    """

    def __init__(
        self, context: RequestContext, generation: Generation, *, is_stored: bool
    ):
        self.context = context
        self.generation = generation
        self.is_stored = is_stored
        self.is_registered = False
        self.stop: Callable[[Failure], None] | None = None
        self.ended = asyncio.Event()


class Streams:
    """Running and detached generations of one instance.

    Parameters
    ----------
    detached : DetachedStreams
        Keeps streams whose caller disconnected.
    store : StreamStore
        Keeps streams of an instance that is leaving.
    clock, rng, log
        The instance's; ``rng`` spreads the deletions of expired streams.
    """

    def __init__(
        self,
        detached: DetachedStreams,
        store: StreamStore,
        clock: Clock,
        rng: random.Random,
        log: Log,
    ):
        self._detached = detached
        self._store = store
        self._clock = clock
        self._rng = rng
        self._log = log
        self._running: dict[RequestId, RunningStream] = {}
        self._claimed: set[RequestId] = set()

    @classmethod
    def from_platform(
        cls,
        platform: Platform,
        holder: str,
        clock: Clock,
        rng: random.Random,
        log: Log,
    ) -> Streams:
        """Return the streams of the process with the name ``holder``."""
        store = StreamStore(platform.objects, platform.table, holder, clock, log)
        return cls(DetachedStreams(DetachedLimits()), store, clock, rng, log)

    def register(self, running: RunningStream) -> None:
        """Add a generation that starts or continues at this instance."""
        request_id = running.context.request_id
        self._detached.remove(request_id)
        self._claimed.discard(request_id)
        self._running[request_id] = running
        running.is_registered = True

    async def unregister(
        self, running: RunningStream, state: StreamState | None
    ) -> None:
        """Remove a generation that has ended at this instance.

        A ``state``, passed if its caller has not received all of it, is kept.
        """
        request_id = running.context.request_id
        if state is not None:
            self._detach(state)
        del self._running[request_id]
        running.ended.set()
        if state is None and running.is_stored:
            await self._store.delete(request_id)

    def claim(self, request_id: RequestId) -> Failure | None:
        """Claim a stream to continue it; fail if another connection holds the claim.

        `register` ends the claim; without it, `release_claim` must.
        """
        if request_id in self._claimed:
            return _claimed_failure()
        self._claimed.add(request_id)
        return None

    def release_claim(self, request_id: RequestId) -> None:
        """Release a claim, if there is one."""
        self._claimed.discard(request_id)

    def _detach(self, state: StreamState) -> None:
        self._detached.put(state, self._clock.wall_ms())
        self._log.event(
            "stream_detached",
            request_id=state.request_id,
            next_offset=state.next_offset,
            finished=state.finished is not None,
        )

    def running_at(self, endpoint: EndpointId) -> list[RunningStream]:
        """Return the generations that run at an endpoint now."""
        return [
            running
            for running in self._running.values()
            if running.generation.placed is not None
            and running.generation.placed.endpoint == endpoint
        ]

    async def find(
        self, request_id: RequestId, customer: CustomerId
    ) -> StreamState | Failure:
        """Return a customer's stream; if it is running here, stop it first.

        It stays kept until it is registered again.
        """
        running = self._running.get(request_id)
        if running is not None and running.context.customer != customer:
            return _unknown_stream_failure()
        if running is not None:
            if not await self._stop(running, _continued_elsewhere_failure()):
                return _claimed_failure()
        found = self._detached.find(request_id, self._clock.wall_ms())
        if found is None:
            found = await self._store.find(request_id)
        if isinstance(found, Failure):
            return msgspec.structs.replace(found, retry_after_ms=STORE_RETRY_MS)
        if found is None or found.customer != customer:
            return _unknown_stream_failure()
        return found

    async def hand_over(self) -> HandOverReport:
        """Stop running streams at an event boundary and store all kept streams."""
        stopping = [r for r in self._running.values() if r.stop is not None]
        if stopping:
            await asyncio.gather(
                *(self._stop(running, _leaving_failure()) for running in stopping)
            )
        states = self._detached.list_streams(self._clock.wall_ms())
        report = await self._store.store(states)
        if states:
            self._log.event("streams_handed_over", report=report)
        return report

    async def run_collection(self) -> None:
        """Delete expired streams from the store regularly, until cancelled."""
        while True:
            spread = self._rng.uniform(0.5, 1.5)
            await self._clock.sleep_ms(COLLECTION_INTERVAL_MS * spread)
            deleted = await self._store.collect_expired()
            if isinstance(deleted, Failure):
                self._log.event("stream_collection_failed", failure=deleted)

    async def _stop(self, running: RunningStream, failure: Failure) -> bool:
        """Stop a running stream; return ``False`` if it did not end in time."""
        if running.stop is None:
            return False
        running.stop(failure)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_MS / 1000):
                await running.ended.wait()
        except TimeoutError:
            request_id = running.context.request_id
            self._log.event("stream_stop_late", request_id=request_id)
            return False
        return True


def _unknown_stream_failure() -> Failure:
    detail = "the customer has no stream with this id that can be continued"
    return Failure(Reason.NOT_FOUND, "streams.find", "", detail)


def _claimed_failure() -> Failure:
    detail = "another connection is already continuing the stream"
    return Failure(
        Reason.CONFLICT, "streams.claim", "", detail, retry_after_ms=STOP_TIMEOUT_MS
    )


def _continued_elsewhere_failure() -> Failure:
    detail = "another connection has taken over the stream"
    return Failure(Reason.CONFLICT, "streams.stop", "", detail)


def _leaving_failure() -> Failure:
    detail = "the instance is leaving; continue the stream at another instance"
    return Failure(Reason.SHUTTING_DOWN, "streams.stop", "", detail)


class StreamPosition(msgspec.Struct, frozen=True):
    """A position in a stream: the last event that a caller received.

    ``offset`` is -1 before the first event.
    """

    request_id: RequestId
    offset: int = -1


def parse_position(value: str) -> StreamPosition | Failure:
    """Return the position that a ``Last-Event-ID`` header names."""
    request_id, _, offset = value.strip().rpartition(":")
    is_number = offset.isascii() and offset.isdigit() and len(offset) < 10
    if not request_id or not is_number:
        detail = (
            f"Last-Event-ID must have the form REQUEST_ID:OFFSET, got {value[:80]!r}"
        )
        return Failure(Reason.BAD_REQUEST, "streams.position", "", detail)
    return StreamPosition(RequestId(request_id), int(offset))
