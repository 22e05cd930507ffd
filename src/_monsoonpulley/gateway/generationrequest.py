"""Parsing of the JSON body of a generation."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from ..errors import Failure, Reason
from ..ids import ClassId

STEP = "gateway.generation"
DEFAULT_MAX_TOKENS = 16

MEMORY_BY_MARK = {
    b"{": 72,
    b"[": 72,
    b",": 40,
    b":": 100,
    b'"': 30,
}
"""Memory of what stands at a character of a JSON body once it is parsed: an empty list
or object, a number with its place in a list, a place in a table with its name, and half
of a text without its characters."""

WORD_BYTES = 64
"""Memory of a word of a prompt, with its place in the list of words."""


class StreamOptions(msgspec.Struct, frozen=True):
    """The ``stream_options`` object of a body."""

    include_usage: bool = False


class GenerationFields(msgspec.Struct, frozen=True):
    """Fields of a body that this system interprets; others are passed on.

    ``model`` names the class, or the service if a header names the class.
    """

    model: Annotated[str, Meta(min_length=1, max_length=200)]
    messages: list[dict[str, Any]] | None = None
    prompt: str | list[str] | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: int = 1
    max_tokens: Annotated[int, Meta(ge=1)] | None = None
    max_completion_tokens: Annotated[int, Meta(ge=1)] | None = None

    @property
    def token_limit(self) -> int:
        """Maximum number of tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS

    @property
    def includes_usage(self) -> bool:
        """Whether a stream ends with an event of token counts."""
        return self.stream_options is not None and self.stream_options.include_usage


class GenerationBody(msgspec.Struct, frozen=True):
    """A valid body: its parsed fields, and the whole object."""

    fields: GenerationFields
    json_object: dict[str, Any]


def parsed_bytes(body: bytes) -> int:
    """Return the memory that the values of a JSON body take once parsed, about."""
    marks = MEMORY_BY_MARK.items()
    return len(body) + sum(size * body.count(mark) for mark, size in marks)


def words_bytes(body: bytes) -> int:
    """Return the memory that the words of a prompt take while it is analysed."""
    return WORD_BYTES * (body.count(b" ") + body.count(b"\\"))


def parse_generation(body: bytes, path: str) -> GenerationBody | Failure:
    """Return the parsed body, or a failure if it is not valid."""
    try:
        json_object = msgspec.json.decode(body)
        fields = msgspec.convert(json_object, GenerationFields)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _bad_request(f"the body is not a valid request: {error}")
    if fields.n != 1:
        return _bad_request("'n' must be 1; send a separate request for each choice")
    if path.endswith("/chat/completions"):
        if not fields.messages:
            return _bad_request("'messages' must contain at least one message")
    elif not isinstance(fields.prompt, str) or not fields.prompt:
        return _bad_request("'prompt' must be a non-empty string")
    return GenerationBody(fields, json_object)


def requested_class_id(body: GenerationBody, class_header: str | None) -> ClassId:
    """Return the class named by the header or, without one, by the body."""
    return ClassId(class_header or body.fields.model)


def _bad_request(detail: str) -> Failure:
    return Failure(Reason.BAD_REQUEST, STEP, "", detail)
