"""Logged decisions about single instances, and settings of `FleetOrders`."""

from __future__ import annotations

import msgspec

from ..errors import Failure
from ..ids import ServiceId
from ..observability.log import Decision
from .fleetrows import FleetRow


class FleetSettings(msgspec.Struct, frozen=True):
    """Intervals and limits of `FleetOrders`.

    Attributes
    ----------
    pass_interval_ms : int
        Time between two passes.
    overdue_ms : int
        Time after ``ready_wall_ms`` at which an instance that never appeared on the
        live list is stopped.
    lost_after_ms, gone_after_ms : int
        Time that a listed instance may be missing from the live list until it
        counts as lost, and until it is stopped.
    leaving_propagation_ms : int
        Time until all entry instances know that an endpoint is leaving and send it
        no new requests.
    refused_retention_ms : int
        Time for which the row of a refused start is kept.
    max_rows_per_commit, max_concurrent_calls : int
        Rows per transaction, and concurrent start calls to the cloud API.
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
    """A step taken for one instance, and the row that it was based on.

    Attributes
    ----------
    row : FleetRow
        Row on which the step was decided.
    in_progress : int or None
        Requests in progress at the endpoint, ``None`` if unknown.
    failure : Failure or None
        Why the step failed; ``None`` if it succeeded.
    """

    service: ServiceId
    fencing_number: int
    row: FleetRow
    in_progress: int | None = None
    failure: Failure | None = None
