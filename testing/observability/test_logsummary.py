"""Summaries of log lines, as an operator reads them after an incident."""

from __future__ import annotations

import json
import unittest

from _monsoonpulley.observability.logsummary import quantile, summarize_lines


def line(wall_ms: int, event: str, **fields: object) -> str:
    return json.dumps({"wall_ms": wall_ms, "event": event, **fields})


def request(wall_ms: int, status: int, detail: str = "") -> str:
    return line(wall_ms, "request", status=status, detail=detail, request="r-1")


def attempt(wall_ms: int, first_ms: int | None, predicted_ms: float, **fields) -> str:
    values = {"result": "answered", "heard": 3, "members": 3, **fields}
    return line(
        wall_ms, "attempt", first_ms=first_ms, predicted_ms=predicted_ms, **values
    )


class TestSummary(unittest.TestCase):
    def test_requests_are_counted_by_interval_and_kind_of_answer(self):
        texts = [
            request(5_000, 200),
            request(1_999, 200),
            request(1_000, 429, "quota used up: 3 left"),
            request(1_500, 503, "overload"),
            request(1_500, 502, "connection lost: reset"),
            request(1_500, 0, "caller left"),
            request(1_500, 401, "unknown key"),
        ]
        first, second = summarize_lines(texts, 2_000).intervals
        self.assertEqual((first.start_wall_ms, second.start_wall_ms), (0, 4_000))
        counts = (
            first.answered_count,
            first.refused_count,
            first.failed_count,
            first.rejected_count,
        )
        self.assertEqual(counts, (1, 2, 2, 1))
        self.assertEqual(second.answered_count, 1)

    def test_reasons_are_counted_without_what_varies(self):
        texts = [request(n, 429, f"quota used up: {n} left") for n in range(5)]
        refusals = summarize_lines(texts, 1_000).refusals
        self.assertEqual(refusals, {(429, "quota used up"): 5})

    def test_a_request_that_another_instance_served_is_counted_once(self):
        summary = summarize_lines(
            [request(0, 200), line(0, "request", status=200, is_from_peer=True)], 1_000
        )
        self.assertEqual(summary.intervals[0].answered_count, 1)

    def test_predictions_are_compared_with_answers_alone(self):
        texts = [
            attempt(10, 100, 200.0),
            attempt(20, 300, 100.0, heard=1),
            attempt(30, None, 100.0, result="time_up"),
            attempt(40, 900, 100.0, result="failed", members=4),
        ]
        (interval,) = summarize_lines(texts, 1_000).intervals
        self.assertEqual(interval.error_ratios, [0.5, 3.0])
        self.assertEqual((interval.least_heard, interval.member_count), (1, 4))

    def test_orders_and_their_refusals_are_counted(self):
        texts = [
            line(1, "endpoints_ordered", count=2, error=""),
            line(2, "endpoints_ordered", count=2, error="conflict: 409"),
        ]
        (interval,) = summarize_lines(texts, 1_000).intervals
        self.assertEqual((interval.order_count, interval.refused_order_count), (2, 1))

    def test_text_before_a_line_is_ignored_and_other_text_is_counted(self):
        texts = [
            "  12.5 frontend-1 " + request(1, 200),
            "",
            "not a log line",
            '{"wall_ms":1,"event":"req',
            "[1, 2]",
        ]
        summary = summarize_lines(texts, 1_000)
        self.assertEqual(summary.intervals[0].answered_count, 1)
        self.assertEqual(summary.skipped_count, 3)

    def test_quantiles_of_few_values(self):
        self.assertIsNone(quantile([], 0.5))
        self.assertEqual(quantile([7], 0.9), 7.0)
        self.assertEqual(quantile(list(range(101)), 0.9), 90.0)
