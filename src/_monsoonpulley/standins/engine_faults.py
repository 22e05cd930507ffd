"""Faults of an engine stand-in that tests turn on and off."""

from __future__ import annotations

import random
from collections import defaultdict

from ..endpoints.engine import Token
from ..ids import RequestId


class LateTokens:
    """Late tokens of abandoned attempts, shared by the engines of a test.

    An engine that cancels an attempt adds the tokens that it generated before
    the cancel arrived. The stream of the request's next attempt, on any engine
    that shares this object, delivers them between its own, out of order.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._tokens: dict[RequestId, list[Token]] = defaultdict(list)

    def add(self, request: RequestId, tokens: list[Token]) -> None:
        """Add the late tokens of an abandoned attempt."""
        self._tokens[request].extend(tokens)
        self._rng.shuffle(self._tokens[request])

    def pop(self, request: RequestId) -> Token | None:
        """Remove and return a late token of an earlier attempt, if any."""
        tokens = self._tokens.get(request)
        return tokens.pop() if tokens else None


class EngineFaults:
    """Active faults of one engine.

    Attributes
    ----------
    hang_after_tokens : int or None
        Streams hang, without an end, after this many tokens of the attempt.
    late_tokens : LateTokens or None
        Late tokens of abandoned attempts; ``None`` turns this fault off.
    late_token_count : int
        Late tokens per abandoned attempt.
    """

    def __init__(self) -> None:
        self.hang_after_tokens: int | None = None
        self.late_tokens: LateTokens | None = None
        self.late_token_count = 3

    def hangs(self, generated: int) -> bool:
        """Return whether a stream hangs after ``generated`` tokens."""
        limit = self.hang_after_tokens
        return limit is not None and generated >= limit

    def pop_late_token(self, request: RequestId) -> Token | None:
        """Remove and return a late token of an earlier attempt, if any."""
        return self.late_tokens.pop(request) if self.late_tokens else None
