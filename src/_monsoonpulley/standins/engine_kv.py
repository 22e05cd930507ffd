"""Exported KV cache of an engine stand-in."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from ..ids import AttemptId
from .generated_text import text_state

MAX_IMPORTS = 64
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

    def matching_tokens(self, words: list[str]) -> int:
        """Return how many leading words of a prompt it contains."""
        if self.tokens > len(words):
            return 0
        matches = text_state(words[: self.tokens]) == self.state
        return self.tokens if matches else 0


_decoder = msgspec.msgpack.Decoder(KvState)


def encode_kv(state: KvState) -> bytes:
    """Return the bytes of an export."""
    return msgspec.msgpack.encode(state)


def decode_kv(data: bytes) -> KvState | None:
    """Return an export's state, or ``None`` if the bytes are not an export."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


class Imports:
    """Imported KV caches by the attempt that will start from them."""

    def __init__(self) -> None:
        self._states: OrderedDict[AttemptId, KvState] = OrderedDict()

    def put(self, attempt: AttemptId, state: KvState) -> None:
        """Store an import; evict the oldest beyond `MAX_IMPORTS`."""
        self._states[attempt] = state
        while len(self._states) > MAX_IMPORTS:
            self._states.popitem(last=False)

    def pop_tokens(self, attempt: AttemptId, words: list[str]) -> int:
        """Return the prompt tokens in the attempt's import, and remove it."""
        state = self._states.pop(attempt, None)
        return state.matching_tokens(words) if state else 0

    def clear(self) -> None:
        """Remove all imports."""
        self._states.clear()
