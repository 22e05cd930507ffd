"""Conversion of INI values from text, and descriptions of allowed values."""

from __future__ import annotations

import ipaddress
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar, get_origin

import msgspec
from msgspec import inspect

T = TypeVar("T", bound="ValueType")

SECRET_WORDS = frozenset({"credential", "key", "secret", "password"})


class ValueType(msgspec.Struct, frozen=True):
    """Base of value types that parse the text of one field."""

    @classmethod
    def from_text(cls: type[T], text: str) -> T:
        """Return the value.

        Raises
        ------
        ValueError
            If the text isn't allowed; the message says what is.
        """
        raise NotImplementedError

    @classmethod
    def describe_allowed(cls) -> str:
        """Return a description of the allowed text."""
        raise NotImplementedError


class ListenAddress(ValueType, frozen=True):
    """An IP address and a TCP port."""

    ip: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> ListenAddress:
        """Return the address in ``IP:PORT``, with brackets around IPv6."""
        ip, _, port = text.rpartition(":")
        try:
            number = ipaddress.ip_address(ip.strip("[]"))
        except ValueError:
            raise ValueError(cls.describe_allowed()) from None
        if not port.isdecimal() or int(port) > 65_535:
            raise ValueError(cls.describe_allowed())
        return cls(str(number), int(port))

    @classmethod
    def describe_allowed(cls) -> str:
        """Return a description of the allowed text."""
        return "IP:PORT with a port from 0 to 65535, such as 10.0.0.4:8080"

    def __str__(self) -> str:
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"


class AdapterAddress(ValueType, frozen=True):
    """The adapter for a platform service, and the URL of the service."""

    adapter: str
    url: str = ""

    @classmethod
    def from_text(cls, text: str) -> AdapterAddress:
        """Return the address in ``NAME`` or ``NAME URL``."""
        parts = text.split()
        if len(parts) == 2 and "://" in parts[1]:
            return cls(parts[0], parts[1])
        if len(parts) == 1 and "://" not in parts[0]:
            return cls(parts[0])
        raise ValueError(cls.describe_allowed())

    @classmethod
    def describe_allowed(cls) -> str:
        """Return a description of the allowed text."""
        return "an adapter name and a URL, such as: http http://10.0.0.9:7001"

    def __str__(self) -> str:
        return f"{self.adapter} {self.url}".rstrip()


class Secret(ValueType, frozen=True):
    """A secret, whose value never appears in messages or logs."""

    value: str

    MIN_LENGTH = 16
    FILE_PREFIX = "file:"

    @classmethod
    def from_text(cls, text: str) -> Secret:
        """Return the text itself, or the first line of ``file:PATH``, as a secret."""
        if text.startswith(cls.FILE_PREFIX):
            path = text.removeprefix(cls.FILE_PREFIX).strip()
            text = _read_first_line(path)
        if len(text) < cls.MIN_LENGTH:
            raise ValueError(cls.describe_allowed())
        return cls(text)

    @classmethod
    def describe_allowed(cls) -> str:
        """Return a description of the allowed text."""
        return f"at least {cls.MIN_LENGTH} characters, or file:PATH of a file with them"

    def __repr__(self) -> str:
        return "Secret(...)"

    __str__ = __repr__


def _read_first_line(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8").partition("\n")[0].strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        raise ValueError(f"a readable file: {path}: {reason}") from None


def is_secret_field(name: str) -> bool:
    """Return whether a field's name has a word that marks its value as secret."""
    return not SECRET_WORDS.isdisjoint(name.split("_"))


def convert_value(name: str, text: str, annotation: Any) -> Any:
    """Return the value of a field.

    Raises
    ------
    ValueError
        If the text isn't allowed. The message says what is, and shows the
        text unless it is a secret.
    """
    shown_text = "value not shown" if is_secret_field(name) else repr(text)
    if not text.strip() and not _is_tuple(annotation) and annotation is not str:
        raise ValueError(f"has no value; expected {describe_type(annotation)}")
    if isinstance(annotation, type) and issubclass(annotation, ValueType):
        try:
            return annotation.from_text(text)
        except ValueError as error:
            raise ValueError(f"{shown_text}; expected {error}") from None
    raw: Any = text
    if _is_tuple(annotation):
        raw = [part.strip() for part in text.split(",") if part.strip()]
    try:
        return msgspec.convert(raw, annotation, strict=False)
    except msgspec.ValidationError:
        raise ValueError(
            f"{shown_text}; expected {describe_type(annotation)}"
        ) from None


def _is_tuple(annotation: Any) -> bool:
    return get_origin(annotation) is tuple


def describe_type(annotation: Any) -> str:
    """Return a description of the values that a type allows."""
    if isinstance(annotation, type) and issubclass(annotation, ValueType):
        return annotation.describe_allowed()
    return _describe_info(inspect.type_info(annotation))


def _describe_info(info: inspect.Type) -> str:
    if isinstance(info, inspect.Metadata):
        return _describe_info(info.type)
    if isinstance(info, inspect.IntType):
        return f"a whole number{_describe_range(info.ge, info.le)}"
    if isinstance(info, inspect.FloatType):
        return f"a number{_describe_range(info.ge, info.le)}"
    if isinstance(info, inspect.BoolType):
        return "true or false"
    if isinstance(info, inspect.EnumType):
        return f"one of: {', '.join(_enum_values(info.cls))}"
    if isinstance(info, inspect.DateTimeType):
        return "a time with its zone, such as 2026-12-04T10:00:00Z"
    if isinstance(info, inspect.VarTupleType):
        return f"a list with commas, of {_describe_info(info.item_type)}"
    if isinstance(info, inspect.UnionType):
        types = [one for one in info.types if not isinstance(one, inspect.NoneType)]
        return " or ".join(_describe_info(one) for one in types)
    if isinstance(info, inspect.StrType) and info.pattern:
        return f"text that matches {info.pattern}"
    return "text"


def _enum_values(enum_type: type[Enum]) -> list[str]:
    return [str(member.value) for member in enum_type]


def _describe_range(low: float | None, high: float | None) -> str:
    if low is None and high is None:
        return ""
    if high is None:
        return f" of at least {low}"
    if low is None:
        return f" of at most {high}"
    return f" from {low} to {high}"
