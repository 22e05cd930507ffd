"""The settings file that the platform writes for each process."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from ..errors import SettingsError
from ..ids import InstanceId, RegionId, ZoneId

MEGABYTE_BYTES = 1_000_000
"""The smaller of the two megabytes, as the platform doesn't say which it means."""


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``IP:PORT``; raise ValueError for any other text."""
        ip, _, port = text.rpartition(":")
        if not ip or not port.isdigit():
            raise ValueError(f"address {text!r} is not of the form IP:PORT")
        return cls(ip, int(port))


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the platform sets for the system, under the platform's names.

    Attributes
    ----------
    retry_budget_ratio, budget_window_s, budget_extra_retries
        Retries to a service in a window, over all instances, may not exceed this
        ratio of its requests plus the extra retries.
    quota_window_s, quota_overage, quota_slack
        A customer's use in a window may exceed its quota by the fraction
        ``quota_overage`` plus ``quota_slack``.
    grace_period_s
        Time from SIGTERM to SIGKILL.
    lease_duration_ms
        Minimum time between changes of the holder of a duty.
    usage_window_s, usage_late_s
        Length of a usage window, and how long after its end its report is due.
    outer_bound_ms
        Extension of the bounds on configurations and evacuations while the store is
        unstable.
    cold_overage, cold_slack
        A cold endpoint may get the rate that it tolerates times ``cold_overage``, plus
        ``cold_slack`` requests, in any second.
    evacuation_ms
        Time within which no instance sends to an evacuated data centre any more.
    pass_ms
        Time within which an event of a stream is passed on.
    """

    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_extra_retries: float = 50
    quota_window_s: float = 8
    quota_overage: float = 0.1
    quota_slack: float = 0
    grace_period_s: float = 8
    lease_duration_ms: float = 3_000
    usage_window_s: float = 5
    usage_late_s: float = 10
    drain_timeout_ms: float = 2_000
    exposure_share: float = 0.1
    exposure_slack: float = 50
    outer_bound_ms: float = 5_000
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    evacuation_ms: float = 5_000
    pass_ms: float = 200


class LocalSettings(msgspec.Struct, frozen=True):
    """Settings of one process and addresses of the platform's services.

    Attributes
    ----------
    instance : InstanceId
        Name of the machine.
    zone : ZoneId
        Its data centre.
    caller_address, readiness_address : Address
        Where callers and the platform's load balancer connect.
    peer_ip, peer_ports
        IP address for connections between instances, and the first and last port
        that they may use.
    store_address, cloud_address : Address or None
        The platform's row store and its cloud API; only the latter can be missing.
    duties : tuple of str
        Names of the duties that the cloud expects to be carried out.
    bounds : Bounds
        Limits in force.
    is_first_start : bool
        Whether the whole system starts for the first time.
    region : RegionId
        Region of the data centre; empty if it is not known.
    region_by_zone : dict
        Region of each data centre.
    memory_bytes, file_descriptors : int or None
        Memory and descriptors that the process may take; None if not given.
    """

    instance: InstanceId
    zone: ZoneId
    caller_address: Address
    readiness_address: Address
    peer_ip: str
    peer_ports: tuple[int, int]
    store_address: Address
    cloud_address: Address | None
    duties: tuple[str, ...]
    bounds: Bounds
    is_first_start: bool = False
    region: RegionId = RegionId("")
    region_by_zone: dict[ZoneId, RegionId] = {}
    memory_bytes: int | None = None
    file_descriptors: int | None = None

    @classmethod
    def from_file(cls, path: Path) -> LocalSettings:
        """Read the file.

        Raises
        ------
        SettingsError
            If the file can't be read or lacks a required field.
        """
        try:
            document = tomllib.loads(path.read_text())
            wire = msgspec.convert(document, _Wire)
            return cls._from_wire(wire)
        except (OSError, ValueError) as error:
            raise SettingsError(f"{path}: {error}") from None

    @classmethod
    def _from_wire(cls, wire: _Wire) -> LocalSettings:
        cloud = wire.cloud
        memory_bytes = int((wire.limits.memory_mb or 0) * MEGABYTE_BYTES)
        return cls(
            instance=InstanceId(wire.node_name),
            zone=ZoneId(wire.zone),
            caller_address=Address.parse(wire.listen.frontend),
            readiness_address=Address.parse(wire.listen.ready),
            peer_ip=wire.ip_address,
            peer_ports=wire.internal_port_range,
            store_address=Address.parse(wire.platform.address),
            cloud_address=Address.parse(cloud.address) if cloud.address else None,
            duties=cloud.duties,
            bounds=wire.bounds,
            is_first_start=wire.first_start,
            region=RegionId(wire.region),
            region_by_zone={
                ZoneId(zone): RegionId(region) for zone, region in wire.zones.items()
            },
            memory_bytes=memory_bytes or None,
            file_descriptors=wire.limits.file_descriptors or None,
        )


class _Listen(msgspec.Struct):
    frontend: str
    ready: str


class _Platform(msgspec.Struct):
    address: str


class _Cloud(msgspec.Struct):
    address: str = ""
    duties: tuple[str, ...] = ()


class _Limits(msgspec.Struct):
    memory_mb: float | None = None
    file_descriptors: int | None = None


class _Wire(msgspec.Struct):
    """Layout of the file; unknown fields are ignored."""

    node_name: str
    zone: str
    ip_address: str
    internal_port_range: tuple[int, int]
    listen: _Listen
    platform: _Platform
    first_start: bool = False
    region: str = ""
    zones: dict[str, str] = {}
    cloud: _Cloud = msgspec.field(default_factory=_Cloud)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
