"""Logged decisions about single instances, and settings of the shell."""

from __future__ import annotations

import msgspec

from ..errors import Failure
from ..ids import ServiceId
from ..observability.log import Decision
from .fleetrows import FleetRow


class FleetSettings(msgspec.Struct, frozen=True):
    """Times of the shell that orders instances.

    Attributes
    ----------
    pass_interval_ms : int
        Between two passes.
    overdue_ms : int
        How late an instance may come before it is given up and stopped.
    lost_after_ms, gone_after_ms : int
        How long an instance that was on the list may be missing from it until it
        counts as lost, and until it is stopped for good.
    leaving_propagation_ms : int
        How long it takes until no entry instance sends new work to an endpoint
        that is leaving.
    refused_retention_ms : int
        How long the row of a refused start is kept.
    max_rows_per_commit, max_concurrent_calls : int
        Rows in one transaction, and calls to the cloud API in progress.
    """

    pass_interval_ms: int = 2_000
    overdue_ms: int = 300_000
    lost_after_ms: int = 4_000
    gone_after_ms: int = 30_000
    leaving_propagation_ms: int = 6_000
    refused_retention_ms: int = 60_000
    max_rows_per_commit: int = 50
    max_concurrent_calls: int = 8


class FleetDecision(Decision, frozen=True, kw_only=True, tag="fleet_decision"):
    """What was done about one instance, and on what row.

    Attributes
    ----------
    row : FleetRow
        As it was when decided.
    in_progress : int or None
        Requests that the endpoint works on, ``None`` where unknown.
    failure : Failure or None
        Why it was not done.
    """

    service: ServiceId
    fencing_number: int
    row: FleetRow
    in_progress: int | None = None
    failure: Failure | None = None
