"""JSON formats of OpenAI-compatible completions, written and read.

`AnswerWriter` builds answers. `parse_chunk` reads the events that engines
send, with only the fields that the system uses.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..errors import MALFORMED_ERRORS
from .engine import Finished

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"


class PromptDetails(msgspec.Struct, frozen=True):
    """Breakdown of the prompt tokens."""

    cached_tokens: int = 0


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0
    prompt_tokens_details: PromptDetails | None = None

    @classmethod
    def from_finished(cls, finished: Finished) -> Usage:
        """Return the usage of a finished generation."""
        return cls(
            finished.prompt_tokens,
            finished.completion_tokens,
            finished.prompt_tokens + finished.completion_tokens,
            PromptDetails(finished.cached_tokens),
        )


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """Increment of a streamed chat answer."""

    role: str | None = None
    content: str | None = None


class ChatChunkChoice(msgspec.Struct, frozen=True):
    """The one choice of a `ChatChunk`."""

    delta: Delta
    finish_reason: str | None = None
    index: int = 0


class ChatChunk(msgspec.Struct, frozen=True):
    """One event of a chat stream."""

    id: str
    created: int
    model: str
    choices: tuple[ChatChunkChoice, ...]
    usage: Usage | None = None
    object: str = "chat.completion.chunk"


class Message(msgspec.Struct, frozen=True):
    """A whole chat answer."""

    content: str
    role: str = "assistant"


class ChatChoice(msgspec.Struct, frozen=True):
    """The one choice of a `ChatCompletion`."""

    message: Message
    finish_reason: str
    index: int = 0


class ChatCompletion(msgspec.Struct, frozen=True):
    """A chat answer that is not streamed."""

    id: str
    created: int
    model: str
    choices: tuple[ChatChoice, ...]
    usage: Usage
    object: str = "chat.completion"


class TextChoice(msgspec.Struct, frozen=True):
    """The one choice of a `TextCompletion`."""

    text: str
    finish_reason: str | None = None
    index: int = 0
    logprobs: None = None


class TextCompletion(msgspec.Struct, frozen=True):
    """A completion, or one event of its stream."""

    id: str
    created: int
    model: str
    choices: tuple[TextChoice, ...]
    usage: Usage | None = None
    object: str = "text_completion"


class AnswerWriter:
    """Builder of the JSON of one answer, streamed or whole.

    Parameters
    ----------
    path : str
        Route, which determines the format.
    answer_id : str
        The ``id`` in each object.
    created_s : int
        Seconds since the Unix epoch.
    model : str
        Name of the model as the caller gave it.
    """

    def __init__(self, path: str, answer_id: str, created_s: int, model: str):
        self._is_chat = path == CHAT_PATH
        self._common_fields = (answer_id, created_s, model)

    def opening_event(self) -> bytes | None:
        """Return the event before the first token; ``None`` unless it is a chat."""
        if not self._is_chat:
            return None
        return self._chunk(Delta(role="assistant", content=""), "", None)

    def token_event(self, text: str) -> bytes:
        """Return the event of one or more tokens."""
        return self._chunk(Delta(content=text), text, None)

    def finish_event(self, finish_reason: str) -> bytes:
        """Return the event that ends the text."""
        return self._chunk(Delta(), "", finish_reason)

    def usage_event(self, finished: Finished) -> bytes:
        """Return the event with the token counts."""
        usage = Usage.from_finished(finished)
        kind = ChatChunk if self._is_chat else TextCompletion
        return msgspec.json.encode(kind(*self._common_fields, (), usage))

    def whole_answer(self, text: str, finished: Finished) -> bytes:
        """Return the body of an answer that is not streamed."""
        usage = Usage.from_finished(finished)
        if self._is_chat:
            choice = ChatChoice(Message(text), finished.finish_reason)
            return msgspec.json.encode(
                ChatCompletion(*self._common_fields, (choice,), usage)
            )
        choice = TextChoice(text, finished.finish_reason)
        return msgspec.json.encode(
            TextCompletion(*self._common_fields, (choice,), usage)
        )

    def _chunk(self, delta: Delta, text: str, finish_reason: str | None) -> bytes:
        if self._is_chat:
            choice = ChatChunkChoice(delta, finish_reason)
            return msgspec.json.encode(ChatChunk(*self._common_fields, (choice,)))
        choice = TextChoice(text, finish_reason)
        return msgspec.json.encode(TextCompletion(*self._common_fields, (choice,)))


class ErrorDetail(msgspec.Struct, frozen=True):
    """Error in the format that OpenAI clients read."""

    message: str
    type: str
    code: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    error: ErrorDetail


class EngineDelta(msgspec.Struct, frozen=True):
    """Delta in an engine's event."""

    content: str | None = None
    reasoning_content: str | None = None
    tool_calls: list[Any] | None = None


class EngineChoice(msgspec.Struct, frozen=True):
    """Choice in an engine's event, of either route."""

    index: int = 0
    text: str | None = None
    delta: EngineDelta | None = None
    finish_reason: str | None = None

    @property
    def new_text(self) -> str:
        """Text that the choice adds."""
        if self.delta is not None:
            return self.delta.content or ""
        return self.text or ""

    @property
    def is_supported(self) -> bool:
        """Whether it is the first choice and carries nothing but text."""
        delta = self.delta
        if self.index != 0:
            return False
        return delta is None or not (delta.tool_calls or delta.reasoning_content)


class EngineChunk(msgspec.Struct, frozen=True):
    """Event of an engine's stream, of either route."""

    id: str = ""
    choices: list[EngineChoice] = []
    usage: Usage | None = None
    error: Any = None


_chunk_decoder = msgspec.json.Decoder(EngineChunk)


def parse_chunk(data: bytes) -> EngineChunk | None:
    """Return an engine's event, ``None`` if it is malformed."""
    try:
        return _chunk_decoder.decode(data)
    except MALFORMED_ERRORS:
        return None
