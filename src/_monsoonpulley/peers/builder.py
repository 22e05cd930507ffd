"""Builds full and incremental digests of one instance."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, TypeVar

import msgspec

from ..ids import EndpointId, InstanceId, ServiceId, VersionId
from .digest import (
    CanaryResult,
    Digest,
    LeavingMember,
    LoadItem,
    QuarantineItem,
    TrippedVersion,
    UrgentBody,
)

FULL_DIGEST_INTERVAL_MS = 30_000
LEAVING_RETENTION_MS = 120_000
"""How long full digests and summaries repeat what is leaving."""

MAX_LEAVING_ITEMS = 2_000
MAX_TRIPPED_ITEMS = 200

RESULT_RETENTION_MS = 10_000
"""How long full digests and summaries repeat results of canaries: a few times the 3 s
within which a bad version must be stopped."""

MAX_RESULT_ITEMS = 200
"""A canary with 4% of 1,000 requests per second gives 40 results per digest, at one
digest per second."""

MAX_QUARANTINE_ITEMS = 20
"""A report of a crash has up to 40 requests, about 4 KB."""

K = TypeVar("K")
V = TypeVar("V")


class UrgentTable(Generic[K, V]):
    """Items by key, with the keys that have not been sent in a digest."""

    def __init__(self) -> None:
        self._items: dict[K, tuple[V, int]] = {}
        self._unsent: set[K] = set()

    def get(self, key: K) -> V | None:
        """Return the item with a key, None if there is none."""
        found = self._items.get(key)
        return found[0] if found else None

    def put(self, key: K, item: V, now_ms: int, forward: bool) -> None:
        """Add an item; with ``forward`` the next digest sends it."""
        self._items[key] = (item, now_ms)
        if forward:
            self._unsent.add(key)

    def remove_before(self, since_ms: int) -> None:
        """Remove items that were added before ``since_ms``."""
        for key, (_, put_ms) in list(self._items.items()):
            if put_ms < since_ms:
                del self._items[key]
                self._unsent.discard(key)

    def newest(self, limit: int) -> tuple[V, ...]:
        """Return the newest items, at most ``limit``."""
        items = list(reversed(self._items.values()))[:limit]
        return tuple(item for item, _ in items)

    def has_unsent(self) -> bool:
        """Return whether there are items to send."""
        return bool(self._unsent)

    def pop_unsent(self, limit: int) -> tuple[V, ...]:
        """Return at most ``limit`` unsent items and mark them as sent."""
        keys = sorted(self._unsent)[:limit]
        self._unsent.difference_update(keys)
        return tuple(self._items[key][0] for key in keys)


class UrgentItems:
    """Items to spread at once: what is leaving, and the state of new versions."""

    def __init__(self) -> None:
        self._endpoints: UrgentTable[EndpointId, EndpointId] = UrgentTable()
        self._members: UrgentTable[tuple[str, int], LeavingMember] = UrgentTable()
        self._tripped: UrgentTable[tuple[ServiceId, VersionId], TrippedVersion] = (
            UrgentTable()
        )
        self._results: UrgentTable[tuple[InstanceId, int, int], CanaryResult] = (
            UrgentTable()
        )
        self._quarantine: UrgentTable[tuple[InstanceId, int, int], QuarantineItem] = (
            UrgentTable()
        )

    def add_leaving_endpoint(
        self, endpoint: EndpointId, now_ms: int, *, forward: bool = True
    ) -> bool:
        """Add a leaving endpoint; return whether it is new.

        With ``forward`` the next digest sends it.
        """
        if self._endpoints.get(endpoint) is not None:
            return False
        self._endpoints.put(endpoint, endpoint, now_ms, forward)
        return True

    def add_leaving_member(
        self, item: LeavingMember, now_ms: int, *, forward: bool = True
    ) -> bool:
        """Add a leaving entry instance; return whether it is new."""
        key = (item.instance, item.incarnation)
        if self._members.get(key) is not None:
            return False
        self._members.put(key, item, now_ms, forward)
        return True

    def add_tripped(
        self, item: TrippedVersion, now_ms: int, *, forward: bool = True
    ) -> bool:
        """Add a change of a version; return whether it is newer than the last."""
        key = (item.service, item.version)
        known = self._tripped.get(key)
        if known is not None and known.since_wall_ms >= item.since_wall_ms:
            return False
        self._tripped.put(key, item, now_ms, forward)
        return True

    def add_result(
        self, item: CanaryResult, now_ms: int, *, forward: bool = True
    ) -> bool:
        """Add a result of a canary; return whether it is new."""
        key = (item.instance, item.incarnation, item.number)
        if self._results.get(key) is not None:
            return False
        self._results.remove_before(now_ms - RESULT_RETENTION_MS)
        self._results.put(key, item, now_ms, forward)
        return True

    def add_quarantine(
        self, item: QuarantineItem, now_ms: int, *, forward: bool = True
    ) -> bool:
        """Add news of the quarantine; return whether they are new."""
        key = (item.instance, item.incarnation, item.number)
        if self._quarantine.get(key) is not None:
            return False
        self._quarantine.remove_before(now_ms - RESULT_RETENTION_MS)
        self._quarantine.put(key, item, now_ms, forward)
        return True

    def has_unsent(self) -> bool:
        """Return whether there are items to send."""
        tables = (
            self._endpoints,
            self._members,
            self._tripped,
            self._results,
            self._quarantine,
        )
        return any(table.has_unsent() for table in tables)

    def recent_items(self, now_ms: int) -> UrgentBody:
        """Return recent leavings and results, and the last change of each version."""
        self._endpoints.remove_before(now_ms - LEAVING_RETENTION_MS)
        self._members.remove_before(now_ms - LEAVING_RETENTION_MS)
        self._results.remove_before(now_ms - RESULT_RETENTION_MS)
        self._quarantine.remove_before(now_ms - RESULT_RETENTION_MS)
        return UrgentBody(
            self._endpoints.newest(MAX_LEAVING_ITEMS),
            self._members.newest(MAX_LEAVING_ITEMS),
            self._tripped.newest(MAX_TRIPPED_ITEMS),
            self._results.newest(MAX_RESULT_ITEMS),
            self._quarantine.newest(MAX_QUARANTINE_ITEMS),
        )

    def pop_unsent(self) -> UrgentBody:
        """Return the unsent items and mark them as sent."""
        return UrgentBody(
            self._endpoints.pop_unsent(MAX_LEAVING_ITEMS),
            self._members.pop_unsent(MAX_LEAVING_ITEMS),
            self._tripped.pop_unsent(MAX_TRIPPED_ITEMS),
            self._results.pop_unsent(MAX_RESULT_ITEMS),
            self._quarantine.pop_unsent(MAX_QUARANTINE_ITEMS),
        )


class DigestBuilder:
    """Builds digests with the changes since the previous one.

    Parameters
    ----------
    urgent : UrgentItems
        Items that digests spread at once.
    """

    def __init__(self, urgent: UrgentItems):
        self._urgent = urgent
        self._sent_loads: dict[int, LoadItem] = {}
        self._full_due_ms = 0
        self._previous_seq = 0

    def request_full(self) -> None:
        """Make the next digest a full one."""
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
            Latest load of each endpoint that this instance reports on.
        seq : int
            Sequence number that the digest will have.
        """
        is_full = now_ms >= self._full_due_ms
        by_key = {item.key: item for item in loads}
        urgent = self._urgent.pop_unsent()
        if is_full:
            self._full_due_ms = now_ms + FULL_DIGEST_INTERVAL_MS
            urgent = self._urgent.recent_items(now_ms)
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
            urgent=urgent,
            zone=head.zone if is_full else "",
            change_token=head.change_token if is_full else "",
            address=head.address if is_full else "",
        )

    def _is_changed(self, key: int, item: LoadItem) -> bool:
        sent = self._sent_loads.get(key)
        if sent is None:
            return True
        return msgspec.structs.replace(sent, age_ms=item.age_ms) != item
