"""Cost of control work at an entry instance: ``python -m benchmarks.sizing``.

Measures each part with the real code at three fleet sizes and prints messages, bytes
and processor time per second. ``docs/CAPACITY.md`` has the figures of this command.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import msgspec

from _monsoonpulley.config.watcher import WatchTimes
from _monsoonpulley.control.leasestate import LeaseSettings
from _monsoonpulley.endpoints.engine import CacheEvent, CacheEventKind
from _monsoonpulley.endpoints.engine_metrics import format_metrics, parse_metrics
from _monsoonpulley.endpoints.feed import poll_interval_ms
from _monsoonpulley.endpoints.roster import refresh_interval_ms
from _monsoonpulley.entry.noticewatch import POLL_INTERVAL_MS as NOTICE_INTERVAL_MS
from _monsoonpulley.external.http_livelist import target_group
from _monsoonpulley.routing.router import Router

from .peers import (
    SIZES,
    FleetSize,
    fleet_members,
    measure,
    measure_transport_us,
    random_report,
)

BUDGET_BYTES_PER_S = 18_000
BUDGET_CORE_RATIO = 0.048
EXCHANGE_OVERHEAD_BYTES = 700
"""HTTP headers of a request and its answer, TCP/IP headers and acknowledgements."""
HTTP_EXCHANGE_US = 400
EVENTS_PER_POLL = 8
CONFIG_CHANGES_PER_DAY = 4_100
SECONDS_PER_DAY = 86_400
REPEATS = 200


class Part(msgspec.Struct, frozen=True):
    """A part of the control work; rates are per entry instance."""

    name: str
    messages_per_s: float
    bytes_per_s: float
    core_ratio: float


def timed_us(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the mean processor time of a call in microseconds."""
    call()
    start_s = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - start_s) / repeats * 1e6


def digests(size: FleetSize, message_us: float) -> Part:
    """Return the cost of digests and summaries between entry instances."""
    costs = measure(size, random.Random(1))
    payload = costs.payload_bytes_per_s()
    bytes_per_s = payload + 100 * costs.messages_per_s()
    return Part(
        "digests", costs.messages_per_s(), bytes_per_s, costs.core_ratio(message_us)
    )


def engine_polls(size: FleetSize) -> Part:
    """Return the cost of polling load reports and cache events of engines."""
    engines_per_entry = max(1, round(size.engine_count / size.entry_count))
    text = format_metrics(random_report(0, random.Random(1)))
    events = [
        CacheEvent(seq, CacheEventKind.STORED, (random.getrandbits(64),))
        for seq in range(EVENTS_PER_POLL)
    ]
    encoded = msgspec.json.encode(events)
    polls_per_s = engines_per_entry * 1_000 / poll_interval_ms(engines_per_entry)
    size_bytes = len(text) + len(encoded) + 2 * EXCHANGE_OVERHEAD_BYTES
    once_us = timed_us(lambda: parse_metrics(text, 0))
    once_us += timed_us(lambda: msgspec.json.decode(encoded, type=list[CacheEvent]))
    once_us += 2 * HTTP_EXCHANGE_US
    core_ratio = polls_per_s * once_us / 1e6
    return Part("engine polls", 2 * polls_per_s, polls_per_s * size_bytes, core_ratio)


def roster(size: FleetSize) -> Part:
    """Return the cost of refreshing the live list."""
    members = fleet_members(size)
    encoded = msgspec.json.encode([target_group(member) for member in members])
    router = Router("zone-0", random.Random(1))
    apply_us = timed_us(lambda: router.apply_members(members, 0), 20)
    decode_us = timed_us(lambda: msgspec.json.decode(encoded), 20)
    per_s = 1_000 / refresh_interval_ms(len(members))
    once_us = apply_us + 2 * decode_us + HTTP_EXCHANGE_US
    size_bytes = len(encoded) + EXCHANGE_OVERHEAD_BYTES
    return Part("list of members", per_s, per_s * size_bytes, per_s * once_us / 1e6)


def notices() -> Part:
    """Return the cost of polling reclaim notices, with none in force."""
    per_s = 1_000 / NOTICE_INTERVAL_MS
    bytes_per_s = per_s * EXCHANGE_OVERHEAD_BYTES
    return Part("reclaim notices", per_s, bytes_per_s, per_s * HTTP_EXCHANGE_US / 1e6)


def configuration(document_bytes: int = 69_882) -> Part:
    """Return the cost of the slow poll and of reading a whole document per change."""
    per_s = 1_000 / WatchTimes().slow_interval_ms
    changes_per_s = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY
    bytes_per_s = (
        per_s * EXCHANGE_OVERHEAD_BYTES + changes_per_s * document_bytes * 4 / 3
    )
    core_ratio = (per_s + changes_per_s) * HTTP_EXCHANGE_US / 1e6
    return Part("configuration", per_s + changes_per_s, bytes_per_s, core_ratio)


def leases(duties: int = 58, row_bytes: int = 130) -> Part:
    """Return the cost of scanning the lease rows."""
    per_s = 1_000 / LeaseSettings().idle_scan_interval_ms
    bytes_per_s = per_s * (EXCHANGE_OVERHEAD_BYTES + duties * row_bytes * 4 / 3)
    return Part("leases", per_s, bytes_per_s, per_s * HTTP_EXCHANGE_US / 1e6)


def print_size(size: FleetSize, message_us: float) -> None:
    """Print all parts at one fleet size."""
    parts = [
        digests(size, message_us),
        engine_polls(size),
        roster(size),
        notices(),
        configuration(),
        leases(),
    ]
    total_bytes = sum(part.bytes_per_s for part in parts)
    total_core = sum(part.core_ratio for part in parts)
    print(
        f"\n{size.entry_count} entry instances, {size.zone_count} zones, "
        f"{size.engine_count} engines"
    )
    print(f"{'part':<18}{'messages/s':>12}{'KB/s':>8}{'core':>9}")
    for part in [*parts, Part("total", 0, total_bytes, total_core)]:
        print(
            f"{part.name:<18}{part.messages_per_s:>12.1f}"
            f"{part.bytes_per_s / 1_000:>8.2f}{part.core_ratio:>9.2%}"
        )
    print(
        f"of the budget: {total_bytes / BUDGET_BYTES_PER_S:.0%} of 18 KB/s, "
        f"{total_core / BUDGET_CORE_RATIO:.0%} of 4.8% of a core"
    )


def main() -> None:
    """Print the cost at each fleet size."""
    message_us = asyncio.run(measure_transport_us(400))
    print(f"a 400 B message through pynng: {message_us:.0f} us")
    for size in SIZES:
        print_size(size, message_us)


if __name__ == "__main__":
    main()
