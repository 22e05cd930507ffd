"""What a connection tells the task that waits for an answer."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TypeAlias

import msgspec

HeaderList: TypeAlias = list[tuple[bytes, bytes]]
"""Names as received, with their values, in order."""


class AnswerHead(msgspec.Struct):
    """The status line and headers of an answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : HeaderList
        As received.
    fields : dict
        Lower-case name to value; of a repeated header, the last one.
    """

    status: int
    headers: HeaderList
    fields: dict[bytes, bytes]


class AnswerData(msgspec.Struct):
    """A piece of the answer's body."""

    data: bytes


class AnswerEnd(msgspec.Struct):
    """The answer is complete."""


class AnswerIncomplete(msgspec.Struct):
    """The connection ended, or turned to nonsense, before the answer did."""

    detail: str


class CallerDisconnected(msgspec.Struct):
    """The caller closed its connection."""


class TimerExpired(msgspec.Struct):
    """A timer of the task went off; ``name`` says which."""

    name: str


Event: TypeAlias = (
    AnswerHead
    | AnswerData
    | AnswerEnd
    | AnswerIncomplete
    | CallerDisconnected
    | TimerExpired
)


class Mailbox:
    """Events for one task, in order."""

    __slots__ = ("_events", "_waiter")

    def __init__(self) -> None:
        self._events: deque[tuple[object, Event]] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, source: object, event: Event) -> None:
        """Add an event of ``source`` and wake the task."""
        self._events.append((source, event))
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def get(self) -> tuple[object, Event]:
        """Wait for the next event and return it with its source."""
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._events.popleft()
