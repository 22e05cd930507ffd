import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.endpoints.engine import CacheEvent, CacheEventKind
from _monsoonpulley.routing.prefixindex import PrefixIndex, block_hashes

BLOCKS = tuple(range(1, 11))


def stored(seq, *blocks):
    return CacheEvent(seq, CacheEventKind.STORED, blocks)


def removed(seq, *blocks):
    return CacheEvent(seq, CacheEventKind.REMOVED, blocks)


class BlockHashTest(unittest.TestCase):
    def test_a_hash_identifies_its_whole_prefix(self):
        one = block_hashes(range(64))
        other = block_hashes([7, *range(1, 64)])
        self.assertEqual(len(one), 4)
        self.assertFalse(set(one) & set(other))
        self.assertEqual(block_hashes(range(40)), one[:2])


class PrefixIndexTest(unittest.TestCase):
    def setUp(self):
        self.index = PrefixIndex(max_blocks_per_endpoint=20)

    def test_counts_the_longest_prefix(self):
        self.index.apply_events("w", [stored(1, *BLOCKS[:4])])
        self.assertEqual(self.index.cached_tokens("w", BLOCKS), 64)
        self.assertEqual(self.index.cached_tokens("w", (99, *BLOCKS)), 0)

    def test_a_gap_makes_an_endpoint_stale_but_not_empty(self):
        self.assertFalse(self.index.apply_events("w", [stored(1, *BLOCKS)]))
        self.assertTrue(self.index.apply_events("w", [stored(5, 70)]))
        self.assertEqual(self.index.cached_tokens("w", BLOCKS), 80)
        self.assertEqual(self.index.cached_tokens("w", (70,)), 16)
        self.assertEqual(self.index.resync_seq("w"), 1)

    def test_events_that_fill_the_gap_restore_trust_in_their_order(self):
        self.index.apply_events("w", [stored(1, *BLOCKS)])
        self.index.apply_events("w", [stored(3, 70)])
        late = [removed(2, 10, 70), stored(3, 70)]
        self.assertFalse(self.index.apply_events("w", late))
        self.assertEqual(self.index.cached_tokens("w", BLOCKS), 144)
        self.assertEqual(self.index.cached_tokens("w", (70,)), 16)

    def test_duplicate_events_change_nothing(self):
        self.index.apply_events("w", [stored(1, 1), removed(2, 1)])
        self.index.apply_events("w", [stored(1, 1), removed(2, 1)])
        self.assertEqual(self.index.block_count(), 0)

    def test_a_restarted_endpoint_starts_with_an_empty_cache(self):
        self.index.apply_events("w", [stored(n, n) for n in range(1, 9)])
        self.index.apply_events("w", [stored(1, 50)])
        self.assertEqual(self.index.cached_tokens("w", (50,)), 16)
        self.assertEqual(self.index.cached_tokens("w", BLOCKS), 0)

    def test_a_clear_empties_and_a_resync_replaces_a_cache(self):
        self.index.apply_events("w", [stored(1, *BLOCKS), stored(4, 70)])
        self.index.resync("w", BLOCKS[:2], 9)
        self.assertFalse(self.index.has_gap("w"))
        self.assertEqual(self.index.cached_tokens("w", BLOCKS), 32)
        self.index.apply_events("w", [CacheEvent(10, CacheEventKind.CLEARED)])
        self.assertEqual(self.index.block_count(), 0)

    def test_finds_holders_of_the_longest_prefix_first(self):
        self.index.apply_events("short", [stored(1, *BLOCKS[:2])])
        self.index.apply_events("long", [stored(1, *BLOCKS[:9])])
        self.assertEqual(self.index.holders(BLOCKS, 1), ["long"])
        self.assertEqual(set(self.index.holders(BLOCKS, 4)), {"long", "short"})

    def test_the_end_of_a_chain_is_evicted_before_its_start(self):
        chain = tuple(range(1, 31))
        self.index.apply_events("w", [stored(1, *chain)])
        self.assertEqual(self.index.cached_tokens("w", chain), 20 * 16)

    def test_many_endpoints_share_one_bound_which_only_shortens_matches(self):
        index = PrefixIndex(max_blocks=4_000)
        blocks = block_hashes(range(4_096))
        for number in range(40):
            index.add_expected(f"w{number}", blocks)
        self.assertLessEqual(index.block_count(), 4_000)
        self.assertGreater(index.stride, 1)
        found = index.cached_tokens("w39", block_hashes([*range(4_096), 1, 2]))
        self.assertLessEqual(found, 4_096)
        self.assertGreater(found, 4_096 - 10 * index.stride * 16)

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(
        batches=st.lists(
            st.tuples(
                st.integers(0, 2),
                st.integers(1, 30),
                st.sampled_from(list(CacheEventKind)),
                st.lists(st.integers(1, 99), max_size=30),
            ),
            max_size=40,
        )
    )
    def test_memory_stays_bounded_and_both_maps_agree(self, batches):
        for endpoint, seq, kind, blocks in batches:
            event = CacheEvent(seq, kind, tuple(blocks))
            self.index.apply_events(f"w{endpoint}", [event])
        self.assertLessEqual(self.index.block_count(), 3 * 20)
        pairs = [
            (block, endpoint)
            for block in range(1, 100)
            for endpoint in self.index.holders((block,), 3)
        ]
        self.assertEqual(len(pairs), self.index.block_count())
        for block, endpoint in pairs:
            self.assertGreater(self.index.cached_tokens(endpoint, (block,)), 0)


if __name__ == "__main__":
    unittest.main()
