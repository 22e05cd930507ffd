"""What instances tell each other of endpoints that crashed."""

from __future__ import annotations

import msgspec

PROOF_MS = 500
"""Most requests that crash endpoints do so before they were answered for so long."""

MAX_SUSPECTS = 40
"""Suspects in a report; an engine runs fewer requests of one instance at a time."""


class PartEvidence(msgspec.Struct, frozen=True, array_like=True):
    """A part of a suspect's prompt.

    Attributes
    ----------
    fingerprint : str
        Its fingerprint.
    served_ms : int or None
        Time from the reporting instance's last sound answer to a request with this part
        to the crash; None if it knows of none. An answer counts from its beginning.
    ended_ms : int or None
        The same for the end of such an answer.
    """

    fingerprint: str
    served_ms: int | None = None
    ended_ms: int | None = None


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that an endpoint had, or had begun to answer, when it crashed.

    Attributes
    ----------
    request : str
        Fingerprint of the request; repeats of it have the same one.
    parts : tuple of PartEvidence
        Parts of its prompt that other requests may share.
    ran_ms : int
        Time from its sending to the crash.
    answered_ms : int
        Time from the beginning of its answer to the crash; 0 if it hadn't begun.
    """

    request: str
    parts: tuple[PartEvidence, ...]
    ran_ms: int
    answered_ms: int = 0

    @property
    def is_late(self) -> bool:
        """Whether the endpoint had been answering it soundly for a while."""
        return self.answered_ms >= PROOF_MS


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an endpoint as one instance saw it.

    Attributes
    ----------
    endpoint, service, version : str
        The endpoint, its service and the version of its software.
    started_wall_ms : int or None
        Wall time of the endpoint's start; tells apart incarnations with the same id.
    instance : str
        The instance that saw it.
    suspects : tuple of Suspect
        Its requests at the endpoint.
    age_ms : int
        Time from the crash to the report's sending.
    """

    endpoint: str
    service: str
    version: str
    started_wall_ms: int | None
    instance: str
    suspects: tuple[Suspect, ...]
    age_ms: int = 0

    @property
    def is_late(self) -> bool:
        """Whether all suspects had been answered for a while."""
        return all(suspect.is_late for suspect in self.suspects)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Requests that are refused because they crash endpoints.

    Attributes
    ----------
    fingerprints : tuple of str
        A request with all of these is refused; sorted.
    service : str
        The service whose endpoints crashed.
    versions : tuple of str
        Versions of the software of these endpoints.
    since_wall_ms : int
        Wall time of the decision.
    instance : str
        The instance that decided.
    endpoints : tuple of str
        The endpoints that crashed.
    """

    fingerprints: tuple[str, ...]
    service: str
    versions: tuple[str, ...]
    since_wall_ms: int
    instance: str
    endpoints: tuple[str, ...]

    @property
    def key(self) -> str:
        """Return the entry's name in logs, messages and the store."""
        return "+".join(self.fingerprints)


class QuarantineNews(msgspec.Struct, frozen=True, array_like=True, tag="quarantine"):
    """Reports, entries and lifted entries, sent as soon as they are known.

    Attributes
    ----------
    reports : tuple of CrashReport
        Crashes that the sender saw.
    entries : tuple of Entry
        Entries that it decided.
    lifted : dict
        Wall times at which entries were lifted, by key.
    must_forward : bool
        Whether the receiver sends it on to its data centre.
    """

    reports: tuple[CrashReport, ...] = ()
    entries: tuple[Entry, ...] = ()
    lifted: dict[str, int] = {}
    must_forward: bool = False
