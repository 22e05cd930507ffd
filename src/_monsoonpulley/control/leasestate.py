"""State of one lease as one instance knows it, its events and its settings."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..errors import MALFORMED_ERRORS
from ..external.table import Row
from ..ids import InstanceId, are_wire_counts
from ..observability.log import Decision

LEASE_PREFIX = "lease/"
NO_INSTANCE = InstanceId("")
"""Holder of a released lease, and successor where none is named."""


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Durations and intervals of leases; the same on every instance.

    Attributes
    ----------
    lease_duration_ms : int
        How long a claimer must observe a row unchanged before it may claim the
        lease of another holder.
    margin_ms : int
        How long before the end of its lease a holder stops acting. It covers
        clocks that run at different speeds.
    renew_interval_ms : int
        Interval from the send of one renewal to the send of the next.
    scan_interval_ms : int
        Mean interval of scans by the first `watcher_count` candidates of a duty.
    idle_scan_interval_ms : int
        Mean interval of scans by all other instances.
    stagger_ms : int
        Additional delay of each later watcher before it claims.
    watcher_count : int
        Candidates of a duty, the preferred one included, that scan often and
        claim early. Each further group of this size waits long enough to observe
        a claim of the group before it.
    tick_interval_ms : int
        Interval of local decisions on all leases, which need no I/O.
    call_timeout_ms : int
        Timeout of one call to the table.
    claim_notice_ms : int or None
        Longest time until all candidates observe a claim if holders announce their
        rows (`Leases.observe_row`); None if candidates only scan.
    hand_over_delay_ms : int
        How long another instance must be the preferred one before the holder
        hands the lease over to it.
    jitter_ratio : float
        Largest relative deviation of a scan interval from its mean.
    """

    lease_duration_ms: int = 4_000
    margin_ms: int = 400
    renew_interval_ms: int = 1_200
    scan_interval_ms: int = 1_000
    idle_scan_interval_ms: int = 6_000
    stagger_ms: int = 300
    watcher_count: int = 3
    tick_interval_ms: int = 250
    call_timeout_ms: int = 800
    claim_notice_ms: int | None = None
    hand_over_delay_ms: int = 30_000
    jitter_ratio: float = 0.2

    def claim_delay_ms(self, rank: int) -> int:
        """Return the additional delay before the candidate of a rank claims."""
        if rank < self.watcher_count:
            return rank * self.stagger_ms
        group = rank // self.watcher_count
        group_delay_ms = self.max_claim_notice_ms()
        return self.watcher_count * self.stagger_ms + group * group_delay_ms

    def free_claim_delay_ms(self, rank: int) -> int:
        """Return how long a candidate leaves a free lease to better-ranked ones."""
        if rank == 0:
            return 0
        return self.max_scan_gap_ms() + self.claim_delay_ms(rank)

    def retry_delay_ms(self, is_renewal: bool, failures: int) -> int:
        """Return the delay before the next write after one that failed.

        Claims back off exponentially, so that the many claimers do not overload
        the table when an outage ends. A holder retries at a short, constant
        interval, to renew before its lease expires.
        """
        if is_renewal:
            return self.renew_interval_ms // 3
        max_delay_ms = self.idle_scan_interval_ms
        if self.claim_notice_ms is not None:
            max_delay_ms = max(self.scan_interval_ms, self.claim_notice_ms)
        return min(self.scan_interval_ms << min(failures, 8), max_delay_ms)

    def max_claim_notice_ms(self) -> int:
        """Return the longest time until all candidates observe a claim."""
        if self.claim_notice_ms is not None:
            return self.claim_notice_ms
        return self.max_idle_scan_gap_ms()

    def max_scan_gap_ms(self) -> int:
        """Return the longest time between two scans of a watcher."""
        return self._max_gap_ms(self.scan_interval_ms)

    def max_idle_scan_gap_ms(self) -> int:
        """Return the longest time between two scans of any other instance."""
        return self._max_gap_ms(self.idle_scan_interval_ms)

    def max_failover_ms(self) -> int:
        """Return the longest time from a holder's crash to its successor's start.

        The bound holds while the table answers within ``call_timeout_ms`` and one
        of the first ``watcher_count`` candidates is alive. In the worst case the
        last renewal takes effect at the end of its call, is observed at the end of
        a scan interval, the lease expires, the last watcher's claim delay and a
        tick pass, the claim is confirmed, and the duty starts one tick later.
        """
        seen_ms = self.call_timeout_ms + self.max_scan_gap_ms()
        delay_ms = self.claim_delay_ms(self.watcher_count - 1)
        claim_ms = 2 * self.tick_interval_ms + self.call_timeout_ms
        return seen_ms + self.lease_duration_ms + delay_ms + claim_ms

    def _max_gap_ms(self, interval_ms: int) -> int:
        return round(interval_ms * (1 + self.jitter_ratio)) + self.call_timeout_ms


class LeaseRow(msgspec.Struct, frozen=True):
    """The table row of a lease.

    It is never deleted, so the fencing number never falls.

    Attributes
    ----------
    holder, incarnation
        Who holds the lease; ``NO_INSTANCE`` after a release.
    fencing_number : int
        Increases with each claim.
    token : str
        Unique for each write of this row.
    renewals : int
        Number of renewals since the claim.
    successor : InstanceId
        After a release, the instance that may claim at once.
    """

    holder: InstanceId
    incarnation: int
    fencing_number: int
    token: str
    renewals: int = 0
    successor: InstanceId = NO_INSTANCE


class WriteKind(Enum):
    """Purpose of a write of a lease row."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


class PendingWrite(msgspec.Struct, frozen=True):
    """A write whose outcome is not known yet.

    Attributes
    ----------
    first_sent_ms : int
        Monotonic time right before its first copy was sent.
    is_in_flight : bool
        Whether the newest copy is still awaiting its answer.
    is_in_doubt : bool
        Whether an earlier copy may still take effect.
    """

    kind: WriteKind
    row: LeaseRow
    expected_revision: int
    first_sent_ms: int
    is_in_flight: bool = True
    is_in_doubt: bool = False


class HeldLease(msgspec.Struct, frozen=True):
    """A lease that this instance holds.

    Attributes
    ----------
    deadline_ms : int
        Monotonic time from which the holder no longer acts.
    renewed_ms : int
        Monotonic time right before the newest confirmed write was sent.
    """

    fencing_number: int
    deadline_ms: int
    renewed_ms: int


class AnnouncedRow(msgspec.Struct, array_like=True, frozen=True):
    """The row of a lease at a revision of the table, as announced by its holder."""

    row: LeaseRow
    revision: int


class ObservedRow(msgspec.Struct, frozen=True):
    """A row as last observed, and since when it has been observed unchanged."""

    row: LeaseRow | None
    revision: int
    since_ms: int


class LeaseState(msgspec.Struct, frozen=True):
    """All that an instance knows of one lease; empty before the first scan.

    Attributes
    ----------
    failures : int
        Consecutive failed writes.
    retry_ms : int or None
        Monotonic time before which no write is sent after a failure.
    """

    observed: ObservedRow | None = None
    pending: PendingWrite | None = None
    held: HeldLease | None = None
    failures: int = 0
    retry_ms: int | None = None

    def may_act(self, now_ms: int) -> bool:
        """Return whether the instance may act as the holder at this time."""
        return self.held is not None and now_ms < self.held.deadline_ms


class RowRead(msgspec.Struct, frozen=True):
    """A read returned this row at ``revision``, or found none."""

    row: LeaseRow | None
    revision: int


class Tick(msgspec.Struct, frozen=True):
    """The tick interval has passed.

    Attributes
    ----------
    rank : int or None
        Rank among the candidates, 0 for the preferred one; ``None`` if this
        instance is no candidate and releases the lease if it holds it.
    token : str
        Token for a write that may be due; unique to this tick.
    successor : InstanceId
        The successor that a release names.
    """

    rank: int | None
    token: str
    successor: InstanceId = NO_INSTANCE


class WriteConfirmed(msgspec.Struct, frozen=True):
    """The pending write with this token took effect at ``revision``."""

    token: str
    revision: int


class WriteConflicted(msgspec.Struct, frozen=True):
    """The pending write had no effect: the row has another revision."""

    token: str
    row: LeaseRow | None
    revision: int


class WriteFailed(msgspec.Struct, frozen=True):
    """The newest copy of the pending write had no effect, or may have had one."""

    token: str
    is_in_doubt: bool


Event = RowRead | Tick | WriteConfirmed | WriteConflicted | WriteFailed


class LeaseDecision(Decision, frozen=True, kw_only=True, tag="lease_decision"):
    """A decision about a lease, with all its inputs.

    Attributes
    ----------
    write : PendingWrite or None
        The write to send now.
    now_ms : int
        Monotonic time of the decision.
    rank : int or None
        Rank of this instance among the candidates.
    before : LeaseState
        State before the decision.
    duty : str
        Duty that the lease is for.
    """

    instance: InstanceId
    incarnation: int
    now_ms: int
    duty: str = ""
    before: LeaseState = LeaseState()
    rank: int | None = None
    write: PendingWrite | None = None


def lease_key(duty: str) -> str:
    """Return the table key of a duty's lease."""
    return LEASE_PREFIX + duty


def decode_row(row: Row) -> LeaseRow | None:
    """Return the lease in a table row, ``None`` if it can't be decoded."""
    try:
        lease = msgspec.json.decode(row.value, type=LeaseRow)
    except MALFORMED_ERRORS:
        return None
    numbers = (lease.incarnation, lease.fencing_number, lease.renewals)
    return lease if are_wire_counts(*numbers) else None
