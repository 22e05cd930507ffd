"""Output of ``monsoonpulley explain``: a timeline as text or as JSON lines."""

from __future__ import annotations

import re
from collections.abc import Iterator
from itertools import groupby

import msgspec

from ..config.ini import format_deadline
from ..explain.sentences import sentence_of
from ..operator_wire import ExplainBody, ExplainLine, RequestRecord

MAX_VALUE_CHARS = 60
MAX_INPUTS_CHARS = 400
_DURATION = re.compile(r"\b[0-9]+ ms")
OMITTED_FIELDS = frozenset({"rule", "runner_up", "now_ms", "request_id"})
"""Fields not listed as inputs: printed elsewhere, or of no use to a reader."""


def explain_text(body: ExplainBody) -> str:
    """Return the timeline as text: each decision with its rule and inputs."""
    return "\n".join(_printable(line) for line in _text_lines(body))


def explain_json(body: ExplainBody) -> str:
    """Return the lines as they were logged, one JSON object each."""
    return "\n".join(_json_line(line) for line in body.lines)


def missing_text(body: ExplainBody) -> str:
    """Return one line for each instance that did not answer."""
    return "\n".join(
        f"no answer from {part.name}: {part.reason}" for part in body.missing
    )


def _printable(text: str) -> str:
    """Replace control characters, which callers could send to steer a terminal."""
    return "".join(char if char.isprintable() else "?" for char in text)


def _text_lines(body: ExplainBody) -> Iterator[str]:
    yield body.subject
    if body.record is not None:
        yield f"  {_record_text(body.record)}"
    for revision in body.history:
        at = format_deadline(revision.applied_wall_ms)
        note = f" ({revision.note})" if revision.note else ""
        yield f"  revision {revision.number} of {revision.author!r}, applied {at}{note}"
    if not body.lines:
        yield "  no instance that answered has log lines about it"
        return
    first_ms = body.lines[0].wall_ms
    yield f"  from {format_deadline(first_ms)}, in ms:"
    instance_width = max(len(line.instance) for line in body.lines)
    for _, group in groupby(body.lines, _grouping_key):
        line, *repeats = group
        yield from _line_text(line, line.wall_ms - first_ms, instance_width)
        if repeats:
            last_ms = repeats[-1].wall_ms - first_ms
            indent = " " * (13 + instance_width)
            yield f"{indent}and {len(repeats)} more like it, the last at {last_ms:+}"


def _grouping_key(line: ExplainLine) -> tuple[str, ...]:
    """Return the key by which successive lines are shown as one, without times."""
    sentence = sentence_of(line.event, line.fields)
    rule = str(line.fields.get("rule", ""))
    return (line.instance, line.event, _DURATION.sub("", sentence), rule)


def _line_text(line: ExplainLine, offset_ms: int, instance_width: int) -> Iterator[str]:
    sentence = sentence_of(line.event, line.fields)
    yield f"{offset_ms:>+9}  {line.instance.ljust(instance_width)}  {sentence}"
    indent = " " * (13 + instance_width)
    rule = line.fields.get("rule")
    if rule:
        runner_up = line.fields.get("runner_up")
        runner_up_text = f"; instead of: {runner_up}" if runner_up else ""
        yield f"{indent}rule: {rule}{runner_up_text}"
    inputs = _inputs_text(line.fields)
    if inputs:
        yield f"{indent}from: {inputs}"


def _inputs_text(fields: dict[str, object]) -> str:
    parts = (
        f"{name}={_value_text(value)}"
        for name, value in fields.items()
        if name not in OMITTED_FIELDS and value not in (None, "", [], {})
    )
    return _truncate(" ".join(parts), MAX_INPUTS_CHARS)


def _value_text(value: object) -> str:
    text = value if isinstance(value, str) else msgspec.json.encode(value).decode()
    return _truncate(text, MAX_VALUE_CHARS)


def _truncate(text: str, max_chars: int) -> str:
    return text if len(text) <= max_chars else f"{text[: max_chars - 3]}..."


def _record_text(record: RequestRecord) -> str:
    endpoint = f" at {record.endpoint}" if record.endpoint else ""
    tried = f", not run at {', '.join(record.tried)}" if record.tried else ""
    failure = f", {record.failure}" if record.failure else ""
    return (
        f"journal: {record.state}, holder {record.holder}, attempt "
        f"{record.attempt}{endpoint}{tried}{failure}"
    )


def _json_line(line: ExplainLine) -> str:
    fields = {
        "wall_ms": line.wall_ms,
        "instance": line.instance,
        "event": line.event,
        **line.fields,
    }
    return msgspec.json.encode(fields).decode()
