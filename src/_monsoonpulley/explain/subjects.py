"""Subjects of log lines, under which the lines are found.

============================  =================================
Subject                       Text
============================  =================================
A request                     its id
A version of a service        ``rollout:SERVICE/VERSION``
An instance or an endpoint    ``instance:NAME``
A control duty                ``duty:NAME``
The configuration             ``config``
============================  =================================
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from functools import lru_cache
from typing import Any

import msgspec

Fields = Mapping[str, Any]
Finder = Callable[[Fields], Iterable["Subject"]]


class SubjectKind(Enum):
    """Kind of subject."""

    REQUEST = "request"
    ROLLOUT = "rollout"
    INSTANCE = "instance"
    DUTY = "duty"
    CONFIG = "config"


class Subject(msgspec.Struct, frozen=True, gc=False):
    """Subject of log lines; ``text`` is the name that operators type."""

    kind: SubjectKind
    text: str


CONFIG = Subject(SubjectKind.CONFIG, "config")
INSTANCE_FIELDS = ("endpoint", "chosen", "peer", "reclaimed", "holder", "adopter")
REQUEST_FIELDS = frozenset({"request_id", "attempt_id", "request"})
_finders: dict[str, Finder] = {}


def subject_finder(event: str) -> Callable[[Finder], Finder]:
    """Return a decorator that registers a finder for an event's further subjects.

    These are subjects that `subjects_of` doesn't find in fields. An event name
    that ends in ``_`` matches all events that begin with it.
    """

    def register(finder: Finder) -> Finder:
        _finders[event] = finder
        return finder

    return register


def request_subject(request_id: str) -> Subject:
    """Return the subject of a request."""
    return Subject(SubjectKind.REQUEST, request_id)


def rollout_subject(service: str, version: str) -> Subject:
    """Return the subject of a version of a service."""
    return Subject(SubjectKind.ROLLOUT, f"rollout:{service}/{version}")


@lru_cache(maxsize=10_000)
def instance_subject(name: str) -> Subject:
    """Return the subject of an instance or an endpoint."""
    return Subject(SubjectKind.INSTANCE, f"instance:{name}")


@lru_cache(maxsize=1_000)
def duty_subject(name: str) -> Subject:
    """Return the subject of a control duty."""
    return Subject(SubjectKind.DUTY, f"duty:{name}")


def subjects_of(event: str, fields: Fields, own_instance: str = "") -> list[Subject]:
    """Return the subjects of a line, each once.

    Parameters
    ----------
    event : str
        Name of the event.
    fields : mapping
        The line's other fields.
    own_instance : str
        Instance that writes the line.
    """
    found: list[Subject] = []
    request_id = fields.get("request_id")
    if request_id:
        found.append(request_subject(request_id))
    for name in INSTANCE_FIELDS:
        value = fields.get(name)
        if value and type(value) is str:
            found.append(instance_subject(value))
    duty_name = fields.get("duty")
    if duty_name:
        found.append(duty_subject(duty_name))
    finder = _finder_of(event)
    if finder is not None:
        found.extend(_run_finder(finder, fields))
    if event.startswith("instance_") and own_instance:
        found.append(instance_subject(own_instance))
    if len(found) < 2:
        return found
    return list({subject.text: subject for subject in found}.values())


def is_about_request(fields: Fields) -> bool:
    """Return whether a line belongs to a request, which are most lines."""
    return not REQUEST_FIELDS.isdisjoint(fields)


@lru_cache(maxsize=1_000)
def _finder_of(event: str) -> Finder | None:
    """Return the finder of an event, or of its prefix up to the first ``_``."""
    prefix = event.partition("_")[0] + "_"
    return _finders.get(event) or _finders.get(prefix)


def _run_finder(finder: Finder, fields: Fields) -> list[Subject]:
    """Return the subjects that a finder yields, none if the line lacks fields.

    Logging must never make the logged operation fail.
    """
    try:
        return list(finder(fields))
    except (LookupError, TypeError, AttributeError):
        return []


@subject_finder("config_")
def _configuration_subjects(fields: Fields) -> Iterable[Subject]:
    return (CONFIG,)


@subject_finder("rollout_")
def _rollout_subjects(fields: Fields) -> Iterable[Subject]:
    # Decisions nest the ordered version; trips are structs not yet encoded to JSON.
    about = fields.get("order") or fields.get("trip") or fields
    if not isinstance(about, Mapping):
        about = {"service": about.service, "version": about.version}
    return (rollout_subject(about["service"], about["version"]),)


@subject_finder("attempt_failed")
def _attempt_subjects(fields: Fields) -> Iterable[Subject]:
    yield request_subject(fields["attempt_id"].rpartition(".")[0])


@subject_finder("route_failed")
def _failed_route_subjects(fields: Fields) -> Iterable[Subject]:
    yield request_subject(fields["request"].request_id)


@subject_finder("evacuation")
def _evacuation_subjects(fields: Fields) -> Iterable[Subject]:
    for step in fields["steps"]:
        yield request_subject(step["request_id"])


@subject_finder("journal")
def _journal_subjects(fields: Fields) -> Iterable[Subject]:
    endpoint = fields.get("event_fields", {}).get("endpoint")
    if endpoint:
        yield instance_subject(endpoint)
