"""Reads one attempt's event stream within the call's time limits."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from .engine import EngineCall, Token
from .engine_stream import STEP, StreamAssembler, StreamItem
from .http_transport import TRANSPORT_ERRORS, CallTrace, transport_failure
from .sse import SseParser


class EventStream:
    """Events of one attempt's response.

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
        self._call = call
        self._peer = peer
        self._trace = trace
        self._parser = SseParser()
        self._assembler = StreamAssembler(call, peer)
        # Only tokens move the deadline: neither comments nor empty events may
        # keep a stream without progress alive.
        self._deadline_s = _loop_s() + call.first_token_timeout_ms / 1000

    def deadline(self) -> asyncio.Timeout:
        """Return the context that ends a wait at the current deadline."""
        return asyncio.timeout_at(self._deadline_s)

    async def items(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[StreamItem]:
        """Yield tokens, then one end."""
        while True:
            events = await self._read(response)
            for item in events:
                yield item
                if not isinstance(item, Token):
                    return
                self._deadline_s = _loop_s() + self._call.token_timeout_ms / 1000

    async def _read(self, response: aiohttp.ClientResponse) -> list[StreamItem]:
        try:
            async with self.deadline():
                chunk = await response.content.readany()
            if not chunk:
                return [self._assembler.end("the stream ended early")]
            items: list[StreamItem] = []
            for data in self._parser.feed(chunk):
                items.extend(self._assembler.feed(data))
            return items
        except TRANSPORT_ERRORS as error:
            if self._assembler.is_text_whole:
                return [self._assembler.end("")]
            return [transport_failure(error, self._trace, STEP, self._peer)]


def _loop_s() -> float:
    return asyncio.get_running_loop().time()
