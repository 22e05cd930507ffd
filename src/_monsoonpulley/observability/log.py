"""Structured logs, one JSON object per line.

Each line has ``wall_ms``, ``level``, ``event`` and the fields of the event.
Decisions are structs; `Log.decision` writes all of a struct's fields, so that
a decision can be replayed from its line.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger

from ..clock import Clock
from ..errors import MALFORMED_ERRORS
from ..explain.eventmemory import EventMemory
from ..explain.subjects import is_about_request, subjects_of

Sink = Callable[[str], Any]

MAX_LINE_BYTES = 4_096
"""Length from which on the long values of a line are cut, several times that of the
longest line about an ordinary request: callers choose ids and paths of many KB."""

MAX_TEXT_LENGTH, MAX_ITEMS, MAX_DEPTH = 256, 32, 4
"""Characters of a text, items of a list or table, and levels of them in such a line."""


class Decision(msgspec.Struct, frozen=True, tag_field="event", kw_only=True):
    """Base class of decisions; a subclass's tag is its event name.

    Attributes
    ----------
    rule : str
        Name of the rule that led to the decision.
    """

    rule: str


class Log:
    """Log of one process or, in tests, of one instance.

    Parameters
    ----------
    clock : Clock
        Source of ``wall_ms``.
    sink : callable
        Called with each JSON line, without a line end.
    instance : str
        Name written in each line; omitted if empty.
    keeps_lines : bool
        Whether lines are kept in memory for later explanations.
    """

    def __init__(
        self, clock: Clock, sink: Sink, instance: str = "", *, keeps_lines: bool = True
    ):
        self._clock = clock
        self._sink = sink
        self._instance = instance
        self._keeps_lines = keeps_lines
        self.memory = EventMemory()

    @classmethod
    def from_settings(cls, clock: Clock, instance: str, level: str = "INFO") -> Log:
        """Return a log that writes to standard error through ``loguru``."""
        import sys

        logger.remove()
        logger.add(sys.stderr, level=level, format="{message}")
        return cls(clock, lambda line: logger.info("{}", line), instance)

    def event(self, event: str, /, **fields: Any) -> None:
        """Write an event that is not a decision."""
        self._write(event, fields)

    def decision(self, decision: Decision) -> None:
        """Write a decision with all of its inputs."""
        fields = msgspec.to_builtins(decision)
        self._write(fields.pop("event"), fields)

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        line: dict[str, Any] = {"wall_ms": self._clock.wall_ms()}
        if self._instance:
            line["instance"] = self._instance
        line["event"] = event
        line.update(fields)
        data = _encode(line)
        if len(data) > MAX_LINE_BYTES:
            data = msgspec.json.encode(_shortened(msgspec.json.decode(data)))
        text = data.decode()
        if self._keeps_lines:
            self._keep_line(event, fields, text, len(data))
        self._sink(text)

    def _keep_line(
        self, event: str, fields: dict[str, Any], text: str, size_bytes: int
    ) -> None:
        subjects = subjects_of(event, fields, self._instance)
        if subjects:
            self.memory.add(
                subjects,
                text,
                size_bytes,
                is_about_request=is_about_request(fields),
            )


def _encode(line: dict[str, Any]) -> bytes:
    try:
        return msgspec.json.encode(line, enc_hook=str)
    except MALFORMED_ERRORS:
        return msgspec.json.encode({n: _encodable(v) for n, v in line.items()})


def _shortened(value: Any, depth: int = 0) -> Any:
    """Return a JSON value of which long texts, and lists of many items, are cut."""
    if isinstance(value, str) and len(value) > MAX_TEXT_LENGTH:
        return f"{value[:MAX_TEXT_LENGTH]}... ({len(value)} characters)"
    if not isinstance(value, list | dict):
        return value
    if depth > MAX_DEPTH:
        return "..."
    if isinstance(value, list):
        items = [_shortened(item, depth + 1) for item in value[:MAX_ITEMS]]
        left_count = len(value) - len(items)
        return [*items, f"... ({left_count} more)"] if left_count else items
    names = list(value) if not depth else list(value)[:MAX_ITEMS]
    return {
        _shortened(name, depth + 1): _shortened(value[name], depth + 1)
        for name in names
    }


def _encodable(value: Any) -> Any:
    """Return a value, or a note instead of one that JSON can't represent.

    A lone surrogate or an integer of over 4,300 digits must not end what is logged.
    """
    try:
        return msgspec.Raw(msgspec.json.encode(value, enc_hook=str))
    except MALFORMED_ERRORS:
        return f"a {type(value).__name__} that can't be logged"
