"""The gateway's requests as the quarantine sees them, and its evidence."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import msgspec

from ..addresses import parse_address
from ..clock import Clock
from ..errors import Delivery, Failure, Reason
from ..external.livelist import Member, MemberState
from ..external.table import Table
from ..fleet.model import Endpoint
from ..ids import EndpointId, Fingerprint, InstanceId, VersionId
from ..observability.log import Log
from ..placing.endpointlinks import EndpointLinks
from ..quarantine.crashwatch import CrashWatch
from ..quarantine.evidence import CrashReport, PartEvidence, QuarantineNews, Suspect
from ..quarantine.fingerprint import Fingerprinter
from ..quarantine.quarantine import RETRY_AFTER_MS, Quarantine
from .context import RequestContext
from .placement import AttemptEnd, PlacedAttempt
from .quarantinetable import QuarantineTable

TICK_INTERVAL_MS = 250

KEY_BYTES = 64
"""Longest key of a fingerprint."""

MAX_ANNOUNCED = 1_000
"""Announcements that are remembered so that they are not repeated."""

BROKEN_REASONS = frozenset((Reason.PEER_ERROR, Reason.PROTOCOL))
"""Reasons of failures whose connection may have ended with its endpoint."""

Probe = Callable[[Member], Awaitable[Failure | None]]


async def probe_address(member: Member) -> Failure | None:
    """Open a connection to an endpoint to see whether it listens.

    Returns
    -------
    Failure or None
        `Reason.NOT_LISTENING` if its machine answers that nothing does.
    """
    step = "endpoint.probe"
    address = parse_address(member.address)
    if address is None:
        return Failure(Reason.UNAVAILABLE, step, member.instance, "no address")
    try:
        async with asyncio.timeout(0.3):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError as error:
        return Failure(Reason.NOT_LISTENING, step, member.instance, str(error))
    except TimeoutError:
        return Failure(Reason.TIMEOUT, step, member.instance)
    except OSError as error:
        return Failure(Reason.UNAVAILABLE, step, member.instance, str(error))
    writer.close()
    return None


class CrashGuard:
    """Refuses requests that crash endpoints and reports those that do.

    Parameters
    ----------
    own : InstanceId
        This instance.
    key : str
        Key of the fingerprints, which all instances have.
    find_member : callable
        Returns the list entry of an endpoint, None if it is not listed.
    probe : callable
        Opens a connection to an endpoint.
    reachable : callable
        Returns the instances that are reachable.
    announce : callable
        Called with `QuarantineNews` for the other instances.
    table : Table
        Keeps the entries. It is read with the first evidence of an instance.
    clock, log : Clock, Log
        Those of the instance.
    """

    def __init__(
        self,
        own: InstanceId,
        key: str,
        find_member: Callable[[EndpointId], Member | None],
        probe: Probe,
        reachable: Callable[[], Iterable[InstanceId]],
        announce: Callable[[QuarantineNews], None],
        table: Table,
        clock: Clock,
        log: Log,
    ):
        self._find_member = find_member
        self._probe = probe
        self._reachable = reachable
        self._announce = announce
        self._clock = clock
        self._log = log
        self._announced: dict[bytes, None] = {}
        self._has_evidence = asyncio.Event()
        self._fingerprinter = Fingerprinter(key.encode()[:KEY_BYTES])
        self.quarantine = Quarantine(
            own,
            clock,
            log,
            self._announce_once,
            lambda entry: self._table.put(entry),
            lambda entry: self._table.remove(entry),
            lambda claim: self._table.claim(claim),
        )
        self._table = QuarantineTable(table, self.quarantine, log)
        self._links = EndpointLinks()
        self._watch = CrashWatch(
            own,
            clock,
            log,
            self._connect,
            self._is_listed,
            self._links.is_cut_off,
            self._record_crash,
        )

    def refuse(
        self, context: RequestContext, versions: Iterable[VersionId]
    ) -> Failure | None:
        """Return the refusal of a request that crashes endpoints.

        Parameters
        ----------
        context : RequestContext
            The request.
        versions : iterable of VersionId
            Versions that may get it.
        """
        if not self.quarantine.entry_count():
            return None
        entry = self.quarantine.find_entry(self._fingerprints(context))
        if entry is None or self.quarantine.try_acquire_trial(entry, versions):
            return None
        self.quarantine.record_refusal(entry)
        detail = f"{entry.key} crashed {len(entry.endpoints)} endpoints"
        return Failure(
            Reason.QUARANTINED,
            "route.quarantine",
            "",
            detail,
            Delivery.NOT_SENT,
            RETRY_AFTER_MS,
        )

    def record_end(
        self, context: RequestContext, placed: PlacedAttempt, end: AttemptEnd
    ) -> None:
        """Record how an attempt ended."""
        failure = end.failure
        if failure is None:
            self._links.record_contact(self._clock.now_ms())
            self._record_success(context)
        elif not end.has_answer and _may_be_broken(failure):
            self._record_broken(context, placed.endpoint, end)

    async def run(self) -> None:
        """Decide by the evidence, while there is any, until cancelled."""
        while True:
            await self._has_evidence.wait()
            await self._table.synchronize()
            await self._clock.sleep_ms(TICK_INTERVAL_MS)
            self.quarantine.set_reachable(self._reachable())
            self.quarantine.tick()
            if self.quarantine.is_idle:
                await self._table.synchronize()
                self._has_evidence.clear()

    def handle_news(self, news: QuarantineNews) -> None:
        """Apply what another instance tells."""
        self.quarantine.handle_news(news)
        self._has_evidence.set()

    def _record_broken(
        self, context: RequestContext, endpoint: EndpointId, end: AttemptEnd
    ) -> None:
        member = self._find_member(endpoint)
        if member is None:
            return
        answered_ms = end.total_ms - end.first_answer_ms if end.tokens else 0
        suspect = self._suspect(context, end.total_ms, answered_ms)
        self._links.record_broken(endpoint, self._clock.now_ms())
        self._watch.record_broken(_endpoint_of(member), suspect)

    def _record_crash(self, report: CrashReport) -> None:
        self.quarantine.record_crash(report)
        self._has_evidence.set()

    def _record_success(self, context: RequestContext) -> None:
        service = context.request_class.service
        if self.quarantine.is_idle:
            self.quarantine.count_success(service)
        else:
            self.quarantine.record_success(service, self._fingerprints(context))

    def _suspect(
        self, context: RequestContext, ran_ms: int, answered_ms: int
    ) -> Suspect:
        parts = tuple(PartEvidence(f) for f in self._part_fingerprints(context))
        request = self._request_fingerprint(context, self._outline(context))
        return Suspect(request, parts, ran_ms, answered_ms)

    def _fingerprints(self, context: RequestContext) -> tuple[Fingerprint, ...]:
        parts, outline = self._part_fingerprints(context), self._outline(context)
        if not self.quarantine.needs_request(outline):
            return parts
        return (*parts, self._request_fingerprint(context, outline))

    def _part_fingerprints(self, context: RequestContext) -> tuple[Fingerprint, ...]:
        """Return those of the messages before the last, which is the request's own."""
        messages = context.content.get("messages") if _is_json(context) else None
        return tuple(
            self._fingerprinter.of_part(_encode(message).decode("latin-1"))
            for message in (messages or ())[:-1]
        )

    def _outline(self, context: RequestContext) -> str:
        is_json = _is_json(context)
        return self._fingerprinter.outline_of_request(
            context.customer.encode(),
            context.class_id.encode(),
            context.path.encode(),
            body_bytes=context.prompt_tokens if is_json else len(context.content),
        )

    def _request_fingerprint(
        self, context: RequestContext, outline: str
    ) -> Fingerprint:
        content = context.content
        body = _encode(content) if _is_json(context) else content
        return self._fingerprinter.of_request(outline, body)

    def _announce_once(self, news: QuarantineNews) -> None:
        """Announce what is new; the peers' messages repeat it themselves."""
        reports = tuple(r for r in news.reports if self._is_new(_without_age(r)))
        news = msgspec.structs.replace(news, reports=reports)
        is_new = self._is_new(msgspec.structs.replace(news, reports=()))
        if reports or is_new:
            self._announce(news)

    def _is_new(self, item: CrashReport | QuarantineNews) -> bool:
        name = msgspec.msgpack.encode(item)
        if name in self._announced:
            return False
        self._announced[name] = None
        if len(self._announced) > MAX_ANNOUNCED:
            del self._announced[next(iter(self._announced))]
        return True

    async def _connect(self, endpoint: Endpoint) -> Failure | None:
        member = self._find_member(endpoint.id)
        if member is None:
            return Failure(Reason.CANCELLED, "endpoint.probe", endpoint.id)
        failure = await self._probe(member)
        if failure is None:
            self._links.record_connected(endpoint.id, self._clock.now_ms())
        else:
            self._links.record_lost(endpoint, self._clock.now_ms())
        return failure

    def _is_listed(self, endpoint: Endpoint) -> bool:
        member = self._find_member(endpoint.id)
        return member is not None and member.state is MemberState.LIVE


def _without_age(report: CrashReport) -> CrashReport:
    return msgspec.structs.replace(report, age_ms=0)


def _may_be_broken(failure: Failure) -> bool:
    return failure.delivery is Delivery.MAYBE and failure.reason in BROKEN_REASONS


def _is_json(context: RequestContext) -> bool:
    return isinstance(context.content, dict)


def _encode(content: object) -> bytes:
    return msgspec.json.encode(content, order="deterministic")


def _endpoint_of(member: Member) -> Endpoint:
    ip, port = parse_address(member.address) or (member.address, 0)
    return Endpoint(
        EndpointId(member.instance),
        None,
        member.service,
        ip,
        port,
        member.zone,
        member.version,
        slots=0,
    )
