import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.external.table import Committed, Conflict, Row, Write
from _monsoonpulley.standins.table import MAX_WRITES, TableStandin

KEYS = st.sampled_from(["a", "ab", "b", "é", "z"])


class TableStandinTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = TableStandin(self.clock, Random(1))

    def put(self, key, value=b"v", expected=0):
        return self.table.commit([Write(key, value, expected)])

    def test_revisions_rise_with_each_commit_of_any_row(self):
        first = self.put("a")
        second = self.put("b")
        self.assertGreater(second.revision, first.revision)
        self.assertEqual(self.table.read("a"), Row("a", b"v", first.revision))

    def test_all_rows_of_a_commit_share_its_revision(self):
        committed = self.table.commit([Write("a", b"1", 0), Write("b", b"2", 0)])
        self.assertEqual(
            {r.revision for r in self.table.rows.values()}, {committed.revision}
        )

    def test_one_unexpected_revision_prevents_all_writes_of_a_commit(self):
        existing = self.put("b", b"held")
        result = self.table.commit(
            [Write("a", b"1", 0), Write("b", None, existing.revision + 1)]
        )
        self.assertEqual(result, Conflict({"b": Row("b", b"held", existing.revision)}))
        self.assertEqual(list(self.table.rows), ["b"])

    def test_a_deleted_row_is_absent_and_its_revision_never_returns(self):
        old = self.put("a").revision
        self.assertGreater(self.put("a", None, old).revision, old)
        self.assertIsNone(self.table.read("a"))
        new = self.put("a").revision
        self.assertGreater(new, old)
        self.assertIsInstance(self.put("a", b"x", old), Conflict)

    def test_writing_a_key_twice_in_one_commit_is_invalid(self):
        result = self.table.commit([Write("a", b"1", 0), Write("a", b"2", 0)])
        self.assertIs(result.reason, Reason.INVALID)
        self.assertEqual(self.table.rows, {})

    def test_too_many_writes_are_invalid(self):
        writes = [Write(f"k{i}", b"", 0) for i in range(MAX_WRITES + 1)]
        self.assertIs(self.table.commit(writes).reason, Reason.INVALID)
        self.assertIsInstance(self.table.commit(writes[1:]), Committed)

    def test_scan_pages_through_a_prefix(self):
        for key in ("p/3", "p/1", "q/1", "o", "p/2"):
            self.put(key)
        first = self.table.scan("p/", "", 2)
        rest = self.table.scan("p/", first[-1].key, 2)
        self.assertEqual([r.key for r in first + rest], ["p/1", "p/2", "p/3"])

    def test_calls_above_the_rate_limit_are_refused_without_effect(self):
        table = TableStandin(self.clock, Random(1), commits_per_s=2, reads_per_s=3)
        results = [table.commit([Write(f"k{i}", b"", 0)]) for i in range(3)]
        self.assertIs(results[2].reason, Reason.UNAVAILABLE)
        self.assertIn("rate limit", results[2].detail)
        self.assertEqual(len(table.rows), 2)
        reads = [table.read("k0") for _ in range(4)]
        self.assertIsInstance(reads[3], Failure)
        self.clock.advance_ms(500)
        self.assertIsInstance(table.commit([Write("k9", b"", 0)]), Committed)

    def test_calls_are_counted_in_total_and_by_second(self):
        self.table.commit([Write("a", b"1", 0), Write("b", b"2", 0)])
        self.clock.advance_ms(1_500)
        self.put("a")
        self.table.read("a")
        self.table.scan("", "", 9)
        total, later = self.table.counts, self.table.counts_per_s[1]
        self.assertEqual((total.commits, total.rows_written), (1, 2))
        self.assertEqual((later.commits, later.conflicts), (0, 1))
        self.assertEqual((later.reads, later.scans), (1, 1))

    @settings(derandomize=True, max_examples=100, deadline=None, database=None)
    @given(st.lists(st.tuples(KEYS, st.booleans(), st.booleans()), max_size=30))
    def test_it_behaves_as_a_plain_dictionary_with_conditions(self, steps):
        table = TableStandin(ManualClock(), Random(1))
        model = {}
        for key, delete, stale in steps:
            revision = model[key][1] if key in model else 0
            value = None if delete else key.encode()
            result = table.commit([Write(key, value, revision + stale)])
            self.assertIsInstance(result, Conflict if stale else Committed)
            if stale:
                continue
            model.pop(key, None)
            if not delete:
                model[key] = (value, result.revision)
        rows = [(r.key, (r.value, r.revision)) for r in table.scan("", "", 99)]
        self.assertEqual(rows, sorted(model.items()))
