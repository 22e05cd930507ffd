"""Differences between two configuration documents."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from .document import Document
from .ini import format_deadline
from .sections import split_document


class ChangeKind(Enum):
    """Kind of a section's difference."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(msgspec.Struct, frozen=True):
    """A field whose value differs; both values are text for display."""

    field: str
    before: str
    after: str


class SectionChange(msgspec.Struct, frozen=True):
    """A section that differs; only CHANGED sections list ``fields``."""

    section: str
    kind: ChangeKind
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        lines = [f"{self.kind.value} [{self.section}]"]
        lines += [f"  {f.field}: {f.before} -> {f.after}" for f in self.fields]
        return "\n".join(lines)


Difference = tuple[SectionChange, ...]


def diff_documents(before: Document, after: Document) -> Difference:
    """Return the sections in which two documents differ, sorted by name."""
    old, new = split_document(before), split_document(after)
    changes = []
    for key in sorted(old.keys() | new.keys()):
        if key not in old:
            changes.append(SectionChange(str(key), ChangeKind.ADDED))
        elif key not in new:
            changes.append(SectionChange(str(key), ChangeKind.REMOVED))
        elif old[key] != new[key]:
            fields = _field_changes(old[key], new[key])
            changes.append(SectionChange(str(key), ChangeKind.CHANGED, fields))
    return tuple(changes)


def _field_changes(
    before: msgspec.Struct, after: msgspec.Struct
) -> tuple[FieldChange, ...]:
    changes = []
    for name in before.__struct_fields__:
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            label = "deadline" if name == "deadline_wall_ms" else name
            changes.append(
                FieldChange(label, _format_value(name, old), _format_value(name, new))
            )
    return tuple(changes)


def _format_value(name: str, value: Any) -> str:
    if name == "deadline_wall_ms":
        return "none" if value is None else format_deadline(value)
    if name == "credential_sha256":
        # A prefix is enough to distinguish two credentials.
        return f"{value[:8]}..."
    if isinstance(value, tuple):
        return ", ".join(str(one) for one in value) or "none"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value.value if isinstance(value, Enum) else value)
