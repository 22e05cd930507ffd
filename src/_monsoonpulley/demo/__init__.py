"""Demo: a short session against the whole system on one machine."""

from __future__ import annotations

from .session import run_demo

__all__ = ["run_demo"]
