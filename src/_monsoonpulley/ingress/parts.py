"""What requests share on one instance."""

from __future__ import annotations

import msgspec

from ..clock import Clock
from ..duties.usage import UsageCounter
from ..fleet.configurationholder import ConfigurationHolder
from ..fleet.directory import EndpointDirectory
from ..ids import ZoneId
from ..limits.quota import QuotaLedger
from ..limits.retrybudget import RetryBudget
from ..observability.log import Log
from ..placing.health import EndpointHealth
from ..placing.loadboard import LoadBoard
from ..placing.placer import Placer
from ..placing.promptmemory import PromptMemory
from ..placing.zonereach import ZoneReach
from ..sharing.members import Members
from .counters import Counters
from .upstreams import Upstreams


class IngressParts(msgspec.Struct):
    """The parts that every request uses; one of each on an instance."""

    zone: ZoneId
    clock: Clock
    log: Log
    counters: Counters
    configuration: ConfigurationHolder
    directory: EndpointDirectory
    members: Members
    quotas: QuotaLedger
    retries: RetryBudget
    board: LoadBoard
    health: EndpointHealth
    memory: PromptMemory
    placer: Placer
    reach: ZoneReach
    upstreams: Upstreams
    usage: UsageCounter
