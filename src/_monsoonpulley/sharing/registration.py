"""Exchanges the addresses of instances through a table of the store."""

from __future__ import annotations

import asyncio
import random

import msgspec

from ..addresses import is_address
from ..clock import Clock
from ..errors import MALFORMED_ERRORS, Failure, Reason, describe_error
from ..ids import InstanceId, ZoneId
from ..observability.log import Log
from ..platform.store import Conflict, Put, Store
from .members import Members

TABLE = "instances"

RETRY_INTERVAL_MS = 1_000
"""Between attempts while the store is unavailable; digests work without rows once
one other instance is known."""


MAX_REPEAT_DELAY_MS = 1_000
"""Spread of the instances' rows after the store has lost writes: hundreds notice it at
the same time."""


class InstanceRow(msgspec.Struct, frozen=True):
    """Address at which an instance receives digests, and its data centre."""

    ip: str
    port: int
    zone: ZoneId = ZoneId("")


_decoder = msgspec.json.Decoder(InstanceRow)


def decode_instance_row(key: str, value: bytes) -> InstanceRow | Failure:
    """Return the row of an instance, or a failure if nothing can be sent to it."""
    try:
        row = _decoder.decode(value)
    except MALFORMED_ERRORS as error:
        return Failure(Reason.INVALID, "instance.decode", key, describe_error(error))
    if not is_address(row.ip, row.port):
        return Failure(Reason.INVALID, "instance.decode", key, "no address")
    return row


class Registration:
    """Writes this instance's row and reads those of others, once at the start.

    It does so again after the store has lost writes, with the row perhaps among them.

    An instance that starts later sends digests to all instances whose rows it reads,
    which thereby know its address.

    Attributes
    ----------
    is_registered : bool
        Whether the own row was written and those of others were read since the start.
    """

    def __init__(
        self,
        own: InstanceId,
        row: InstanceRow,
        store: Store,
        members: Members,
        clock: Clock,
        log: Log,
        rng: random.Random,
    ):
        self._rng = rng
        self._is_lost = asyncio.Event()
        self._own = own
        self._row = row
        self._store = store
        self._members = members
        self._clock = clock
        self._log = log
        self.is_registered = False

    def repeat(self) -> None:
        """Register again soon."""
        self._is_lost.set()

    async def run(self) -> None:
        """Register, and again whenever the row may be lost, until cancelled."""
        while True:
            self._is_lost.clear()
            await self._register_with_retries()
            await self._is_lost.wait()
            delay_ms = self._rng.uniform(0, MAX_REPEAT_DELAY_MS)
            await self._clock.sleep_ms(delay_ms)

    async def _register_with_retries(self) -> None:
        while True:
            error = await self.register()
            if not error:
                self._log.event("instance_registered", known=len(self._members.all()))
                return
            self._log.event(
                "registration_failed", error=error, retry_ms=RETRY_INTERVAL_MS
            )
            await self._clock.sleep_ms(RETRY_INTERVAL_MS)

    async def register(self) -> str:
        """Try to register once; return the error, or an empty string."""
        put = Put(TABLE, self._own, msgspec.json.encode(self._row))
        written = await self._store.write(puts=(put,))
        if isinstance(written, Failure | Conflict):
            return str(written)
        rows = await self._store.read_table(TABLE)
        if isinstance(rows, Failure):
            return str(rows)
        for row in rows.rows:
            self._record_row(row.key, row.value or b"")
        self.is_registered = True
        return ""

    def _record_row(self, key: str, value: bytes) -> None:
        row = decode_instance_row(key, value)
        if isinstance(row, Failure):
            # The address arrives with the digests of that instance too.
            self._log.event("instance_row_refused", peer=key, error=str(row))
            return
        self._members.record_address(InstanceId(key), row.ip, row.port, row.zone)
