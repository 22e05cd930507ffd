"""The duties of an instance: their lease and the loop that does them."""

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
from ..rollouts.recall import RolloutRecall
from ..wire.caller import HttpCaller
from .capacity import CapacityDuty
from .controlloop import ControlLoop
from .placement import CONTROL, ControlPlacement
from .rollout import RolloutDuty
from .usagereport import UsageReporter

SHORTEST_LEASE_MS = 3_000
"""Three renewals and the margin fit; used where the platform allows less."""

LEASE_SCAN_MS = 2_000
"""Of the holder, whose renewals show it most changes, and of who may be next."""

IDLE_LEASE_SCAN_MS = 30_000
"""Of an instance that hears another hold the lease."""


class Control:
    """Whatever duties this instance holds.

    Parameters
    ----------
    settings : LocalSettings
        From the platform's file.
    incarnation : int
        Of this process.
    parts : IngressParts
        What the duties look at.
    store : Store
        Keeps the lease and what was reported.
    rng : random.Random
        Spreads looks at the lease.
    is_leaving : callable
        Whether the instance is stopping.
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
        self.recall = RolloutRecall(parts.rollouts, store, parts.clock, parts.log)
        self.leases = self._make_leases(incarnation, rng, is_leaving)
        self.loop = self._make_loop()
        self._had_holder = False

    def fencing_number(self) -> int:
        """Return the number of the lease if it is held here, else 0."""
        return self.loop.fencing_number() if self.loop is not None else 0

    def tick(self) -> None:
        """Look at the lease at once when its holder is no longer heard."""
        has_holder = self._parts.members.holder() is not None
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
        lease_ms = max(SHORTEST_LEASE_MS, round(settings.bounds.lease_duration_ms))
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
        if settings.cloud is None:
            return None
        clock, log = parts.clock, parts.log
        caller = HttpCaller(settings.cloud.ip, settings.cloud.port, clock)
        cloud = CloudClient(caller, settings.instance)
        return ControlLoop(
            self.leases,
            UsageReporter(parts.usage, self._table, cloud, clock, log),
            CapacityDuty(
                parts.configuration, parts.directory, parts.board, cloud, clock, log
            ),
            RolloutDuty(parts.rollouts, self.recall, parts.directory, self._store, log),
            clock,
            log,
        )
