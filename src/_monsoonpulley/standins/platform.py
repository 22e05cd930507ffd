"""Stand-in of the whole platform: its four services with shared faults."""

from __future__ import annotations

from random import Random

from ..clock import Clock
from ..external.bundle import Platform
from ..ids import ZoneId
from .calls import DEFAULT_TIMEOUT_MS
from .cloud import CloudInstance, CloudStandin
from .faults import Faults, Network
from .livelist import LiveListStandin
from .objects import ObjectStoreStandin
from .table import TableStandin


class PlatformStandin:
    """The platform's table, object store, live list and cloud in memory.

    The live list follows the cloud: an instance with a reclaim notice is marked
    as leaving and an ended one is removed. Adding an instance to the list is
    left to the code that runs it.

    Parameters
    ----------
    clock : Clock
        Clock of the running loop.
    rng : Random
        Source of randomness for faults and latencies.
    lag_ms : int
        Lag of the live list.
    startup_ms : int
        Time from an instance's start until it runs.
    commits_per_s, reads_per_s : float, optional
        Rates above which the table refuses calls.
    """

    def __init__(
        self,
        clock: Clock,
        rng: Random,
        *,
        lag_ms: int = 0,
        startup_ms: int = 0,
        commits_per_s: float | None = None,
        reads_per_s: float | None = None,
    ):
        self.faults = Faults(rng)
        self.table = TableStandin(
            clock,
            rng,
            self.faults,
            commits_per_s=commits_per_s,
            reads_per_s=reads_per_s,
        )
        self.objects = ObjectStoreStandin(clock, rng, self.faults)
        self.livelist = LiveListStandin(clock, rng, self.faults, lag_ms=lag_ms)
        self.cloud = CloudStandin(clock, rng, self.faults, startup_ms=startup_ms)
        self.cloud.on_notice.append(self._on_notice)
        self.cloud.on_ended.append(self._on_ended)

    @property
    def network(self) -> Network:
        """The network, which knows which zones reach each other and the platform."""
        return self.faults.network

    def connect(
        self, peer: str, zone: ZoneId, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> Platform:
        """Return the platform as the instance ``peer`` sees it."""
        return Platform(
            self.table.connect(peer, zone, timeout_ms),
            self.objects.connect(peer, zone, timeout_ms),
            self.livelist.connect(peer, zone, timeout_ms),
            self.cloud.connect(peer, zone, timeout_ms),
        )

    def _on_notice(self, instance: CloudInstance) -> None:
        self.livelist.mark_leaving(instance.name)

    def _on_ended(self, instance: CloudInstance) -> None:
        self.livelist.remove(instance.name)
