"""Stand-in for the platform's API that duties call."""

from __future__ import annotations

import msgspec

from _monsoonpulley.clock import Clock
from _monsoonpulley.wire.server import HttpServer
from _monsoonpulley.wire.serverconnection import CallerLimits, Exchange

from .records import DutyCall, Records


class DutyApi:
    """Server that accepts and records usage reports and orders.

    Parameters
    ----------
    records : Records
        Record of the calls.
    clock : Clock
        For the times of the calls.
    """

    def __init__(self, records: Records, clock: Clock):
        self._records = records
        self._clock = clock
        self.server = HttpServer(self._on_exchange, CallerLimits, clock)

    def _on_exchange(self, exchange: Exchange) -> None:
        fields = exchange.request.fields
        body = msgspec.json.decode(exchange.request.body or b"{}")
        call = DutyCall(
            at_ms=self._clock.now_ms(),
            holder=fields[b"monsoonpulley-duty-holder"].decode(),
            fencing_number=int(fields[b"monsoonpulley-fencing-token"]),
            path=exchange.request.target.decode(),
            window=body.get("window_index", -1),
            counts=body.get("counts", {}),
        )
        self._records.duty_calls.append(call)
        exchange.respond(200, [])
