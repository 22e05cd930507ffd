"""Streaming responses that end as soon as their caller is gone."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing, suppress

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

CALLER_STALL_MS = 30_000
"""A caller that takes nothing for this long is treated as gone."""

LAST_PART = {"type": "http.response.body", "body": b"", "more_body": False}
LAST_PART_TIMEOUT_MS = 200


class EventStream(Response):
    """Server-sent events from an async generator, closed in every case.

    Parameters
    ----------
    events : async generator of bytes
        Whole events.
    headers : mapping
        Further response headers.
    """

    media_type = "text/event-stream"

    def __init__(self, events: AsyncGenerator[bytes, None], headers: Mapping[str, str]):
        self.status_code = 200
        self.background = None
        self._events = events
        self._parts = 0
        self._parts_seen = 0
        self._sending_part = False
        self._sending: asyncio.Task[None] | None = None
        self._stopped = False
        self._begun = False
        self.init_headers({**headers, "cache-control": "no-store"})

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the stream until its end or until the caller is gone."""
        sending = self._sending = asyncio.create_task(self._send(send))
        watching = asyncio.create_task(_until_disconnect(receive))
        try:
            await self._wait(sending, watching)
        finally:
            await _cancel(watching)
            await _cancel(sending)
        if not sending.cancelled():
            sending.result()
        elif self._stopped and self._begun:
            await _send_last(send)

    def stop(self) -> None:
        """End the stream after the event that is being sent, if any."""
        self._stopped = True
        if self._sending is not None:
            self._sending.cancel()

    async def _wait(self, sending: asyncio.Task, watching: asyncio.Task) -> None:
        """Return once all is sent, or the caller is gone or takes nothing."""
        while True:
            done, _ = await asyncio.wait(
                {sending, watching},
                timeout=CALLER_STALL_MS / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done or self._is_stalled():
                return

    def _is_stalled(self) -> bool:
        """Tell whether the caller took nothing since the last look.

        One look for each stall time costs less than a timer for each part; a
        caller that stalls is found after one to two of them.
        """
        stalled = self._sending_part and self._parts == self._parts_seen
        self._parts_seen = self._parts
        return stalled

    async def _send(self, send: Send) -> None:
        async with aclosing(self._events) as events:
            start = {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": self.raw_headers,
            }
            await send(start)
            self._begun = True
            async for part in events:
                self._parts += 1
                self._sending_part = True
                try:
                    await send(
                        {"type": "http.response.body", "body": part, "more_body": True}
                    )
                except OSError:
                    return
                self._sending_part = False
        await send(LAST_PART)


async def _send_last(send: Send) -> None:
    """End a response early; a caller that takes nothing is not waited for."""
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(LAST_PART_TIMEOUT_MS / 1000):
            await send(LAST_PART)


async def _until_disconnect(receive: Receive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await asyncio.wait({task})
