"""Lengths of answers learned from hints, kinds and both."""

from __future__ import annotations

import math
import random
import unittest

from _monsoonpulley.placing.outputlengths import OutputLengths


class TestOutputLengths(unittest.TestCase):
    def log_error(self, hint_sigma: float, length_sigma: float) -> dict[str, float]:
        """Return the mean errors of the logarithms, by way to predict."""
        rng, lengths = random.Random(1), OutputLengths()
        errors = {"mixture": 0.0, "hint": 0.0, "mean": 0.0}
        for number in range(600):
            events = 30 * rng.lognormvariate(0, length_sigma)
            hint = max(1, round(7 * events * rng.lognormvariate(0, hint_sigma)))
            events = max(1, round(events))
            ways = {
                "mixture": lengths.predict("model", "chat", "c", hint).events,
                "hint": hint / 7,
                "mean": 30,
            }
            lengths.record_end("model", "chat", "c", hint, events)
            if number >= 300:
                for way, predicted in ways.items():
                    errors[way] += abs(math.log(predicted / events)) / 300
        return errors

    def test_the_mixture_is_as_good_as_the_better_of_hint_and_mean(self):
        # Guards against trusting hints that say nothing, and ignoring good ones.
        for hint_sigma, length_sigma in ((0.1, 0.8), (0.7, 0.8), (2.0, 0.5)):
            with self.subTest(hint_sigma=hint_sigma):
                errors = self.log_error(hint_sigma, length_sigma)
                best = min(errors["hint"], errors["mean"])
                self.assertLess(errors["mixture"], 1.05 * best)

    def test_an_unknown_customer_counts_as_others_of_the_route(self):
        lengths = OutputLengths()
        for _ in range(50):
            lengths.record_end("model", "chat", "c", None, 100)
        predicted = lengths.predict("model", "chat", "new", None).events
        self.assertAlmostEqual(predicted, 100, delta=20)


if __name__ == "__main__":
    unittest.main()
