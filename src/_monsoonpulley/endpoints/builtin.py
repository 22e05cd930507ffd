"""Registers the built-in adapters when it is imported."""

from __future__ import annotations

from .http_engine import HttpEngineClient
from .http_service import HttpServiceClient

__all__ = ["HttpEngineClient", "HttpServiceClient"]
