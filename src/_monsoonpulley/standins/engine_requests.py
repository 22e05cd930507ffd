"""Parses HTTP requests to an engine stand-in into calls."""

from __future__ import annotations

from typing import Any

from ..endpoints.engine import EngineCall
from ..endpoints.openai_wire import CHAT_PATH
from ..ids import AttemptId, RequestId

NO_TIMEOUT_MS = 86_400_000
"""One day: over HTTP the client bounds the time, not the stand-in."""

_TOKEN_LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


def read_call(
    path: str, body: dict[str, Any], request: str, attempt: str
) -> EngineCall:
    """Return the call of an HTTP request.

    A chat that continues its final message resumes after it, and its token
    limit counts from there. A completion doesn't mark where its text so far
    starts, so that text is part of the prompt.
    """
    priority = body.get("priority", 0)
    fields: dict[str, Any] = {
        "priority": priority if isinstance(priority, int) else 0,
        "first_token_timeout_ms": NO_TIMEOUT_MS,
        "token_timeout_ms": NO_TIMEOUT_MS,
    }
    if path == CHAT_PATH and body.get("continue_final_message"):
        body, text = _split_final_message(body)
        fields["text_so_far"] = text
        fields["tokens_so_far"] = len(text.split())
    return EngineCall(RequestId(request), AttemptId(attempt), path, body, **fields)


def _split_final_message(body: dict[str, Any]) -> tuple[dict[str, Any], str]:
    messages = body.get("messages")
    last = messages[-1] if isinstance(messages, list) and messages else None
    content = last.get("content") if isinstance(last, dict) else None
    if not isinstance(content, str):
        return body, ""
    shortened_body = dict(body)
    shortened_body["messages"] = messages[:-1]
    for name in _TOKEN_LIMIT_FIELDS:
        if isinstance(shortened_body.get(name), int):
            shortened_body[name] += len(content.split())
    return shortened_body, content
