"""Streaming responses that end as soon as their caller disconnects."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing, suppress

from starlette.responses import Response
from starlette.types import Receive, Scope, Send

CALLER_STALL_TIMEOUT_MS = 30_000
"""A caller that reads nothing for this long is treated as disconnected."""

LAST_PART = {"type": "http.response.body", "body": b"", "more_body": False}
LAST_PART_TIMEOUT_MS = 200


class EventStream(Response):
    """Response of server-sent events; always closes the generator of its events.

    Parameters
    ----------
    events : async generator of bytes
        Encoded events, each whole.
    headers : mapping
        Additional response headers.
    """

    media_type = "text/event-stream"

    def __init__(self, events: AsyncGenerator[bytes, None], headers: Mapping[str, str]):
        self.status_code = 200
        self.background = None
        self._events = events
        self._part_count = 0
        self._checked_part_count = 0
        self._is_sending_part = False
        self._sending_task: asyncio.Task[None] | None = None
        self._is_stopped = False
        self._is_started = False
        self.init_headers({**headers, "cache-control": "no-store"})

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the stream until it ends or the caller disconnects or stalls."""
        sending_task = self._sending_task = asyncio.create_task(self._send_all(send))
        disconnect_task = asyncio.create_task(_until_disconnect(receive))
        try:
            await self._wait_until_done(sending_task, disconnect_task)
        finally:
            await _cancel_and_wait(disconnect_task)
            await _cancel_and_wait(sending_task)
        if not sending_task.cancelled():
            sending_task.result()
        elif self._is_stopped and self._is_started:
            await _send_last_part(send)

    def stop(self) -> None:
        """End the stream after the event that is being sent, if any."""
        self._is_stopped = True
        if self._sending_task is not None:
            self._sending_task.cancel()

    async def _wait_until_done(
        self, sending_task: asyncio.Task, disconnect_task: asyncio.Task
    ) -> None:
        """Wait until all is sent, or the caller has disconnected or stalled."""
        while True:
            done, _ = await asyncio.wait(
                {sending_task, disconnect_task},
                timeout=CALLER_STALL_TIMEOUT_MS / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done or self._is_stalled():
                return

    def _is_stalled(self) -> bool:
        """Return whether the caller has read nothing since the last check.

        One check per `CALLER_STALL_TIMEOUT_MS` costs less than a timer for each
        part; a stall is found after one to two of these periods.
        """
        is_stalled = (
            self._is_sending_part and self._part_count == self._checked_part_count
        )
        self._checked_part_count = self._part_count
        return is_stalled

    async def _send_all(self, send: Send) -> None:
        async with aclosing(self._events) as events:
            start = {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": self.raw_headers,
            }
            await send(start)
            self._is_started = True
            async for part in events:
                self._part_count += 1
                self._is_sending_part = True
                try:
                    await send(
                        {"type": "http.response.body", "body": part, "more_body": True}
                    )
                except OSError:
                    return
                self._is_sending_part = False
        await send(LAST_PART)


async def _send_last_part(send: Send) -> None:
    """End a response early without waiting long for a caller that reads nothing."""
    with suppress(OSError, TimeoutError):
        async with asyncio.timeout(LAST_PART_TIMEOUT_MS / 1000):
            await send(LAST_PART)


async def _until_disconnect(receive: Receive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


async def _cancel_and_wait(task: asyncio.Task) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await asyncio.wait({task})
