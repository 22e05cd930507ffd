"""The messages between instances and their encoding."""

from __future__ import annotations

import msgspec

from ..control.leasestate import AnnouncedRow
from ..control.verdict import Result
from ..errors import MALFORMED_ERRORS, Failure, Reason, describe_error
from ..fleet.relay import Relay
from ..limits.brittleness import BrittleNotice
from ..limits.endpointrates import Notice
from ..limits.fairshare import WorkEntry
from ..placing.demandmeter import Totals
from ..placing.endpointspeeds import SpeedSample
from ..placing.loadboard import LoadEntry
from ..placing.sharedsums import Sums
from ..quarantine.evidence import Entry, QuarantineNews
from ..rollouts.rollouts import Progress
from ..rollouts.tally import Tally


class Digest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """The state of one instance that other instances use.

    Digests improve decisions, but no guarantee depends on their arrival.

    Attributes
    ----------
    instance : str
        Name of the sender.
    incarnation : int
        Increases with each start of the sender.
    sequence : int
        Increases with each digest of an incarnation.
    ip, port : str, int
        Address at which the sender receives messages.
    zone : str
        The sender's data centre.
    configuration : int
        Version of the configuration in force; 0 if there is none.
    is_leaving : bool
        Whether the sender is stopping.
    reaches_store : bool
        Whether the last call of each of the sender's table followers succeeded.
    lease_token : int
        Fencing number of the lease on the duties if the sender holds it, else 0.
    demand : dict
        Work that arrived at the sender for each service since its start.
    learned : dict
        Sums over the answers of each service's endpoints to the sender.
    lease_row : AnnouncedRow or None
        Row of that lease if the sender holds it.
    rate_limits : dict
        Rate limits of endpoints that the sender heard of itself, with their age.
    era : int
        Era of the store as known to the sender, and of the versions in ``rollouts``,
        ``tallies``, ``lease_row`` and ``evacuated``, which are those on the wire; 0 if
        it knows of none.
    quarantined : tuple
        Entries of requests that are refused because they crash endpoints, each with the
        time since it last refused one.
    served : dict
        Fingerprints suspected of crashes that were served at the sender lately, with
        the time since then. An answer counts once it has gone on for a while.
    lost_links : dict
        Number of endpoints of each service that the sender presumably can't reach.
    brittle : dict
        Services whose endpoints lately told an instance how many refusals they bear.
    applies_regions : bool
        Whether the sender's configuration allows only some regions for some requests,
        and it complies with that.
    evacuated : dict
        Versions of the rows that evacuate data centres, by data centre.
    leaving : dict
        Endpoints that lately told the sender that they leave, with the wall time of
        their start.
    loads : dict
        The sender's own requests in progress at each endpoint.
    used : dict
        Quota that each customer has used at the sender since its start.
    rollouts : tuple of Progress
        Progress of the ordered roll-outs as known to the sender.
    speeds : tuple of SpeedSample
        Times of endpoints that the sender saw since its last digest to all instances.
    results : tuple of Result
        Results of new versions since the sender's last digest to all instances.
    is_short, is_unready : bool
        Whether the sender is short of processor time, and reports that it is not ready.
    work : dict
        Recent work of the customers at the sender, by service and rank.
    tallies : tuple of Tally
        What the sender has counted of the roll-outs in progress.
    ended : dict
        As ``served``, for answers that have ended or gone on for long.
    """

    instance: str
    incarnation: int
    sequence: int
    ip: str
    port: int
    zone: str = ""
    configuration: int = 0
    is_leaving: bool = False
    reaches_store: bool = True
    lease_token: int = 0
    loads: dict[str, LoadEntry] = {}
    used: dict[str, float] = {}
    rollouts: tuple[Progress, ...] = ()
    results: tuple[Result, ...] = ()
    demand: dict[str, Totals] = {}
    learned: dict[str, Sums] = {}
    lease_row: AnnouncedRow | None = None
    rate_limits: dict[str, Notice] = {}
    leaving: dict[str, int | None] = {}
    era: int = 0
    quarantined: tuple[tuple[Entry, int], ...] = ()
    served: dict[str, int] = {}
    lost_links: dict[str, int] = {}
    brittle: dict[str, BrittleNotice] = {}
    evacuated: dict[str, int] = {}
    work: dict[str, dict[int, dict[str, WorkEntry]]] = {}
    applies_regions: bool = False
    speeds: tuple[SpeedSample, ...] = ()
    is_short: bool = False
    is_unready: bool = False
    tallies: tuple[Tally, ...] = ()
    ended: dict[str, int] = {}


class Bundle(msgspec.Struct, array_like=True, frozen=True, tag="bundle"):
    """The latest digests of several instances of the sender's data centre."""

    digests: tuple[Digest, ...]


class UsageCounts(msgspec.Struct, array_like=True, frozen=True, tag="usage"):
    """Requests that endpoints started for one instance, by usage window.

    Attributes
    ----------
    instance : str
        Name of the instance.
    incarnation : int
        Increases with each start of the instance.
    counted_until_ms : int or None
        Wall time of the instance at which it took the counts; None if another one
        passes on the counts of an incarnation that has ended.
    counts : dict
        Number of started requests by usage window and customer.
    """

    instance: str
    incarnation: int
    counted_until_ms: int | None
    counts: dict[int, dict[str, int]]


Message = Digest | Bundle | UsageCounts | Relay | QuarantineNews
"""What instances send each other."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the datagram for a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | Failure:
    """Return the message in a datagram, or a failure if it is malformed."""
    try:
        return _decoder.decode(data)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.PROTOCOL, "message.decode", detail=describe_error(error))
