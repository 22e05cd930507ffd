"""Orders of current and former holders to endpoints that check or ignore numbers."""

from __future__ import annotations

import asyncio
import random
import unittest

from _monsoonpulley.config.document import FencingCheck
from _monsoonpulley.control.leases import Hold
from _monsoonpulley.control.orders import Intent, OrderRow, OrderSender, next_order_row
from _monsoonpulley.endpoints.engine import Order, OrderKind
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.faults import FaultKind, Latency
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from _monsoonpulley.standins.table import TableStandin

from ..standins.fleet import engine

SETTLE_MS = 5_000
CHECKED = FencingCheck.CHECKED
IGNORED = FencingCheck.IGNORED
SEEDS = range(5)


def load(version: str) -> Intent:
    return Intent(OrderKind.LOAD_VERSION, version)


class PausedEngineClient:
    """Holds back an order, as if its holder were paused right before the send."""

    def __init__(self, engine_client):
        self.engine_client = engine_client
        self.resumed = asyncio.Event()
        self.reached = asyncio.Event()

    async def execute_order(self, order: Order) -> Failure | None:
        self.reached.set()
        await self.resumed.wait()
        return await self.engine_client.execute_order(order)


class OrderScene:
    """An engine stand-in, the table, and successive holders of a duty."""

    def __init__(self, fencing: FencingCheck, seed: int = 1):
        self.clock = running_clock()
        self.table = TableStandin(self.clock, random.Random(seed))
        self.fencing = fencing
        self.engine_client = engine(checks_fencing=fencing is CHECKED)
        self.log_lines: list[str] = []
        self.ended_holds: set[int] = set()
        self._seed = seed

    def sender(self, name: str) -> OrderSender:
        return OrderSender(
            self.table.connect(name, "zone-a"),
            self.clock,
            random.Random(f"{name}{self._seed}"),
            Log(self.clock, self.log_lines.append),
            SETTLE_MS,
        )

    def hold(self, number: int) -> Hold:
        return Hold(number, lambda each, _for_ms: each not in self.ended_holds)

    async def send(self, sender, number, version, client=None, **options):
        return await sender.send(
            self.hold(number),
            self.engine_client.endpoint_id,
            client or self.engine_client,
            self.fencing,
            load(version),
            **options,
        )

    async def reconcile(self, sender, number, version):
        return await sender.reconcile(
            self.hold(number),
            self.engine_client.endpoint_id,
            self.engine_client,
            self.fencing,
            load(version),
            self.engine_client.version,
        )


class TestOrders(unittest.TestCase):
    def test_an_order_carries_the_fencing_number_of_its_hold(self):
        async def main(fencing):
            scene = OrderScene(fencing)
            order = await scene.send(scene.sender("a"), 7, "v2")
            self.assertEqual(order.fencing_number, 7)
            self.assertEqual(scene.engine_client.version, "v2")
            return scene.table.counts.rows_written

        self.assertEqual(run_manual(main(CHECKED)), 0)
        self.assertEqual(run_manual(main(IGNORED)), 1)

    def test_a_former_holder_is_refused_before_it_sends(self):
        async def main(seed):
            scene = OrderScene(IGNORED, seed)
            old, new = scene.sender("a"), scene.sender("b")
            await scene.send(old, 1, "v2")
            await scene.send(new, 2, "v3")
            refused = await scene.send(old, 1, "v2")
            self.assertEqual(refused.reason, Reason.FENCED)
            self.assertEqual(refused.delivery, Delivery.NOT_SENT)
            self.assertEqual(scene.engine_client.version, "v3")

        for seed in SEEDS:
            run_manual(main(seed))

    def test_a_holder_paused_before_its_check_sends_nothing(self):
        async def main(kind):
            scene = OrderScene(IGNORED)
            sender = scene.sender("a")
            scene.table.faults.slow(Latency(50, 50))
            if kind is not None:
                scene.table.faults.next_commit(kind)
            sending = asyncio.create_task(scene.send(sender, 1, "v2"))
            # At 175 ms the read (100 ms) is done and the write has taken effect, but
            # its answer has not arrived.
            await scene.clock.sleep_ms(175)
            scene.ended_holds.add(1)
            failure = await sending
            self.assertEqual(failure.reason, Reason.CANCELLED)
            self.assertEqual(failure.delivery, Delivery.NOT_SENT)
            self.assertEqual(scene.engine_client.orders_done, [])
            if kind is not FaultKind.DELAYED_EFFECT:
                self.assertEqual(scene.table.counts.rows_written, 1)

        for kind in (None, FaultKind.LOST_ANSWER, FaultKind.DELAYED_EFFECT):
            run_manual(main(kind))

    def test_a_checking_endpoint_refuses_what_a_paused_holder_sends_late(self):
        async def main(seed):
            scene = OrderScene(CHECKED, seed)
            paused = PausedEngineClient(scene.engine_client)
            late = asyncio.create_task(
                scene.send(scene.sender("a"), 1, "v2", client=paused)
            )
            await paused.reached.wait()
            await scene.send(scene.sender("b"), 2, "v3")
            paused.resumed.set()
            self.assertEqual((await late).reason, Reason.FENCED)
            self.assertEqual(scene.engine_client.version, "v3")

        for seed in SEEDS:
            run_manual(main(seed))

    def test_a_late_order_at_an_ignoring_endpoint_is_corrected_by_reconcile(self):
        async def main(seed):
            scene = OrderScene(IGNORED, seed)
            paused = PausedEngineClient(scene.engine_client)
            late = asyncio.create_task(
                scene.send(scene.sender("a"), 1, "v2", client=paused)
            )
            await paused.reached.wait()
            scene.ended_holds.add(1)
            new = scene.sender("b")
            await scene.send(new, 2, "v3")
            paused.resumed.set()
            await late
            self.assertEqual(scene.engine_client.version, "v2")
            self.assertIsNone(await scene.reconcile(new, 2, "v3"))
            await scene.clock.sleep_ms(SETTLE_MS)
            self.assertIsInstance(await scene.reconcile(new, 2, "v3"), Order)
            self.assertEqual(scene.engine_client.version, "v3")
            self.assertIsNone(await scene.reconcile(new, 2, "v3"))

        for seed in SEEDS:
            run_manual(main(seed))

    def test_a_new_holder_repeats_an_order_under_the_same_id(self):
        async def main():
            scene = OrderScene(IGNORED)
            first = await scene.send(scene.sender("a"), 1, "v2")
            again = await scene.send(scene.sender("b"), 2, "v2")
            self.assertEqual(again.order_id, first.order_id)
            self.assertEqual(len(scene.engine_client.orders_done), 1)
            other = await scene.send(scene.sender("b"), 2, "v2", force_new=True)
            self.assertNotEqual(other.order_id, first.order_id)

        run_manual(main())

    def test_faults_while_writing_the_row_leave_one_order(self):
        async def main(kind, seed):
            scene = OrderScene(IGNORED, seed)
            scene.table.faults.next_commit(kind, 2)
            order = await scene.send(scene.sender("a"), 1, "v2")
            self.assertIsInstance(order, Order)
            self.assertEqual(len(scene.engine_client.orders_done), 1)
            scene.table.faults.next_commit(kind)
            again = await scene.send(scene.sender("a"), 1, "v2", force_new=True)
            self.assertTrue(again.order_id.endswith(".2"), again)

        for kind in FaultKind:
            for seed in SEEDS:
                run_manual(main(kind, seed))

    def test_without_the_table_nothing_is_sent_to_an_ignoring_endpoint(self):
        async def main():
            scene = OrderScene(IGNORED)
            sender = scene.sender("a")
            await scene.send(sender, 1, "v2")
            scene.table.faults.outage(True)
            failure = await scene.send(sender, 1, "v3")
            self.assertEqual(failure.reason, Reason.UNAVAILABLE)
            self.assertEqual(failure.delivery, Delivery.NOT_SENT)
            self.assertEqual(scene.engine_client.version, "v2")

        run_manual(main())

    def test_each_order_and_refusal_is_logged(self):
        async def main():
            scene = OrderScene(IGNORED)
            await scene.send(scene.sender("b"), 2, "v3")
            await scene.send(scene.sender("a"), 1, "v2")
            rules = [line for line in scene.log_lines if "order_decision" in line]
            self.assertEqual(len(rules), 2)
            self.assertIn('"rule":"fenced"', rules[1])

        run_manual(main())


class TestNextRow(unittest.TestCase):
    def test_only_a_number_that_is_not_lower_may_order(self):
        row = OrderRow(3, load("v1"), 5, "t")
        self.assertEqual(next_order_row(row, load("v2"), 5, "u", False).sequence, 4)
        self.assertIsInstance(next_order_row(row, load("v2"), 4, "u", False), Failure)
