"""Conversion of INI text into structs, with a report of all problems.

The process settings and the operators' configuration are both read by this
module, so that their error messages have the same form.
"""

from __future__ import annotations

import configparser
from collections.abc import Container, Iterable
from difflib import get_close_matches
from functools import cache
from typing import Any, TypeVar

import msgspec

from ..errors import SettingsError
from .inivalues import convert_value

T = TypeVar("T")


class Problem(msgspec.Struct, frozen=True):
    """One problem in a file.

    Attributes
    ----------
    file : str
        Path or name of the file.
    section : str
        Section header without brackets; empty for the whole file.
    field : str
        Field of the section; empty for the whole section.
    message : str
        What is wrong, and what would be right.
    """

    file: str
    section: str
    field: str
    message: str

    def __str__(self) -> str:
        parts = [f"[{self.section}]"] if self.section else []
        parts += [self.field] if self.field else []
        where = f"{' '.join(parts)}: " if parts else ""
        return f"{self.file}: {where}{self.message}"


class InvalidFile(SettingsError):
    """The error for a file with problems, all of which are in ``problems``."""

    def __init__(self, problems: Iterable[Problem]):
        self.problems = tuple(problems)
        super().__init__("\n".join(str(problem) for problem in self.problems))


class Problems:
    """Collects the problems of one file."""

    def __init__(self, file: str):
        self.file = file
        self.entries: list[Problem] = []

    def add(self, section: str, field: str, message: str) -> None:
        """Add a problem."""
        self.entries.append(Problem(self.file, section, field, message))

    def raise_if_any(self) -> None:
        """Raise `InvalidFile` if there are problems."""
        if self.entries:
            raise InvalidFile(self.entries)


Section = dict[str, str]


def parse_sections(text: str, problems: Problems) -> dict[str, Section]:
    """Return the sections of INI text, and add each invalid line to ``problems``.

    The parser stops at its first error. Each invalid line is therefore removed
    and the rest is parsed again, until all invalid lines are found.
    """
    lines = text.splitlines()
    renamed: set[str] = set()
    while True:
        parser = _new_parser()
        try:
            parser.read_string("\n".join(lines) + "\n", problems.file)
        except configparser.DuplicateSectionError as error:
            problems.add(error.section, "", f"line {error.lineno}: repeated section")
            # Without a header its fields would join the preceding section.
            name = f"{error.section} (line {error.lineno})"
            renamed.add(name)
            lines[error.lineno - 1] = f"[{name}]"
        except configparser.DuplicateOptionError as error:
            message = f"line {error.lineno}: repeated field"
            problems.add(error.section, error.option, message)
            lines[error.lineno - 1] = ""
        except configparser.MissingSectionHeaderError as error:
            problems.add(
                "", "", f"line {error.lineno}: text before the first [section]"
            )
            lines[error.lineno - 1] = ""
        except configparser.ParsingError as error:
            for lineno, _ in error.errors:
                problems.add("", "", f"line {lineno}: expected 'field = value'")
                lines[lineno - 1] = ""
        else:
            break
    return {
        name: dict(parser.items(name))
        for name in parser.sections()
        if name not in renamed
    }


def _new_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        default_section="",
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint with the most similar known name, or all known names."""
    names = sorted(known)
    matches = get_close_matches(name.lower(), names, n=1, cutoff=0.6)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"known: {', '.join(names) or 'none'}"


def read_struct(
    struct_type: type[T],
    section: str,
    values: Section,
    problems: Problems,
    reported_fields: Container[str] = (),
) -> T | None:
    """Return the section as a struct, or ``None`` if it has problems.

    The problems are added to ``problems``. Fields in ``reported_fields`` have
    problems that were added before: they aren't reported as missing, and with
    any of them the result is ``None``.
    """
    count_before = len(problems.entries)
    fields = _fields_by_name(struct_type)
    field_values: dict[str, Any] = {}
    for name, text in values.items():
        if name not in fields:
            message = f"unknown field; {suggest_name(name, fields)}"
            problems.add(section, name, message)
            continue
        try:
            field_values[name] = convert_value(name, text, fields[name].type)
        except ValueError as error:
            problems.add(section, name, str(error))
    for name, field in fields.items():
        if field.required and name not in values and name not in reported_fields:
            problems.add(section, name, "is missing")
    if len(problems.entries) > count_before or reported_fields:
        return None
    return struct_type(**field_values)


@cache
def _fields_by_name(struct_type: type) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
