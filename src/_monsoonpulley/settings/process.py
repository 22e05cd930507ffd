"""Settings of one process, read from an INI file when it starts.

Each field of `Settings` is a section, and each field of that section's struct
is a line in it.
"""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from ..callerbudget import BudgetLimits
from ..errors import SettingsError
from ..ids import InstanceId, ZoneId
from .inisections import (
    Problems,
    parse_sections,
    read_struct,
    suggest_name,
)
from .inivalues import AdapterAddress, ListenAddress, Secret

MEGABYTE_BYTES = 1_000_000

Name = Annotated[str, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._-]*$")]


class LogLevel(Enum):
    """Lowest level that is logged."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity of this entry instance and the addresses it listens on.

    Attributes
    ----------
    instance : InstanceId
        The platform's name for this instance.
    zone : ZoneId
        Data centre of this instance.
    region : str
        Region of that data centre.
    http_listen : ListenAddress
        Address for callers and operators.
    peer_listen : ListenAddress
        Address for other entry instances.
    """

    instance: Annotated[InstanceId, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._-]*$")]
    zone: Annotated[ZoneId, Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._-]*$")]
    region: Name
    http_listen: ListenAddress
    peer_listen: ListenAddress


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Adapter and URL of each service of the platform.

    ``timeout_ms`` bounds one exchange with any of the services.
    """

    table: AdapterAddress
    objects: AdapterAddress
    livelist: AdapterAddress
    cloud: AdapterAddress
    timeout_ms: Annotated[int, Meta(ge=100, le=60_000)] = 2_000


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The key by which entry instances authenticate each other's messages."""

    key: Secret


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The credential for the operators' interface."""

    credential_sha256: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is logged."""

    level: LogLevel = LogLevel.INFO


class MetricsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics are sent; without a host they aren't sent."""

    host: str = ""
    port: Annotated[int, Meta(ge=1, le=65_535)] = 8_125
    prefix: Name = "monsoonpulley"


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of this process.

    Attributes
    ----------
    in_progress : int
        Largest number of requests in progress.
    body_bytes : int
        Size of the largest request body of any class.
    shutdown_ms : int
        Longest wait for requests in progress at a planned stop.
    memory_mb : int
        Memory that the process may take; 0 for that of the machine.
    file_descriptors : int
        Descriptors that it may open; 0 for its limit from the system.
    header_bytes : int
        Size of the largest head of a request.
    header_ms : int
        Time in which a head must arrive.
    """

    in_progress: Annotated[int, Meta(ge=1, le=1_000_000)] = 4_096
    body_bytes: Annotated[int, Meta(ge=1_024, le=67_108_864)] = 67_108_864
    shutdown_ms: Annotated[int, Meta(ge=0, le=86_400_000)] = 900_000
    memory_mb: Annotated[int, Meta(ge=0, le=16_777_216)] = 0
    file_descriptors: Annotated[int, Meta(ge=0, le=16_777_216)] = 0
    header_bytes: Annotated[int, Meta(ge=1_024, le=1_048_576)] = 65_536
    header_ms: Annotated[int, Meta(ge=100, le=600_000)] = 10_000

    def caller_limits(self) -> BudgetLimits:
        """Return the limits of what all callers hold."""
        return BudgetLimits.from_machine(
            self.memory_mb * MEGABYTE_BYTES or None, self.file_descriptors or None
        )


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a process, with one field for each section."""

    entry: EntrySettings
    platform: PlatformSettings
    peers: PeerSettings
    operator: OperatorSettings
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    limits: LimitSettings = LimitSettings()

    @classmethod
    def from_file(cls, path: str | Path) -> Settings:
        """Return the settings in a file.

        Raises
        ------
        SettingsError
            If it can't be read or isn't valid; the message has all problems.
        """
        return cls.from_text(read_text(path), str(path))

    @classmethod
    def from_text(cls, text: str, file: str = "settings") -> Settings:
        """Return the settings in INI text; ``file`` is its name in messages."""
        problems = Problems(file)
        sections = parse_sections(text, problems)
        fields = {field.name: field for field in msgspec.structs.fields(cls)}
        read: dict[str, Any] = {}
        for name, values in sections.items():
            if name not in fields:
                hint = suggest_name(name, fields)
                problems.add(name, "", f"unknown section; {hint}")
                continue
            read[name] = read_struct(fields[name].type, name, values, problems)
        for name, field in fields.items():
            if field.required and name not in sections:
                problems.add(name, "", "section is missing")
        problems.raise_if_any()
        return cls(**read)


def read_text(path: str | Path) -> str:
    """Return the text of a file.

    Raises
    ------
    SettingsError
        If it can't be read as UTF-8.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from None
    except UnicodeDecodeError:
        raise SettingsError(f"{path}: not UTF-8 text") from None
