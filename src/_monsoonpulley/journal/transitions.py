"""Rules of the journal: an event and what is known give the next step.

Nothing here does I/O. The rules that keep work at most once:

- The call is sent only after the write that names its endpoint is confirmed.
- A write whose answer was lost is tried again, unchanged, under the same
  expected revision. Whichever try takes effect, the others never can, and its
  token in the row shows it. That the row lacks it proves nothing.
- Another endpoint is tried only on proof that the first did not run the call.
- ``NOT_RUN`` is told where no write was ever in doubt and none took effect, or
  where a terminal ``NOT_RUN`` is confirmed.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from . import steps as s
from .endpoint_rules import EndpointRules
from .moves import Moment, Moves
from .settings import JournalSettings
from .write_rules import WriteRules

Rule = Callable[[s.Progress, Any, Moment], s.Next]


class Transitions:
    """The rules with their settings.

    Parameters
    ----------
    settings : JournalSettings
        Times and limits.
    rng : random.Random
        Makes tokens and jitter; must differ between instances.
    """

    def __init__(self, settings: JournalSettings, rng: random.Random):
        moves = Moves(settings, rng)
        writes = WriteRules(moves)
        endpoints = EndpointRules(moves)
        self._rules: dict[type, Rule] = {
            s.Submitted: writes.submitted,
            s.Adopting: writes.adopting,
            s.WriteConfirmed: writes.confirmed,
            s.WriteConflicted: writes.conflicted,
            s.WriteFailed: writes.failed,
            s.RowAbsent: writes.row_absent,
            s.EndpointChosen: endpoints.chosen,
            s.NoEndpoint: endpoints.none_free,
            s.SendLapsed: endpoints.lapsed,
            s.Answered: endpoints.answered,
            s.SendFailed: endpoints.send_failed,
            s.LookedUp: endpoints.looked_up,
            s.LookupFailed: endpoints.lookup_failed,
        }

    def next(
        self, progress: s.Progress, event: s.Event, now_ms: int, wall_ms: int
    ) -> s.Next:
        """Return what follows ``event``.

        Parameters
        ----------
        now_ms : int
            Monotonic time.
        wall_ms : int
            Unix epoch time, only written to records.
        """
        return self._rules[type(event)](progress, event, Moment(now_ms, wall_ms))
