"""Memory that buffered answers of endpoints take together."""

from __future__ import annotations

from ..callerbudget import CallerBudget

MAX_BUFFERED_BYTES = 33_554_432
"""A sixth of the smallest instances' memory. Several endpoints that send without end
would otherwise take 8 MB for each request, until the platform kills the process."""

MAX_BUDGET_SHARE = 0.4
"""The same as a share of what all callers may hold, for machines with less memory."""


class AnswerMemory:
    """Sum of the bytes that plain answers in progress hold.

    Parameters
    ----------
    budget : CallerBudget
        Counts them with all that is kept for callers.

    Attributes
    ----------
    total_bytes : int
        Bytes held now.
    """

    def __init__(self, budget: CallerBudget) -> None:
        self._budget = budget
        budget_bytes = int(MAX_BUDGET_SHARE * budget.limits.max_bytes)
        self._max_bytes = min(MAX_BUFFERED_BYTES, budget_bytes)
        self.total_bytes = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether no more than small answers may be buffered."""
        return self.total_bytes > self._max_bytes or self._budget.is_short

    def add(self, size_bytes: int) -> None:
        """Count bytes of an answer."""
        self.total_bytes += size_bytes
        self._budget.add_shared(size_bytes)

    def release(self, size_bytes: int) -> None:
        """Uncount the bytes of an answer that has ended."""
        self.total_bytes -= size_bytes
        self._budget.add_shared(-size_bytes)
