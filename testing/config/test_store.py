import asyncio
import random
import unittest

from _monsoonpulley.config.document import Document, Revision
from _monsoonpulley.config.rows import HEAD_KEY, HISTORY_PREFIX, decode_revision
from _monsoonpulley.config.store import ApplyConflict, ConfigStore
from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from testing.config.documents import document_of
from testing.config.faketable import FakeTable, Fault, TableClient

SEEDS = range(150)


def store_on(table, seed=0, *, kept=1_000, **faults):
    clock = running_clock()
    rng = random.Random(seed)
    client = TableClient(table, clock, rng, **faults)
    return ConfigStore(client, clock, rng, history_kept=kept)


def head_of(table):
    return decode_revision(table.rows.get(HEAD_KEY))


class ApplyTest(unittest.TestCase):
    def test_first_change_gets_number_1_and_is_read_back(self):
        async def main():
            store = store_on(FakeTable())
            applied = await store.apply(
                document_of(a=1), expected_number=0, author="ana", note="start"
            )
            self.assertEqual((applied.number, applied.note), (1, "start"))
            self.assertEqual(await store.head(), applied)
            self.assertEqual(await store.show(1), applied)
            self.assertIsNone(await store.show(2))

        run_manual(main())

    def test_conflict_names_both_authors_and_both_differences(self):
        async def main():
            store = store_on(FakeTable())
            await store.apply(document_of(a=1, b=1), expected_number=0, author="ana")
            await store.apply(document_of(a=2, b=1), expected_number=1, author="bea")
            result = await store.apply(
                document_of(a=1, b=3), expected_number=1, author="cleo"
            )
            self.assertIsInstance(result, ApplyConflict)
            self.assertIn("'bea'", str(result))
            self.assertIn("'cleo'", str(result))
            self.assertEqual([c.section for c in result.theirs], ["class a"])
            self.assertEqual([c.section for c in result.yours], ["class b"])
            self.assertEqual(result.same_sections, ())

        run_manual(main())

    def test_a_number_that_does_not_exist_yet_is_refused(self):
        async def main():
            store = store_on(FakeTable())
            result = await store.apply(Document(), expected_number=4, author="ana")
            self.assertIs(result.reason, Reason.INVALID)

        run_manual(main())

    def test_an_expected_number_no_longer_kept_is_a_conflict(self):
        async def main():
            store = store_on(FakeTable(), kept=2)
            for number in range(6):
                await store.apply(
                    document_of(a=number + 1), expected_number=number, author="ana"
                )
            result = await store.apply(Document(), expected_number=1, author="bea")
            self.assertIsInstance(result, ApplyConflict)
            self.assertEqual(result.theirs, ())

        run_manual(main())

    def test_history_is_pruned_and_listed_newest_first(self):
        async def main():
            table = FakeTable()
            store = store_on(table, kept=3)
            for number in range(8):
                await store.apply(Document(), expected_number=number, author="ana")
            kept = [key for key in table.rows if key.startswith(HISTORY_PREFIX)]
            self.assertEqual(len(kept), 3)
            history = await store.history(limit=2)
            self.assertEqual([one.number for one in history], [8, 7])

        run_manual(main())


class LostAnswerTest(unittest.TestCase):
    def outcome(self, faults, *, other_between=False):
        async def main():
            table = FakeTable()
            store = store_on(table, faults=faults)
            result = await store.apply(
                document_of(a=1), expected_number=0, author="ana"
            )
            await running_clock().sleep_ms(10_000)
            return table, result

        return run_manual(main())

    def test_each_fault_ends_in_one_confirmed_revision(self):
        in_doubt = [Fault.LOST_ANSWER, Fault.LOST_REQUEST, Fault.DELAYED]
        for first in in_doubt:
            for second in [Fault.NONE, Fault.REFUSED, *in_doubt]:
                with self.subTest(first=first, second=second):
                    table, result = self.outcome([first, second])
                    self.assertEqual(result, head_of(table))
                    self.assertEqual(result.number, 1)

    def test_a_refusal_after_a_doubt_does_not_count_as_not_applied(self):
        table, result = self.outcome([Fault.DELAYED] + [Fault.REFUSED] * 20)
        # The delayed commit lands after all retries were refused or settles them.
        self.assertEqual(head_of(table).author, "ana")
        if isinstance(result, Failure):
            self.assertIs(result.reason, Reason.IN_DOUBT)

    def test_a_refused_first_commit_never_takes_effect(self):
        table, result = self.outcome([Fault.REFUSED])
        self.assertIs(result.reason, Reason.UNAVAILABLE)
        self.assertIsNone(head_of(table))

    def test_the_same_change_token_applies_once_through_two_instances(self):
        async def main():
            table = FakeTable()
            first, second = store_on(table, 1), store_on(table, 2)
            ask = dict(expected_number=0, author="ana", change_token="t" * 32)
            one = await first.apply(document_of(a=1), **ask)
            two = await second.apply(document_of(a=1), **ask)
            self.assertEqual(one, two)
            await first.apply(document_of(b=1), expected_number=1, author="bea")
            self.assertEqual(await second.apply(document_of(a=1), **ask), one)
            reused = await second.apply(document_of(c=1), **ask)
            self.assertIs(reused.reason, Reason.INVALID)

        run_manual(main())

    def test_a_delayed_commit_never_lands_on_a_newer_head(self):
        async def main():
            table = FakeTable()
            slow = store_on(table, 1, faults=[Fault.DELAYED] + [Fault.LOST_REQUEST] * 9)
            quick = store_on(table, 2)
            task = asyncio.create_task(
                slow.apply(document_of(a=1), expected_number=0, author="ana")
            )
            await running_clock().sleep_ms(0)
            taken = await quick.apply(document_of(b=1), expected_number=0, author="bea")
            result = await task
            await running_clock().sleep_ms(10_000)
            self.assertEqual(head_of(table), taken)
            self.assertIsNot(type(result), Revision)

        run_manual(main())


class RaceTest(unittest.TestCase):
    """Operators race through their own instances, on a faulty table."""

    def race(self, seed, operators):
        async def operate(table, index, results):
            rng = random.Random(seed * 10 + index)
            faults = dict(fault_rate=0.4, latency_ms=(0, 300))
            store = store_on(table, seed * 10 + index, **faults)
            for step in range(4):
                head = await store.head()
                if isinstance(head, Failure):
                    continue
                expected = head.number if head else 0
                await running_clock().sleep_ms(rng.randint(0, 400))
                document = document_of(**{f"c{index}": step + 1})
                result = await store.apply(
                    document, expected_number=expected, author=f"op{index}"
                )
                results.append((document, expected, result))

        async def main():
            table = FakeTable()
            results = []
            await asyncio.gather(
                *(operate(table, index, results) for index in range(operators))
            )
            await running_clock().sleep_ms(60_000)
            return table, results

        return run_manual(main())

    def check(self, table, results):
        landed = [
            decode_revision(table.rows[key])
            for key in sorted(table.rows)
            if key.startswith(HISTORY_PREFIX)
        ]
        numbers = [one.number for one in landed]
        self.assertEqual(numbers, list(range(1, len(landed) + 1)))
        self.assertEqual(len({one.change_token for one in landed}), len(landed))
        accepted = [r for _, _, r in results if isinstance(r, Revision)]
        for revision in accepted:
            self.assertEqual(landed[revision.number - 1], revision)
        for document, expected, result in results:
            in_table = [
                one
                for one in landed
                if one.document == document and one.number == expected + 1
            ]
            refused = isinstance(result, ApplyConflict) or (
                isinstance(result, Failure) and result.reason is not Reason.IN_DOUBT
            )
            if refused:
                self.assertEqual(in_table, [])
        return len(accepted)

    def test_two_and_three_racing_operators(self):
        for operators in (2, 3):
            accepted = 0
            for seed in SEEDS:
                with self.subTest(operators=operators, seed=seed):
                    accepted += self.check(*self.race(seed, operators))
            self.assertGreater(accepted, len(SEEDS))
