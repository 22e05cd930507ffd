"""Deduplication and fencing of orders in an engine stand-in."""

from __future__ import annotations

from enum import Enum

from ..endpoints.engine import Order


class OrderVerdict(Enum):
    """Outcome of registering an order."""

    CARRY_OUT = "carry_out"
    REPEATED = "repeated"
    """An order with this id was registered before; it is not executed again."""
    FENCED = "fenced"


class OrderHistory:
    """Ids and highest fencing number of the orders received so far.

    Parameters
    ----------
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    """

    def __init__(self, checks_fencing: bool):
        self._checks_fencing = checks_fencing
        self._highest_fencing_number = 0
        self._received_ids: set[str] = set()

    def register(self, order: Order) -> OrderVerdict:
        """Register an order and return what to do with it."""
        if self._checks_fencing and order.fencing_number < self._highest_fencing_number:
            return OrderVerdict.FENCED
        self._highest_fencing_number = max(
            self._highest_fencing_number, order.fencing_number
        )
        if order.order_id in self._received_ids:
            return OrderVerdict.REPEATED
        self._received_ids.add(order.order_id)
        return OrderVerdict.CARRY_OUT
