"""Importing this module registers the adapters that come with the program."""

from __future__ import annotations

from .http_engine import HttpEngineClient
from .http_service import HttpServiceClient

__all__ = ["HttpEngineClient", "HttpServiceClient"]
