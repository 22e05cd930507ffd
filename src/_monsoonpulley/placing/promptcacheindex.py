"""Index of the prompt parts that each endpoint presumably has in its prompt cache.

Requests with common prompt parts should go to the endpoints that have cached them.
These are the endpoints to which this instance sent the parts, and the preferred
endpoint of the request's subject. The latter is chosen by rendezvous hashing, which
agrees on all instances: with many instances, each of them sees the same subject too
seldom to learn its endpoint alone.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from ..ids import EndpointId
from ..peers.rendezvous import weight

MAX_PARTS = 4_096
"""Bound on the parts in the index: several times the number in use in the users'
deployments; about 1 MB."""

MAX_HOLDERS = 16
"""Bound on the endpoints recorded for a part; the oldest is removed first."""

HOLDER_EXPIRY_MS = 60_000
"""Most engines have evicted a part that was not used for this long."""


class PromptPart(msgspec.Struct, frozen=True):
    """Id and length in tokens of a part of a prompt."""

    id: str
    tokens: int


class PromptCacheIndex:
    """Endpoints that have prefilled each prompt part, with the time of last use."""

    def __init__(self) -> None:
        self._holders: OrderedDict[str, dict[EndpointId, int]] = OrderedDict()

    def record(
        self, parts: Iterable[PromptPart], endpoint: EndpointId, now_ms: int
    ) -> None:
        """Record that an endpoint prefills these parts."""
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
        """Remove an endpoint whose prompt cache is lost."""
        for holders in self._holders.values():
            holders.pop(endpoint, None)

    def cached_tokens(
        self,
        parts: tuple[PromptPart, ...],
        endpoints: Iterable[EndpointId],
        now_ms: int,
    ) -> dict[EndpointId, int]:
        """Return the number of leading prompt tokens cached at each endpoint.

        Endpoints without cached tokens are left out.
        """
        remaining = set(endpoints)
        if not remaining or not parts:
            return {}
        cached: dict[EndpointId, int] = {}
        # The last part belongs to the request alone; the one before is its subject.
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
    """Return the endpoint for a key by rendezvous hashing."""
    return max(endpoints, key=lambda endpoint: weight(endpoint, key))
