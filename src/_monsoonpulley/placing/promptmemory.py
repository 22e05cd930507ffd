"""Which endpoint has read which part of a prompt, as far as requests tell.

Answers for prompts that share long parts: a request goes where its parts were
read before. That is where this instance sent them, and where a rendezvous hash of
the request's subject puts them, which is the same on every instance: with many
instances, each sees a subject again too seldom to know by itself.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from ..ids import EndpointId
from ..peers.rendezvous import weight

MOST_PARTS = 4_096
"""Parts that are remembered: several times those in use on the users' sheets;
about 1 MB."""

MOST_HOLDERS = 16
"""Endpoints remembered for a part, the latest first."""

KEEP_MS = 60_000
"""After this long without use, engines have mostly evicted a part."""


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt: its id and length in tokens."""

    id: str
    tokens: int


class PromptMemory:
    """Parts of prompts and the endpoints that have read them."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[EndpointId, int]] = OrderedDict()

    def remember(
        self, parts: Iterable[PromptPart], endpoint: EndpointId, now_ms: int
    ) -> None:
        """Note that an endpoint reads these parts."""
        for part in parts:
            holders = self._holders.pop(part.id, None)
            if holders is None:
                holders = {}
            holders.pop(endpoint, None)
            holders[endpoint] = now_ms
            if len(holders) > MOST_HOLDERS:
                del holders[next(iter(holders))]
            self._holders[part.id] = holders
        while len(self._holders) > MOST_PARTS:
            self._holders.popitem(last=False)

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint whose memory is gone."""
        for holders in self._holders.values():
            holders.pop(endpoint, None)

    def cached_tokens(
        self,
        parts: tuple[PromptPart, ...],
        endpoints: Iterable[EndpointId],
        now_ms: int,
    ) -> dict[EndpointId, int]:
        """Return how many leading tokens each endpoint is thought to hold.

        Endpoints that hold none are left out.
        """
        alive = set(endpoints)
        if not alive or not parts:
            return {}
        cached: dict[EndpointId, int] = {}
        # The last part is the request's own, the one before it its subject.
        subject = parts[max(0, len(parts) - 2)]
        home = rendezvous(subject.id, alive)
        for index, part in enumerate(parts):
            holders = self._holders.get(part.id, {})
            found = {e for e, ms in holders.items() if now_ms - ms < KEEP_MS}
            if index < len(parts) - 1:
                found.add(home)
            alive &= found
            if not alive:
                break
            for endpoint in alive:
                cached[endpoint] = cached.get(endpoint, 0) + part.tokens
        return cached


def rendezvous(key: str, endpoints: Iterable[EndpointId]) -> EndpointId:
    """Return the endpoint on which all instances agree for a key."""
    return max(endpoints, key=lambda endpoint: weight(endpoint, key))
