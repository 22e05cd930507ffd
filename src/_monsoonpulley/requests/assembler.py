"""Joins the tokens of an answer's attempts in order, without duplicates."""

from __future__ import annotations

from collections.abc import Iterable

from ..endpoints.engine import Token
from ..ids import AttemptId

MAX_HELD_TOKENS = 256
"""Most out-of-order tokens held back for one answer; further ones are dropped."""


class StreamAssembler:
    """The text of one answer so far, and the offset of its next token.

    Tokens of an earlier attempt and tokens that were delivered already are
    dropped. A token that arrives early is held back until those before it arrive.

    Parameters
    ----------
    texts : iterable of str
        Texts of the tokens that were delivered earlier.

    Attributes
    ----------
    next_offset : int
        Offset of the next token to deliver.
    dropped_count : int
        Tokens dropped so far.
    """

    def __init__(self, texts: Iterable[str] = ()) -> None:
        self._texts: list[str] = list(texts)
        self.next_offset = len(self._texts)
        self.dropped_count = 0
        self._attempt: AttemptId | None = None
        self._held_tokens: dict[int, Token] = {}

    @property
    def text(self) -> str:
        """Text of all tokens delivered so far."""
        return "".join(self._texts)

    def texts_from(self, offset: int) -> list[str]:
        """Return the texts of the tokens from ``offset`` on."""
        return self._texts[offset:]

    def start_attempt(self, attempt: AttemptId) -> None:
        """Accept only tokens of ``attempt`` from now on."""
        self._attempt = attempt
        self._held_tokens.clear()

    def accept(self, token: Token) -> list[Token]:
        """Add a token; return the tokens that can be delivered now, in order."""
        if token.attempt_id != self._attempt or token.offset < self.next_offset:
            self.dropped_count += 1
            return []
        if token.offset > self.next_offset:
            self._hold_back(token)
            return []
        ready = [token]
        self._append(token)
        if not self._held_tokens:
            return ready
        while self.next_offset in self._held_tokens:
            held = self._held_tokens.pop(self.next_offset)
            self._append(held)
            ready.append(held)
        return ready

    def is_complete(self, completion_tokens: int) -> bool:
        """Return whether ``completion_tokens`` tokens were delivered."""
        return self.next_offset >= completion_tokens

    def _hold_back(self, token: Token) -> None:
        if len(self._held_tokens) >= MAX_HELD_TOKENS:
            self.dropped_count += 1
            return
        self._held_tokens[token.offset] = token

    def _append(self, token: Token) -> None:
        self._texts.append(token.text)
        self.next_offset += 1
