"""Reading the JSON body of a generation."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from ..errors import Failure, Reason
from ..ids import ClassId

STEP = "gateway.generation"
DEFAULT_MAX_TOKENS = 16


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a stream."""

    include_usage: bool = False


class GenerationFields(msgspec.Struct, frozen=True):
    """The fields of a body that this system acts on; the rest passes through.

    ``model`` names the class of work, or the service if a header names the
    class.
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
        """Most tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS

    @property
    def includes_usage(self) -> bool:
        """Whether a stream ends with an event about usage."""
        return self.stream_options is not None and self.stream_options.include_usage


class GenerationBody(msgspec.Struct, frozen=True):
    """A body that can be served: its fields, and all of it."""

    fields: GenerationFields
    whole: dict[str, Any]


def parse_generation(body: bytes, path: str) -> GenerationBody | Failure:
    """Return the parsed body, or what is wrong with it."""
    try:
        whole = msgspec.json.decode(body)
        fields = msgspec.convert(whole, GenerationFields)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return _bad_request(f"the body is no valid request: {error}")
    if fields.n != 1:
        return _bad_request("'n' must be 1; send one request for each answer")
    if path.endswith("/chat/completions"):
        if not fields.messages:
            return _bad_request("'messages' must hold at least one message")
    elif not isinstance(fields.prompt, str) or not fields.prompt:
        return _bad_request("'prompt' must be a string that is not empty")
    return GenerationBody(fields, whole)


def requested_class_id(body: GenerationBody, class_header: str | None) -> ClassId:
    """Return the class that the header, or else the body, names."""
    return ClassId(class_header or body.fields.model)


def _bad_request(detail: str) -> Failure:
    return Failure(Reason.BAD_REQUEST, STEP, "", detail)
