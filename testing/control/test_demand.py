from __future__ import annotations

import unittest

from _monsoonpulley.control.demand import (
    DemandHistory,
    DemandSettings,
    DemandUnit,
    DemandWindow,
)

SETTINGS = DemandSettings()
WINDOW_MS = SETTINGS.window_ms


def history(tokens, **fields):
    demand = DemandHistory(SETTINGS)
    for number, count in enumerate(tokens):
        demand.add(DemandWindow(number * WINDOW_MS, count // 100, count, **fields))
    return demand, len(tokens) * WINDOW_MS


class DemandTests(unittest.TestCase):
    def test_regular_bursts_determine_the_estimate_not_the_mean(self):
        demand, now = history([50_000 if n % 6 == 0 else 1_000 for n in range(120)])
        estimate = demand.estimate(now, 0)
        self.assertEqual(estimate.units_per_s, 5_000)
        self.assertLess(estimate.mean_per_s, 1_000)

    def test_one_outlier_does_not_change_the_estimate(self):
        demand, now = history([10_000] * 100 + [900_000])
        self.assertEqual(demand.estimate(now, 0).units_per_s, 1_000)

    def test_a_rise_is_extrapolated_over_the_lead_time_and_a_fall_is_not(self):
        rising, now = history([1_000 * n for n in range(120)])
        self.assertGreater(rising.estimate(now, 300_000).trend_per_s, 0)
        short_lead, long_lead = (
            rising.estimate(now, ms).units_per_s for ms in (60_000, 300_000)
        )
        self.assertGreater(long_lead, short_lead)
        falling, now = history([1_000 * (120 - n) for n in range(120)])
        self.assertEqual(falling.estimate(now, 300_000).trend_per_s, 0)

    def test_refusals_and_late_predictions_raise_the_estimate(self):
        without_refusals, now = history([10_000] * 30)
        with_refusals, now = history(
            [10_000] * 30, refused_count=30, predicted_late_count=20
        )
        self.assertGreater(
            with_refusals.estimate(now, 0).units_per_s,
            without_refusals.estimate(now, 0).units_per_s,
        )

    def test_windows_past_the_horizon_and_an_empty_history_give_no_demand(self):
        demand, now = history([10_000] * 30)
        later = now + SETTINGS.horizon_ms + 1
        self.assertEqual(demand.estimate(later, 0).units_per_s, 0)
        self.assertEqual(DemandHistory(SETTINGS).estimate(0, 0).units_per_s, 0)

    def test_demand_can_be_counted_in_requests(self):
        demand, now = history([10_000] * 30)
        self.assertEqual(demand.estimate(now, 0, DemandUnit.REQUESTS).units_per_s, 10)


if __name__ == "__main__":
    unittest.main()
