"""Decodes the events of an engine's stream into tokens and a result."""

from __future__ import annotations

from ..errors import Delivery, Failure, Reason
from .engine import EngineCall, Finished, Token
from .openai_wire import EngineChoice, Usage, parse_chunk
from .sse import DONE
from .tokens import count_prompt_tokens

StreamItem = Token | Finished | Failure

STEP = "engine.generate"

FAILURES = {
    "abort": (Reason.CANCELLED, "the engine gave up the request"),
    "error": (Reason.PEER_ERROR, "the engine failed, by its finish_reason"),
}
"""Failures by the finish reasons that engines give to answers they did not complete."""


class EngineStreamDecoder:
    """Decoder of one attempt's event stream, without I/O.

    Each event with text is one token. Events whose ``id`` differs from that of
    the first event belong to another attempt and are dropped.

    Parameters
    ----------
    call : EngineCall
        The attempt.
    peer : str
        Endpoint named in failures.
    """

    def __init__(self, call: EngineCall, peer: str):
        self._call = call
        self._peer = peer
        self._answer_id = ""
        self._finish_reason = ""
        self._usage: Usage | None = None
        self._token_count = 0
        self.dropped_count = 0

    @property
    def is_text_complete(self) -> bool:
        """Whether the engine has marked the text as complete."""
        return bool(self._finish_reason)

    def feed(self, data: bytes) -> list[StreamItem]:
        """Decode one event; return its tokens and, if it ends the stream, a result."""
        if data == DONE:
            return [self.end("the stream was done without a finish_reason")]
        chunk = parse_chunk(data)
        if chunk is None:
            return [self._protocol_failure("an event is no completion chunk")]
        if chunk.error is not None:
            return [self._failure(Reason.PEER_ERROR, str(chunk.error)[:200])]
        if self._is_of_other_attempt(chunk.id):
            self.dropped_count += 1
            return []
        self._usage = chunk.usage or self._usage
        items: list[StreamItem] = []
        for choice in chunk.choices:
            items.extend(self._decode_choice(choice))
        return items

    def end(self, detail: str) -> StreamItem:
        """Return the result of a stream that has no more events.

        ``detail`` says why it ended, for the failure if the text is incomplete.
        """
        if not self.is_text_complete:
            return self._failure(Reason.PEER_ERROR, detail)
        if self._finish_reason in FAILURES:
            return self._failure(*FAILURES[self._finish_reason])
        return self._make_finished()

    def _is_of_other_attempt(self, answer_id: str) -> bool:
        if not self._answer_id:
            self._answer_id = answer_id
        return bool(answer_id) and answer_id != self._answer_id

    def _decode_choice(self, choice: EngineChoice) -> list[StreamItem]:
        if not choice.is_supported:
            detail = "only the text of one choice is supported"
            return [self._protocol_failure(detail)]
        items: list[StreamItem] = []
        # The text beside such a reason may be the error's.
        text = "" if choice.finish_reason in FAILURES else choice.new_text
        if text and self.is_text_complete:
            return [self._protocol_failure("text came after the finish_reason")]
        if text:
            offset = self._call.tokens_so_far + self._token_count
            self._token_count += 1
            items.append(Token(self._call.attempt_id, offset, text))
        self._finish_reason = choice.finish_reason or self._finish_reason
        return items

    def _make_finished(self) -> Finished:
        earlier_tokens = self._call.tokens_so_far
        usage = self._usage
        if usage is None:
            usage = Usage(
                count_prompt_tokens(self._call.body) + earlier_tokens, self._token_count
            )
        details = usage.prompt_tokens_details
        return Finished(
            self._call.attempt_id,
            self._finish_reason,
            prompt_tokens=max(0, usage.prompt_tokens - earlier_tokens),
            completion_tokens=earlier_tokens + usage.completion_tokens,
            cached_tokens=details.cached_tokens if details else 0,
        )

    def _protocol_failure(self, detail: str) -> Failure:
        return self._failure(Reason.PROTOCOL, detail)

    def _failure(self, reason: Reason, detail: str) -> Failure:
        return Failure(reason, STEP, self._peer, detail, Delivery.MAYBE)
