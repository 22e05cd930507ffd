"""Messages between entry instances.

Every item holds a whole value under its key, never a difference, so that items
may be applied twice, and a lost message only leaves its items old. Messages are
MessagePack arrays, see `envelope` for how they are sealed.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..control.verdict import Result
from ..endpoints.engine import LoadReport
from ..external.livelist import MemberState
from ..ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId

MAX_LOAD_AGE_MS = 5_000

Count = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Number = Annotated[int, Meta(ge=0, le=2**62)]
Name = Annotated[str, Meta(max_length=255)]


class LoadItem(msgspec.Struct, frozen=True, array_like=True):
    """Load of one endpoint, by its reporter; fields as in `LoadReport`.

    Attributes
    ----------
    key : int
        See `reporters.endpoint_key`.
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
        """Return the item for a report; ``wall_ms`` is the present."""
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
        """Return the report of a digest that was sent at ``sent_wall_ms``."""
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
    """A version that gets no traffic, or got none until it was cleared.

    Attributes
    ----------
    service, version : ServiceId, VersionId
        Which one.
    why : str
        For people.
    since_wall_ms : int
        When it changed; of two items on a version the later one holds.
    is_tripped : bool
        ``False`` once it may get traffic again.
    """

    service: ServiceId
    version: VersionId
    why: Annotated[str, Meta(max_length=500)]
    since_wall_ms: Number
    is_tripped: bool = True


class CanaryResult(msgspec.Struct, frozen=True, array_like=True):
    """An attempt of a version that gets its first traffic.

    Attributes
    ----------
    instance, incarnation, number : InstanceId, int, int
        Who saw it, and the number that it gave this result.
    seen_wall_ms : int
        When the attempt ended, or was seen to be slow.
    """

    instance: InstanceId
    incarnation: Number
    number: Number
    seen_wall_ms: Number
    result: Result


class LeavingMember(msgspec.Struct, frozen=True, array_like=True):
    """An entry instance that leaves, in one of its incarnations."""

    instance: InstanceId
    incarnation: Number
    zone: ZoneId


class UrgentBody(msgspec.Struct, frozen=True, array_like=True):
    """What spreads at once.

    Attributes
    ----------
    endpoints : tuple
        Endpoints that leave.
    members : tuple
        Entry instances that leave.
    tripped : tuple
        Changes of versions.
    results : tuple
        Results of versions that get their first traffic.
    """

    endpoints: tuple[EndpointId, ...] = ()
    members: tuple[LeavingMember, ...] = ()
    tripped: tuple[TrippedVersion, ...] = ()
    results: tuple[CanaryResult, ...] = ()


NO_URGENT_ITEMS = UrgentBody()


class Digest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What one entry instance tells the others of its data centre.

    Attributes
    ----------
    state : MemberState
        Of the sender.
    number : int
        Configuration revision in force at the sender.
    previous_seq : int
        Sequence number of the sender's digest before this one.
    is_full : bool
        Whether all items are there, or those that changed since.
    loads : tuple
        Loads that the sender reports.
    urgent : UrgentBody
        News, or in full digests all that is recent.
    zone, change_token, address : str
        Only in full digests, else empty.
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
    """An entry instance as another one of its data centre heard it."""

    instance: InstanceId
    incarnation: Number
    state: MemberState
    number: Number
    heard_ms_ago: Count


class ServiceSummary(msgspec.Struct, frozen=True, array_like=True):
    """Load of a service in one data centre; sums over its live workers.

    ``load`` holds means over the workers; its ``key`` has no meaning.
    """

    service: ServiceId
    live_workers: Count
    load: LoadItem


class Summary(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What one entry instance tells another data centre about its own."""

    zone: ZoneId
    members: tuple[MemberItem, ...]
    services: tuple[ServiceSummary, ...] = ()
    urgent: UrgentBody = NO_URGENT_ITEMS


class FullRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks for a full digest."""

    address: Name


class RevisionRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Asks for the configuration in force, if it is above ``number``."""

    number: Number
    address: Name


class RevisionAnswer(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A revision, as MessagePack of `config.document.Revision`."""

    revision: bytes


Message = Digest | Summary | FullRequest | RevisionRequest | RevisionAnswer
