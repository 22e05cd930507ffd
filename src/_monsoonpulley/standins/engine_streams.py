"""Open streams of an engine stand-in."""

from __future__ import annotations

import asyncio

from ..endpoints.engine import Finished, Token
from ..errors import Failure
from ..ids import AttemptId

StreamItem = Token | Finished | Failure


class OpenStreams:
    """Queues of stream items, by attempt."""

    def __init__(self) -> None:
        self._queues: dict[AttemptId, asyncio.Queue[StreamItem]] = {}

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._queues

    def open(self, attempt: AttemptId) -> None:
        """Open the queue of an attempt."""
        self._queues[attempt] = asyncio.Queue()

    def close(self, attempt: AttemptId) -> None:
        """Remove the queue of an attempt with its unread items."""
        del self._queues[attempt]

    def emit(self, items: list[tuple[AttemptId, StreamItem]]) -> None:
        """Queue items for their attempts; those of closed streams are dropped."""
        for attempt, item in items:
            queue = self._queues.get(attempt)
            if queue is not None:
                queue.put_nowait(item)

    def end_all(self, failure: Failure) -> None:
        """End all open streams with ``failure``."""
        self.emit([(attempt, failure) for attempt in self._queues])

    async def next_item(self, attempt: AttemptId, timeout_ms: int) -> StreamItem:
        """Return the next item of an attempt.

        Raises
        ------
        TimeoutError
            If no item arrives within ``timeout_ms``.
        """
        queue = self._queues[attempt]
        item = await asyncio.wait_for(queue.get(), timeout_ms / 1000)
        # On Python 3.11 a cancellation that arrives together with the item is lost.
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise asyncio.CancelledError
        return item
