"""Orders to endpoints, sent by the holder of a duty.

Every order carries the fencing number of the hold under which it is sent. An
endpoint that checks the number refuses the orders of a former holder. For an
endpoint that ignores it the table has a row: the holder writes its order there by
compare-and-set and sends the order once the write is confirmed. A former holder
finds the higher number of its successor in the row and sends nothing.

One race remains at endpoints that ignore the number: a holder that is paused
between its last check and the send may send its order after that of its successor.
`OrderSender.reconcile` then finds the wrong version and repeats the order.
"""

from __future__ import annotations

import random

import msgspec

from ..clock import Clock
from ..config.document import FencingCheck
from ..endpoints.engine import EngineClient, Order, OrderKind
from ..errors import MALFORMED_ERRORS, Delivery, Failure, Reason
from ..external.table import ABSENT_REVISION, Committed, Conflict, Row, Table, Write
from ..ids import EndpointId, VersionId
from ..observability.log import Decision, Log
from .leases import Hold

ORDER_PREFIX = "order/"
STEP = "orders.send"
MAX_WRITE_ATTEMPTS = 8
FIRST_RETRY_DELAY_MS = 50
MAX_RETRY_DELAY_MS = 400
TOKEN_BITS = 64


class Intent(msgspec.Struct, frozen=True):
    """What an endpoint is ordered to do."""

    kind: OrderKind
    version: VersionId = VersionId("")
    argument: str = ""


class OrderRow(msgspec.Struct, frozen=True):
    """Table row with the newest order to an endpoint.

    Attributes
    ----------
    sequence : int
        Increases with each new order to the endpoint; part of the order's id.
    fencing_number : int
        Number of the holder that wrote the row last.
    token : str
        Unique for each write.
    """

    sequence: int
    intent: Intent
    fencing_number: int
    token: str


class OrderDecision(Decision, frozen=True, kw_only=True, tag="order_decision"):
    """Outcome of an order, with the row that it was decided on."""

    endpoint: EndpointId
    fencing: FencingCheck
    fencing_number: int
    intent: Intent
    order_id: str = ""
    row: OrderRow | None = None
    failure: Failure | None = None
    observed_version: VersionId = VersionId("")


class _SentOrder(msgspec.Struct, frozen=True):
    intent: Intent
    fencing_number: int
    sent_ms: int


def next_order_row(
    current: OrderRow | None,
    intent: Intent,
    fencing_number: int,
    token: str,
    force_new: bool,
) -> OrderRow | Failure:
    """Return the row to write for an order, or why it may not be sent.

    A repeated intent keeps its sequence, and with it the order's id, unless
    ``force_new`` asks the endpoint to carry it out once more.
    """
    if current is None:
        return OrderRow(1, intent, fencing_number, token)
    if current.fencing_number > fencing_number:
        detail = (
            f"a holder with fencing number {current.fencing_number} has written "
            f"an order; this one has {fencing_number}"
        )
        return Failure(Reason.FENCED, STEP, "platform", detail, Delivery.NOT_SENT)
    is_repeat = current.intent == intent and not force_new
    sequence = current.sequence if is_repeat else current.sequence + 1
    return OrderRow(sequence, intent, fencing_number, token)


class OrderSender:
    """Sends the orders of one instance.

    All orders to an endpoint must come from the same duty, since fencing numbers
    of different duties can't be compared.

    Parameters
    ----------
    table : Table
        Holds a row for each endpoint that ignores fencing numbers.
    clock, rng, log
        Shared with the rest of the instance.
    apply_timeout_ms : int
        How long an endpoint may take to report the version that it was ordered
        to run.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        rng: random.Random,
        log: Log,
        apply_timeout_ms: int = 60_000,
    ):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._log = log
        self._apply_timeout_ms = apply_timeout_ms
        self._rows: dict[EndpointId, tuple[OrderRow | None, int]] = {}
        self._last_sent: dict[EndpointId, _SentOrder] = {}
        self._order_count = 0

    async def send(
        self,
        hold: Hold,
        endpoint: EndpointId,
        client: EngineClient,
        fencing: FencingCheck,
        intent: Intent,
        *,
        force_new: bool = False,
    ) -> Order | Failure:
        """Send an order under a hold.

        Parameters
        ----------
        hold : Hold
            Hold on the one duty that sends orders to this endpoint.
        endpoint, client : EndpointId, EngineClient
            The endpoint and its client.
        fencing : FencingCheck
            Whether the endpoint checks fencing numbers.
        intent : Intent
            What to order.
        force_new : bool
            Whether the endpoint carries the order out again if it is a repeat.

        Returns
        -------
        Order
            The order that the endpoint accepted.
        Failure
            ``Reason.FENCED`` if another instance holds the duty;
            ``Delivery.NOT_SENT`` if no order was sent.
        """
        row: OrderRow | Failure | None = None
        if fencing is FencingCheck.IGNORED:
            row = await self._write_row(hold, endpoint, intent, force_new)
            if isinstance(row, Failure):
                return self._log_failure(hold, endpoint, fencing, intent, row)
        order = self._make_order(hold, endpoint, intent, row)
        # No await between this check and the send: the hold could end meanwhile.
        if not hold.may_act():
            failure = _lease_ended_failure(endpoint)
            return self._log_failure(hold, endpoint, fencing, intent, failure, row)
        now_ms = self._clock.now_ms()
        self._last_sent[endpoint] = _SentOrder(intent, hold.fencing_number, now_ms)
        failure = await client.execute_order(order)
        if failure is not None:
            return self._log_failure(hold, endpoint, fencing, intent, failure, row)
        rule = "the lease is held"
        self._log_decision(rule, hold, endpoint, fencing, intent, row, order.order_id)
        return order

    async def reconcile(
        self,
        hold: Hold,
        endpoint: EndpointId,
        client: EngineClient,
        fencing: FencingCheck,
        intent: Intent,
        observed: VersionId,
    ) -> Order | Failure | None:
        """Repeat an order that an endpoint does not reflect; ``None`` if it does.

        Parameters
        ----------
        intent : Intent
            Order of the version that the endpoint is to run.
        observed : VersionId
            Version that the endpoint reports now.
        """
        if observed == intent.version:
            return None
        sent = self._last_sent.get(endpoint)
        was_sent_here = sent is not None and sent.intent == intent
        was_sent_here = was_sent_here and sent.fencing_number == hold.fencing_number
        if (
            was_sent_here
            and self._clock.now_ms() - sent.sent_ms < self._apply_timeout_ms
        ):
            return None
        rule = "not carried out in time" if was_sent_here else "reports another version"
        self._log_decision(rule, hold, endpoint, fencing, intent, observed=observed)
        return await self.send(
            hold, endpoint, client, fencing, intent, force_new=was_sent_here
        )

    def _make_order(
        self, hold: Hold, endpoint: EndpointId, intent: Intent, row: OrderRow | None
    ) -> Order:
        if row is not None:
            order_id = f"{endpoint}.{row.sequence}"
        else:
            self._order_count += 1
            order_id = f"{endpoint}.{hold.fencing_number}.{self._order_count}"
        return Order(
            order_id,
            intent.kind,
            hold.fencing_number,
            intent.version,
            intent.argument,
        )

    async def _write_row(
        self, hold: Hold, endpoint: EndpointId, intent: Intent, force_new: bool
    ) -> OrderRow | Failure:
        """Write the order's row, with retries until it is confirmed or attempts end."""
        current = await self._current_row(endpoint)
        if isinstance(current, Failure):
            return current
        row, revision = current
        token = f"{self._rng.getrandbits(TOKEN_BITS):016x}"
        new_row = next_order_row(row, intent, hold.fencing_number, token, force_new)
        delay_ms = FIRST_RETRY_DELAY_MS
        for _ in range(MAX_WRITE_ATTEMPTS):
            if isinstance(new_row, Failure):
                return new_row
            if not hold.may_act():
                break
            write = Write(_row_key(endpoint), msgspec.json.encode(new_row), revision)
            result = await self._table.commit([write])
            if isinstance(result, Committed):
                self._rows[endpoint] = (new_row, result.revision)
                return new_row
            if isinstance(result, Conflict):
                found = _decode_row(result.current.get(write.key))
                if isinstance(found, Failure):
                    return found
                row, revision = self._rows[endpoint] = found
                if row is not None and row.token == token:
                    return row
                new_row = next_order_row(
                    row, intent, hold.fencing_number, token, force_new
                )
                continue
            await self._clock.sleep_ms(delay_ms * self._rng.uniform(0.5, 1.0))
            delay_ms = min(2 * delay_ms, MAX_RETRY_DELAY_MS)
        if not hold.may_act():
            return _lease_ended_failure(endpoint)
        detail = f"the order's row was not written in {MAX_WRITE_ATTEMPTS} attempts"
        return Failure(Reason.UNAVAILABLE, STEP, endpoint, detail, Delivery.NOT_SENT)

    async def _current_row(
        self, endpoint: EndpointId
    ) -> tuple[OrderRow | None, int] | Failure:
        """Return the row as last known; a stale one fails the compare-and-set."""
        if endpoint not in self._rows:
            row = await self._table.read(_row_key(endpoint))
            found = row if isinstance(row, Failure) else _decode_row(row)
            if isinstance(found, Failure):
                return msgspec.structs.replace(found, delivery=Delivery.NOT_SENT)
            self._rows[endpoint] = found
        return self._rows[endpoint]

    def _log_failure(
        self,
        hold: Hold,
        endpoint: EndpointId,
        fencing: FencingCheck,
        intent: Intent,
        failure: Failure,
        row: OrderRow | None = None,
    ) -> Failure:
        rule = failure.reason.value
        self._log_decision(rule, hold, endpoint, fencing, intent, row, failure=failure)
        return failure

    def _log_decision(
        self,
        rule: str,
        hold: Hold,
        endpoint: EndpointId,
        fencing: FencingCheck,
        intent: Intent,
        row: OrderRow | None = None,
        order_id: str = "",
        failure: Failure | None = None,
        observed: VersionId = VersionId(""),
    ) -> None:
        self._log.decision(
            OrderDecision(
                rule=rule,
                endpoint=endpoint,
                fencing=fencing,
                fencing_number=hold.fencing_number,
                intent=intent,
                order_id=order_id,
                row=row,
                failure=failure,
                observed_version=observed,
            )
        )


def _row_key(endpoint: EndpointId) -> str:
    return ORDER_PREFIX + endpoint


def _decode_row(row: Row | None) -> tuple[OrderRow | None, int] | Failure:
    if row is None:
        return None, ABSENT_REVISION
    try:
        return msgspec.json.decode(row.value, type=OrderRow), row.revision
    except MALFORMED_ERRORS as error:
        detail = f"row {row.key!r} is not a valid order: {error}"
        return Failure(Reason.PROTOCOL, STEP, "platform", detail, Delivery.NOT_SENT)


def _lease_ended_failure(endpoint: EndpointId) -> Failure:
    detail = "the lease ended before the order was sent"
    return Failure(Reason.CANCELLED, STEP, endpoint, detail, Delivery.NOT_SENT)
