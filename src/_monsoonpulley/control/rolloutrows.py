"""Rows of rollouts in the table: where each version stands, trips, reports.

``rollout/SERVICE/VERSION`` is written by the holder of the service's rollout
duty, ``rollout-trip/SERVICE/VERSION/ATTEMPT`` once by the first daemon that
sees a fault, ``rollout-report/SERVICE/VERSION/INSTANCE`` by each daemon.
"""

from __future__ import annotations

from enum import Enum
from typing import TypeVar

import msgspec

from ..external.table import Row
from ..ids import InstanceId, ServiceId, VersionId

ROLLOUT_PREFIX = "rollout/"
TRIP_PREFIX = "rollout-trip/"
REPORT_PREFIX = "rollout-report/"

T = TypeVar("T")


class RolloutState(Enum):
    """Where a version stands on its way."""

    PENDING = "pending"
    CANARY = "canary"
    RAMP = "ramp"
    SOAK = "soak"
    DONE = "done"
    ROLLED_BACK = "taken_back"


SETTLED = frozenset({RolloutState.DONE, RolloutState.ROLLED_BACK})
WITH_TRAFFIC = frozenset({RolloutState.CANARY, RolloutState.RAMP, RolloutState.SOAK})


class RolloutStep(msgspec.Struct, frozen=True):
    """One transition of a rollout, for the history."""

    state: RolloutState
    share: float
    wall_ms: int
    why: str


class RolloutRow(msgspec.Struct, frozen=True, kw_only=True):
    """One version's rollout.

    Attributes
    ----------
    deadline_wall_ms : int
        Deadline under which this attempt runs.
    attempt : int
        Rises when a version that was taken back is ordered anew.
    share : float
        Share of the service's traffic that the state allows, 0 to 1.
    since_wall_ms : int
        When the state or share was entered.
    started_wall_ms : int
        When the version first got traffic; 0 before.
    fencing_number : int
        Of the lease under which the row was written.
    token : str
        Unique for each write.
    why : str
        Rule and figures that decided, for people.
    steps : tuple of RolloutStep
        The newest transitions, oldest first.
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
    """A daemon saw a fault of a version; ``instance`` is empty for some peer."""

    service: ServiceId
    version: VersionId
    attempt: int
    instance: InstanceId
    seen_wall_ms: int
    why: str


class ReportRow(msgspec.Struct, frozen=True, kw_only=True):
    """What one daemon saw of a version; counts rise within an attempt.

    Attributes
    ----------
    seen_token : str
        Token of the newest rollout row whose shares are in force here.
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
    """Return the key of a version's row."""
    return f"{ROLLOUT_PREFIX}{service}/{version}"


def trip_key(service: ServiceId, version: VersionId, attempt: int) -> str:
    """Return the key of the trip of one attempt."""
    return f"{TRIP_PREFIX}{service}/{version}/{attempt}"


def report_key(service: ServiceId, version: VersionId, instance: InstanceId) -> str:
    """Return the key of one daemon's report."""
    return f"{REPORT_PREFIX}{service}/{version}/{instance}"


def decode(row: Row | None, row_type: type[T]) -> T | None:
    """Return what a row holds, ``None`` if it can't be read."""
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=row_type)
    except msgspec.DecodeError:
        return None
