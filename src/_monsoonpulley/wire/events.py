"""Events for the task that handles an exchange."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TypeAlias

import msgspec

HeaderList: TypeAlias = list[tuple[bytes, bytes]]
"""Header names and values as received, in order."""


class AnswerHead(msgspec.Struct):
    """The status line and headers of an answer.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : HeaderList
        Headers as received.
    fields : dict
        Value by lower-case name, without white space around it; of a repeated
        header, the last one.
    is_in_doubt : bool
        Whether the answer may belong to an earlier request of the connection.
    """

    status: int
    headers: HeaderList
    fields: dict[bytes, bytes]
    is_in_doubt: bool = False


class AnswerData(msgspec.Struct):
    """A piece of the answer's body."""

    data: bytes


class AnswerEnd(msgspec.Struct):
    """The end of a complete answer.

    Attributes
    ----------
    is_framed : bool
        Whether its length or its chunks told the end. Otherwise the connection's end
        did, as it would if the server had ended.
    """

    is_framed: bool = True


class AnswerIncomplete(msgspec.Struct):
    """The connection ended or failed to parse before the answer was complete."""

    detail: str
    is_timeout: bool = False
    """Whether the server's machine stopped to acknowledge."""


class CallerDisconnected(msgspec.Struct):
    """The caller closed its connection."""


class TimerExpired(msgspec.Struct):
    """The timer ``name`` of the task expired."""

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
    """Queue of events for one task."""

    __slots__ = ("_events", "_waiter")

    def __init__(self) -> None:
        self._events: deque[tuple[object, Event]] = deque()
        self._waiter: asyncio.Future[None] | None = None

    @property
    def next_event(self) -> Event | None:
        """The event that `get` returns next; None if there is none yet."""
        return self._events[0][1] if self._events else None

    def put(self, source: object, event: Event) -> None:
        """Add an event from ``source`` and wake the task."""
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
