"""The lease of the duties and the loop that performs them."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..control.leases import Leases
from ..control.leasestate import LeaseSettings
from ..identity import Identity
from ..ingress.parts import IngressParts
from ..observability.metrics import NoMetrics
from ..platform.cloud import CloudClient
from ..platform.localsettings import LocalSettings
from ..platform.store import Store
from ..platform.table import StoreTable
from ..rollouts.statusreader import RolloutStatusReader
from ..wire.httpclient import HttpClient
from .capacity import CapacityDuty
from .controlloop import ControlLoop
from .placement import CONTROL, ControlPlacement
from .rollout import RolloutDuty
from .usagereport import UsageReporter

MIN_LEASE_MS = 3_000
"""Minimum lease duration, also where the platform allows less: three renewals and the
margin have to fit."""

LEASE_SCAN_MS = 2_000
"""Interval of scans by the holder, which sees most changes when it renews, and by
the candidates."""

IDLE_LEASE_SCAN_MS = 30_000
"""Interval of scans by an instance that receives the digests of a holder."""


class Control:
    """The duties on this instance, performed while it holds their lease.

    Parameters
    ----------
    settings : LocalSettings
        Settings from the platform's file.
    incarnation : int
        Number of this process's start.
    parts : IngressParts
        State that the duties read.
    store : Store
        Stores the lease, usage reports and roll-out status.
    rng : random.Random
        Spreads the scans of the lease.
    is_leaving : callable
        Returns whether this instance is stopping.
    """

    def __init__(
        self,
        settings: LocalSettings,
        incarnation: int,
        parts: IngressParts,
        store: Store,
        rng: random.Random,
        is_leaving: Callable[[], bool],
    ):
        self._settings = settings
        self._parts = parts
        self._store = store
        self._table = StoreTable(store)
        self.status_reader = RolloutStatusReader(
            parts.rollouts, store, parts.clock, parts.log
        )
        self.leases = self._make_leases(incarnation, rng, is_leaving)
        self.loop = self._make_loop()
        self._had_holder = False

    def fencing_number(self) -> int:
        """Return the lease's fencing number if this instance holds it, else 0."""
        return self.loop.fencing_number() if self.loop is not None else 0

    def check_holder(self) -> None:
        """Scan the lease at once when the holder's digests have stopped."""
        has_holder = self._parts.members.lease_holder() is not None
        if self._had_holder and not has_holder:
            self.leases.request_scan()
        self._had_holder = has_holder

    def _make_leases(
        self, incarnation: int, rng: random.Random, is_leaving: Callable[[], bool]
    ) -> Leases:
        settings, parts = self._settings, self._parts
        placement = ControlPlacement(
            settings.instance,
            parts.members,
            lambda: self.leases.hold(CONTROL) is not None,
            is_leaving,
        )
        lease_ms = max(MIN_LEASE_MS, round(settings.bounds.lease_duration_ms))
        return Leases(
            self._table,
            Identity(settings.instance, settings.zone, "", incarnation),
            placement,
            parts.clock,
            rng,
            parts.log,
            NoMetrics(),
            LeaseSettings(
                lease_duration_ms=lease_ms,
                renew_interval_ms=lease_ms // 3,
                scan_interval_ms=LEASE_SCAN_MS,
                idle_scan_interval_ms=IDLE_LEASE_SCAN_MS,
            ),
        )

    def _make_loop(self) -> ControlLoop | None:
        settings, parts = self._settings, self._parts
        if settings.cloud_address is None:
            return None
        clock, log = parts.clock, parts.log
        client = HttpClient(
            settings.cloud_address.ip, settings.cloud_address.port, clock
        )
        cloud = CloudClient(client, settings.instance)
        return ControlLoop(
            self.leases,
            UsageReporter(parts.usage, self._table, cloud, clock, log),
            CapacityDuty(
                parts.configuration,
                parts.directory,
                parts.load_board,
                cloud,
                clock,
                log,
            ),
            RolloutDuty(
                parts.rollouts, self.status_reader, parts.directory, self._store, log
            ),
            clock,
            log,
        )
