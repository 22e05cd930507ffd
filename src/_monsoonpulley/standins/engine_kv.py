"""Exported and imported KV caches of an engine stand-in."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from ..ids import AttemptId
from .generated_text import text_state

MAX_PENDING_IMPORTS = 64
"""Bound on imported KV caches whose attempt hasn't started."""


class KvState(msgspec.Struct, frozen=True):
    """KV cache of a text's first words.

    Attributes
    ----------
    tokens : int
        Number of words.
    state : int
        Text state after these words, which identifies them.
    padding : bytes
        Zeros that give an export its size.
    """

    tokens: int
    state: int
    padding: bytes = b""

    @classmethod
    def from_words(cls, words: list[str], bytes_per_token: int) -> KvState:
        """Return the KV cache of ``words``."""
        padding = bytes(bytes_per_token * len(words))
        return cls(len(words), text_state(words), padding)

    def count_covered_words(self, words: list[str]) -> int:
        """Return how many leading words of a prompt the cache covers."""
        if self.tokens > len(words):
            return 0
        matches = text_state(words[: self.tokens]) == self.state
        return self.tokens if matches else 0


_decoder = msgspec.msgpack.Decoder(KvState)


def encode_kv(state: KvState) -> bytes:
    """Return a KV cache encoded for export."""
    return msgspec.msgpack.encode(state)


def decode_kv(data: bytes) -> KvState | None:
    """Return the KV cache of an export, or ``None`` if ``data`` is malformed."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


class ImportedKvCaches:
    """Imported KV caches, by the attempt that will start from them."""

    def __init__(self) -> None:
        self._states: OrderedDict[AttemptId, KvState] = OrderedDict()

    def add(self, attempt: AttemptId, state: KvState) -> None:
        """Add an import; beyond `MAX_PENDING_IMPORTS` the oldest is evicted."""
        self._states[attempt] = state
        while len(self._states) > MAX_PENDING_IMPORTS:
            self._states.popitem(last=False)

    def consume(self, attempt: AttemptId, words: list[str]) -> int:
        """Remove an attempt's import and return how many of ``words`` it covers."""
        state = self._states.pop(attempt, None)
        return state.count_covered_words(words) if state else 0

    def clear(self) -> None:
        """Remove all imports."""
        self._states.clear()
