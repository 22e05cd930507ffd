"""Orders that an engine stand-in received, and which it carries out."""

from __future__ import annotations

from enum import Enum

from ..endpoints.engine import Order


class OrderVerdict(Enum):
    """What to do with an order that was received."""

    CARRY_OUT = "carry_out"
    REPEATED = "repeated"
    """An order of that id was received before; nothing more happens."""
    FENCED = "fenced"


class OrderBook:
    """Orders received so far.

    Parameters
    ----------
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    """

    def __init__(self, checks_fencing: bool):
        self._checks_fencing = checks_fencing
        self._highest = 0
        self._received_ids: set[str] = set()

    def receive(self, order: Order) -> OrderVerdict:
        """Record an order and return what to do with it."""
        if self._checks_fencing and order.fencing_number < self._highest:
            return OrderVerdict.FENCED
        self._highest = max(self._highest, order.fencing_number)
        if order.order_id in self._received_ids:
            return OrderVerdict.REPEATED
        self._received_ids.add(order.order_id)
        return OrderVerdict.CARRY_OUT
