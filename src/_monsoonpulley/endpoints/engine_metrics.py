"""Load reports in an engine's Prometheus text, formatted and parsed."""

from __future__ import annotations

import math
import re

from .engine import LoadReport

RUNNING = "vllm:num_requests_running"
WAITING = "vllm:num_requests_waiting"
KV_USED = "vllm:kv_cache_usage_perc"
KV_USED_LEGACY = "vllm:gpu_cache_usage_perc"
WAITING_TOKENS = "engine:waiting_prompt_tokens"
PREFILL_SPEED = "engine:prefill_tokens_per_s"
DECODE_TIME = "engine:decode_ms_per_token"
MAX_RUNNING = "engine:max_running"

DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
DEFAULT_DECODE_MS_PER_TOKEN = 30.0
DEFAULT_MAX_RUNNING = 256

_NAMES = (
    RUNNING,
    WAITING,
    KV_USED,
    KV_USED_LEGACY,
    WAITING_TOKENS,
    PREFILL_SPEED,
    DECODE_TIME,
    MAX_RUNNING,
)
# Matches only the lines that are used: a faulty engine may send any number of others.
_SAMPLE = re.compile(
    rf"^({'|'.join(_NAMES)})(?:\{{[^}}\n]*\}})?[ \t]+(\S+)(?:[ \t]+(-?\d+))?[ \t\r]*$",
    re.MULTILINE,
)
_MAX_VALUE = 1e9
_MAX_TIMESTAMP_CHARS = 15
"""Milliseconds of thirty thousand years; a longer number is no time."""


def format_metrics(report: LoadReport) -> str:
    """Return a load report as Prometheus text with timestamps."""
    samples = {
        RUNNING: report.running,
        WAITING: report.waiting,
        KV_USED: report.kv_used_ratio,
        WAITING_TOKENS: report.waiting_tokens,
        PREFILL_SPEED: report.prefill_tokens_per_s,
        DECODE_TIME: report.decode_ms_per_token,
        MAX_RUNNING: report.max_running,
    }
    lines = []
    for name, value in samples.items():
        lines.append(f"# TYPE {name} gauge")
        lines.append(f"{name} {value} {report.measured_wall_ms}")
    return "\n".join(lines) + "\n"


def parse_metrics(text: str, polled_wall_ms: int) -> LoadReport | None:
    """Return the load report in Prometheus text, ``None`` without request counts.

    Samples of one name, such as one per model, are summed. A report without
    a timestamp, or with one in the future, is dated ``polled_wall_ms``. Other
    metrics that the engine does not publish get defaults.
    """
    values: dict[str, float] = {}
    measured_wall_ms = polled_wall_ms
    for match in _SAMPLE.finditer(text):
        value = _parse_value(match.group(2))
        if value is None:
            continue
        name = match.group(1)
        values[name] = values.get(name, 0.0) + value
        timestamp = match.group(3)
        if name == RUNNING and timestamp and len(timestamp) <= _MAX_TIMESTAMP_CHARS:
            measured_wall_ms = min(int(timestamp), polled_wall_ms)
    if RUNNING not in values or WAITING not in values:
        return None
    used = values.get(KV_USED, values.get(KV_USED_LEGACY, 0.0))
    return LoadReport(
        measured_wall_ms=measured_wall_ms,
        running=int(values[RUNNING]),
        waiting=int(values[WAITING]),
        waiting_tokens=int(values.get(WAITING_TOKENS, 0.0)),
        kv_used_ratio=min(1.0, used),
        prefill_tokens_per_s=values.get(PREFILL_SPEED) or DEFAULT_PREFILL_TOKENS_PER_S,
        decode_ms_per_token=values.get(DECODE_TIME) or DEFAULT_DECODE_MS_PER_TOKEN,
        max_running=int(values.get(MAX_RUNNING, 0.0)) or DEFAULT_MAX_RUNNING,
    )


def _parse_value(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    if not math.isfinite(value) or value < 0:
        return None
    return min(value, _MAX_VALUE)
