"""What the end of an attempt says of the version of its endpoint.

Both front ends use this table. An end that says nothing is no evidence for a version
either: it is not counted at all.
"""

from __future__ import annotations

from enum import Enum


class AttemptEnding(Enum):
    """How an attempt at an endpoint ended, as the sending instance saw it."""

    ANSWERED = "answered"
    """With a whole answer of success."""
    FAILED = "failed"
    """With an answer of failure."""
    SPOILED = "spoiled"
    """With an answer that is invalid or stalled."""
    BROKEN_OFF = "broken_off"
    """Its connection broke before the answer was whole."""
    LINK_LOST = "link_lost"
    """The same, while the instance doesn't reach other endpoints or the data centre."""
    TIME_UP = "time_up"
    """Without an answer in the request's time."""
    CALLER_LEFT = "caller_left"
    """The caller left before the answer was whole."""
    REFUSED = "refused"
    """The endpoint said that it didn't run the request, as it may: it has no room,
    leaves, or limits its load."""
    REFUSED_WITH_ROOM = "refused_with_room"
    """The same, though nothing explains it."""
    NOT_SENT = "not_sent"
    """Nothing was sent."""


class Evidence(Enum):
    """What is learned of a version."""

    TIMES = "times"
    """A good result, unless its times are slow ones."""
    TIMES_AT_LEAST = "times_at_least"
    """A slow result if the time until the end is a slow one already, else nothing."""
    FAILURE = "failure"
    CRASH = "crash"
    """A failure that other requests at the endpoint share."""
    NOTHING = "nothing"


EVIDENCE = {
    AttemptEnding.ANSWERED: Evidence.TIMES,
    AttemptEnding.FAILED: Evidence.FAILURE,
    AttemptEnding.SPOILED: Evidence.FAILURE,
    AttemptEnding.BROKEN_OFF: Evidence.CRASH,
    AttemptEnding.LINK_LOST: Evidence.NOTHING,
    AttemptEnding.TIME_UP: Evidence.FAILURE,
    AttemptEnding.CALLER_LEFT: Evidence.TIMES_AT_LEAST,
    AttemptEnding.REFUSED: Evidence.NOTHING,
    AttemptEnding.REFUSED_WITH_ROOM: Evidence.FAILURE,
    AttemptEnding.NOT_SENT: Evidence.NOTHING,
}
"""Evidence by ending. Failures that both versions have are compared, not left out."""
