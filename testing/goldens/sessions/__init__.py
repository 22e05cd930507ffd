"""The sessions; importing this package registers them."""

from __future__ import annotations

from . import faults, mixed, operators, versions

__all__ = ["faults", "mixed", "operators", "versions"]
