"""Typed difference of two configuration documents."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from .document import Document
from .ini import format_deadline


class ChangeKind(Enum):
    """What became of a section."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(msgspec.Struct, frozen=True):
    """A field with another value; values are shown as text."""

    field: str
    before: str
    after: str


class SectionChange(msgspec.Struct, frozen=True):
    """A section that differs; ``fields`` is filled for CHANGED only."""

    section: str
    kind: ChangeKind
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        lines = [f"{self.kind.value} [{self.section}]"]
        lines += [f"  {f.field}: {f.before} -> {f.after}" for f in self.fields]
        return "\n".join(lines)


Difference = tuple[SectionChange, ...]


def difference(before: Document, after: Document) -> Difference:
    """Return the sections in which two documents differ, sorted by name."""
    old, new = _sections(before), _sections(after)
    changes = []
    for section in sorted(old.keys() | new.keys()):
        if section not in old:
            changes.append(SectionChange(section, ChangeKind.ADDED))
        elif section not in new:
            changes.append(SectionChange(section, ChangeKind.REMOVED))
        elif old[section] != new[section]:
            fields = _field_changes(old[section], new[section])
            changes.append(SectionChange(section, ChangeKind.CHANGED, fields))
    return tuple(changes)


def common_sections(one: Difference, other: Difference) -> tuple[str, ...]:
    """Return the names of sections that both differences touch."""
    touched = {change.section for change in one}
    return tuple(c.section for c in other if c.section in touched)


def _sections(document: Document) -> dict[str, msgspec.Struct]:
    sections: dict[str, msgspec.Struct] = {}
    for name, service in document.services.items():
        sections[f"service {name}"] = service
    for name, request_class in document.classes.items():
        sections[f"class {name}"] = request_class
    for name, customer in document.customers.items():
        sections[f"customer {name}"] = customer
    for version in document.versions:
        sections[f"version {version.service} {version.version}"] = version
    return sections


def _field_changes(
    before: msgspec.Struct, after: msgspec.Struct
) -> tuple[FieldChange, ...]:
    changes = []
    for name in before.__struct_fields__:
        old, new = getattr(before, name), getattr(after, name)
        if old != new:
            label = "deadline" if name == "deadline_wall_ms" else name
            changes.append(FieldChange(label, _shown(name, old), _shown(name, new)))
    return tuple(changes)


def _shown(name: str, value: Any) -> str:
    if name == "deadline_wall_ms":
        return "none" if value is None else format_deadline(value)
    if name == "credential_sha256":
        # Enough to tell two apart.
        return f"{value[:8]}..."
    if isinstance(value, tuple):
        return ", ".join(str(one) for one in value) or "none"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value.value if isinstance(value, Enum) else value)
