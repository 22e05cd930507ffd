"""Builds the digests of one instance: what changed, or all of it."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..ids import EndpointId, ServiceId, VersionId
from .digest import Digest, LoadItem, TrippedVersion

FULL_INTERVAL_MS = 30_000
KEEP_LEAVING_MS = 120_000
"""How long full digests and summaries repeat that an endpoint leaves."""

MAX_LEAVING = 2_000
MAX_TRIPPED = 200


class UrgentItems:
    """What must spread at once: leaving endpoints and tripped versions."""

    def __init__(self) -> None:
        self._leaving: dict[EndpointId, int] = {}
        self._tripped: dict[tuple[ServiceId, VersionId], TrippedVersion] = {}
        self._unsent_leaving: set[EndpointId] = set()
        self._unsent_tripped: set[tuple[ServiceId, VersionId]] = set()

    def add_leaving(
        self, endpoint: EndpointId, now_ms: int, *, pass_on: bool = True
    ) -> bool:
        """Note a leaving endpoint; return whether that was news.

        ``pass_on`` says whether the next digest tells it.
        """
        if endpoint in self._leaving:
            return False
        self._leaving[endpoint] = now_ms
        if pass_on:
            self._unsent_leaving.add(endpoint)
        return True

    def add_tripped(self, item: TrippedVersion, *, pass_on: bool = True) -> bool:
        """Note a change of a version; return whether that was news."""
        key = (item.service, item.version)
        known = self._tripped.get(key)
        if known is not None and known.since_wall_ms >= item.since_wall_ms:
            return False
        self._tripped[key] = item
        if pass_on:
            self._unsent_tripped.add(key)
        return True

    def has_news(self) -> bool:
        """Return whether there is anything that no digest had yet."""
        return bool(self._unsent_leaving or self._unsent_tripped)

    def all_leaving(self, now_ms: int) -> tuple[EndpointId, ...]:
        """Return the endpoints that lately began to leave."""
        for endpoint, since_ms in list(self._leaving.items()):
            if now_ms - since_ms > KEEP_LEAVING_MS:
                del self._leaving[endpoint]
                self._unsent_leaving.discard(endpoint)
        return tuple(sorted(self._leaving)[:MAX_LEAVING])

    def all_tripped(self) -> tuple[TrippedVersion, ...]:
        """Return the newest item of each version."""
        newest = sorted(self._tripped.values(), key=lambda item: -item.since_wall_ms)
        return tuple(newest[:MAX_TRIPPED])

    def take_news(
        self,
    ) -> tuple[tuple[EndpointId, ...], tuple[TrippedVersion, ...]]:
        """Return what no digest had yet, and take it as sent."""
        leaving = tuple(sorted(self._unsent_leaving))[:MAX_LEAVING]
        tripped = tuple(self._tripped[key] for key in sorted(self._unsent_tripped))
        self._unsent_leaving.difference_update(leaving)
        self._unsent_tripped.clear()
        return leaving, tripped


class DigestBuilder:
    """Builds digests that hold what changed since the one before.

    Parameters
    ----------
    urgent : UrgentItems
        Leaving endpoints and tripped versions.
    """

    def __init__(self, urgent: UrgentItems):
        self._urgent = urgent
        self._sent_loads: dict[int, LoadItem] = {}
        self._full_due_ms = 0
        self._previous_seq = 0

    def want_full(self) -> None:
        """Make the next regular digest a full one."""
        self._full_due_ms = 0

    def build(
        self,
        head: Digest,
        loads: Iterable[LoadItem],
        seq: int,
        now_ms: int,
    ) -> Digest:
        """Return the next digest.

        Parameters
        ----------
        head : Digest
            State, number, zone, change token and address of this instance.
        loads : iterable of LoadItem
            Newest load of each endpoint that this instance reports on.
        seq : int
            Sequence number that the digest will have.
        """
        is_full = now_ms >= self._full_due_ms
        by_key = {item.key: item for item in loads}
        leaving, tripped = self._urgent.take_news()
        if is_full:
            self._full_due_ms = now_ms + FULL_INTERVAL_MS
            leaving = self._urgent.all_leaving(now_ms)
            tripped = self._urgent.all_tripped()
            changed = tuple(by_key.values())
        else:
            changed = tuple(
                item for key, item in by_key.items() if self._is_changed(key, item)
            )
        self._sent_loads = by_key
        previous_seq, self._previous_seq = self._previous_seq, seq
        return msgspec.structs.replace(
            head,
            previous_seq=previous_seq,
            is_full=is_full,
            loads=changed,
            leaving=leaving,
            tripped=tripped,
            zone=head.zone if is_full else "",
            change_token=head.change_token if is_full else "",
            address=head.address if is_full else "",
        )

    def _is_changed(self, key: int, item: LoadItem) -> bool:
        sent = self._sent_loads.get(key)
        if sent is None:
            return True
        return msgspec.structs.replace(sent, age_ms=item.age_ms) != item
