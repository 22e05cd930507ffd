"""Cost of routing and admission decisions: ``python -m benchmarks.decisions``.

Prints time and allocated bytes per decision by number of engines, and compares
size and errors of the prefix index with a sketch of 16-bit fingerprints.
"""

from __future__ import annotations

import gc
import math
import random
import statistics
import time
import tracemalloc

from _monsoonpulley.config.document import Document, Service, ServiceKind
from _monsoonpulley.endpoints.engine import CacheEvent, CacheEventKind, LoadReport
from _monsoonpulley.external.livelist import Member, Role
from _monsoonpulley.routing.admission import Admission, AdmissionRequest
from _monsoonpulley.routing.policies import RouteRequest
from _monsoonpulley.routing.prefixindex import PrefixIndex
from _monsoonpulley.routing.router import Router

ENGINE_COUNTS = (10, 417, 2_500)
DECISIONS = 3_000
POLICY_NAMES = ("predicted-completion", "two-choices", "full-scan")
DOCUMENT = Document(services={"model": Service(kind=ServiceKind.MODEL)})


def make_router(engine_count: int, policy: str, rng: random.Random) -> Router:
    router = Router.from_config(DOCUMENT, "a", rng, policy)
    names = [f"w{i}" for i in range(engine_count)]
    router.apply_members(
        [Member(n, Role.ENDPOINT, "a", n, "", "model", "v1") for n in names], 0
    )
    router.set_peer_count(6)
    for name in names:
        waiting = rng.randrange(4_000)
        report = LoadReport(1, rng.randrange(20), 0, waiting, 0.5, 8_000, 20, 24)
        router.apply_load(name, report, 1)
    for session in range(200):
        blocks = tuple(range(session * 1_000, session * 1_000 + 300))
        for name in rng.sample(names, 3):
            router.prefixes.add_expected(name, blocks)
    return router


def make_route_requests(rng: random.Random) -> list[RouteRequest]:
    requests = []
    for number in range(DECISIONS):
        first = rng.randrange(200) * 1_000
        requests.append(
            RouteRequest(
                request_id=f"r{number}",
                service="model",
                target_ms=60_000,
                prompt_tokens=4_900,
                max_tokens=200,
                prefix_blocks=tuple(range(first, first + 306)),
            )
        )
    return requests


def percentile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def timed_us(call, items) -> list[float]:
    durations_us = []
    for item in items:
        start = time.perf_counter_ns()
        call(item)
        durations_us.append((time.perf_counter_ns() - start) / 1_000)
    return durations_us


def allocated_bytes(call, items) -> float:
    """Return the mean peak of bytes allocated during one call."""
    gc.collect()
    peaks = []
    tracemalloc.start()
    for item in items:
        tracemalloc.reset_peak()
        before = tracemalloc.get_traced_memory()[0]
        kept = call(item)
        peaks.append(tracemalloc.get_traced_memory()[1] - before)
        del kept
    tracemalloc.stop()
    return statistics.fmean(peaks)


def format_row(
    name: str, size: int, durations_us: list[float], size_bytes: float
) -> str:
    mean = statistics.fmean(durations_us)
    p50, p99 = percentile(durations_us, 0.5), percentile(durations_us, 0.99)
    return f"{name:<22}{size:>8}{mean:>9.1f}{p50:>9.1f}{p99:>9.1f}{size_bytes:>10.0f}"


def measure_routing() -> None:
    for policy in POLICY_NAMES:
        means = {}
        for engine_count in ENGINE_COUNTS:
            rng = random.Random(7)
            router = make_router(engine_count, policy, rng)
            requests = make_route_requests(rng)

            def choose(request, router=router):
                return router.choose(request, 200)

            timed_us(choose, requests[:300])
            durations_us = timed_us(choose, requests)
            size_bytes = allocated_bytes(choose, requests[:300])
            means[engine_count] = statistics.fmean(durations_us)
            print(
                format_row(
                    f"route {policy}"[:22], engine_count, durations_us, size_bytes
                )
            )
        low, high = ENGINE_COUNTS[1], ENGINE_COUNTS[2]
        slope = math.log(means[high] / means[low]) / math.log(high / low)
        print(f"  growth exponent {low}-{high} engines: {slope:.2f} (1 is linear)")


def measure_lifecycle() -> None:
    """Print the time of an attempt's start and end, which update the loads."""
    rng = random.Random(7)
    router = make_router(417, "predicted-completion", rng)

    def cycle(request):
        decision = router.choose(request, 200)
        attempt = request.request_id + ".1"
        router.record_attempt_start(attempt, request, decision, 200)
        router.record_attempt_end(attempt, 210, output_tokens=100)

    requests = make_route_requests(rng)
    durations_us = timed_us(cycle, requests)
    size_bytes = allocated_bytes(cycle, requests[:300])
    print(format_row("route, start and end", 417, durations_us, size_bytes))


def measure_admission() -> None:
    for queued_count in (0, 200, 2_000):
        admission = Admission(random.Random(1), max_queued=20_000)
        admission.set_slots("model", 30)

        def build_request(number):
            return AdmissionRequest(
                request_id=f"r{number}",
                service="model",
                customer=f"c{number % 5}",
                request_class="quick",
                cost_tokens=100 + number % 7,
                target_ms=600_000 - number,
            )

        for number in range(30 + queued_count):
            admission.submit(build_request(-number - 1), 0)
        admitted_ids = [f"r{-number - 1}" for number in range(30)]

        def offer_and_release(number, admission=admission, admitted_ids=admitted_ids):
            result = admission.submit(build_request(number), 1)
            if type(result).__name__ == "Admit":
                admitted_ids.append(result.request_id)
            admission.release("model", admitted_ids.pop(0), 2)
            admitted_ids.extend(r.request_id for r in admission.pop_decisions(2))

        durations_us = timed_us(offer_and_release, range(DECISIONS))
        size_bytes = allocated_bytes(
            offer_and_release, range(DECISIONS, DECISIONS + 300)
        )
        print(
            format_row(
                f"admit, {queued_count} waiting", queued_count, durations_us, size_bytes
            )
        )


class FingerprintSketch:
    """A set-associative table of 16-bit fingerprints with four per bucket."""

    def __init__(self, capacity: int):
        self.bucket_count = capacity // 4
        self.cells = memoryview(bytearray(2 * 4 * self.bucket_count)).cast("H")
        self.overwrite_count = 0

    def _locate(self, block: int) -> tuple[int, int]:
        return block % self.bucket_count * 4, (block >> 40 & 0xFFFF) or 1

    def add(self, block: int) -> None:
        """Add a block; overwrite another if the bucket is full."""
        start, fingerprint = self._locate(block)
        cells = self.cells
        for cell in range(start, start + 4):
            if cells[cell] in (0, fingerprint):
                cells[cell] = fingerprint
                return
        self.overwrite_count += 1
        cells[start + self.overwrite_count % 4] = fingerprint

    def might_contain(self, block: int) -> bool:
        """Return whether the block was probably added."""
        start, fingerprint = self._locate(block)
        return fingerprint in self.cells[start : start + 4].tolist()


def measure_prefixes(blocks_per_engine: int = 4_096) -> None:
    rng = random.Random(3)
    held_blocks = [rng.getrandbits(64) for _ in range(blocks_per_engine)]
    other_blocks = [rng.getrandbits(64) for _ in range(20_000)]
    tracemalloc.start()
    index = PrefixIndex()
    event = CacheEvent(1, CacheEventKind.STORED, tuple(held_blocks))
    before = tracemalloc.get_traced_memory()[0]
    index.apply_events("w", [event])
    bytes_per_block = (tracemalloc.get_traced_memory()[0] - before) / blocks_per_engine
    tracemalloc.stop()
    print(f"exact map: {bytes_per_block:.0f} bytes per block, exact by design")
    for factor in (1, 2):
        sketch = FingerprintSketch(factor * blocks_per_engine)
        for block in held_blocks:
            sketch.add(block)
        missing_ratio = sum(
            not sketch.might_contain(block) for block in held_blocks
        ) / len(held_blocks)
        false_ratio = sum(sketch.might_contain(block) for block in other_blocks) / len(
            other_blocks
        )
        print(
            f"sketch, {2 * factor} bytes per block: {missing_ratio:.2%} lost,"
            f" {false_ratio:.4%} false,"
            " no removal, and no list of holders"
        )


def measure_index(engine_count: int, blocks_per_engine: int = 2_048) -> None:
    """Print the size of a full index, and by how much its matches fall short."""
    rng = random.Random(3)
    tracemalloc.start()
    index = PrefixIndex()
    chains = []
    before = tracemalloc.get_traced_memory()[0]
    for engine_number in range(engine_count):
        chain = tuple(rng.getrandbits(64) for _ in range(blocks_per_engine))
        index.add_expected(f"w{engine_number}", chain)
        chains = [*chains, chain][-50:]
    size_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    shortfalls, missed_count = [], 0
    for offset, chain in enumerate(reversed(chains)):
        engine_name = f"w{engine_count - 1 - offset}"
        found = index.cached_tokens(engine_name, chain[:300])
        missed_count += not found
        shortfalls.append(300 * 16 - found)
    print(
        f"index of {engine_count} engines: {size_bytes / 1e6:.1f} MB,"
        f" stride {index.stride},"
        f" {index.block_count()} blocks, a match of 4800 tokens is"
        f" {statistics.fmean(shortfalls):.0f} short,"
        f" {missed_count} of {len(shortfalls)} missed"
    )


def main() -> None:
    print(f"{'decision':<22}{'size':>8}{'mean us':>9}{'p50':>9}{'p99':>9}{'bytes':>10}")
    measure_routing()
    measure_lifecycle()
    measure_admission()
    measure_prefixes()
    for engine_count in ENGINE_COUNTS:
        measure_index(engine_count)


if __name__ == "__main__":
    main()
