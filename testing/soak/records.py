"""Records of what callers, endpoints and the platform observed, for the checks."""

from __future__ import annotations

from enum import Enum

import msgspec


class Run(msgspec.Struct):
    """A request that reached an endpoint.

    Attributes
    ----------
    arrived_ms : int
        When the endpoint had read its last byte.
    was_run : bool
        False if the endpoint refused it with a statement that it did not run.
    body : bytes or None
        The complete answer; None for failures and streams.
    """

    endpoint: str
    service: str
    arrived_ms: int
    was_run: bool
    customer: str
    request_body: bytes
    status: int = 0
    seal: str = ""
    body: bytes | None = None


class Call(msgspec.Struct):
    """A caller's request and its outcome.

    Attributes
    ----------
    feature : int
        Number of the first configuration with its route; 0 if all have it.
    status : int or None
        None if there was no answer.
    events : list of int
        Numbers of a stream's events, in the order received.
    is_whole : bool
        Whether the answer is complete by its framing.
    has_left : bool
        Whether the caller was to disconnect early.
    cause : str
        What makes it crash endpoints; empty for a sound request.
    """

    id: str
    instance: str
    incarnation: int
    kind: str
    customer: str
    sent_ms: int
    body: bytes
    feature: int = 0
    runs: list[Run] = msgspec.field(default_factory=list)
    status: int | None = None
    seal: str = ""
    answered_id: str = ""
    answer: bytes = b""
    events: list[int] = msgspec.field(default_factory=list)
    is_whole: bool = False
    has_left: bool = False
    cause: str = ""
    ended_ms: int | None = None


class DutyCall(msgspec.Struct):
    """A duty's call from an instance to the platform's API."""

    at_ms: int
    holder: str
    fencing_number: int
    path: str
    window: int
    counts: dict[str, int]


class Disturbance(msgspec.Struct):
    """A fault's target and time; ``until_ms`` is None while it lasts."""

    what: str
    kind: str
    from_ms: int
    until_ms: int | None = None


class StatementKind(Enum):
    """What an endpoint says of itself in an answer."""

    LEAVING = "leaving"
    LIMIT = "limit"
    PAUSE = "pause"


class Statement(msgspec.Struct):
    """Such an answer to a request of an instance.

    ``value`` is a limit in requests a second, or a pause in seconds.
    """

    kind: StatementKind
    endpoint: str
    instance: str
    at_ms: int
    value: float


class Crash(msgspec.Struct):
    """A crash of an endpoint under a request, ``cause`` being what made it faulty."""

    endpoint: str
    cause: str
    at_ms: int


class Version(msgspec.Struct):
    """A configuration that was written to the store."""

    number: int
    written_ms: int
    rate_per_s: float


class Records(msgspec.Struct):
    """Everything observed in a run."""

    calls: dict[str, Call] = msgspec.field(default_factory=dict)
    unknown_runs: list[tuple[str, Run]] = msgspec.field(default_factory=list)
    duty_calls: list[DutyCall] = msgspec.field(default_factory=list)
    disturbances: list[Disturbance] = msgspec.field(default_factory=list)
    versions: list[Version] = msgspec.field(default_factory=list)
    statements: list[Statement] = msgspec.field(default_factory=list)
    crashes: list[Crash] = msgspec.field(default_factory=list)
    limited: list[Disturbance] = msgspec.field(default_factory=list)
    """Times in which an endpoint names a rate limit."""
    brittle: list[Disturbance] = msgspec.field(default_factory=list)
    """Times in which the endpoints of a service are brittle."""
    cold: list[Disturbance] = msgspec.field(default_factory=list)
    """Times in which an endpoint is cold, of the kind "start" or "turn"."""
    evacuations: list[Disturbance] = msgspec.field(default_factory=list)
    """Times from the acknowledgement of an evacuation until it is revoked."""
    falls: list[Crash] = msgspec.field(default_factory=list)
    """Ends of brittle endpoints; the cause is their service."""
    drained_ms: dict[str, int] = msgspec.field(default_factory=dict)
    exits: list[tuple[str, int]] = msgspec.field(default_factory=list)
    memory_mb: float = 0.0
    descriptors: int = 0
    """The most that any instance has taken."""
    healed_ms: int = 0
    served_again_ms: dict[str, int] = msgspec.field(default_factory=dict)

    def start_disturbance(self, target: str, kind: str, now_ms: int) -> Disturbance:
        """Record that a fault at the target has started."""
        disturbance = Disturbance(target, kind, now_ms)
        self.disturbances.append(disturbance)
        return disturbance

    def is_undisturbed(
        self, targets: tuple[str, ...], from_ms: int, until_ms: int
    ) -> bool:
        """Return whether no disturbance of the targets overlaps the time span."""
        return not any(
            each.what in targets
            and each.from_ms <= until_ms
            and (each.until_ms is None or each.until_ms >= from_ms)
            for each in self.disturbances
        )
