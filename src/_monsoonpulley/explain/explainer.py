"""Timelines of a subject over all entry instances.

Each instance only has its own lines, in memory. The asked one asks the others,
all at once, and says which of them did not answer.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Iterable

import msgspec

from .. import operator_wire as wire
from ..config.reader import ConfigReader
from ..errors import Failure, Reason
from ..external.livelist import Member, Role
from ..external.table import Row, Table
from ..ids import InstanceId, RequestId
from ..journal.record import JournalRecord, row_key
from ..journal.store import decode_row
from ..observability.log import Log
from ..peers.membership import PeerMember
from .peeroperators import PeerOperators
from .subjects import CONFIG

ANSWER_TIMEOUT_MS = 2_000
MAX_ASKED_AT_ONCE = 64
HISTORY_REVISIONS = 20
TABLE = "table"
GONE = "it is gone, and its lines with it"

_JOURNAL_ID = re.compile("[0-9a-f]{32}")

FindPeers = Callable[[], "Iterable[Peer]"]


class Peer(msgspec.Struct, frozen=True):
    """Another entry instance; ``address`` is empty where it is not known."""

    instance: InstanceId
    address: str


def other_entries(
    own: InstanceId, expected: Iterable[PeerMember], listed: Iterable[Member]
) -> list[Peer]:
    """Return the other entry instances, those listed and those only heard."""
    addresses = {member.instance: "" for member in expected}
    for member in listed:
        if member.role is Role.ENTRY and member.instance != own:
            addresses[InstanceId(member.instance)] = member.address
    return [Peer(name, address) for name, address in addresses.items()]


class Explainer:
    """Puts together what is remembered of a subject.

    Parameters
    ----------
    own : InstanceId
        This instance.
    log : Log
        Remembers this instance's lines.
    find_peers : callable
        Returns the other entry instances.
    peers : PeerOperators
        Asks them.
    table : Table
        Has the journal's records.
    store : ConfigReader
        Has the configuration's history.
    """

    def __init__(
        self,
        own: InstanceId,
        log: Log,
        find_peers: FindPeers,
        peers: PeerOperators,
        table: Table,
        store: ConfigReader,
    ):
        self._own = own
        self._log = log
        self._find_peers = find_peers
        self._peers = peers
        self._table = table
        self._store = store

    def explain_local(self, subject: str) -> wire.ExplainBody:
        """Return what this instance itself remembers, oldest first."""
        lines = [_line_of(text) for text in self._log.memory.recall(subject)]
        return wire.ExplainBody(subject, tuple(lines))

    async def explain(self, subject: str, authorization: str) -> wire.ExplainBody:
        """Return what all entry instances remember, oldest first.

        Parameters
        ----------
        subject : str
            As operators name it.
        authorization : str
            Header of the operator's request, passed on to the others.
        """
        peers = sorted(self._find_peers(), key=lambda peer: peer.instance)
        limit = asyncio.Semaphore(MAX_ASKED_AT_ONCE)
        asked = (self._ask(peer, subject, authorization, limit) for peer in peers)
        record, history, *answers = await asyncio.gather(
            self._record(subject), self._history(subject), *asked
        )
        lines = list(self.explain_local(subject).lines)
        missing = [_missing(TABLE, one) for one in (record, history) if _failed(one)]
        for peer, answer in zip(peers, answers, strict=True):
            if isinstance(answer, Failure):
                missing.append(_missing(peer.instance, answer))
            else:
                lines.extend(answer.lines)
        lines.sort(key=lambda line: line.wall_ms)
        known = {self._own, *(peer.instance for peer in peers)}
        named = _holders(record, lines)
        missing += [wire.MissingPart(name, GONE) for name in sorted(named - known)]
        return wire.ExplainBody(
            subject=subject,
            lines=tuple(lines),
            missing=tuple(missing),
            record=None if isinstance(record, Failure) else record,
            history=() if isinstance(history, Failure) else history,
        )

    async def _ask(
        self, peer: Peer, subject: str, authorization: str, limit: asyncio.Semaphore
    ) -> wire.ExplainBody | Failure:
        step, name = "explain.peer", peer.instance
        if not peer.address:
            return Failure(Reason.UNAVAILABLE, step, name, "its address is not known")
        try:
            async with limit, asyncio.timeout(ANSWER_TIMEOUT_MS / 1_000):
                return await self._peers.explain(
                    peer.instance, peer.address, subject, authorization
                )
        except TimeoutError:
            detail = f"no answer in {ANSWER_TIMEOUT_MS} ms"
            return Failure(Reason.TIMEOUT, step, name, detail)

    async def _record(self, subject: str) -> wire.RequestRecord | Failure | None:
        if not _JOURNAL_ID.fullmatch(subject):
            return None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1_000):
                row = await self._table.read(row_key(RequestId(subject)))
        except TimeoutError:
            return _table_is_late()
        if not isinstance(row, Row):
            return row
        stored = decode_row(row)
        return stored if isinstance(stored, Failure) else _record_body(stored.record)

    async def _history(
        self, subject: str
    ) -> tuple[wire.RevisionSummary, ...] | Failure:
        if subject != CONFIG.text:
            return ()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1_000):
                revisions = await self._store.read_history(HISTORY_REVISIONS)
        except TimeoutError:
            return _table_is_late()
        if isinstance(revisions, Failure):
            return revisions
        return tuple(wire.RevisionSummary.from_revision(one) for one in revisions)


def _holders(record: object, lines: Iterable[wire.ExplainLine]) -> set[str]:
    """Return the entry instances that a request's record had as holder."""
    adoptions = (line for line in lines if line.event == "journal_adoption")
    names = {str(line.fields["holder"]) for line in adoptions}
    if isinstance(record, wire.RequestRecord):
        names.add(record.holder)
    return names


def _failed(result: object) -> bool:
    return isinstance(result, Failure)


def _missing(name: str, failure: Failure) -> wire.MissingPart:
    detail = f": {failure.detail}" if failure.detail else ""
    return wire.MissingPart(name, f"{failure.reason.value}{detail}")


def _table_is_late() -> Failure:
    detail = f"no answer in {ANSWER_TIMEOUT_MS} ms"
    return Failure(Reason.TIMEOUT, "explain.table", TABLE, detail)


def _record_body(record: JournalRecord) -> wire.RequestRecord:
    """Return a record without its call's and answer's headers and bodies."""
    return wire.RequestRecord(
        state=record.state.value,
        holder=record.holder,
        customer=record.customer,
        class_id=record.class_id,
        attempt=record.attempt,
        endpoint=record.endpoint or "",
        tried=record.tried,
        accepted_wall_ms=record.accepted_wall_ms,
        settled_wall_ms=record.settled_wall_ms,
        failure=str(record.failure) if record.failure else "",
    )


def _line_of(text: str) -> wire.ExplainLine:
    fields = msgspec.json.decode(text)
    return wire.ExplainLine(
        wall_ms=fields.pop("wall_ms"),
        instance=fields.pop("instance", ""),
        event=fields.pop("event"),
        fields=fields,
    )
