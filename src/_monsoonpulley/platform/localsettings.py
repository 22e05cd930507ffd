"""The settings file that the platform writes for each process."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from ..errors import SettingsError
from ..ids import InstanceId, ZoneId


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Return the address of ``IP:PORT``; raises ValueError."""
        ip, _, port = text.rpartition(":")
        if not ip or not port.isdigit():
            raise ValueError(f"{text!r} is no IP:PORT")
        return cls(ip, int(port))


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the platform holds the system to; names as it gives them.

    Attributes
    ----------
    retry_budget_ratio, budget_window_s, budget_extra_retries
        Repeats to a service in a window, over all instances: the ratio of its
        requests plus the extra.
    quota_window_s, quota_overage, quota_slack
        A customer's use in a window may exceed its quota by the share
        ``quota_overage`` and by ``quota_slack`` besides.
    grace_period_s
        From SIGTERM to SIGKILL.
    lease_duration_ms
        Holders of a duty may not alternate faster.
    usage_window_s, usage_late_s
        Length of a usage window, and how long after its end it is due.
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


class LocalSettings(msgspec.Struct, frozen=True):
    """What a process knows of itself and of the platform.

    Attributes
    ----------
    instance : InstanceId
        Name of the machine.
    zone : ZoneId
        Its data centre.
    caller_address, readiness_address : Address
        Where callers and the platform's balancer connect.
    peer_ip, peer_ports
        Ports that are free for the project's own use, first and last.
    store_address, cloud_address : Address or None
        The platform's store and its machines' API.
    duties : tuple of str
        Duties that the cloud expects.
    bounds : Bounds
        Limits in force.
    is_first_start : bool
        Whether the whole system starts for the first time.
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

    @classmethod
    def from_file(cls, path: Path) -> LocalSettings:
        """Read the file.

        Raises
        ------
        SettingsError
            If the file can't be read or lacks a field that is needed.
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
        )


class _Listen(msgspec.Struct):
    frontend: str
    ready: str


class _Platform(msgspec.Struct):
    address: str


class _Cloud(msgspec.Struct):
    address: str = ""
    duties: tuple[str, ...] = ()


class _Wire(msgspec.Struct):
    """The file's own layout; fields it doesn't list are ignored."""

    node_name: str
    zone: str
    ip_address: str
    internal_port_range: tuple[int, int]
    listen: _Listen
    platform: _Platform
    first_start: bool = False
    cloud: _Cloud = msgspec.field(default_factory=_Cloud)
    bounds: Bounds = msgspec.field(default_factory=Bounds)
