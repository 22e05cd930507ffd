"""Reads one attempt's event stream within the call's time limits."""

from __future__ import annotations

import asyncio

import aiohttp

from ..errors import Delivery, Failure, Reason
from .engine import EngineCall
from .engine_stream import STEP, EngineStreamDecoder, StreamItem
from .http_transport import TRANSPORT_ERRORS, CallTrace, transport_failure
from .sse import SseParser


class EventStream:
    """Events of one attempt's response.

    Only tokens move the deadline: neither comments nor empty events keep a
    stream without progress alive. Time that the reader of the tokens takes
    does not count.

    Parameters
    ----------
    call : EngineCall
        The attempt; its first deadline counts from now.
    peer : str
        Endpoint, for failures.
    trace : CallTrace
        What is known about the call's connection.
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
        """Return the context that ends the wait for a response in time."""
        return asyncio.timeout_at(self._deadline_s)

    def start(self, response: aiohttp.ClientResponse) -> None:
        """Watch the response from now on."""
        self._response = response
        self._start_timer(self._deadline_s)

    def close(self) -> None:
        """Drop the connection, by which the engine notices that it may stop."""
        if self._timer is not None:
            self._timer.cancel()
        if self._response is not None:
            self._response.close()

    def renew_deadline(self) -> None:
        """Note that a token was taken."""
        self._deadline_s = self._loop.time() + self._token_timeout_s
        if self._timer is not None and self._timer.when() > self._deadline_s:
            self._timer.cancel()
            self._start_timer(self._deadline_s)

    async def read(self) -> list[StreamItem]:
        """Return the tokens that came in and, last, perhaps the end."""
        self._is_reading = True
        try:
            chunk = await self._response.content.readany()
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

    # One timer per stream, moved when it fires: one per read would cost as
    # much processor time as the rest of a token.

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
