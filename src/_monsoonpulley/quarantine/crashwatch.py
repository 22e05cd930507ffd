"""Tells endpoints that crashed from connections that merely broke.

When the connection of a request in progress ends, a new one is opened to the endpoint:
only if nothing listens there any more, although the endpoint is listed and has not said
that it leaves, has it crashed. If connections to several endpoints ended together and
nothing is heard from any, this instance has lost its links instead.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ..errors import Failure, Reason
from ..fleet.model import Endpoint
from ..ids import EndpointId, InstanceId
from ..observability.log import Log
from .evidence import MAX_SUSPECTS, CrashReport, Suspect

SETTLE_MS = 30
"""Time in which the connections of a process that has ended are found broken."""


CONFIRM_MS = 30
"""A cut ends all connections at once, and the checks of all endpoints take about the
same time."""

TOGETHER_MS = 20
"""Connections to several endpoints that end this soon after each other may have been
ended by one cut."""

MAX_LATE_SUSPECTS = MAX_SUSPECTS // 2
"""Suspects up to which those count that had been answered for a while: there may be
many, and the others are more likely the cause."""

MAX_RECENT = 64
"""Ends of connections that are remembered for it."""


class _Check:
    """What the check of one endpoint is to decide."""

    def __init__(self) -> None:
        self.suspects: list[Suspect] = []
        self.on_up: list[Callable[[], None]] = []
        self.has_broken = False


class CrashWatch:
    """Checks endpoints whose connections broke.

    Parameters
    ----------
    own : InstanceId
        This instance.
    clock, log : Clock, Log
        Time source, and the log of checks.
    connect : callable
        Opens a connection to an endpoint and returns the `Failure`, if any.
    is_listed : callable
        Returns whether an incarnation of an endpoint is listed and not leaving.
    is_cut_off : callable
        Returns whether this instance has presumably lost its links to all endpoints.
    on_crash : callable
        Called with a `CrashReport`.
    """

    def __init__(
        self,
        own: InstanceId,
        clock: Clock,
        log: Log,
        connect: Callable[[Endpoint], Awaitable[Failure | None]],
        is_listed: Callable[[Endpoint], bool],
        is_cut_off: Callable[[], bool],
        on_crash: Callable[[CrashReport], None],
    ):
        self._own = own
        self._clock = clock
        self._log = log
        self._connect = connect
        self._is_listed = is_listed
        self._is_cut_off = is_cut_off
        self._on_crash = on_crash
        self._pending: dict[EndpointId, _Check] = {}
        self._recent: deque[tuple[EndpointId, int]] = deque(maxlen=MAX_RECENT)
        self._checks: set[asyncio.Task[None]] = set()

    def record_broken(
        self,
        endpoint: Endpoint,
        suspect: Suspect | None,
        on_up: Callable[[], None] | None = None,
    ) -> None:
        """Check an endpoint whose connection to a request in progress has ended.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        suspect : Suspect or None
            The request; None if it can't be the cause.
        on_up : callable or None
            For an answer that is complete unless the endpoint has crashed: called if it
            has not.
        """
        if not self._is_listed(endpoint):
            return
        pending = self._pending.get(endpoint.id)
        if pending is None:
            pending = self._pending[endpoint.id] = _Check()
            self._recent.append((endpoint.id, self._clock.now_ms()))
            check = asyncio.get_running_loop().create_task(self._check(endpoint))
            self._checks.add(check)
            check.add_done_callback(self._on_check_done)
        if on_up is None:
            pending.has_broken = True
        else:
            pending.on_up.append(on_up)
        if suspect is not None:
            limit = MAX_LATE_SUSPECTS if suspect.is_late else MAX_SUSPECTS
            if len(pending.suspects) < limit:
                pending.suspects.append(suspect)

    async def _check(self, endpoint: Endpoint) -> None:
        started_ms = self._clock.now_ms()
        await self._clock.sleep_ms(SETTLE_MS)
        failure = await self._connect(endpoint)
        if failure is not None:
            # The checks of other endpoints, which began at the same time, end too.
            await self._clock.sleep_ms(CONFIRM_MS)
        pending = self._pending.pop(endpoint.id)
        suspects = pending.suspects
        is_down = failure is not None and failure.reason is Reason.NOT_LISTENING
        is_cut_off = self._is_cut_off() and self._has_broken_with(endpoint, started_ms)
        is_crash = is_down and not is_cut_off and self._is_listed(endpoint)
        if failure is None:
            for on_up in pending.on_up:
                on_up()
        if not suspects or not is_crash:
            if pending.has_broken or failure is not None:
                self._log.event(
                    "endpoint_checked",
                    endpoint=endpoint.id,
                    is_down=is_down,
                    is_cut_off=is_cut_off,
                    suspects=len(suspects),
                    error=str(failure) if failure is not None else "",
                )
            return
        self._on_crash(
            CrashReport(
                endpoint.id,
                endpoint.service,
                endpoint.version,
                endpoint.started_wall_ms,
                self._own,
                tuple(suspects),
                age_ms=self._clock.now_ms() - started_ms,
            )
        )

    def _has_broken_with(self, endpoint: Endpoint, broken_ms: int) -> bool:
        """Return whether connections to another endpoint ended at the same time."""
        return any(
            other != endpoint.id and abs(other_ms - broken_ms) <= TOGETHER_MS
            for other, other_ms in self._recent
        )

    def _on_check_done(self, check: asyncio.Task[None]) -> None:
        self._checks.discard(check)
        if not check.cancelled() and check.exception() is not None:
            self._log.event("endpoint_check_error", error=repr(check.exception()))
