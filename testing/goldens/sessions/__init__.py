"""Sessions, which are registered when this package is imported."""

from __future__ import annotations

from . import faults, mixed, operators, versions

__all__ = ["faults", "mixed", "operators", "versions"]
