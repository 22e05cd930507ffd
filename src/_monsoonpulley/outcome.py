"""What became of a request, as callers are told."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Final word on a request; the value stands in responses and logs."""

    DONE = "done"
    """It ran, and the answer is the whole answer."""
    NOT_RUN = "not_run"
    """It did not run, and nothing can run it any more."""
    UNKNOWN = "unknown"
    """It may have run, or may still run."""
