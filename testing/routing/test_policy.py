import unittest

from benchmarks.fakes import CLASSES
from benchmarks.policy import VARIANTS, Simulation, is_good, summarize

WORST = -1


class PolicyTest(unittest.TestCase):
    """Stated aims of the policy, on the small fakes of the benchmark."""

    @classmethod
    def setUpClass(cls):
        cls.product = Simulation("wave", VARIANTS["product"], seed=1).run()
        cls.baseline = Simulation("wave", VARIANTS["least-outstanding"], seed=1).run()
        cls.flood = Simulation("flood", VARIANTS["product"], seed=1).run()

    def test_a_reclaim_wave_recomputes_half_of_what_least_outstanding_does(self):
        self.assertLessEqual(2 * self.product.recomputed, self.baseline.recomputed)

    def test_a_reclaim_wave_leaves_no_class_worse_than_the_baseline(self):
        for name in CLASSES:
            good = [
                sum(is_good(job) for job in sim.jobs if job.name == name)
                for sim in (self.product, self.baseline)
            ]
            self.assertGreaterEqual(good[0], good[1], name)

    def test_the_worst_customer_keeps_its_share_in_a_flood(self):
        self.assertGreaterEqual(float(summarize(self.flood)[WORST]), 0.8)

    def test_every_request_ends_done_or_refused(self):
        for sim in (self.product, self.flood):
            done = sum(job.done_ms is not None for job in sim.jobs)
            self.assertEqual(done + sim.refused, len(sim.jobs))
            self.assertFalse(sim.waiting)


if __name__ == "__main__":
    unittest.main()
