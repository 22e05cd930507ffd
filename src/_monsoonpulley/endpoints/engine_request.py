"""Request bodies that the HTTP adapter sends to engines."""

from __future__ import annotations

from typing import Any

from .engine import EngineCall
from .openai_wire import CHAT_PATH
from .tokens import DEFAULT_MAX_TOKENS

_TOKEN_LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


def unsupported_reason(call: EngineCall) -> str:
    """Return why the call can't run as one stream; empty if it can."""
    body = call.body
    if body.get("n") not in (None, 1) or body.get("best_of") not in (None, 1):
        return "only one choice is supported: leave out n and best_of"
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) != 1 and not _is_token_id_list(prompt):
        return "only one prompt is supported"
    if body.get("echo"):
        return "echo is not supported"
    if not _is_resumed(call):
        return ""
    if call.path == CHAT_PATH:
        is_resumable = isinstance(body.get("messages"), list)
    else:
        is_resumable = isinstance(_unwrap_prompt(prompt), str)
    return "" if is_resumable else "a prompt of this kind can't be resumed"


def remaining_tokens(call: EngineCall) -> int | None:
    """Return how many tokens may still be generated; ``None`` for no limit."""
    for name in _TOKEN_LIMIT_FIELDS:
        value = call.body.get(name)
        if isinstance(value, int) and not isinstance(value, bool):
            return value - call.tokens_so_far
    if call.path == CHAT_PATH:
        return None
    return DEFAULT_MAX_TOKENS - call.tokens_so_far


def request_body(call: EngineCall) -> dict[str, Any]:
    """Return the body of a streamed attempt, which continues earlier ones if any.

    The call must be one for which `unsupported_reason` is empty.
    """
    body = dict(call.body)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["priority"] = call.priority
    if not _is_resumed(call):
        return body
    _set_token_limit(body, remaining_tokens(call))
    if call.path == CHAT_PATH:
        _resume_chat(body, call.text_so_far)
    else:
        body["prompt"] = _unwrap_prompt(body["prompt"]) + call.text_so_far
    return body


def _is_resumed(call: EngineCall) -> bool:
    return call.tokens_so_far > 0


def _is_token_id_list(prompt: list[Any]) -> bool:
    return bool(prompt) and all(isinstance(item, int) for item in prompt)


def _unwrap_prompt(prompt: Any) -> Any:
    if isinstance(prompt, list) and len(prompt) == 1:
        return prompt[0]
    return prompt


def _set_token_limit(body: dict[str, Any], max_tokens: int | None) -> None:
    names = [name for name in _TOKEN_LIMIT_FIELDS if body.get(name) is not None]
    if max_tokens is None:
        return
    for name in names or ["max_tokens"]:
        body[name] = max_tokens


def _resume_chat(body: dict[str, Any], text: str) -> None:
    messages = list(body["messages"])
    last = messages[-1] if messages else None
    # The caller itself may have asked to continue its last message.
    if body.get("continue_final_message") and isinstance(last, dict):
        content = last.get("content")
        if isinstance(content, str):
            messages.pop()
            text = content + text
    messages.append({"role": "assistant", "content": text})
    body["messages"] = messages
    body["continue_final_message"] = True
    body["add_generation_prompt"] = False
