"""Events, steps and progress of one submission, as the transitions see them."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..endpoints.service import Execution
from ..errors import Failure
from ..ids import EndpointId
from ..outcome import Outcome
from .record import JournalRecord, RecordedAnswer, StoredRecord


class Intent(Enum):
    """What a write is for."""

    ACCEPT = "accept"
    ADOPT = "adopt"
    DISPATCH = "dispatch"
    SETTLE = "settle"


class Progress(msgspec.Struct, frozen=True):
    """What this instance knows of a submission it acts on.

    Attributes
    ----------
    confirmed : JournalRecord or None
        Last version known to be in the table under this instance's token.
    revision : int
        Revision of ``confirmed``.
    pending : JournalRecord or None
        Version being written.
    expected_revision : int
        Revision on which the pending write depends.
    in_doubt : bool
        An earlier try of the pending write may have landed, or still may.
    tries : int
        Failed tries of the present step.
    since_ms : int
        Monotonic time at which the present step began.
    place_until_ms : int
        Monotonic time until which endpoints are looked for.
    """

    confirmed: JournalRecord | None = None
    revision: int = 0
    intent: Intent | None = None
    pending: JournalRecord | None = None
    expected_revision: int = 0
    in_doubt: bool = False
    tries: int = 0
    since_ms: int = 0
    place_until_ms: int = 0


class Submitted(msgspec.Struct, frozen=True, tag=True):
    """A caller hands in new work; ``record`` is to be written.

    ``endpoint`` is given where one was free at once.
    """

    record: JournalRecord
    endpoint: EndpointId | None = None


class Adopting(msgspec.Struct, frozen=True, tag=True):
    """The holder of a record is gone; ``record`` names the new holder."""

    record: JournalRecord
    revision: int


class WriteConfirmed(msgspec.Struct, frozen=True, tag=True):
    """The pending write took effect."""

    revision: int


class WriteConflicted(msgspec.Struct, frozen=True, tag=True):
    """The pending write was refused; ``current`` is the row as it is."""

    current: StoredRecord | None


class WriteFailed(msgspec.Struct, frozen=True, tag=True):
    """The pending write brought no answer or was refused."""

    failure: Failure


class RowAbsent(msgspec.Struct, frozen=True, tag=True):
    """The row of refused new work is missing, or can't be read."""

    failure: Failure


class EndpointChosen(msgspec.Struct, frozen=True, tag=True):
    """An endpoint can take the call."""

    endpoint: EndpointId


class NoEndpoint(msgspec.Struct, frozen=True, tag=True):
    """No endpoint can take the call now."""

    failure: Failure


class SendLapsed(msgspec.Struct, frozen=True, tag=True):
    """The dispatch write was too old to send on; nothing was sent."""


class Answered(msgspec.Struct, frozen=True, tag=True):
    """The endpoint gave its whole answer."""

    answer: RecordedAnswer


class SendFailed(msgspec.Struct, frozen=True, tag=True):
    """The call failed; ``failure.delivery`` says whether it may have run."""

    failure: Failure


class LookedUp(msgspec.Struct, frozen=True, tag=True):
    """The endpoint said what became of the call."""

    execution: Execution
    answer: RecordedAnswer | None = None


class LookupFailed(msgspec.Struct, frozen=True, tag=True):
    """The endpoint could not be asked."""

    failure: Failure


Event = (
    Submitted
    | Adopting
    | WriteConfirmed
    | WriteConflicted
    | WriteFailed
    | RowAbsent
    | EndpointChosen
    | NoEndpoint
    | SendLapsed
    | Answered
    | SendFailed
    | LookedUp
    | LookupFailed
)


class WriteStep(msgspec.Struct, frozen=True, tag=True):
    """Write ``progress.pending`` if the row has ``expected_revision``."""

    after_ms: int = 0


class ReadStep(msgspec.Struct, frozen=True, tag=True):
    """Read whether the key was accepted before; ``refusal`` if it was not."""

    refusal: Failure


class ChooseStep(msgspec.Struct, frozen=True, tag=True):
    """Look for an endpoint that was not tried."""

    after_ms: int = 0


class SendStep(msgspec.Struct, frozen=True, tag=True):
    """Send the call, unless the monotonic time is past ``not_after_ms``."""

    endpoint: EndpointId
    attempt: int
    not_after_ms: int


class LookupStep(msgspec.Struct, frozen=True, tag=True):
    """Ask the endpoint what became of the call."""

    endpoint: EndpointId
    after_ms: int = 0


class FollowStep(msgspec.Struct, frozen=True, tag=True):
    """Another write won; take the outcome from the row."""

    current: StoredRecord | None


class StopStep(msgspec.Struct, frozen=True, tag=True):
    """Nothing is left to do here."""


Step = WriteStep | ReadStep | ChooseStep | SendStep | LookupStep | FollowStep | StopStep


class CallerReply(msgspec.Struct, frozen=True):
    """What callers are told now; work may go on after it.

    ``key_closed`` says that a terminal record of the key is confirmed.
    """

    outcome: Outcome
    failure: Failure | None = None
    key_closed: bool = False


class Transition(msgspec.Struct, frozen=True):
    """What follows an event.

    Attributes
    ----------
    rule : str
        Name of the rule that decided.
    runner_up : str
        What would have been done had the rule not held; empty for nothing.
    """

    progress: Progress
    step: Step
    rule: str
    runner_up: str = ""
    reply: CallerReply | None = None
