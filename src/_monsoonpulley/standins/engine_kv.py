"""Exported KV cache of an engine stand-in."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from ..ids import AttemptId
from .generated_text import text_state

MAX_PENDING_IMPORTS = 64
"""Imported KV caches that wait for their attempt."""


class KvState(msgspec.Struct, frozen=True):
    """KV cache of the first ``tokens`` words, named by their text state."""

    tokens: int
    state: int
    padding: bytes = b""

    @classmethod
    def from_words(cls, words: list[str], bytes_per_token: int) -> KvState:
        """Return the KV cache of ``words``."""
        padding = bytes(bytes_per_token * len(words))
        return cls(len(words), text_state(words), padding)

    def count_covered_words(self, words: list[str]) -> int:
        """Return how many leading words of a prompt it has."""
        if self.tokens > len(words):
            return 0
        matches = text_state(words[: self.tokens]) == self.state
        return self.tokens if matches else 0


_decoder = msgspec.msgpack.Decoder(KvState)


def encode_kv(state: KvState) -> bytes:
    """Return the bytes of an export."""
    return msgspec.msgpack.encode(state)


def decode_kv(data: bytes) -> KvState | None:
    """Return an export's state, or ``None`` for bytes that are none."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


class ImportedKvCaches:
    """Imported KV caches by the attempt that will start from them."""

    def __init__(self) -> None:
        self._states: OrderedDict[AttemptId, KvState] = OrderedDict()

    def add(self, attempt: AttemptId, state: KvState) -> None:
        """Keep an import; the oldest goes when there are too many."""
        self._states[attempt] = state
        while len(self._states) > MAX_PENDING_IMPORTS:
            self._states.popitem(last=False)

    def consume(self, attempt: AttemptId, words: list[str]) -> int:
        """Return how many words the attempt's import covers, and use it up."""
        state = self._states.pop(attempt, None)
        return state.count_covered_words(words) if state else 0

    def clear(self) -> None:
        """Forget all imports."""
        self._states.clear()
