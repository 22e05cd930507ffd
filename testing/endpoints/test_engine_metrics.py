import time
import unittest

from _monsoonpulley.endpoints.engine import LoadReport
from _monsoonpulley.endpoints.engine_metrics import (
    RUNNING,
    format_metrics,
    parse_metrics,
)
from _monsoonpulley.endpoints.http_engine_control import MAX_CONTROL_BYTES

MAX_STEP_S = 0.12
"""The time within which an event of a stream has to be passed on."""


class MetricsTest(unittest.TestCase):
    def test_a_formatted_report_parses_to_the_same_report(self):
        report = LoadReport(1_000, 3, 2, 900, 0.25, 8000.0, 12.5, 16)
        self.assertEqual(parse_metrics(format_metrics(report), 5_000), report)

    def test_samples_are_summed_and_missing_metrics_get_defaults(self):
        text = (
            'vllm:num_requests_running{model="a"} 2\n'
            'vllm:num_requests_running{model="b"} 1.0\n'
            "vllm:num_requests_waiting 4\nvllm:gpu_cache_usage_perc 0.5\n"
        )
        report = parse_metrics(text, 7_000)
        self.assertEqual((report.running, report.waiting), (3, 4))
        self.assertEqual(report.measured_wall_ms, 7_000)
        self.assertEqual(report.kv_used_ratio, 0.5)
        self.assertEqual(report.max_running, 256)

    def test_unusable_values_are_ignored(self):
        text = format_metrics(LoadReport(1, 3, 2, 9, 0.2, 8000.0, 12.5, 16))
        for value in ("NaN", "-1", "+Inf", "x"):
            broken = text.replace("vllm:num_requests_running 3", f"{value} {value}")
            self.assertIsNone(parse_metrics(broken, 5))
            broken = text.replace("running 3", f"running {value}")
            self.assertIsNone(parse_metrics(broken, 5))

    def test_a_report_of_many_other_lines_hardly_holds_up_the_rest(self):
        """Guards against a faulty engine whose reports stop the gateway."""
        report = format_metrics(LoadReport(1, 3, 2, 9, 0.2, 8000.0, 12.5, 16))
        for line in ("\n", "a 1\n", "#\n", f"x{RUNNING} 1\n"):
            text = report + line * (MAX_CONTROL_BYTES // len(line))
            started_s = time.process_time()
            parsed = parse_metrics(text, 5)
            self.assertLess(time.process_time() - started_s, MAX_STEP_S)
            self.assertEqual(parsed.running, 3)

    def test_line_ends_and_columns_may_vary(self):
        text = format_metrics(LoadReport(1, 3, 2, 9, 0.2, 8000.0, 12.5, 16))
        varied = text.replace("\n", " \t\r\n").replace(" ", "\t  ")
        varied = varied.replace(RUNNING, RUNNING + '{a="b c",d="e"}')
        self.assertEqual(parse_metrics(varied, 5), parse_metrics(text, 5))

    def test_a_timestamp_of_thousands_of_digits_does_not_end_the_feed(self):
        text = format_metrics(LoadReport(1, 3, 2, 9, 0.2, 8000.0, 12.5, 16))
        for digits in ("9" * 5_000, "-" + "9" * 5_000, "9" * 400):
            stamped = text.replace("running 3 1", f"running 3 {digits}")
            report = parse_metrics(stamped, 5)
            self.assertEqual((report.running, report.measured_wall_ms), (3, 5))

    def test_a_timestamp_in_the_future_becomes_the_poll_time(self):
        text = format_metrics(LoadReport(9_000, 3, 2, 9, 0.2, 8000.0, 12.5, 16))
        self.assertEqual(parse_metrics(text, 5_000).measured_wall_ms, 5_000)
