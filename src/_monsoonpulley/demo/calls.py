"""HTTP callers of the demo."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from ..clock import Clock

REQUEST_TIMEOUT_S = 15


class StreamedAnswer(msgspec.Struct):
    """Streamed answer as received by the caller."""

    offsets: list[int] = []
    text: str = ""
    is_done: bool = False


class Answer(msgspec.Struct, frozen=True):
    """Complete answer and the time it took."""

    status: int
    outcome: str
    request_id: str
    is_repeated: bool
    body: bytes
    elapsed_ms: int


class DemoCaller:
    """Sends requests to one entry instance.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Carries the requests.
    base_url : str
        URL of the entry instance.
    credential : str
        Credential of the customer.
    clock : Clock
        Measures the time of answers.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        credential: str,
        clock: Clock,
    ):
        self._session = session
        self._base_url = base_url
        self._headers = {"authorization": f"Bearer {credential}"}
        self._clock = clock

    async def complete_chat(
        self, class_id: str, prompt: str, max_tokens: int
    ) -> Answer:
        """Request a chat completion without streaming."""
        body = _chat_body(class_id, prompt, max_tokens)
        return await self.post("/v1/chat/completions", body)

    async def post(self, path: str, body: dict, key: str = "") -> Answer:
        """Post JSON and return the complete answer."""
        headers = {**self._headers, "content-type": "application/json"}
        if key:
            headers["idempotency-key"] = f'"{key}"'
        started_ms = self._clock.now_ms()
        async with self._session.post(
            self._base_url + path, data=msgspec.json.encode(body), headers=headers
        ) as response:
            content = await response.read()
            return Answer(
                status=response.status,
                outcome=response.headers.get("x-outcome", ""),
                request_id=response.headers.get("x-request-id", ""),
                is_repeated=response.headers.get("x-repeated") == "true",
                body=content,
                elapsed_ms=self._clock.now_ms() - started_ms,
            )

    async def stream_chat(
        self,
        class_id: str,
        prompt: str,
        max_tokens: int,
        first_token_received: asyncio.Event,
    ) -> StreamedAnswer:
        """Stream a chat completion and set the event with its first token."""
        body = {**_chat_body(class_id, prompt, max_tokens), "stream": True}
        streamed = StreamedAnswer([], "", False)
        async with self._session.post(
            f"{self._base_url}/v1/chat/completions",
            data=msgspec.json.encode(body),
            headers=self._headers,
        ) as response:
            async for line in response.content:
                _parse_line(streamed, line.decode().strip())
                if streamed.offsets:
                    first_token_received.set()
        first_token_received.set()
        return streamed


def _chat_body(class_id: str, prompt: str, max_tokens: int) -> dict:
    message = {"role": "user", "content": prompt}
    return {"model": class_id, "messages": [message], "max_tokens": max_tokens}


def _parse_line(streamed: StreamedAnswer, line: str) -> None:
    if line.startswith("id: "):
        streamed.offsets.append(int(line.rpartition(":")[2]))
    elif line == "data: [DONE]":
        streamed.is_done = True
    elif line.startswith("data: "):
        chunk = msgspec.json.decode(line[len("data: ") :])
        for choice in chunk.get("choices", ()):
            streamed.text += choice["delta"].get("content", "")
