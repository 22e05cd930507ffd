"""What one instance knows of one lease, and the settings that bind all of them."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..external.table import Row
from ..ids import InstanceId
from ..observability.log import Decision

LEASE_PREFIX = "lease/"
NO_INSTANCE = InstanceId("")
"""Holder of a released lease."""


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Times of leases, in milliseconds; the same on every instance.

    Attributes
    ----------
    lease_ms : int
        How long a row must stay unchanged, as a claimer sees it, before
        another may claim it.
    margin_ms : int
        How long before its lease could be claimed a holder stops acting. It
        covers clocks that run at different speeds.
    renew_ms : int
        Interval of renewals, from one send to the next.
    scan_ms : int
        Mean interval of scans by a holder or a likely successor.
    idle_scan_ms : int
        Mean interval of scans by all others.
    stagger_ms : int
        How much longer each later watcher waits before it claims.
    watchers : int
        Candidates of a duty, the preferred one included, that scan often and
        claim early. Each further group of as many waits long enough to have
        seen a claim of the group before it.
    tick_ms : int
        Interval at which leases are looked at, without I/O.
    call_ms : int
        Timeout of one call to the table.
    hand_over_ms : int
        How long another instance must be preferred before the holder hands
        the lease over to it.
    jitter : float
        Share by which scan intervals vary around their mean.
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
    hand_over_delay_ms: int = 30_000
    jitter_ratio: float = 0.2

    def claim_delay_ms(self, rank: int) -> int:
        """Return how much longer the candidate of a rank waits."""
        if rank < self.watcher_count:
            return rank * self.stagger_ms
        group = rank // self.watcher_count
        return (
            self.watcher_count * self.stagger_ms + group * self.max_idle_scan_gap_ms()
        )

    def free_claim_delay_ms(self, rank: int) -> int:
        """Return how long a candidate leaves a free lease to those before it."""
        if rank == 0:
            return 0
        return self.max_scan_gap_ms() + self.claim_delay_ms(rank)

    def retry_delay_ms(self, is_renewal: bool, failures: int) -> int:
        """Return how long to wait after a write that the table did not take.

        Claims of many instances wait ever longer, so that an outage does not
        end in a flood; a holder has to be quick to keep what it holds.
        """
        if is_renewal:
            return self.renew_interval_ms // 3
        return min(
            self.scan_interval_ms << min(failures, 8), self.idle_scan_interval_ms
        )

    def max_scan_gap_ms(self) -> int:
        """Return the longest time from one look of a watcher to the next."""
        return self._max_gap_ms(self.scan_interval_ms)

    def max_idle_scan_gap_ms(self) -> int:
        """Return the longest time between two looks of any other instance."""
        return self._max_gap_ms(self.idle_scan_interval_ms)

    def max_failover_ms(self) -> int:
        """Return the longest time from a holder's end to its successor's start.

        It holds while the table answers within ``call_ms`` and one of the first
        ``watchers`` candidates is left: the last renewal lands late, is seen at
        the end of a scan interval, the lease runs out, the last watcher's delay
        and a tick pass, and the claim is confirmed, and a tick later the duty
        is started.
        """
        seen_ms = self.call_timeout_ms + self.max_scan_gap_ms()
        delay_ms = self.claim_delay_ms(self.watcher_count - 1)
        claim_ms = 2 * self.tick_interval_ms + self.call_timeout_ms
        return seen_ms + self.lease_duration_ms + delay_ms + claim_ms

    def _max_gap_ms(self, interval_ms: int) -> int:
        return round(interval_ms * (1 + self.jitter_ratio)) + self.call_timeout_ms


class LeaseRow(msgspec.Struct, frozen=True):
    """The row of a duty; it is never deleted, so that its number only rises.

    Attributes
    ----------
    holder, incarnation
        Who holds the lease; ``NOBODY`` after a release.
    fencing_number : int
        Rises with each claim.
    token : str
        Unique among the writes of this row.
    renewals : int
        Renewals since the claim.
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
    """What a write of a lease row does."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"


class PendingWrite(msgspec.Struct, frozen=True):
    """A write that was sent and is not settled.

    Attributes
    ----------
    first_sent_ms : int
        When its first copy was about to be sent.
    is_in_flight : bool
        Whether the answer to the newest copy is still awaited.
    is_in_doubt : bool
        Whether an earlier copy may still land.
    """

    kind: WriteKind
    row: LeaseRow
    expected_revision: int
    first_sent_ms: int
    is_in_flight: bool = True
    is_in_doubt: bool = False


class HeldLease(msgspec.Struct, frozen=True):
    """The lease as its holder has it.

    Attributes
    ----------
    deadline_ms : int
        Monotonic time from which on the holder does not act.
    renewed_ms : int
        When the newest confirmed write was about to be sent.
    """

    fencing_number: int
    deadline_ms: int
    renewed_ms: int


class ObservedRow(msgspec.Struct, frozen=True):
    """A row as last seen, and when this instance first saw it so."""

    row: LeaseRow | None
    revision: int
    since_ms: int


class LeaseState(msgspec.Struct, frozen=True):
    """All that an instance knows of one lease; empty before the first look.

    Attributes
    ----------
    failures : int
        Writes that the table did not take since the last one that it did.
    retry_ms : int or None
        Monotonic time before which no write is sent, after a failure.
    """

    observed: ObservedRow | None = None
    pending: PendingWrite | None = None
    held: HeldLease | None = None
    failures: int = 0
    retry_ms: int | None = None

    def may_act(self, now_ms: int) -> bool:
        """Tell whether the instance may act as holder at this moment."""
        return self.held is not None and now_ms < self.held.deadline_ms


class RowRead(msgspec.Struct, frozen=True):
    """A read of the table returned this row, or none, at ``revision``."""

    row: LeaseRow | None
    revision: int


class Tick(msgspec.Struct, frozen=True):
    """Time passed.

    Attributes
    ----------
    rank : int or None
        Place among the candidates, 0 for the preferred one; ``None`` if this
        instance is no candidate and lets go of what it holds.
    token : str
        Token for a write, should one be due; other than at any other tick.
    successor : InstanceId
        Whom a release would name.
    """

    rank: int | None
    token: str
    successor: InstanceId = NO_INSTANCE


class WriteConfirmed(msgspec.Struct, frozen=True):
    """The pending write of this token took effect at ``revision``."""

    token: str
    revision: int


class WriteConflicted(msgspec.Struct, frozen=True):
    """The pending write met a row that is not the expected one."""

    token: str
    row: LeaseRow | None
    revision: int


class WriteFailed(msgspec.Struct, frozen=True):
    """The newest copy of the pending write had no effect, or is in doubt."""

    token: str
    is_in_doubt: bool


Event = RowRead | Tick | WriteConfirmed | WriteConflicted | WriteFailed


class LeaseDecision(Decision, frozen=True, kw_only=True, tag="lease_decision"):
    """What an instance does about a lease, with all that decided it.

    Attributes
    ----------
    write : Pending or None
        Write to send now.
    now_ms : int
        Monotonic time of the decision.
    rank : int or None
        Place among the candidates.
    before : LeaseState
        What was known.
    duty : str
        The duty whose lease it is.
    """

    instance: InstanceId
    incarnation: int
    now_ms: int
    duty: str = ""
    before: LeaseState = LeaseState()
    rank: int | None = None
    write: PendingWrite | None = None


def lease_key(duty: str) -> str:
    """Return the key of a duty's row."""
    return LEASE_PREFIX + duty


def decode_row(row: Row) -> LeaseRow | None:
    """Return the lease in a row, ``None`` if it can't be read."""
    try:
        return msgspec.json.decode(row.value, type=LeaseRow)
    except msgspec.DecodeError:
        return None
