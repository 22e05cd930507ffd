"""Faults of an engine stand-in that a test switches on and off."""

from __future__ import annotations

import random
from collections import defaultdict

from ..endpoints.engine import Token
from ..ids import RequestId


class StrayTokens:
    """Late tokens of abandoned attempts, shared by engines of a test.

    An engine that cancels an attempt puts tokens here that it generated before
    the cancellation took effect. The next attempt's stream of the same request,
    on any engine that shares this object, receives them in between its own and
    out of order.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._tokens: dict[RequestId, list[Token]] = defaultdict(list)

    def put(self, request: RequestId, tokens: list[Token]) -> None:
        """Store the late tokens of an abandoned attempt."""
        self._tokens[request].extend(tokens)
        self._rng.shuffle(self._tokens[request])

    def pop(self, request: RequestId) -> Token | None:
        """Return one late token of an earlier attempt, if there is one."""
        tokens = self._tokens.get(request)
        return tokens.pop() if tokens else None


class EngineFaults:
    """Faults that are in force on one engine.

    Attributes
    ----------
    hang_after_tokens : int or None
        Streams stop without an end after this many tokens of the attempt.
    strays : StrayTokens or None
        Where late tokens of abandoned attempts go and come from.
    stray_count : int
        Late tokens per abandoned attempt.
    """

    def __init__(self) -> None:
        self.hang_after_tokens: int | None = None
        self.strays: StrayTokens | None = None
        self.stray_count = 3

    def is_hung(self, generated: int) -> bool:
        """Return whether a stream that has had so many tokens gets no more."""
        limit = self.hang_after_tokens
        return limit is not None and generated >= limit

    def pop_stray(self, request: RequestId) -> Token | None:
        """Return a late token of an earlier attempt, if one is to be given."""
        return self.strays.pop(request) if self.strays else None
