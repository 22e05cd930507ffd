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

MAX_PARTS = 4_096
"""Parts that are remembered: several times those in use on the users' sheets;
about 1 MB."""

MAX_HOLDERS = 16
"""Endpoints remembered for a part, the latest first."""

HOLDER_EXPIRY_MS = 60_000
"""After this long without use, engines have mostly evicted a part."""


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt: its id and length in tokens."""

    id: str
    tokens: int


class PromptCacheIndex:
    """Parts of prompts and the endpoints that have read them."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[EndpointId, int]] = OrderedDict()

    def record(
        self, parts: Iterable[PromptPart], endpoint: EndpointId, now_ms: int
    ) -> None:
        """Note that an endpoint reads these parts."""
        for part in parts:
            holders = self._holders.pop(part.id, None)
            if holders is None:
                holders = {}
            holders.pop(endpoint, None)
            holders[endpoint] = now_ms
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._holders[part.id] = holders
        while len(self._holders) > MAX_PARTS:
            self._holders.popitem(last=False)

    def remove_endpoint(self, endpoint: EndpointId) -> None:
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
        remaining = set(endpoints)
        if not remaining or not parts:
            return {}
        cached: dict[EndpointId, int] = {}
        # The last part is the request's own, the one before it its subject.
        subject = parts[max(0, len(parts) - 2)]
        preferred = preferred_endpoint(subject.id, remaining)
        for index, part in enumerate(parts):
            holders = self._holders.get(part.id, {})
            holder_ids = {
                e for e, ms in holders.items() if now_ms - ms < HOLDER_EXPIRY_MS
            }
            if index < len(parts) - 1:
                holder_ids.add(preferred)
            remaining &= holder_ids
            if not remaining:
                break
            for endpoint in remaining:
                cached[endpoint] = cached.get(endpoint, 0) + part.tokens
        return cached


def preferred_endpoint(key: str, endpoints: Iterable[EndpointId]) -> EndpointId:
    """Return the endpoint on which all instances agree for a key."""
    return max(endpoints, key=lambda endpoint: weight(endpoint, key))
