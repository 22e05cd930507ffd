"""Counting and hashing of prompt tokens, one per whitespace-separated word.

An entry instance has no tokenizer of the model, so its counts are estimates;
the engine stand-ins count in the same way, which makes tests exact.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import xxhash

BLOCK_TOKENS = 16
"""Prompt tokens in one block of the prefix cache."""

DEFAULT_MAX_TOKENS = 16
"""Limit of generated tokens where the body sets none."""


def prompt_words(body: dict[str, Any]) -> list[str]:
    """Return the words of a request's prompt, of all messages in order.

    Parts of the body with an unexpected type count as empty.
    """
    if "messages" in body:
        return _message_words(body["messages"])
    return _text_words(body.get("prompt"))


def _message_words(messages: Any) -> list[str]:
    words: list[str] = []
    if not isinstance(messages, list):
        return words
    for message in messages:
        if isinstance(message, dict):
            words.extend(_text_words(message.get("content")))
    return words


def _text_words(content: Any) -> list[str]:
    if isinstance(content, str):
        return content.split()
    words: list[str] = []
    if not isinstance(content, list):
        return words
    for part in content:
        if isinstance(part, str):
            words.extend(part.split())
        elif isinstance(part, int):
            words.append(str(part))
        elif isinstance(part, dict) and isinstance(part.get("text"), str):
            words.extend(part["text"].split())
    return words


def count_prompt_tokens(body: dict[str, Any]) -> int:
    """Return the number of prompt tokens of a request body."""
    return len(prompt_words(body))


def max_new_tokens(body: dict[str, Any]) -> int:
    """Return the body's limit of generated tokens."""
    for name in ("max_completion_tokens", "max_tokens"):
        value = body.get(name)
        if isinstance(value, int) and not isinstance(value, bool) and value >= 0:
            return value
    return DEFAULT_MAX_TOKENS


def block_hashes(
    words: Sequence[str], block_tokens: int = BLOCK_TOKENS
) -> tuple[int, ...]:
    """Return chained 64-bit hashes of the whole blocks of ``words``.

    Each hash covers its block and all blocks before it, so two prompts share
    a hash only where they share the whole prefix. An incomplete last block
    has no hash.
    """
    hashes = []
    chained = 0
    for end in range(block_tokens, len(words) + 1, block_tokens):
        text = "\0".join(words[end - block_tokens : end])
        # Callers may send lone surrogates, which strict UTF-8 can't encode.
        block = text.encode("utf-8", "surrogatepass")
        chained = xxhash.xxh3_64_intdigest(block, seed=chained)
        hashes.append(chained)
    return tuple(hashes)
