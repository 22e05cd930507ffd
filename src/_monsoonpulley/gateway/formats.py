"""Response bodies of generations in the format of the OpenAI API.

Streams are server-sent events whose id is ``request id:offset``; a caller resumes
a stream by sending the id of the last event that it received.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..endpoints.engine import Finished, Token
from ..ids import ClassId, RequestId
from ..outcome import Outcome
from ..registry import Registry

DONE_EVENT = b"data: [DONE]\n\n"

CHAT_FIRST_HEAD = b'{"index":0,"delta":{"role":"assistant","content":'
CHAT_HEAD = b'{"index":0,"delta":{"content":'
CHAT_TAIL = b'},"finish_reason":null}]}\n\n'
TEXT_HEAD = b'{"index":0,"text":'
TEXT_TAIL = b',"finish_reason":null}]}\n\n'

_encode = msgspec.json.Encoder().encode


class Usage(msgspec.Struct, frozen=True):
    """Token counts of a generation."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ResponseExtension(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that this system adds to the last chunk and to whole answers."""

    request_id: str
    class_id: str = msgspec.field(name="class")
    outcome: str


class Format:
    """Encoder of one generation's response body.

    Parameters
    ----------
    request_id : RequestId
        Request id; also the ``id`` of the completion.
    class_id : ClassId
        Class of the request; also the ``model`` of the completion.
    created_s : int
        Creation time in seconds since the Unix epoch.
    """

    object_name = ""
    chunk_object_name = ""

    def __init__(self, request_id: RequestId, class_id: ClassId, created_s: int):
        self._request_id = request_id
        self._class_id = class_id
        self._created_s = created_s
        head = self._head(self.chunk_object_name)
        chunk_head = msgspec.json.encode(head)[:-1] + b',"choices":['
        self._event_head = b"\ndata: " + chunk_head
        self._id_head = f"id: {request_id}:".encode()

    def token_event(self, token: Token) -> bytes:
        """Return the event of one token."""
        head, tail = self._token_head_and_tail(token.offset == 0)
        return b"%b%d%b%b%b%b" % (
            self._id_head,
            token.offset,
            self._event_head,
            head,
            _encode(token.text),
            tail,
        )

    def finish_event(self, finished: Finished) -> bytes:
        """Return the event with the finish reason."""
        choice = {"index": 0, "finish_reason": finished.finish_reason}
        choice.update(self._empty_choice())
        body = self._head(self.chunk_object_name)
        body["choices"] = [choice]
        body["monsoonpulley"] = self._extension()
        return sse_event(body)

    def usage_event(self, finished: Finished) -> bytes:
        """Return the event with token counts, sent if the caller asked for it."""
        body = self._head(self.chunk_object_name)
        body["choices"] = []
        body["usage"] = usage_of(finished)
        return sse_event(body)

    def whole_body(self, texts: Sequence[str], finished: Finished) -> bytes:
        """Return the body of a response that is not streamed."""
        choice = {"index": 0, "finish_reason": finished.finish_reason}
        choice.update(self._whole_choice("".join(texts)))
        body = self._head(self.object_name)
        body["choices"] = [choice]
        body["usage"] = usage_of(finished)
        body["monsoonpulley"] = self._extension()
        return msgspec.json.encode(body)

    def _head(self, object_name: str) -> dict:
        return {
            "id": self._request_id,
            "object": object_name,
            "created": self._created_s,
            "model": self._class_id,
        }

    def _extension(self) -> ResponseExtension:
        return ResponseExtension(
            request_id=self._request_id,
            class_id=self._class_id,
            outcome=Outcome.DONE.value,
        )

    def _token_head_and_tail(self, is_first: bool) -> tuple[bytes, bytes]:
        """Return the JSON before and after the text in a token's event."""
        raise NotImplementedError

    def _empty_choice(self) -> dict:
        raise NotImplementedError

    def _whole_choice(self, text: str) -> dict:
        raise NotImplementedError


formats: Registry[type[Format]] = Registry("generation path")


@formats.register("/v1/chat/completions")
class ChatFormat(Format):
    """Encoder of chat completions."""

    object_name = "chat.completion"
    chunk_object_name = "chat.completion.chunk"

    def _token_head_and_tail(self, is_first: bool) -> tuple[bytes, bytes]:
        return (CHAT_FIRST_HEAD if is_first else CHAT_HEAD), CHAT_TAIL

    def _empty_choice(self) -> dict:
        return {"delta": {}}

    def _whole_choice(self, text: str) -> dict:
        return {"message": {"role": "assistant", "content": text}}


@formats.register("/v1/completions")
class TextFormat(Format):
    """Encoder of plain text completions."""

    object_name = "text_completion"
    chunk_object_name = "text_completion"

    def _token_head_and_tail(self, is_first: bool) -> tuple[bytes, bytes]:
        return TEXT_HEAD, TEXT_TAIL

    def _empty_choice(self) -> dict:
        return {"text": ""}

    def _whole_choice(self, text: str) -> dict:
        return {"text": text}


def usage_of(finished: Finished) -> Usage:
    """Return the token counts of a finished generation."""
    prompt = finished.prompt_tokens
    completion = finished.completion_tokens
    return Usage(prompt, completion, prompt + completion)


def sse_event(body: object) -> bytes:
    """Return a server-sent event without an id."""
    return b"data: " + msgspec.json.encode(body) + b"\n\n"
