"""Rules of the journal: progress and an event give the next step.

Nothing here does I/O. These rules ensure that work runs at most once:

- The call is sent only after the write that names its endpoint is confirmed.
- A write whose answer was lost is retried unchanged under the same expected
  revision, so that at most one try takes effect. Its token in the row shows that
  it did; a missing token proves nothing.
- Another endpoint is tried only on proof that the first did not run the call.
- Callers get ``NOT_RUN`` only if no write was ever in doubt and none took effect,
  or if a terminal ``NOT_RUN`` is confirmed.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from . import steps as s
from .endpoint_rules import EndpointRules
from .settings import JournalSettings
from .transition_builder import Moment, TransitionBuilder
from .write_rules import WriteRules

Rule = Callable[[s.Progress, Any, Moment], s.Transition]


class Transitions:
    """Table of the rules, by type of event.

    Parameters
    ----------
    settings : JournalSettings
        Times and limits.
    rng : random.Random
        Source of tokens and jitter; its seed must differ between instances.
    """

    def __init__(self, settings: JournalSettings, rng: random.Random):
        builder = TransitionBuilder(settings, rng)
        write_rules = WriteRules(builder)
        endpoint_rules = EndpointRules(builder)
        self._rules: dict[type, Rule] = {
            s.Submitted: write_rules.on_submitted,
            s.Adopting: write_rules.on_adopting,
            s.WriteConfirmed: write_rules.on_write_confirmed,
            s.WriteConflicted: write_rules.on_write_conflicted,
            s.WriteFailed: write_rules.on_write_failed,
            s.RowAbsent: write_rules.on_row_absent,
            s.EndpointChosen: endpoint_rules.on_endpoint_chosen,
            s.NoEndpoint: endpoint_rules.on_no_endpoint,
            s.SendLapsed: endpoint_rules.on_send_lapsed,
            s.Answered: endpoint_rules.on_answered,
            s.SendFailed: endpoint_rules.on_send_failed,
            s.LookedUp: endpoint_rules.on_looked_up,
            s.LookupFailed: endpoint_rules.on_lookup_failed,
        }

    def decide(
        self, progress: s.Progress, event: s.Event, now_ms: int, wall_ms: int
    ) -> s.Transition:
        """Return the transition that follows ``event``.

        Parameters
        ----------
        now_ms : int
            Monotonic time.
        wall_ms : int
            Unix epoch time, only written to records.
        """
        return self._rules[type(event)](progress, event, Moment(now_ms, wall_ms))
