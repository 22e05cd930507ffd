"""Three-way merge of two changes that don't conflict."""

from __future__ import annotations

from .document import Customer, Document, RequestClass
from .sections import SectionKey, Sections, join_sections, split_document


def conflicting_sections(
    base: Document, theirs: Document, yours: Document
) -> tuple[str, ...]:
    """Return the sections in which two changes of ``base`` conflict.

    Two changes conflict in a section that one changes and the other changes or
    refers to. A class refers to its service, a customer to its classes. All
    versions of a service count as one section, because they replace each other.
    References of both changes to an unchanged section don't conflict.
    """
    their_changes, their_references = _changed_and_referenced(base, theirs)
    your_changes, your_references = _changed_and_referenced(base, yours)
    conflicting = (their_changes & your_references) | (your_changes & their_references)
    return tuple(str(key) for key in sorted(conflicting))


def merge(base: Document, theirs: Document, yours: Document) -> Document:
    """Return ``theirs`` with the differences of ``yours`` from ``base`` applied."""
    before, after = split_document(base), split_document(yours)
    merged = split_document(theirs)
    for key in before.keys() | after.keys():
        if before.get(key) == after.get(key):
            continue
        if key in after:
            merged[key] = after[key]
        else:
            merged.pop(key, None)
    return join_sections(merged)


def _changed_and_referenced(
    base: Document, changed: Document
) -> tuple[set[SectionKey], set[SectionKey]]:
    """Return the changed sections, and these with the ones they refer to."""
    before, after = split_document(base), split_document(changed)
    changes: set[SectionKey] = set()
    references: set[SectionKey] = set()
    for key in before.keys() | after.keys():
        if before.get(key) == after.get(key):
            continue
        changes.add(_conflict_key(key))
        references |= _referenced_keys(key, before) | _referenced_keys(key, after)
    return changes, changes | references


def _conflict_key(key: SectionKey) -> SectionKey:
    """Return the section's key for conflicts; versions of a service share one."""
    return SectionKey("version", key.names[:1]) if key.kind == "version" else key


def _referenced_keys(key: SectionKey, sections: Sections) -> set[SectionKey]:
    section = sections.get(key)
    if key.kind == "version":
        return {SectionKey("service", key.names[:1])}
    if isinstance(section, RequestClass):
        return {SectionKey("service", (section.service,))}
    if isinstance(section, Customer):
        return {SectionKey("class", (name,)) for name in section.classes}
    return set()
