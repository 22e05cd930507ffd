"""Table rows of rollouts: states of versions, trips and reports.

``rollout/SERVICE/VERSION`` is written by the holder of the service's rollout
duty, ``rollout-trip/SERVICE/VERSION/ATTEMPT`` once by the first entry instance that
observes a fault, ``rollout-report/SERVICE/VERSION/INSTANCE`` by each entry instance.
"""

from __future__ import annotations

from enum import Enum
from typing import TypeVar

import msgspec

from ..errors import MALFORMED_ERRORS
from ..external.table import Row
from ..ids import InstanceId, ServiceId, VersionId

ROLLOUT_PREFIX = "rollout/"
TRIP_PREFIX = "rollout-trip/"
REPORT_PREFIX = "rollout-report/"

T = TypeVar("T")


class RolloutState(Enum):
    """Stage of a version's rollout."""

    PENDING = "pending"
    CANARY = "canary"
    RAMP = "ramp"
    SOAK = "soak"
    DONE = "done"
    ROLLED_BACK = "taken_back"


SETTLED = frozenset({RolloutState.DONE, RolloutState.ROLLED_BACK})
WITH_TRAFFIC = frozenset({RolloutState.CANARY, RolloutState.RAMP, RolloutState.SOAK})


class RolloutStep(msgspec.Struct, frozen=True):
    """One transition in the history of a rollout."""

    state: RolloutState
    share: float
    wall_ms: int
    why: str


class RolloutRow(msgspec.Struct, frozen=True, kw_only=True):
    """State of one version's rollout.

    Attributes
    ----------
    deadline_wall_ms : int
        Deadline of this attempt.
    attempt : int
        Incremented when a rolled back version is ordered with a new deadline.
    share : float
        Share of the service's traffic that the version may get, 0 to 1.
    since_wall_ms : int
        When the current state and share were entered.
    started_wall_ms : int
        When the version first got traffic; 0 before.
    fencing_number : int
        Fencing number of the lease under which the row was written.
    token : str
        Identifies the write; unique.
    why : str
        Rule and figures of the last decision, for operators.
    steps : tuple of RolloutStep
        Newest transitions, oldest first.
    """

    service: ServiceId
    version: VersionId
    state: RolloutState
    deadline_wall_ms: int
    attempt: int = 1
    share: float = 0.0
    since_wall_ms: int = 0
    started_wall_ms: int = 0
    fencing_number: int = 0
    token: str = ""
    why: str = ""
    steps: tuple[RolloutStep, ...] = ()


class TripRow(msgspec.Struct, frozen=True, kw_only=True):
    """A fault of a version that an entry instance observed.

    Attributes
    ----------
    instance : InstanceId
        Entry instance that observed it; empty for a trip received from a peer.
    """

    service: ServiceId
    version: VersionId
    attempt: int
    instance: InstanceId
    seen_wall_ms: int
    why: str


class ReportRow(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a version in one entry instance; counts rise within an attempt.

    Attributes
    ----------
    seen_token : str
        Token of the newest rollout row whose shares are in force in the instance.
    """

    service: ServiceId
    version: VersionId
    attempt: int
    instance: InstanceId
    incarnation: int
    seen_token: str
    results: int = 0
    bad: int = 0


def rollout_key(service: ServiceId, version: VersionId) -> str:
    """Return the key of a version's rollout row."""
    return f"{ROLLOUT_PREFIX}{service}/{version}"


def trip_key(service: ServiceId, version: VersionId, attempt: int) -> str:
    """Return the key of an attempt's trip row."""
    return f"{TRIP_PREFIX}{service}/{version}/{attempt}"


def report_key(service: ServiceId, version: VersionId, instance: InstanceId) -> str:
    """Return the key of an entry instance's report row."""
    return f"{REPORT_PREFIX}{service}/{version}/{instance}"


def decode(row: Row | None, row_type: type[T]) -> T | None:
    """Decode a row; return ``None`` if it is absent or malformed."""
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=row_type)
    except MALFORMED_ERRORS:
        return None
