"""The lease of the duties: who holds it and who claims it next."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..clock import Clock
from ..control.leases import Hold, Leases
from ..control.leasestate import AnnouncedRow, LeaseSettings
from ..external.table import Table
from ..identity import Identity
from ..observability.log import Log
from ..observability.metrics import NoMetrics
from ..sharing.members import MAX_SILENCE_MS, Member, Members
from .placement import CONTROL, ControlPlacement

MIN_LEASE_MS = 3_000
"""Minimum lease duration, also where the platform allows less: three renewals and the
margin have to fit."""

LEASE_SCAN_MS = 2_000
"""Interval of scans by the first candidates while nobody holds the lease."""

IDLE_LEASE_SCAN_MS = 120_000
"""Interval of scans by the holder and all other instances. These observe the lease in
the digests of its holder and after its loss leave it to the first candidates; a scan
only replaces digests that never arrived."""

CLAIM_NOTICE_MS = MAX_SILENCE_MS
"""Time within which the digests of a new holder reach the other candidates."""


NUMBERS_PER_ERA = 1_000_000
"""Fencing numbers start again above those of all earlier eras of the store, whose
highest it may have lost. A claim every 3 s uses so many in a month."""


class ControlLease:
    """The lease of the duties as seen by this instance.

    The holder's digests contain the lease's row, so that the other instances observe
    each renewal without reading the store: after the loss of the holder the next
    candidate waits for one lease from the last renewal.

    Parameters
    ----------
    identity : Identity
        This instance and its incarnation.
    table : Table
        Holds the lease's row.
    members : Members
        The other instances.
    lease_duration_ms : int
        Time after which a lease that isn't renewed may be claimed.
    clock, rng, log : Clock, random.Random, Log
        Time source, spread of the scans, and the log of decisions.
    is_leaving : callable
        Returns whether this instance is stopping.
    store_era : callable
        Returns the era of the store.

    Attributes
    ----------
    is_acting : bool
        Whether an order may be on its way; set by `ControlLoop`. While it is, an
        instance that stops keeps the lease, as its successor would act at once.
    """

    def __init__(
        self,
        identity: Identity,
        table: Table,
        members: Members,
        lease_duration_ms: int,
        clock: Clock,
        rng: random.Random,
        log: Log,
        is_leaving: Callable[[], bool],
        store_era: Callable[[], int] = lambda: 0,
    ):
        self._members = members
        self._is_leaving = is_leaving
        self.is_acting = False
        self._placement = ControlPlacement(
            identity.instance,
            members,
            lambda: self._leases.hold(CONTROL) is not None,
            lambda: is_leaving() and not self.is_acting,
        )
        lease_ms = max(MIN_LEASE_MS, lease_duration_ms)
        self._settings = LeaseSettings(
            lease_duration_ms=lease_ms,
            renew_interval_ms=lease_ms // 3,
            scan_interval_ms=LEASE_SCAN_MS,
            idle_scan_interval_ms=IDLE_LEASE_SCAN_MS,
            claim_notice_ms=CLAIM_NOTICE_MS,
        )
        self._leases = Leases(
            table,
            identity,
            self._placement,
            clock,
            rng,
            log,
            NoMetrics(),
            self._settings,
            lambda: store_era() * NUMBERS_PER_ERA,
        )
        self._had_holder = False

    async def run(self) -> None:
        """Claim and renew the lease until cancelled."""
        await self._leases.run()

    def hold(self) -> Hold | None:
        """Return the hold on the duties, None while this instance may not act.

        An instance that stops begins nothing more.
        """
        hold = self._leases.hold(CONTROL)
        if hold is None or self._is_leaving():
            return None
        return Hold(
            hold.fencing_number,
            lambda _, for_ms: not self._is_leaving() and hold.may_act(for_ms),
        )

    def fencing_number(self) -> int:
        """Return the lease's fencing number if this instance holds it, else 0."""
        hold = self.hold()
        return hold.fencing_number if hold is not None else 0

    def announced_row(self) -> AnnouncedRow | None:
        """Return the lease's row for the digest if this instance holds it."""
        return self._leases.announced_row(CONTROL)

    def observe_row(self, announced: AnnouncedRow) -> None:
        """Handle the lease's row in the digest of its holder."""
        self._leases.observe_row(CONTROL, announced)

    def handle_era_change(self) -> None:
        """Give up the duties, and wait for a lease before any claim."""
        self._leases.forget_rows()

    def next_holders(self) -> list[Member]:
        """Return the other instances that hold the duties or would claim them next."""
        holder = self._members.lease_holder()
        candidates = self._placement.candidates()[: self._settings.watcher_count]
        if holder is not None and holder not in candidates:
            candidates = [holder, *candidates[:-1]]
        return candidates

    def is_next_holder(self) -> bool:
        """Return whether this instance holds the duties or would claim them next."""
        if self.hold() is not None:
            return True
        rank = self._placement.rank(CONTROL)
        return rank is not None and rank < self._settings.watcher_count

    def check_holder(self) -> None:
        """Scan at once after the loss of the holder if this is a next candidate.

        The holder's last digests may have been lost.
        """
        has_holder = self._members.lease_holder() is not None
        if self._had_holder and not has_holder:
            if self.is_next_holder():
                self._leases.request_scan()
        self._had_holder = has_holder
