"""Building blocks of the journal's rules: new writes, tries and backoff."""

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
    """When an event is decided on; ``wall_ms`` is only written to records."""

    now_ms: int
    wall_ms: int


def new_token(rng: random.Random) -> str:
    """Return a token that no other write has."""
    return f"{rng.getrandbits(TOKEN_BITS):024x}"


class Moves:
    """Makes the next progress and step from what the rules decide.

    Parameters
    ----------
    settings : JournalSettings
        Times and limits.
    rng : random.Random
        Makes tokens and jitter; must differ between instances.
    """

    def __init__(self, settings: JournalSettings, rng: random.Random):
        self.settings = settings
        self._rng = rng

    def token(self) -> str:
        """Return a token for a new write."""
        return new_token(self._rng)

    def backoff_ms(self, tries: int) -> int:
        """Return a random wait whose bound doubles with each failed try."""
        least_ms = self.settings.retry_min_ms
        bound_ms = min(self.settings.retry_max_ms, least_ms << min(tries, 16))
        return self._rng.randint(least_ms, max(least_ms, bound_ms))

    def write(
        self,
        progress: s.Progress,
        record: JournalRecord,
        intent: s.Intent,
        moment: Moment,
        rule: str,
        *,
        revision: int | None = None,
        runner_up: str = "",
        tell: s.Tell | None = None,
    ) -> s.Next:
        """Begin a new write over ``revision``, by default the confirmed one."""
        begun = msgspec.structs.replace(
            progress,
            pending=record,
            intent=intent,
            expected_revision=progress.revision if revision is None else revision,
            in_doubt=False,
            tries=0,
            since_ms=moment.now_ms,
        )
        return s.Next(begun, s.WriteStep(), rule, runner_up, tell)

    def write_again(
        self,
        progress: s.Progress,
        moment: Moment,
        rule: str,
        failure: Failure | None = None,
    ) -> s.Next:
        """Try the pending write again; release the caller if it takes long."""
        tell = None
        waited_ms = moment.now_ms - progress.since_ms
        if failure is not None and waited_ms >= self.settings.settle_within_ms:
            retry_ms = self.settings.retry_max_ms
            ask_again = msgspec.structs.replace(failure, retry_after_ms=retry_ms)
            tell = s.Tell(Outcome.UNKNOWN, ask_again)
        step = s.WriteStep(self.backoff_ms(progress.tries))
        tried = msgspec.structs.replace(progress, tries=progress.tries + 1)
        return s.Next(tried, step, rule, "take absence as proof", tell)

    def settled(
        self,
        record: JournalRecord,
        state: State,
        moment: Moment,
        failure: Failure | None = None,
        answer: RecordedAnswer | None = None,
    ) -> JournalRecord:
        """Return the record in a terminal state, with its retention begun."""
        return msgspec.structs.replace(
            record,
            state=state,
            token=self.token(),
            answer=answer,
            failure=failure,
            settled_wall_ms=moment.wall_ms,
            retain_until_wall_ms=moment.wall_ms + record.retention_ms,
        )
