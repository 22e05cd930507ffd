"""When parts of prompts were last in a request that was answered."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

MAX_PARTS = 4_096
"""Parts that are remembered; the one that was answered least lately is forgotten."""


class ServedParts:
    """Times of the last answers to requests with each part."""

    def __init__(self) -> None:
        self._served_ms: OrderedDict[str, int] = OrderedDict()

    def record(self, part_ids: Iterable[str], now_ms: int) -> None:
        """Record that a request with these parts was answered."""
        for part_id in part_ids:
            self._served_ms[part_id] = now_ms
            self._served_ms.move_to_end(part_id)
        while len(self._served_ms) > MAX_PARTS:
            self._served_ms.popitem(last=False)

    def age_ms(self, part_id: str, now_ms: int) -> int | None:
        """Return the time since a request with the part was answered, if known."""
        served_ms = self._served_ms.get(part_id)
        return None if served_ms is None else now_ms - served_ms
