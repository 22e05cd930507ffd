import socket
import unittest

from _monsoonpulley.observability.metrics import NoMetrics, create_metrics


class MetricsTest(unittest.TestCase):
    def test_counters_timers_and_gauges_are_sent_in_statsd_format(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(10)
            metrics = create_metrics("127.0.0.1", server.getsockname()[1], "mp")
            metrics.incr("requests.done", 2)
            metrics.timing("generation.total", 12.5)
            metrics.gauge("config.number", 7)
            received = [server.recv(1_024) for _ in range(3)]
        self.assertEqual(received[0], b"mp.requests.done:2|c")
        self.assertRegex(received[1], rb"^mp\.generation\.total:12\.50*\|ms$")
        self.assertEqual(received[2], b"mp.config.number:7|g")

    def test_metrics_without_a_host_are_discarded(self):
        self.assertIsInstance(create_metrics("", 8_125, "mp"), NoMetrics)
