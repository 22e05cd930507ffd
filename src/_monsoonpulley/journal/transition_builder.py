"""Common transitions of the journal's rules: new writes, retries and backoff."""

from __future__ import annotations

import random

import msgspec

from ..errors import Failure
from ..outcome import Outcome
from . import steps as s
from .record import JournalRecord, RecordedAnswer, State
from .settings import JournalSettings

TOKEN_BITS = 96


class Moment(msgspec.Struct, frozen=True):
    """Times at which an event is decided; ``wall_ms`` is only written to records."""

    now_ms: int
    wall_ms: int


def new_token(rng: random.Random) -> str:
    """Return a token that is unique to one write."""
    return f"{rng.getrandbits(TOKEN_BITS):024x}"


class TransitionBuilder:
    """Builds transitions from what the rules decide.

    Parameters
    ----------
    settings : JournalSettings
        Times and limits.
    rng : random.Random
        Source of tokens and jitter; its seed must differ between instances.
    """

    def __init__(self, settings: JournalSettings, rng: random.Random):
        self.settings = settings
        self._rng = rng

    def make_token(self) -> str:
        """Return a token for a new write."""
        return new_token(self._rng)

    def backoff_ms(self, tries: int) -> int:
        """Return a random wait whose upper bound doubles with each failed try."""
        min_ms = self.settings.retry_min_ms
        max_ms = min(self.settings.retry_max_ms, min_ms << min(tries, 16))
        return self._rng.randint(min_ms, max(min_ms, max_ms))

    def start_write(
        self,
        progress: s.Progress,
        record: JournalRecord,
        intent: s.Intent,
        moment: Moment,
        rule: str,
        *,
        revision: int | None = None,
        runner_up: str = "",
        reply: s.CallerReply | None = None,
    ) -> s.Transition:
        """Start a write that replaces ``revision``, by default the confirmed one."""
        updated = msgspec.structs.replace(
            progress,
            pending=record,
            intent=intent,
            expected_revision=progress.revision if revision is None else revision,
            in_doubt=False,
            tries=0,
            since_ms=moment.now_ms,
        )
        return s.Transition(updated, s.WriteStep(), rule, runner_up, reply)

    def retry_write(
        self,
        progress: s.Progress,
        moment: Moment,
        rule: str,
        failure: Failure | None = None,
    ) -> s.Transition:
        """Retry the pending write; reply ``UNKNOWN`` to callers if it takes long."""
        reply = None
        waited_ms = moment.now_ms - progress.since_ms
        if failure is not None and waited_ms >= self.settings.settle_timeout_ms:
            retry_ms = self.settings.retry_max_ms
            retryable = msgspec.structs.replace(failure, retry_after_ms=retry_ms)
            reply = s.CallerReply(Outcome.UNKNOWN, retryable)
        step = s.WriteStep(self.backoff_ms(progress.tries))
        updated = msgspec.structs.replace(progress, tries=progress.tries + 1)
        return s.Transition(updated, step, rule, "take absence as proof", reply)

    def settle_record(
        self,
        record: JournalRecord,
        state: State,
        moment: Moment,
        failure: Failure | None = None,
        answer: RecordedAnswer | None = None,
    ) -> JournalRecord:
        """Return the record in a terminal state, with the end of its retention."""
        return msgspec.structs.replace(
            record,
            state=state,
            token=self.make_token(),
            answer=answer,
            failure=failure,
            settled_wall_ms=moment.wall_ms,
            retain_until_wall_ms=moment.wall_ms + record.retention_ms,
        )
