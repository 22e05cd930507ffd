"""Checks across the sections of a document."""

from __future__ import annotations

from ..ids import ServiceId
from ..settings.inisections import Problem, Problems, suggest_name
from .document import Document, RequestClass, ServiceKind, Version

MIN_DEADLINE_WALL_MS = 1_577_836_800_000
"""2020-01-01T00:00:00Z; an earlier deadline is taken for a typing error."""
MAX_DEADLINE_WALL_MS = 4_102_444_800_000
"""2100-01-01T00:00:00Z; a later deadline is taken for a typing error."""


def check_document(document: Document, file: str = "configuration") -> list[Problem]:
    """Return the problems between sections of a document."""
    problems = Problems(file)
    for name, request_class in document.classes.items():
        _check_class(document, f"class {name}", request_class, problems)
    _check_customers(document, problems)
    _check_versions(document, problems)
    return problems.entries


def _check_class(
    document: Document, section: str, request_class: RequestClass, problems: Problems
) -> None:
    service = document.services.get(request_class.service)
    if service is None:
        hint = suggest_name(request_class.service, document.services)
        problems.add(
            section, "service", f"unknown service {request_class.service!r}; {hint}"
        )
        return
    if request_class.repeats > 0:
        return
    if service.kind is ServiceKind.MODEL:
        problems.add(
            section,
            "repeats",
            "0 is for plain services; a model service resumes its streams on other "
            "endpoints, which repeats a request; expected 1 to 10",
        )
    if request_class.retention_s * 1_000 < request_class.answer_within_ms:
        problems.add(
            section,
            "retention_s",
            f"{request_class.retention_s}; the record of an at-most-once request must "
            "outlast its target; expected at least "
            f"{-(-request_class.answer_within_ms // 1_000)}",
        )


def _check_customers(document: Document, problems: Problems) -> None:
    owners: dict[str, str] = {}
    for name, customer in document.customers.items():
        section = f"customer {name}"
        for class_name in customer.classes:
            if class_name not in document.classes:
                hint = suggest_name(class_name, document.classes)
                message = f"unknown class {class_name!r}; {hint}"
                problems.add(section, "classes", message)
        owner = owners.setdefault(customer.credential_sha256, name)
        if owner != name:
            message = f"is also that of customer {owner!r}; each customer needs its own"
            problems.add(section, "credential_sha256", message)


def _check_versions(document: Document, problems: Problems) -> None:
    by_service: dict[ServiceId, list[Version]] = {}
    for version in document.versions:
        section = f"version {version.service} {version.version}"
        if version.service not in document.services:
            hint = suggest_name(version.service, document.services)
            message = f"unknown service {version.service!r}; {hint}"
            problems.add(section, "", message)
            continue
        by_service.setdefault(version.service, []).append(version)
    for name in document.services:
        _check_service_versions(name, by_service.get(name, []), problems)


def _check_service_versions(
    service: ServiceId, versions: list[Version], problems: Problems
) -> None:
    starting = [one.version for one in versions if one.deadline_wall_ms is None]
    if len(starting) != 1:
        listed = f" ({', '.join(starting)})" if starting else ""
        problems.add(
            f"service {service}",
            "",
            f"has {len(starting)} starting versions{listed}; expected exactly one "
            f"[version {service} VERSION] without a deadline",
        )
    deadlines: dict[int, str] = {}
    names: set[str] = set()
    for one in versions:
        section = f"version {service} {one.version}"
        if one.version in names:
            problems.add(section, "", "repeated section")
        names.add(one.version)
        if one.deadline_wall_ms is None:
            continue
        if not MIN_DEADLINE_WALL_MS <= one.deadline_wall_ms <= MAX_DEADLINE_WALL_MS:
            problems.add(section, "deadline", "expected a time from 2020 to 2100")
        other = deadlines.setdefault(one.deadline_wall_ms, one.version)
        if other != one.version:
            message = f"is also that of version {other!r}; each version needs its own"
            problems.add(section, "deadline", message)
