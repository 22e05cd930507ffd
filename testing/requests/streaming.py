"""Callers of streams in a test world, and what their answers must be."""

from __future__ import annotations

import asyncio
import json

from _monsoonpulley.standins.generated_text import whole_text

from ..support import ALICE

PATH = "/v1/completions"
PROMPT = "the record of earlier work on the frame " * 8


class Stream:
    """A streamed report in progress."""

    def __init__(self, world, entry="entry-1", tokens=60, prompt=PROMPT):
        self.tokens = tokens
        self.prompt = prompt
        self.leave = asyncio.Event()
        self._world = world
        body = {"model": "report", "prompt": prompt, "max_tokens": tokens}
        self._begin(entry, "POST", PATH, {**body, "stream": True}, {})

    def _begin(self, entry, method, path, body, headers):
        self.parts = []
        caller = self._world.caller(entry, ALICE)
        content = json.dumps(body).encode() if body else b""
        self.task = asyncio.create_task(
            caller.request(
                method, path, content, headers, self.parts.append, self.leave
            )
        )

    async def until(self, events):
        """Wait until so many events have come."""
        while len(offsets(b"".join(self.parts))) < events and not self.task.done():
            await self._world.clock.sleep_ms(1)

    async def result(self):
        return await self.task


def resume(world, entry, event_id, method="POST", path=PATH, credential=ALICE):
    """Continue a stream; return the caller's task."""
    caller = world.caller(entry, credential)
    headers = {"last-event-id": event_id} if event_id else {}
    return asyncio.create_task(caller.request(method, path, b"", headers))


def offsets(body):
    return [int(line.rpartition(":")[2]) for line in _lines(body, "id: ")]


def last_id(body):
    return _lines(body, "id: ")[-1]


def text(body):
    chunks = [json.loads(line) for line in _lines(body, "data: {", keep=1)]
    return "".join(
        choice.get("text", "") for chunk in chunks for choice in chunk["choices"]
    )


def is_done(body):
    return body.endswith(b"data: [DONE]\n\n")


def check_whole(test, stream, body):
    """Check that ``body`` is the whole answer, each event once and in order."""
    test.assertEqual(offsets(body), list(range(stream.tokens)))
    words = whole_text(stream.prompt.split(), stream.tokens)
    test.assertEqual(text(body).split(), words)
    test.assertTrue(is_done(body))


def _lines(body, start, keep=0):
    cut = len(start) - keep
    lines = body.decode().splitlines()
    return [line[cut:] for line in lines if line.startswith(start)]
