"""Metrics of an ingress instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 15.0)
"""Bucket limits around the latency targets and deadlines that users set."""

ERROR_BUCKETS = (0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0)
"""Bucket limits of measured over predicted time; 1 is exact."""


class Counters:
    """Prometheus metrics of one instance."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "monsoonpulley_requests",
            "Requests by route kind, status of the answer, and reason.",
            ("kind", "status", "reason"),
            registry=self.registry,
        )
        self.first_byte_s = Histogram(
            "monsoonpulley_first_byte_seconds",
            "Time from a request to the first byte of its answer.",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.prediction_error_ratio = Histogram(
            "monsoonpulley_prediction_error_ratio",
            "Measured time to an answer's first byte over the predicted one.",
            ("service",),
            buckets=ERROR_BUCKETS,
            registry=self.registry,
        )
        self.instances = Gauge(
            "monsoonpulley_instances",
            "Instances by whether their digests arrive, this one included.",
            ("state",),
            registry=self.registry,
        )
        self.limited_endpoints = Gauge(
            "monsoonpulley_limited_endpoints",
            "Endpoints that limit the requests a second from all instances.",
            registry=self.registry,
        )
        self.cold_endpoints = Gauge(
            "monsoonpulley_cold_endpoints",
            "Endpoints that bear few requests for a while.",
            registry=self.registry,
        )
        self.refused_endpoint_rows = Gauge(
            "monsoonpulley_refused_endpoint_rows",
            "Rows of endpoints that can't be used, such as those with an odd address.",
            registry=self.registry,
        )
        self.requests_kept_off_cold = Counter(
            "monsoonpulley_requests_kept_off_cold",
            "Choices of an endpoint that left out cold ones, by service.",
            ("service",),
            registry=self.registry,
        )
        self.quarantine_entries = Gauge(
            "monsoonpulley_quarantine_entries",
            "Entries of requests that are refused because they crash endpoints.",
            registry=self.registry,
        )
        self.endpoint_crashes = Counter(
            "monsoonpulley_endpoint_crashes",
            "Crashes of endpoints that this instance saw, by service.",
            ("service",),
            registry=self.registry,
        )
        self.attempts = Counter(
            "monsoonpulley_attempts",
            "Requests sent to endpoints, by service and result.",
            ("service", "result"),
            registry=self.registry,
        )
        self.foreign_answers = Counter(
            "monsoonpulley_foreign_answers",
            "Answers that belong to other requests, or may, by service.",
            ("service",),
            registry=self.registry,
        )
        self.caller_bytes = Gauge(
            "monsoonpulley_caller_bytes",
            "Memory that is kept for callers.",
            registry=self.registry,
        )
        self.caller_connections = Gauge(
            "monsoonpulley_caller_connections",
            "Open connections of callers, on all ports.",
            registry=self.registry,
        )
        self.shed_callers = Counter(
            "monsoonpulley_shed_callers",
            "Callers that were refused or disconnected to make room, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self.refused_messages = Counter(
            "monsoonpulley_refused_messages",
            "Requests refused before they were read to their end, by status.",
            ("status",),
            registry=self.registry,
        )
        self.lost_links = Gauge(
            "monsoonpulley_lost_links",
            "Endpoints that this instance can't connect to.",
            registry=self.registry,
        )
        self.evacuated_zones = Gauge(
            "monsoonpulley_evacuated_zones",
            "Data centres to whose endpoints nothing is sent.",
            registry=self.registry,
        )
        self.region_rejections = Counter(
            "monsoonpulley_region_rejections",
            "Requests refused as no allowed region has an endpoint, by service.",
            ("service",),
            registry=self.registry,
        )
        self.peer_attempts = Counter(
            "monsoonpulley_peer_attempts",
            "Requests that other instances were asked to serve, by service and result.",
            ("service", "result"),
            registry=self.registry,
        )
        self.loop_delay_s = Gauge(
            "monsoonpulley_loop_delay_seconds",
            "Mean delay of the event loop's timers in the last second.",
            registry=self.registry,
        )
        self.customers_above_share = Gauge(
            "monsoonpulley_customers_above_share",
            "Customers whose requests are refused first, by service.",
            ("service",),
            registry=self.registry,
        )
        self.store_calls = Counter(
            "monsoonpulley_store_calls",
            "Calls to the platform's store, by name and result.",
            ("call", "result"),
            registry=self.registry,
        )
        self.log_lines_dropped = Counter(
            "monsoonpulley_log_lines_dropped",
            "Log lines dropped because of the limit on their volume.",
            registry=self.registry,
        )
        self.stopped_requests = Counter(
            "monsoonpulley_stopped_requests",
            "Requests that a stopping instance refused as they came too late, ended "
            "near its end, or left unanswered, by outcome.",
            ("outcome",),
            registry=self.registry,
        )
        self.in_progress = Gauge(
            "monsoonpulley_requests_in_progress",
            "Requests that have no complete answer yet.",
            registry=self.registry,
        )
        self.configuration_version = Gauge(
            "monsoonpulley_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self.registry)
