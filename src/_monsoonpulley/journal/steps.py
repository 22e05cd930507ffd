"""Events, steps and progress of one submission: inputs and results of rules."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..endpoints.service import Execution
from ..errors import Failure
from ..ids import EndpointId
from ..outcome import Outcome
from .record import JournalRecord, RecordedAnswer, StoredRecord


class Intent(Enum):
    """Purpose of a write."""

    ACCEPT = "accept"
    ADOPT = "adopt"
    DISPATCH = "dispatch"
    SETTLE = "settle"


class Progress(msgspec.Struct, frozen=True):
    """State of a submission that this instance processes.

    Attributes
    ----------
    confirmed : JournalRecord or None
        Last version known to be in the table with this instance's token.
    revision : int
        Revision of ``confirmed``.
    pending : JournalRecord or None
        Version being written.
    expected_revision : int
        Revision that the row must have for the pending write.
    in_doubt : bool
        An earlier try of the pending write may have taken effect, or still may.
    tries : int
        Failed tries of the current step.
    since_ms : int
        Monotonic time at which the current step started.
    place_until_ms : int
        Monotonic time until which an endpoint is sought.
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
    """A caller submits new work; ``record`` is to be written.

    ``endpoint`` is set if one was free at once.
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
    """The row did not have the expected revision; ``current`` is what it holds."""

    current: StoredRecord | None


class WriteFailed(msgspec.Struct, frozen=True, tag=True):
    """The pending write got no answer or an error."""

    failure: Failure


class RowAbsent(msgspec.Struct, frozen=True, tag=True):
    """The row of refused new work is missing or can't be read."""

    failure: Failure


class EndpointChosen(msgspec.Struct, frozen=True, tag=True):
    """An endpoint can take the call."""

    endpoint: EndpointId


class NoEndpoint(msgspec.Struct, frozen=True, tag=True):
    """No endpoint can take the call now."""

    failure: Failure


class SendLapsed(msgspec.Struct, frozen=True, tag=True):
    """The dispatch write was too old; the call was not sent."""


class Answered(msgspec.Struct, frozen=True, tag=True):
    """The endpoint sent its whole answer."""

    answer: RecordedAnswer


class SendFailed(msgspec.Struct, frozen=True, tag=True):
    """The call failed; ``failure.delivery`` says whether it may have run."""

    failure: Failure


class LookedUp(msgspec.Struct, frozen=True, tag=True):
    """The endpoint reported the state of the call."""

    execution: Execution
    answer: RecordedAnswer | None = None


class LookupFailed(msgspec.Struct, frozen=True, tag=True):
    """The state of the call could not be looked up."""

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
    """Read whether the key was accepted before; refuse with ``refusal`` if not."""

    refusal: Failure


class ChooseStep(msgspec.Struct, frozen=True, tag=True):
    """Choose an endpoint that was not tried."""

    after_ms: int = 0


class SendStep(msgspec.Struct, frozen=True, tag=True):
    """Send the call, unless the monotonic time is past ``not_after_ms``."""

    endpoint: EndpointId
    attempt: int
    not_after_ms: int


class LookupStep(msgspec.Struct, frozen=True, tag=True):
    """Ask the endpoint for the state of the call."""

    endpoint: EndpointId
    after_ms: int = 0


class FollowStep(msgspec.Struct, frozen=True, tag=True):
    """Another write came first; read the outcome from the row."""

    current: StoredRecord | None


class StopStep(msgspec.Struct, frozen=True, tag=True):
    """Nothing is left to do."""


Step = WriteStep | ReadStep | ChooseStep | SendStep | LookupStep | FollowStep | StopStep


class CallerReply(msgspec.Struct, frozen=True):
    """Reply to waiting callers; the work may continue after it.

    ``key_closed`` means that a terminal record of the key is confirmed.
    """

    outcome: Outcome
    failure: Failure | None = None
    key_closed: bool = False


class Transition(msgspec.Struct, frozen=True):
    """Progress, step and reply that follow an event.

    Attributes
    ----------
    rule : str
        Name of the rule that decided.
    runner_up : str
        Step that would have followed without the rule; empty for none.
    """

    progress: Progress
    step: Step
    rule: str
    runner_up: str = ""
    reply: CallerReply | None = None
