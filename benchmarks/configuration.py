"""Cost of configuration: ``python -m benchmarks.configuration``.

Prints the size and processor time of a document of the size expected in two years,
how soon a revision is in force through the slow poll alone, and how often automated
changes are refused because of concurrent ones.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
from testing.config.documents import document_of
from testing.config.faketable import FakeTable, TableClient

from _monsoonpulley.config.check import check_document
from _monsoonpulley.config.document import (
    Customer,
    Document,
    RequestClass,
    Revision,
    Service,
    ServiceKind,
    Version,
)
from _monsoonpulley.config.ini import parse_document, render_document
from _monsoonpulley.config.merge import conflicting_sections, merge
from _monsoonpulley.config.rows import encode_revision
from _monsoonpulley.config.store import ApplyConflict, ConfigStore
from _monsoonpulley.config.watcher import ConfigWatcher
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.manualloop import run_manual, running_clock

CHANGES_PER_DAY = 4_100
DAY_MS = 86_400_000


def two_year_document(customers: int = 400, classes: int = 80) -> Document:
    """Return a document of the size expected in two years, with 20 services."""
    services = {f"service-{n}": Service(ServiceKind.MODEL) for n in range(20)}
    versions = [Version(name, "v1") for name in services]
    versions += [Version(name, "v2", 1_796_378_400_000) for name in services]
    return Document(
        classes={
            f"class-{n}": RequestClass(f"service-{n % 20}", 1_000)
            for n in range(classes)
        },
        customers={
            f"customer-{n}": Customer(f"{n:064x}", ("class-1", "class-2"))
            for n in range(customers)
        },
        services=services,
        versions=tuple(versions),
    )


def cpu_ms(call: Callable[[], object], repeats: int = 20) -> float:
    """Return the mean processor time of a call in milliseconds."""
    start = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - start) * 1_000 / repeats


def print_document_cost() -> None:
    """Print the size and the processor time of one document."""
    document = two_year_document()
    value = encode_revision(Revision(1, "t" * 32, "ana", 0, document))
    ini = render_document(document)
    customers = {**document.customers, "new": Customer("f" * 64)}
    classes = {**document.classes, "new": RequestClass("service-1", 1_000)}
    one_change = msgspec.structs.replace(document, customers=customers)
    other_change = msgspec.structs.replace(document, classes=classes)

    def merge_both() -> None:
        assert not conflicting_sections(document, one_change, other_change)
        assert not check_document(merge(document, one_change, other_change))

    print(f"merge of two changes, with checks: {cpu_ms(merge_both):.1f} ms")
    decode_ms = cpu_ms(lambda: msgspec.json.decode(value, type=Revision))
    print(f"row {len(value)} bytes, decode {decode_ms:.2f} ms")
    print(
        f"INI {len(ini)} bytes, parse {cpu_ms(lambda: parse_document(ini), 5):.1f} ms"
    )


async def measure_slow_poll_delays_ms(instances: int, seed: int) -> list[int]:
    """Return the time until each instance has a revision by the slow poll alone."""
    clock = running_clock()
    table = FakeTable()
    delays: list[int] = []
    tasks = []
    store = None
    for n in range(instances):
        rng = random.Random(seed * 1_000 + n)
        client = TableClient(table, clock, rng, latency_ms=(1, 1_400))
        store = ConfigStore(client, clock, rng)
        log = Log(clock, lambda line: None)
        watcher = ConfigWatcher(store, clock, rng, log, lambda: False)
        watcher.on_change(lambda one: delays.append(clock.wall_ms()))
        tasks.append(asyncio.create_task(watcher.run()))
    await clock.sleep_ms(30_000)
    assert store is not None
    await store.apply(document_of(a=1), expected_number=0, author="ana")
    accepted_ms = clock.wall_ms()
    await clock.sleep_ms(60_000)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert len(delays) == instances
    return [delay_ms - accepted_ms for delay_ms in delays]


def print_delays() -> None:
    """Print how soon a revision is in force through the slow poll alone."""
    delays = sorted(
        d for s in range(10) for d in run_manual(measure_slow_poll_delays_ms(360, s))
    )
    median_ms, last_ms = delays[len(delays) // 2], delays[-1]
    print(
        f"slow poll alone, 10 x 360 instances: median {median_ms} ms, last {last_ms} ms"
    )


async def measure_refusals(
    edit_ms: int, seed: int, may_merge: bool
) -> tuple[float, int]:
    """Return the ratio of refused applies, and the most attempts of one change.

    Each change sets the target of one of 80 classes.
    """
    clock = running_clock()
    rng = random.Random(seed)
    table = FakeTable()
    attempt_counts: list[int] = []

    async def change(index: int) -> None:
        client = TableClient(table, clock, rng, latency_ms=(5, 20))
        store = ConfigStore(client, clock, rng)
        target = rng.randrange(80)
        for attempt in range(1, 100):
            head = await store.read_head()
            assert isinstance(head, Revision)
            await clock.sleep_ms(edit_ms)
            classes = dict(head.document.classes)
            classes[f"class-{target}"] = RequestClass("pool", index + 1)
            result = await store.apply(
                msgspec.structs.replace(head.document, classes=classes),
                expected_number=head.number,
                author=f"job{index}",
                merge=may_merge,
            )
            if not isinstance(result, ApplyConflict):
                attempt_counts.append(attempt)
                return

    first = ConfigStore(TableClient(table, clock, rng), clock, rng)
    await first.apply(document_of(), expected_number=0, author="ana")
    async with asyncio.TaskGroup() as group:
        for index in range(CHANGES_PER_DAY // 4):
            await clock.sleep_ms(rng.expovariate(CHANGES_PER_DAY / DAY_MS))
            group.create_task(change(index))
    return 1 - len(attempt_counts) / sum(attempt_counts), max(attempt_counts)


def print_refusals() -> None:
    """Print how often automated changes are refused because of concurrent ones."""
    for edit_ms in (1_000, 10_000, 300_000):
        for may_merge in (False, True):
            refused_ratio, max_attempts = run_manual(
                measure_refusals(edit_ms, 1, may_merge)
            )
            print(
                f"{edit_ms} ms from read to apply, merge {may_merge}: "
                f"{refused_ratio:.1%} of applies refused, "
                f"at most {max_attempts} attempts"
            )


if __name__ == "__main__":
    print_document_cost()
    print_delays()
    print_refusals()
