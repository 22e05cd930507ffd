import unittest

from benchmarks.fakes import CLASSES
from benchmarks.policy import VARIANTS, Simulation, is_within_target, summarize

WORST_CUSTOMER_COLUMN = -1


class PolicyTest(unittest.TestCase):
    """The policy's aims, checked in the benchmark's simulation."""

    @classmethod
    def setUpClass(cls):
        cls.product = Simulation("wave", VARIANTS["product"], seed=1).run()
        cls.baseline = Simulation("wave", VARIANTS["least-outstanding"], seed=1).run()
        cls.flood = Simulation("flood", VARIANTS["product"], seed=1).run()

    def test_a_reclaim_wave_recomputes_at_most_half_as_much_as_the_baseline(self):
        self.assertLessEqual(
            2 * self.product.recomputed_tokens, self.baseline.recomputed_tokens
        )

    def test_a_reclaim_wave_leaves_no_class_worse_than_the_baseline(self):
        for name in CLASSES:
            good = [
                sum(is_within_target(job) for job in sim.jobs if job.class_name == name)
                for sim in (self.product, self.baseline)
            ]
            self.assertGreaterEqual(good[0], good[1], name)

    def test_the_worst_customer_keeps_its_share_in_a_flood(self):
        self.assertGreaterEqual(
            float(summarize(self.flood)[WORST_CUSTOMER_COLUMN]), 0.8
        )

    def test_every_request_is_completed_or_refused(self):
        for sim in (self.product, self.flood):
            done = sum(job.completed_ms is not None for job in sim.jobs)
            self.assertEqual(done + sim.refused_count, len(sim.jobs))
            self.assertFalse(sim.queued_jobs)


if __name__ == "__main__":
    unittest.main()
