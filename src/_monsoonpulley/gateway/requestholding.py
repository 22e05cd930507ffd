"""Memory that a request takes beyond what its connection has received of it."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any

from starlette.requests import Request

from ..errors import Failure

STATE_NAME = "holding"
"""Name in the state of an ASGI scope."""


class RequestHolding:
    """What a request holds; this one has no limit.

    Parameters
    ----------
    max_body_bytes : int or None
        Largest body of any request; None for no limit.

    Attributes
    ----------
    refusal : Failure or None
        Why the rest of its body was dropped; None if it wasn't.
    """

    def __init__(self, max_body_bytes: int | None = None):
        self.max_body_bytes = max_body_bytes
        self.refusal: Failure | None = None

    def try_add(self, size_bytes: int) -> bool:
        """Count memory until the answer is complete, unless there is too little."""
        return True

    def release(self, size_bytes: int) -> None:
        """Uncount memory that is free again."""


def set_holding(scope: MutableMapping[str, Any], holding: RequestHolding) -> None:
    """Store what a request holds in its scope."""
    scope["state"][STATE_NAME] = holding


def holding_of(request: Request) -> RequestHolding:
    """Return what a request holds, without a limit if nothing counts it."""
    holding = request.scope.get("state", {}).get(STATE_NAME)
    return holding if holding is not None else RequestHolding()
