"""Conversion between a document and its sections."""

from __future__ import annotations

from typing import Any

import msgspec

from ..ids import ClassId, CustomerId, ServiceId
from .document import Document, Version


class SectionKey(msgspec.Struct, frozen=True, order=True):
    """Kind and names of a section, as in its header."""

    kind: str
    names: tuple[str, ...]

    def __str__(self) -> str:
        return " ".join((self.kind, *self.names))


Sections = dict[SectionKey, Any]


def split_document(document: Document) -> Sections:
    """Return the sections of a document."""
    sections: Sections = {}
    for name, service in document.services.items():
        sections[SectionKey("service", (name,))] = service
    for version in document.versions:
        names = (version.service, version.version)
        sections[SectionKey("version", names)] = version
    for name, request_class in document.classes.items():
        sections[SectionKey("class", (name,))] = request_class
    for name, customer in document.customers.items():
        sections[SectionKey("customer", (name,))] = customer
    return sections


def join_sections(sections: Sections) -> Document:
    """Return the document that has the given sections."""
    by_kind: dict[str, dict[str, Any]] = {}
    for key, section in sections.items():
        by_kind.setdefault(key.kind, {})[" ".join(key.names)] = section
    classes = by_kind.get("class", {})
    customers = by_kind.get("customer", {})
    services = by_kind.get("service", {})
    versions: dict[str, Version] = by_kind.get("version", {})
    return Document(
        classes={ClassId(name): one for name, one in classes.items()},
        customers={CustomerId(name): one for name, one in customers.items()},
        services={ServiceId(name): one for name, one in services.items()},
        versions=tuple(versions.values()),
    )
