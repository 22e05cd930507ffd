"""Parsing and rendering of the configuration document as INI text.

Sections are ``[class NAME]``, ``[customer NAME]``, ``[service NAME]`` and
``[version SERVICE VERSION]``.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime, timedelta
from enum import Enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from ..errors import SettingsError
from ..ids import ClassId, CustomerId, ServiceId, VersionId
from ..settings.inisections import (
    InvalidFile,
    Problem,
    Problems,
    Section,
    parse_sections,
    read_struct,
    suggest_name,
)
from .check import check_document
from .document import Customer, Document, RequestClass, Service, ServiceKind, Version
from .steering import STEERING_MESSAGE, has_steering_word, looks_like_address

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
BASE_COMMENT_PATTERN = re.compile(r"^# based on revision (\d{1,12})\s*$", re.MULTILINE)
NAME_RULE = "1 to 63 letters, digits, '.', '_' or '-', starting with letter or digit"
NAME_FIELDS = ("service", "classes")
"""Fields whose values are names of other sections."""
SECTION_FORMS = {
    "class": "[class NAME]",
    "customer": "[customer NAME]",
    "service": "[service NAME]",
    "version": "[version SERVICE VERSION]",
}


class _VersionSection(msgspec.Struct, frozen=True):
    deadline: Annotated[datetime, Meta(tz=True)] | None = None


_STRUCTS: dict[str, type] = {
    "class": RequestClass,
    "customer": Customer,
    "service": Service,
    "version": _VersionSection,
}


def parse_document(text: str, file: str = "configuration") -> Document:
    """Return the document that the INI text describes.

    Parameters
    ----------
    text : str
        INI text.
    file : str
        Name of the text in error messages.

    Raises
    ------
    InvalidFile
        If it isn't valid; ``problems`` has all problems.
    """
    problems = Problems(file)
    sections = parse_sections(text, problems)
    structs: dict[tuple[str, ...], Any] = {}
    texts_by_key: dict[tuple[str, ...], Section] = {}
    is_complete = True
    for header, values in sections.items():
        key = _read_header(header, problems)
        if key is None:
            is_complete = False
            continue
        if key in structs:
            problems.add(header, "", "repeated section")
            continue
        struct = _read_section(key, header, values, problems)
        is_complete = is_complete and struct is not None
        structs[key] = struct
        texts_by_key[key] = values
    document = _build_document(
        {key: one for key, one in structs.items() if one is not None}
    )
    # Otherwise these checks would report each use of an invalid section, too.
    if is_complete:
        problems.entries += check_document(document, file)
        _check_repeats_present(document, texts_by_key, problems)
    problems.raise_if_any()
    return document


def _read_header(header: str, problems: Problems) -> tuple[str, ...] | None:
    kind, *names = header.split()
    if kind not in SECTION_FORMS:
        if has_steering_word(kind) or looks_like_address(kind):
            problems.add(header, "", STEERING_MESSAGE)
        else:
            hint = suggest_name(kind, SECTION_FORMS)
            problems.add(header, "", f"unknown kind of section {kind!r}; {hint}")
        return None
    if len(names) != SECTION_FORMS[kind].count(" "):
        problems.add(header, "", f"expected the form {SECTION_FORMS[kind]}")
        return None
    for name in names[:1]:
        if looks_like_address(name):
            problems.add(header, "", f"{name!r} is an address; {STEERING_MESSAGE}")
            return None
    for name in names:
        if not NAME_PATTERN.fullmatch(name):
            problems.add(header, "", f"name {name!r}; expected {NAME_RULE}")
            return None
    return (kind, *names)


def _read_section(
    key: tuple[str, ...], header: str, values: Section, problems: Problems
) -> Any:
    struct_type = _STRUCTS[key[0]]
    steering = _steering_fields(struct_type, values)
    for name, message in steering.items():
        problems.add(header, name, message)
    accepted = {name: text for name, text in values.items() if name not in steering}
    return read_struct(
        struct_type, header, accepted, problems, reported_fields=steering
    )


def _steering_fields(struct_type: type, values: Section) -> dict[str, str]:
    """Return a message for each field that would set a weight or address."""
    messages = {}
    for name, text in values.items():
        if name in struct_type.__struct_fields__:
            if name in NAME_FIELDS and looks_like_address(text):
                messages[name] = f"{text!r} is an address; {STEERING_MESSAGE}"
        elif has_steering_word(name) or looks_like_address(text):
            messages[name] = STEERING_MESSAGE
    return messages


def _check_repeats_present(
    document: Document, texts_by_key: dict[tuple[str, ...], Section], problems: Problems
) -> None:
    """Report classes of plain services that don't state ``repeats``.

    The default allows repeats, so that a forgotten line would let calls run
    twice that must not, such as bookings.
    """
    for name, request_class in document.classes.items():
        service = document.services.get(request_class.service)
        if service is None or service.kind is not ServiceKind.PLAIN:
            continue
        if "repeats" not in texts_by_key[("class", name)]:
            message = (
                "is missing; a class of a plain service must state it: 0 for calls "
                "that must run at most once, 1 to 10 for idempotent ones"
            )
            problems.add(f"class {name}", "repeats", message)


def _build_document(structs: dict[tuple[str, ...], Any]) -> Document:
    classes = {ClassId(k[1]): one for k, one in structs.items() if k[0] == "class"}
    customers = {
        CustomerId(k[1]): one for k, one in structs.items() if k[0] == "customer"
    }
    services = {ServiceId(k[1]): one for k, one in structs.items() if k[0] == "service"}
    versions = tuple(
        Version(ServiceId(k[1]), VersionId(k[2]), _to_wall_ms(one.deadline))
        for k, one in structs.items()
        if k[0] == "version"
    )
    return Document(classes, customers, services, versions)


def _to_wall_ms(deadline: datetime | None) -> int | None:
    if deadline is None:
        return None
    return (deadline - EPOCH) // timedelta(milliseconds=1)


def render_document(document: Document) -> str:
    """Return INI text that `parse_document` turns into the same document.

    Raises
    ------
    SettingsError
        If a name isn't valid in a section header.
    """
    blocks = []
    for name, service in document.services.items():
        blocks.append(_render_struct(("service", name), service))
    for version in document.versions:
        fields = {}
        if version.deadline_wall_ms is not None:
            fields["deadline"] = format_deadline(version.deadline_wall_ms)
        blocks.append(
            _render_section(("version", version.service, version.version), fields)
        )
    for name, request_class in document.classes.items():
        blocks.append(_render_struct(("class", name), request_class))
    for name, customer in document.customers.items():
        blocks.append(_render_struct(("customer", name), customer))
    return "\n".join(blocks)


def add_base_comment(number: int, text: str) -> str:
    """Return the INI text with a comment that names its revision.

    Applying an edited copy then can't silently undo a later change.
    """
    return f"# based on revision {number}\n\n{text}"


def parse_base_number(text: str) -> int | None:
    """Return the number in the text's base comment, or ``None`` without one."""
    match = BASE_COMMENT_PATTERN.search(text)
    return int(match[1]) if match else None


def format_deadline(deadline_wall_ms: int) -> str:
    """Return Unix epoch milliseconds as ISO 8601 text in UTC."""
    deadline = EPOCH + timedelta(milliseconds=deadline_wall_ms)
    timespec = "milliseconds" if deadline_wall_ms % 1_000 else "seconds"
    return deadline.isoformat(timespec=timespec).replace("+00:00", "Z")


def _render_struct(key: tuple[str, ...], struct: msgspec.Struct) -> str:
    fields = {
        name: _render_value(getattr(struct, name)) for name in struct.__struct_fields__
    }
    return _render_section(key, fields)


def _render_section(key: tuple[str, ...], fields: dict[str, str]) -> str:
    for name in key[1:]:
        if not NAME_PATTERN.fullmatch(name):
            raise SettingsError(f"{key[0]} name {name!r}; expected {NAME_RULE}")
    lines = [f"[{' '.join(key)}]"]
    lines += [f"{name} = {text}".rstrip() for name, text in fields.items()]
    return "\n".join(lines) + "\n"


def _render_value(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(str(one) for one in value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, Enum):
        return str(value.value)
    return str(value)


__all__ = [
    "InvalidFile",
    "Problem",
    "add_base_comment",
    "format_deadline",
    "parse_base_number",
    "parse_document",
    "render_document",
]
