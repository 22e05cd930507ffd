"""Outcome of a request, as reported to its caller."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Final outcome of a request; the value appears in responses and logs."""

    DONE = "done"
    """It ran, and its answer is complete."""
    NOT_RUN = "not_run"
    """It did not run and can't run later."""
    UNKNOWN = "unknown"
    """It may have run, or may run later."""
