"""The external dependencies of an entry instance."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..config.document import Service
from ..endpoints.pool import Client
from ..explain.peeroperators import NoPeerOperatorClient, PeerOperatorClient
from ..external.bundle import Platform
from ..external.livelist import Member
from ..observability.log import Log
from ..observability.metrics import Metrics
from ..peers.transport import NoTransport, PeerTransport
from ..requests.crashguard import Probe, probe_address

MakeClient = Callable[[Member, Service], Client]


class Environment(msgspec.Struct, frozen=True):
    """External dependencies of an entry instance.

    Attributes
    ----------
    platform : Platform
        The platform's services.
    make_client : callable
        Makes the client of an endpoint from its member and service.
    clock, rng, log, metrics
        Clock, randomness, log and metrics of the process.
    transport : PeerTransport
        Carries messages to other entry instances.
    peer_key : str
        Key that signs these messages.
    peer_operators : PeerOperatorClient
        Reads the explain records of other entry instances.
    probe : callable
        Opens a connection to an endpoint to see whether it listens.
    """

    platform: Platform
    make_client: MakeClient
    clock: Clock
    rng: random.Random
    log: Log
    metrics: Metrics
    transport: PeerTransport = NoTransport()
    peer_key: str = ""
    peer_operators: PeerOperatorClient = NoPeerOperatorClient()
    probe: Probe = probe_address
