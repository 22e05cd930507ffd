"""Timeline of a subject over all entry instances.

Each instance keeps only its own lines, in memory. The instance that is asked
queries the others concurrently and names those that do not answer.
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
from .peeroperators import PeerOperatorClient
from .subjects import CONFIG

ANSWER_TIMEOUT_MS = 2_000
MAX_CONCURRENT_QUERIES = 64
CONFIG_HISTORY_LIMIT = 20
TABLE_NAME = "table"
GONE_REASON = "the instance is gone and its log lines are lost"

_REQUEST_ID = re.compile("[0-9a-f]{32}")

ListPeers = Callable[[], "Iterable[Peer]"]


class Peer(msgspec.Struct, frozen=True):
    """Another entry instance; ``address`` is empty if it is unknown."""

    instance: InstanceId
    address: str


def other_entries(
    own_id: InstanceId, expected: Iterable[PeerMember], listed: Iterable[Member]
) -> list[Peer]:
    """Return the other entry instances, listed or known only from digests."""
    addresses = {member.instance: "" for member in expected}
    for member in listed:
        if member.role is Role.ENTRY and member.instance != own_id:
            addresses[InstanceId(member.instance)] = member.address
    return [Peer(name, address) for name, address in addresses.items()]


class Explainer:
    """Collects the log lines and stored data about a subject.

    Parameters
    ----------
    own_id : InstanceId
        This instance.
    log : Log
        Keeps this instance's lines.
    list_peers : callable
        Returns the other entry instances.
    peer_client : PeerOperatorClient
        Queries them.
    table : Table
        Holds the journal's records.
    config_reader : ConfigReader
        Reads the configuration's history.
    """

    def __init__(
        self,
        own_id: InstanceId,
        log: Log,
        list_peers: ListPeers,
        peer_client: PeerOperatorClient,
        table: Table,
        config_reader: ConfigReader,
    ):
        self._own_id = own_id
        self._log = log
        self._list_peers = list_peers
        self._peer_client = peer_client
        self._table = table
        self._config_reader = config_reader

    def explain_local(self, subject: str) -> wire.ExplainBody:
        """Return this instance's own lines, oldest first."""
        lines = [_parse_line(text) for text in self._log.memory.lines(subject)]
        return wire.ExplainBody(subject, tuple(lines))

    async def explain(self, subject: str, authorization: str) -> wire.ExplainBody:
        """Return the lines of all entry instances, oldest first.

        Parameters
        ----------
        subject : str
            Name of the subject, as operators type it.
        authorization : str
            ``Authorization`` header of the operator's request, passed on to the others.
        """
        peers = sorted(self._list_peers(), key=lambda peer: peer.instance)
        limiter = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        queries = (
            self._explain_at_peer(peer, subject, authorization, limiter)
            for peer in peers
        )
        record, history, *answers = await asyncio.gather(
            self._read_record(subject), self._read_history(subject), *queries
        )
        lines = list(self.explain_local(subject).lines)
        missing = [
            _missing_part(TABLE_NAME, result)
            for result in (record, history)
            if _is_failure(result)
        ]
        for peer, answer in zip(peers, answers, strict=True):
            if isinstance(answer, Failure):
                missing.append(_missing_part(peer.instance, answer))
            else:
                lines.extend(answer.lines)
        lines.sort(key=lambda line: line.wall_ms)
        known_ids = {self._own_id, *(peer.instance for peer in peers)}
        holder_ids = _record_holders(record, lines)
        missing += [
            wire.MissingPart(name, GONE_REASON)
            for name in sorted(holder_ids - known_ids)
        ]
        return wire.ExplainBody(
            subject=subject,
            lines=tuple(lines),
            missing=tuple(missing),
            record=None if isinstance(record, Failure) else record,
            history=() if isinstance(history, Failure) else history,
        )

    async def _explain_at_peer(
        self, peer: Peer, subject: str, authorization: str, limiter: asyncio.Semaphore
    ) -> wire.ExplainBody | Failure:
        step, name = "explain.peer", peer.instance
        if not peer.address:
            return Failure(Reason.UNAVAILABLE, step, name, "its address is unknown")
        try:
            async with limiter, asyncio.timeout(ANSWER_TIMEOUT_MS / 1_000):
                return await self._peer_client.explain_local(
                    peer.instance, peer.address, subject, authorization
                )
        except TimeoutError:
            detail = f"no answer in {ANSWER_TIMEOUT_MS} ms"
            return Failure(Reason.TIMEOUT, step, name, detail)

    async def _read_record(self, subject: str) -> wire.RequestRecord | Failure | None:
        if not _REQUEST_ID.fullmatch(subject):
            return None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1_000):
                row = await self._table.read(row_key(RequestId(subject)))
        except TimeoutError:
            return _table_timeout()
        if not isinstance(row, Row):
            return row
        stored = decode_row(row)
        return stored if isinstance(stored, Failure) else _record_body(stored.record)

    async def _read_history(
        self, subject: str
    ) -> tuple[wire.RevisionSummary, ...] | Failure:
        if subject != CONFIG.text:
            return ()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1_000):
                revisions = await self._config_reader.read_history(CONFIG_HISTORY_LIMIT)
        except TimeoutError:
            return _table_timeout()
        if isinstance(revisions, Failure):
            return revisions
        return tuple(wire.RevisionSummary.from_revision(one) for one in revisions)


def _record_holders(record: object, lines: Iterable[wire.ExplainLine]) -> set[str]:
    """Return the entry instances that have held a request's record."""
    adoptions = (line for line in lines if line.event == "journal_adoption")
    names = {str(line.fields["holder"]) for line in adoptions}
    if isinstance(record, wire.RequestRecord):
        names.add(record.holder)
    return names


def _is_failure(result: object) -> bool:
    return isinstance(result, Failure)


def _missing_part(name: str, failure: Failure) -> wire.MissingPart:
    detail = f": {failure.detail}" if failure.detail else ""
    return wire.MissingPart(name, f"{failure.reason.value}{detail}")


def _table_timeout() -> Failure:
    detail = f"no answer in {ANSWER_TIMEOUT_MS} ms"
    return Failure(Reason.TIMEOUT, "explain.table", TABLE_NAME, detail)


def _record_body(record: JournalRecord) -> wire.RequestRecord:
    """Return a record without the headers and bodies of its call and answer."""
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


def _parse_line(text: str) -> wire.ExplainLine:
    fields = msgspec.json.decode(text)
    return wire.ExplainLine(
        wall_ms=fields.pop("wall_ms"),
        instance=fields.pop("instance", ""),
        event=fields.pop("event"),
        fields=fields,
    )
