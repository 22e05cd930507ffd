"""Plan of a stand-in process, read from an INI file."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..config.document import ServiceKind
from ..ids import ServiceId, VersionId, ZoneId
from ..settings.inisections import Problems, parse_sections, read_struct, suggest_name
from ..settings.inivalues import ListenAddress
from .engine_profile import EngineProfile
from .plainservice import PlainServiceProfile

Name = Annotated[str, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class PlatformPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the platform's stand-in.

    Attributes
    ----------
    livelist_lag_ms : int
        Time until a change shows on the live list.
    seed : int
        Seed of all random draws of the process.
    """

    listen: ListenAddress
    livelist_lag_ms: Annotated[int, Meta(ge=0, le=600_000)] = 5_000
    seed: Annotated[int, Meta(ge=0)] = 1


class ServedEndpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint that the process serves.

    Attributes
    ----------
    kind : ServiceKind
        Model engine or plain service.
    prefill_tokens_per_s, decode_base_ms : float
        Speed of an engine's prefill and of one decoding step.
    max_running : int
        Maximum number of requests in an engine's batch.
    service_ms : int
        Time that a plain service needs for a call.
    """

    kind: ServiceKind
    service: ServiceId
    version: VersionId
    zone: ZoneId
    listen: ListenAddress
    prefill_tokens_per_s: Annotated[float, Meta(gt=0)] = 8_000.0
    decode_base_ms: Annotated[float, Meta(ge=0)] = 10.0
    max_running: Annotated[int, Meta(ge=1, le=4_096)] = 8
    service_ms: Annotated[int, Meta(ge=0, le=600_000)] = 20

    def engine_profile(self) -> EngineProfile:
        """Return the profile of an engine with these settings."""
        return EngineProfile(
            max_running=self.max_running,
            prefill_tokens_per_s=self.prefill_tokens_per_s,
            decode_base_ms=self.decode_base_ms,
            decode_ms_per_running=0.1 * self.decode_base_ms,
        )

    def service_profile(self) -> PlainServiceProfile:
        """Return the profile of a plain service's endpoint with these settings."""
        return PlainServiceProfile(service_ms=self.service_ms)


class ListedEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry instance on the live list, run by another process."""

    zone: ZoneId
    http: ListenAddress
    peer: ListenAddress


class StandinPlan(msgspec.Struct, frozen=True):
    """All servers of one stand-in process and the entry instances to list."""

    platform: PlatformPlan
    endpoints: dict[str, ServedEndpoint]
    entries: dict[str, ListedEntry]

    @classmethod
    def from_text(cls, text: str, file: str) -> StandinPlan:
        """Parse a plan; ``file`` names it in error messages.

        Raises
        ------
        SettingsError
            If the plan is invalid; the message lists all problems.
        """
        problems = Problems(file)
        platform: PlatformPlan | None = None
        endpoints: dict[str, ServedEndpoint] = {}
        entries: dict[str, ListedEntry] = {}
        for section, values in parse_sections(text, problems).items():
            kind, _, name = section.partition(" ")
            if kind == "platform" and not name:
                platform = read_struct(PlatformPlan, section, values, problems)
            elif kind == "endpoint" and name:
                endpoint = read_struct(ServedEndpoint, section, values, problems)
                endpoints[name] = endpoint
            elif kind == "entry" and name:
                entries[name] = read_struct(ListedEntry, section, values, problems)
            else:
                known = ("platform", "endpoint NAME", "entry NAME")
                hint = suggest_name(section, known)
                problems.add(section, "", f"unknown section; {hint}")
        if platform is None and not problems.entries:
            problems.add("platform", "", "section is missing")
        problems.raise_if_any()
        return cls(platform, endpoints, entries)
