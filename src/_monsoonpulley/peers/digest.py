"""Messages between entry instances.

Each item has the complete value of its key, never a difference: an item may be
applied twice, and a lost message only delays its items. Messages are MessagePack
arrays; `envelope` describes how they are authenticated.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..control.verdict import Result
from ..endpoints.engine import LoadReport
from ..external.livelist import MemberState
from ..ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from ..quarantine.evidence import QuarantineNews

MAX_LOAD_AGE_MS = 5_000

Count = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Number = Annotated[int, Meta(ge=0, le=2**62)]
Name = Annotated[str, Meta(max_length=255)]


class LoadItem(msgspec.Struct, frozen=True, array_like=True):
    """Load of one endpoint, sent by its reporter; fields as in `LoadReport`.

    Attributes
    ----------
    key : int
        Key of the endpoint, see `reporters.endpoint_key`.
    age_ms : int
        Age of the report when the digest was built.
    """

    key: Count
    age_ms: Count
    running: Count
    waiting: Count
    waiting_tokens: Count
    kv_used_permille: Count
    prefill_tokens_per_s: Count
    decode_us_per_token: Count
    max_running: Count

    @classmethod
    def from_report(cls, key: int, report: LoadReport, wall_ms: int) -> LoadItem:
        """Return the item for a report; ``wall_ms`` is the current wall time."""
        return cls(
            key=key,
            age_ms=max(0, wall_ms - report.measured_wall_ms),
            running=report.running,
            waiting=report.waiting,
            waiting_tokens=report.waiting_tokens,
            kv_used_permille=max(0, round(1_000 * report.kv_used_ratio)),
            prefill_tokens_per_s=max(0, round(report.prefill_tokens_per_s)),
            decode_us_per_token=max(0, round(1_000 * report.decode_ms_per_token)),
            max_running=report.max_running,
        )

    def to_report(self, sent_wall_ms: int) -> LoadReport:
        """Return the report; ``sent_wall_ms`` is when the digest was sent."""
        return LoadReport(
            measured_wall_ms=sent_wall_ms - self.age_ms,
            running=self.running,
            waiting=self.waiting,
            waiting_tokens=self.waiting_tokens,
            kv_used_ratio=self.kv_used_permille / 1_000,
            prefill_tokens_per_s=float(self.prefill_tokens_per_s),
            decode_ms_per_token=self.decode_us_per_token / 1_000,
            max_running=self.max_running,
        )


class TrippedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A tripped version, which receives no traffic, or one that was cleared.

    Attributes
    ----------
    service, version : ServiceId, VersionId
        The version of the service.
    why : str
        Reason, for operators.
    since_wall_ms : int
        When it was tripped or cleared; the latest item of a version applies.
    is_tripped : bool
        False if it may receive traffic again.
    """

    service: ServiceId
    version: VersionId
    why: Annotated[str, Meta(max_length=500)]
    since_wall_ms: Number
    is_tripped: bool = True


class CanaryResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of one attempt on a version that receives its first traffic.

    Attributes
    ----------
    instance, incarnation, number : InstanceId, int, int
        The observing entry instance, and its number of this result.
    seen_wall_ms : int
        When the attempt ended, or was found to be slow.
    """

    instance: InstanceId
    incarnation: Number
    number: Number
    seen_wall_ms: Number
    result: Result


class QuarantineItem(msgspec.Struct, frozen=True, array_like=True):
    """What an entry instance knows of requests that crash endpoints.

    Attributes
    ----------
    instance, incarnation, number : InstanceId, int, int
        The entry instance, and its number of this item.
    sent_wall_ms : int
        When the ages in ``news`` were taken.
    """

    instance: InstanceId
    incarnation: Number
    number: Number
    sent_wall_ms: Number
    news: QuarantineNews


class LeavingMember(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an entry instance that is leaving."""

    instance: InstanceId
    incarnation: Number
    zone: ZoneId


class UrgentBody(msgspec.Struct, frozen=True, array_like=True):
    """Items that are sent without waiting for the next digest.

    Attributes
    ----------
    endpoints : tuple
        Leaving endpoints.
    members : tuple
        Leaving entry instances.
    tripped : tuple
        Versions that were tripped or cleared.
    results : tuple
        Results of versions that receive their first traffic.
    quarantine : tuple
        News of crashes and of requests that are refused for them.
    """

    endpoints: tuple[EndpointId, ...] = ()
    members: tuple[LeavingMember, ...] = ()
    tripped: tuple[TrippedVersion, ...] = ()
    results: tuple[CanaryResult, ...] = ()
    quarantine: tuple[QuarantineItem, ...] = ()


NO_URGENT_ITEMS = UrgentBody()


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The state that an entry instance sends to the others in its data centre.

    Attributes
    ----------
    state : MemberState
        State of the sender.
    number : int
        Configuration revision in force at the sender.
    previous_seq : int
        Sequence number of the sender's previous digest.
    is_full : bool
        Whether it has all items, or only those that changed since the previous one.
    loads : tuple
        Loads of the endpoints that the sender reports on.
    urgent : UrgentBody
        Unsent items, in full digests all recent ones.
    zone, change_token, address : str
        Set in full digests only, otherwise empty.
    """

    state: MemberState
    number: Number
    previous_seq: Number
    is_full: bool
    loads: tuple[LoadItem, ...] = ()
    urgent: UrgentBody = NO_URGENT_ITEMS
    zone: ZoneId = ZoneId("")
    change_token: Name = ""
    address: Name = ""


class MemberItem(msgspec.Struct, frozen=True, array_like=True):
    """The state of an entry instance, as known to another in its data centre."""

    instance: InstanceId
    incarnation: Number
    state: MemberState
    number: Number
    heard_ms_ago: Count


class ServiceSummary(msgspec.Struct, frozen=True, array_like=True):
    """Load of a service in one data centre.

    ``load`` has the means over its ``live_workers`` endpoints; its ``key`` is unused.
    """

    service: ServiceId
    live_workers: Count
    load: LoadItem


class Summary(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The state of a data centre that one of its instances sends to another."""

    zone: ZoneId
    members: tuple[MemberItem, ...]
    services: tuple[ServiceSummary, ...] = ()
    urgent: UrgentBody = NO_URGENT_ITEMS


class FullRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Requests a full digest from the receiver."""

    address: Name


class RevisionRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Requests the configuration in force, if its revision is above ``number``."""

    number: Number
    address: Name


class RevisionAnswer(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A `config.document.Revision`, encoded as MessagePack."""

    revision: bytes


Message = Digest | Summary | FullRequest | RevisionRequest | RevisionAnswer
