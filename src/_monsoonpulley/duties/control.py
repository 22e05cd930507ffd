"""The lease of the duties and the loop that performs them."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..identity import Identity
from ..ingress.parts import IngressParts
from ..platform.cloud import CloudClient
from ..platform.localsettings import LocalSettings
from ..platform.store import Store
from ..platform.table import StoreTable
from ..rollouts.rollbackrecorder import RollbackRecorder
from ..rollouts.statusreader import RolloutStatusReader
from ..rollouts.statusrows import RolloutStatusRows
from ..wire.httpclient import HttpClient
from .capacity import CapacityDuty
from .closedzones import ClosedZones
from .controllease import ControlLease
from .controlloop import ControlLoop
from .rollout import RolloutDuty
from .usagereport import UsageReporter


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
    receive_waiting : callable
        Handles the messages of other instances that have arrived.
    """

    def __init__(
        self,
        settings: LocalSettings,
        incarnation: int,
        parts: IngressParts,
        store: Store,
        rng: random.Random,
        is_leaving: Callable[[], bool],
        receive_waiting: Callable[[], None],
    ):
        self._settings = settings
        self._parts = parts
        self._store = store
        self._table = StoreTable(store)
        lease_ms = round(settings.bounds.lease_duration_ms)
        self.lease = ControlLease(
            Identity(settings.instance, settings.zone, "", incarnation),
            self._table,
            parts.members,
            lease_ms,
            parts.clock,
            rng,
            parts.log,
            is_leaving,
            lambda: store.era or 0,
        )
        self._receive_waiting = receive_waiting
        self._usage: UsageReporter | None = None
        self._status_rows = RolloutStatusRows(parts.rollouts, store, parts.log)
        self.status_reader = RolloutStatusReader(
            parts.rollouts,
            self._status_rows,
            parts.clock,
            self.lease.is_next_holder,
        )
        self.rollback_recorder = RollbackRecorder(
            parts.rollouts,
            self._status_rows,
            lambda: parts.members.is_reader(parts.zone),
        )
        self.loop = self._make_loop()

    def handle_era_change(self) -> None:
        """Act on a store that has lost what was written last."""
        was_holder = self.lease.hold() is not None
        self.lease.handle_era_change()
        self._status_rows.handle_era_change()
        if self._usage is not None:
            self._usage.handle_era_change(was_holder)

    def _make_loop(self) -> ControlLoop | None:
        settings, parts = self._settings, self._parts
        if settings.cloud_address is None:
            return None
        clock, log = parts.clock, parts.log
        client = HttpClient(
            settings.cloud_address.ip, settings.cloud_address.port, clock
        )
        cloud = CloudClient(client, settings.instance)
        self._usage = UsageReporter(
            parts.usage,
            self._table,
            cloud,
            clock,
            log,
            round(settings.bounds.usage_late_s * 1000),
            parts.members.expected_ids,
            lambda: self._store.era,
            self._receive_waiting,
        )
        rollout = RolloutDuty(
            parts.rollouts,
            self.status_reader,
            self._status_rows,
            parts.directory,
            parts.evacuations.open_endpoints,
            self._receive_waiting,
        )
        closed_zones = ClosedZones(
            parts.evacuations,
            parts.directory,
            parts.load_board,
            clock,
            settings.bounds.evacuation_ms,
        )
        return ControlLoop(
            self.lease,
            self._usage,
            CapacityDuty(
                parts.configuration,
                parts.directory,
                parts.endpoint_models,
                parts.demand,
                parts.rollouts,
                parts.capacities,
                parts.cold,
                cloud,
                clock,
                log,
                closed_zones.find,
            ),
            rollout,
            clock,
            log,
            self._receive_waiting,
        )
