"""Callers of streams in a test world, and checks of their answers."""

from __future__ import annotations

import asyncio
import json

from _monsoonpulley.standins.generated_text import generate_words

from ..support import ALICE

PATH = "/v1/completions"
PROMPT = "the record of earlier work on the frame " * 8


class Stream:
    """A streamed request in progress and the parts of its body so far."""

    def __init__(self, world, entry="entry-1", tokens=60, prompt=PROMPT):
        self.tokens = tokens
        self.prompt = prompt
        self.disconnected = asyncio.Event()
        self._world = world
        body = {"model": "report", "prompt": prompt, "max_tokens": tokens}
        self._start(entry, "POST", PATH, {**body, "stream": True}, {})

    def _start(self, entry, method, path, body, headers):
        self.body_parts = []
        caller = self._world.caller(entry, ALICE)
        content = json.dumps(body).encode() if body else b""
        self.task = asyncio.create_task(
            caller.request(
                method,
                path,
                content,
                headers,
                self.body_parts.append,
                self.disconnected,
            )
        )

    async def wait_for_events(self, count):
        """Wait until ``count`` events were received or the stream has ended."""
        while (
            len(event_offsets(b"".join(self.body_parts))) < count
            and not self.task.done()
        ):
            await self._world.clock.sleep_ms(1)

    async def result(self):
        return await self.task


def resume(world, entry, event_id, method="POST", path=PATH, credential=ALICE):
    """Continue a stream after ``event_id``; return the caller's task."""
    caller = world.caller(entry, credential)
    headers = {"last-event-id": event_id} if event_id else {}
    return asyncio.create_task(caller.request(method, path, b"", headers))


def event_offsets(body):
    return [int(line.rpartition(":")[2]) for line in _lines(body, "id: ")]


def last_event_id(body):
    return _lines(body, "id: ")[-1]


def text(body):
    chunks = [json.loads(line) for line in _lines(body, "data: {", keep=1)]
    return "".join(
        choice.get("text", "") for chunk in chunks for choice in chunk["choices"]
    )


def is_done(body):
    return body.endswith(b"data: [DONE]\n\n")


def check_whole_answer(test, stream, body):
    """Check that ``body`` has each event of the answer once and in order."""
    test.assertEqual(event_offsets(body), list(range(stream.tokens)))
    words = generate_words(stream.prompt.split(), stream.tokens)
    test.assertEqual(text(body).split(), words)
    test.assertTrue(is_done(body))


def _lines(body, prefix, keep=0):
    cut = len(prefix) - keep
    lines = body.decode().splitlines()
    return [line[cut:] for line in lines if line.startswith(prefix)]
