"""What the callers of a process hold together, and whose requests are shed.

Load addressed: callers that send much and don't finish, that read no answers, or that
open very many connections. All that a process keeps for its callers is counted in one
budget, as it is kept: objects, not only bytes. While the budget suffices, nobody is
limited. When it runs short, those are shed first that hold something for longer than a
request takes to arrive; then large requests, the newest first, so that those that began
earlier can finish; then other requests. Answers that are being read come last of all,
those that have been unread for longest first: their requests have run.

Requests that are being served are not shed: their callers have their answer soon.
"""

from __future__ import annotations

import math
import os
import resource
from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import Protocol

import msgspec

from .observability.log import Decision

BYTES_SHARE = 0.4
"""Share of a process's memory for what its callers hold. A process that serves nobody
takes up to a third of the smallest machines' memory, and the allocator's unused space
between what callers hold has to fit in as well."""

LARGE_SHARE = 0.75
"""Share of the budget for large requests; the rest is for ordinary ones alone."""

ORDINARY_BYTES = 262_144
"""What an ordinary request takes at most: a head of 16 KB in lines of ordinary length,
and a body of the largest kind that users send, 72 KB, twice. One that takes more is
large, as is a head of very many short lines."""

RELIEF_SHARE = 0.875
"""Share of a limit down to which overdue callers are shed at once, so that the next
bytes don't start another search."""

GRACE_MS = 1_000
"""Time within which a request may arrive, whatever its size: a lost packet is sent
again within it, and callers wait as long for a connection."""

MIN_BYTES_PER_MS = 64
"""Rate at which a request arrives after `GRACE_MS`, and at which its answer is read,
half a megabit a second; below, its caller is overdue. The largest body that users allow
would otherwise take longer than callers wait for its answer."""

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""

MAX_DESCRIPTORS = 1_048_576
"""Descriptors of a process without a limit: the kernel's default for any process."""

MAX_BACKLOG = 1_024
"""Connections that may wait to be accepted: all callers of a data centre at once."""

CALLERS_SHARE = 0.5
BACKLOG_SHARE = 0.25
"""Shares of the descriptors for callers' connections, and for those that are accepted
at once before the limit is looked at; the rest is for connections to endpoints."""


class BudgetLimits(msgspec.Struct, frozen=True):
    """Limits of a process for all of its callers together.

    Attributes
    ----------
    max_bytes : int
        Memory that they may take.
    max_connections : int
        Connections that they may have open.
    backlog : int
        Connections that wait to be accepted, and that are accepted at once.
    """

    max_bytes: int
    max_connections: int
    backlog: int = MAX_BACKLOG

    @classmethod
    def from_machine(
        cls, memory_bytes: int | None = None, descriptor_count: int | None = None
    ) -> BudgetLimits:
        """Return the limits that follow from the memory and descriptors of a process.

        Parameters
        ----------
        memory_bytes : int or None
            Memory that the process may take; None for that of the machine.
        descriptor_count : int or None
            Descriptors that it may open; None for the process's own limit.
        """
        if memory_bytes is None:
            memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
        if descriptor_count is None:
            descriptor_count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
            if descriptor_count == resource.RLIM_INFINITY:
                descriptor_count = MAX_DESCRIPTORS
        socket_count = max(descriptor_count - FILE_DESCRIPTORS, descriptor_count // 2)
        return cls(
            max_bytes=int(BYTES_SHARE * memory_bytes),
            max_connections=max(1, int(CALLERS_SHARE * socket_count)),
            backlog=max(1, min(MAX_BACKLOG, int(BACKLOG_SHARE * socket_count))),
        )

    @property
    def max_large_bytes(self) -> int:
        """Memory that large requests may take together, and so a single one."""
        return int(LARGE_SHARE * self.max_bytes)


class CallersShed(Decision, frozen=True, tag="callers_shed", kw_only=True):
    """Callers that were shed since the line before, and what all hold.

    Attributes
    ----------
    shed : dict
        Number of callers that were shed, by reason.
    refused_statuses : dict
        Number of malformed, oversized and late requests by the status of their answer.
    held_bytes, max_bytes : int
        What all callers hold, and its limit.
    large_bytes : int
        What those hold that hold more than an ordinary request.
    connections, max_connections : int
        Open connections, and their limit.
    """

    shed: dict[str, int]
    refused_statuses: dict[str, int]
    held_bytes: int
    max_bytes: int
    large_bytes: int
    connections: int
    max_connections: int


class Caller(Protocol):
    """The connection of a caller, as the budget acts on it."""

    def drop_pending(self) -> None:
        """Drop and refuse what the caller has not finished."""
        ...

    def disconnect(self) -> None:
        """Close the connection, on which no request is being served."""
        ...


class Stage(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    SERVING = "serving"


class Holding:
    """What one connection holds.

    Parameters
    ----------
    caller : Caller
        The connection.
    opened_ms : int
        Monotonic time at which it was opened.

    Attributes
    ----------
    stage : Stage
        Whether a request is being received or served.
    kept_bytes : int
        Memory of the connection and of the request that is being served.
    pending_bytes : int
        Memory of what its caller has not finished: requests that are incomplete or wait
        behind another one, and answers that it hasn't read.
    unread_bytes : int
        What of that is an answer that the caller hasn't read.
    since_ms : int
        Monotonic time since which something is pending, or the connection is idle.
    moved_bytes : int
        Bytes that the caller sent or read since then.
    has_served : bool
        Whether a request on the connection was complete.
    """

    __slots__ = (
        "caller",
        "has_served",
        "kept_bytes",
        "moved_bytes",
        "pending_bytes",
        "since_ms",
        "stage",
        "unread_bytes",
    )

    def __init__(self, caller: Caller, opened_ms: int):
        self.caller = caller
        self.stage = Stage.IDLE
        self.kept_bytes = 0
        self.pending_bytes = 0
        self.unread_bytes = 0
        self.since_ms = opened_ms
        self.moved_bytes = 0
        self.has_served = False

    @property
    def held_bytes(self) -> int:
        """All memory that the connection takes."""
        return self.kept_bytes + self.pending_bytes

    def overdue_ms(self, now_ms: int) -> float:
        """Return for how long the caller should have finished what is pending."""
        due_ms = GRACE_MS + self.moved_bytes / MIN_BYTES_PER_MS
        return now_ms - self.since_ms - due_ms


class CallerBudget:
    """The sum of what all connections of a process hold.

    Parameters
    ----------
    limits : BudgetLimits
        Its limits.

    Attributes
    ----------
    held_bytes : int
        Memory that callers take, with what is buffered of their answers.
    large_bytes : int
        Memory of connections that hold more than an ordinary request.
    """

    def __init__(self, limits: BudgetLimits):
        self.limits = limits
        self.held_bytes = 0
        self.large_bytes = 0
        self._holdings: set[Holding] = set()
        self._large: set[Holding] = set()
        self._shed_counts: Counter[str] = Counter()
        self._refused_statuses: Counter[str] = Counter()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._holdings)

    @property
    def is_short(self) -> bool:
        """Whether all callers together hold more than they may."""
        return self.held_bytes > self.limits.max_bytes

    @property
    def is_short_for_large(self) -> bool:
        """Whether large requests hold more than they may."""
        return self.large_bytes > self.limits.max_large_bytes

    def open(self, caller: Caller, now_ms: int, kept_bytes: int) -> Holding | None:
        """Count a new connection; return None if there is no room for it.

        Parameters
        ----------
        caller : Caller
            The connection.
        now_ms : int
            Monotonic time.
        kept_bytes : int
            Memory of a connection without a request.
        """
        if len(self._holdings) >= self.limits.max_connections:
            self._disconnect_some()
        if len(self._holdings) >= self.limits.max_connections:
            self._shed_counts["refused connection"] += 1
            return None
        holding = Holding(caller, now_ms)
        self._holdings.add(holding)
        self.update(holding, Stage.IDLE, now_ms, kept_bytes, 0)
        return holding

    def close(self, holding: Holding) -> None:
        """Uncount a connection that is closed."""
        if holding in self._holdings:
            self._set_bytes(holding, 0, 0)
            self._holdings.discard(holding)

    def update(
        self,
        holding: Holding,
        stage: Stage,
        now_ms: int,
        kept_bytes: int,
        pending_bytes: int,
        unread_bytes: int = 0,
    ) -> None:
        """Set what a connection does and holds, until it is closed.

        The budget may be short after it; see `relieve`. The attributes of `Holding`
        say what the figures are.
        """
        if holding not in self._holdings:
            return
        if stage is not holding.stage or not (holding.pending_bytes and pending_bytes):
            holding.since_ms = now_ms
            holding.moved_bytes = 0
        holding.stage = stage
        holding.unread_bytes = unread_bytes
        holding.has_served |= stage is Stage.SERVING
        self._set_bytes(holding, kept_bytes, pending_bytes)

    def add_shared(self, size_bytes: int) -> None:
        """Count memory that belongs to no single connection; negative to uncount."""
        self.held_bytes += size_bytes

    def has_room_for(self, holding: Holding) -> bool:
        """Return whether a connection may keep all that it holds."""
        if holding in self._large and self.is_short_for_large:
            return False
        return not self.is_short

    def relieve(self, now_ms: int) -> None:
        """Shed callers until the budget suffices, or nothing pending is left."""
        if self.is_short_for_large:
            self._relieve_of_large(now_ms)
        if self.is_short:
            self._relieve_of_all(now_ms)

    def record_refusal(self, status: int) -> None:
        """Count a request that was refused as malformed, too large or too late."""
        self._refused_statuses[str(int(status))] += 1

    def record_malformed_message(self) -> None:
        """Count a connection of another protocol that was closed as malformed."""
        self._shed_counts["malformed message"] += 1

    def take_report(self) -> CallersShed | None:
        """Return what has happened since the last report; None if nothing has."""
        if not self._shed_counts and not self._refused_statuses:
            return None
        report = CallersShed(
            rule="overdue_then_newest_large",
            shed=dict(self._shed_counts),
            refused_statuses=dict(self._refused_statuses),
            held_bytes=self.held_bytes,
            max_bytes=self.limits.max_bytes,
            large_bytes=self.large_bytes,
            connections=len(self._holdings),
            max_connections=self.limits.max_connections,
        )
        self._shed_counts.clear()
        self._refused_statuses.clear()
        return report

    def _set_bytes(self, holding: Holding, kept_bytes: int, pending_bytes: int) -> None:
        before_bytes = holding.kept_bytes + holding.pending_bytes
        held_bytes = kept_bytes + pending_bytes
        holding.kept_bytes = kept_bytes
        holding.pending_bytes = pending_bytes
        self.held_bytes += held_bytes - before_bytes
        if before_bytes > ORDINARY_BYTES:
            self.large_bytes -= before_bytes
            self._large.discard(holding)
        if held_bytes > ORDINARY_BYTES:
            self.large_bytes += held_bytes
            self._large.add(holding)

    def _relieve_of_large(self, now_ms: int) -> None:
        """Shed large requests, until the others have their share again."""
        relieved_bytes = RELIEF_SHARE * self.limits.max_large_bytes
        for holding in _by_overdue(self._large, now_ms):
            if self.large_bytes <= relieved_bytes:
                return
            self._shed(holding, "overdue")
        for holding in [*_by_newest(self._large), *_by_longest_unread(self._large)]:
            if not self.is_short_for_large:
                return
            self._shed(holding, "large")

    def _relieve_of_all(self, now_ms: int) -> None:
        relieved_bytes = RELIEF_SHARE * self.limits.max_bytes
        for holding in _by_overdue(self._holdings, now_ms):
            if self.held_bytes <= relieved_bytes:
                return
            self._shed(holding, "overdue")
        for holding in _by_newest(self._large):
            if not self.is_short:
                return
            self._shed(holding, "large")
        if not self.is_short:
            return
        incomplete = _by_newest(self._holdings)
        incomplete.sort(key=lambda holding: -holding.pending_bytes)
        for holding in [*incomplete, *_by_longest_unread(self._holdings)]:
            if self.held_bytes <= relieved_bytes:
                return
            self._shed(holding, "memory")

    def _disconnect_some(self) -> None:
        """Close connections that are idle or receive for longest, several at once."""
        left_count = math.floor(RELIEF_SHARE * self.limits.max_connections)
        idle = [h for h in self._holdings if h.stage is Stage.IDLE]
        receiving = [h for h in self._holdings if h.stage is Stage.RECEIVING]
        # Those without any request so far are closed first.
        idle.sort(key=lambda h: (h.has_served, h.since_ms))
        receiving.sort(key=lambda h: h.since_ms)
        for holding in [*idle, *receiving]:
            if len(self._holdings) <= left_count:
                return
            reason = "idle" if holding.stage is Stage.IDLE else "connections"
            self._shed_counts[reason] += 1
            self.close(holding)
            holding.caller.disconnect()

    def _shed(self, holding: Holding, reason: str) -> None:
        self._shed_counts[reason] += 1
        holding.caller.drop_pending()


def _by_overdue(holdings: Iterable[Holding], now_ms: int) -> list[Holding]:
    """Return those that are overdue, first those that hold most for longest."""
    overdue = [
        (holding.pending_bytes * overdue_ms, holding)
        for holding in holdings
        if holding.pending_bytes and (overdue_ms := holding.overdue_ms(now_ms)) > 0
    ]
    overdue.sort(key=lambda each: -each[0])
    return [holding for _, holding in overdue]


def _by_newest(holdings: Iterable[Holding]) -> list[Holding]:
    """Return those of incomplete requests, first those that began last."""
    incomplete = [h for h in holdings if h.pending_bytes and not h.unread_bytes]
    return sorted(incomplete, key=lambda holding: -holding.since_ms)


def _by_longest_unread(holdings: Iterable[Holding]) -> list[Holding]:
    """Return those of answers that are not read to their end, the oldest first."""
    unread = [holding for holding in holdings if holding.unread_bytes]
    return sorted(unread, key=lambda holding: holding.since_ms)
