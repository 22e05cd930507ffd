"""Reads one attempt's event stream within the call's time limits."""

from __future__ import annotations

import asyncio

import aiohttp

from ..errors import Delivery, Failure, Reason
from .engine import EngineCall
from .engine_stream import STEP, EngineStreamDecoder, StreamItem
from .http_transport import TRANSPORT_ERRORS, CallTrace, transport_failure
from .sse import SseParser

MAX_READ_BYTES = 16_384
"""Bytes that are decoded before other tasks get a turn: some 5 ms of empty lines."""


class EventStream:
    """Event stream of one attempt's response.

    Only tokens extend the deadline; comments and empty events do not keep a
    stream without progress alive. Time that the consumer of the tokens takes
    does not count.

    Parameters
    ----------
    call : EngineCall
        The attempt; its time limit for the first token starts now.
    peer : str
        Endpoint named in failures.
    trace : CallTrace
        Records whether the call had a connection.
    """

    def __init__(self, call: EngineCall, peer: str, trace: CallTrace):
        self._token_timeout_s = call.token_timeout_ms / 1000
        self._peer = peer
        self._trace = trace
        self._parser = SseParser()
        self._decoder = EngineStreamDecoder(call, peer)
        self._loop = asyncio.get_running_loop()
        self._deadline_s = self._loop.time() + call.first_token_timeout_ms / 1000
        self._response: aiohttp.ClientResponse | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_reading = False
        self._has_timed_out = False

    def first_token_deadline(self) -> asyncio.Timeout:
        """Return the context that bounds the wait for a response."""
        return asyncio.timeout_at(self._deadline_s)

    def start(self, response: aiohttp.ClientResponse) -> None:
        """Attach the response and start its deadline timer."""
        self._response = response
        self._start_timer(self._deadline_s)

    def close(self) -> None:
        """Close the connection, which tells the engine that it may stop."""
        if self._timer is not None:
            self._timer.cancel()
        if self._response is not None:
            self._response.close()

    def renew_deadline(self) -> None:
        """Extend the deadline after a token was consumed."""
        self._deadline_s = self._loop.time() + self._token_timeout_s
        if self._timer is not None and self._timer.when() > self._deadline_s:
            self._timer.cancel()
            self._start_timer(self._deadline_s)

    async def read(self) -> list[StreamItem]:
        """Return the tokens received and, if the stream ended, its result last."""
        self._is_reading = True
        try:
            chunk = await self._response.content.read(MAX_READ_BYTES)
            if len(chunk) == MAX_READ_BYTES:
                # More may have been received: reading it would not wait.
                await asyncio.sleep(0)
            return self._decode(chunk)
        except TRANSPORT_ERRORS as error:
            return [self._end_after_error(error)]
        finally:
            self._is_reading = False

    def _decode(self, chunk: bytes) -> list[StreamItem]:
        if not chunk:
            return [self._decoder.end("the stream ended early")]
        items: list[StreamItem] = []
        for data in self._parser.feed(chunk):
            items.extend(self._decoder.feed(data))
        return items

    def _end_after_error(self, error: BaseException) -> StreamItem:
        if self._decoder.is_text_complete:
            return self._decoder.end("")
        if self._has_timed_out:
            detail = "no token in time"
            return Failure(Reason.TIMEOUT, STEP, self._peer, detail, Delivery.MAYBE)
        return transport_failure(error, self._trace, STEP, self._peer)

    # One timer per stream, rescheduled when it fires: one per read would cost as
    # much processor time as the rest of the work for a token.

    def _start_timer(self, when_s: float) -> None:
        self._timer = self._loop.call_at(when_s, self._check_deadline)

    def _check_deadline(self) -> None:
        now_s = self._loop.time()
        if not self._is_reading:
            self._start_timer(now_s + self._token_timeout_s)
        elif now_s < self._deadline_s:
            self._start_timer(self._deadline_s)
        else:
            self._has_timed_out = True
            self._response.close()
