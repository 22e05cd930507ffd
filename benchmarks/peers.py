"""Cost of membership: ``python -m benchmarks.peers``.

Runs the real code of one entry instance of a full-size fleet, with every load
changed in each digest. Prints processor time per step, bytes per second and share of
a core for three fleet sizes, and the bytes of other ways to spread digests. Bytes are
those that an entry instance sends and receives, with ``HEADER_BYTES`` per message.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import time
from collections.abc import Callable

import msgspec

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.config.document import Document, Revision, Service, ServiceKind
from _monsoonpulley.endpoints.engine import LoadReport
from _monsoonpulley.external.livelist import Member, MemberState, Role
from _monsoonpulley.identity import Identity
from _monsoonpulley.observability.log import Log
from _monsoonpulley.observability.metrics import NoMetrics
from _monsoonpulley.peers.digest import Digest, LoadItem
from _monsoonpulley.peers.envelope import Envelope, Sealer
from _monsoonpulley.peers.exchange import PeerExchange
from _monsoonpulley.peers.host import RouterHost
from _monsoonpulley.peers.membership import DIGESTS_PER_SUMMARY, Membership
from _monsoonpulley.peers.pynng_transport import PynngTransport
from _monsoonpulley.routing.router import Router

HEADER_BYTES = 100
BUDGET_BYTES_PER_S = 18_000
BUDGET_CORE_RATIO = 0.048
WALL_START_MS = 1_800_000_000_000
TRANSPORT_MESSAGES = 5_000
WARM_UP_ROUNDS = 2
ROUNDS = 5
REVISION = Revision(
    7, "0" * 32, "operator", 0, Document(services={"model": Service(ServiceKind.MODEL)})
)


class FleetSize(msgspec.Struct, frozen=True):
    """Entry instances and engines of a fleet, evenly over its data centres."""

    entry_count: int
    zone_count: int
    engine_count: int


SIZES = (FleetSize(9, 4, 10), FleetSize(60, 6, 417), FleetSize(360, 6, 2_500))


class FixedWatcher:
    """A configuration watcher whose revision never changes."""

    revision = REVISION

    def record_peer_number(self, number: int) -> None:
        """Do nothing."""


class CollectingTransport:
    """A transport that keeps messages instead of sending them."""

    def __init__(self, address: str):
        self.address = address
        self.messages: list[tuple[str, bytes]] = []

    def send(self, address: str, data: bytes) -> None:
        """Keep a message for an address."""
        self.messages.append((address, data))

    def retain_addresses(self, addresses: set[str]) -> None:
        """Do nothing."""


class Entry:
    """An entry instance of a fleet, with its real exchange, host and router."""

    def __init__(self, name: str, zone: str, members: list[Member], rng: random.Random):
        self.clock = ManualClock(0, WALL_START_MS)
        identity = Identity(name, zone, "region", WALL_START_MS)
        self.membership = Membership(identity, 0)
        router = Router.from_config(REVISION.document, zone, rng)
        router.apply_members(members, 0)
        self.membership.apply_list(members, 0)
        self.host = RouterHost(self.membership, router, FixedWatcher(), self.clock)
        self.transport = CollectingTransport(f"tcp://{name}:7101")
        log = Log(self.clock, lambda line: None)
        self.exchange = PeerExchange(
            self.membership,
            self.transport,
            Sealer("key-of-the-benchmark"),
            self.host,
            self.clock,
            rng,
            log,
            NoMetrics(),
        )
        self._rng = rng

    def record_peer_digests(self, entries: list[Member], round_number: int) -> None:
        """Record digests without loads from all peers in the data centre."""
        digest = Digest(MemberState.LIVE, REVISION.number, round_number, False)
        identity = self.membership.identity
        for entry in entries:
            if entry.zone == identity.zone and entry.instance != identity.instance:
                self.membership.record_digest(
                    entry.instance,
                    WALL_START_MS,
                    round_number + 1,
                    digest,
                    self.clock.now_ms(),
                )

    def update_loads(self) -> None:
        """Apply new load reports of the engines that this entry instance reads."""
        now_ms, wall_ms = self.clock.now_ms(), self.clock.wall_ms()
        for endpoint in self.host.read_endpoints():
            report = random_report(wall_ms, self._rng)
            self.host.apply_load(endpoint, report, now_ms, wall_ms)


def random_report(wall_ms: int, rng: random.Random) -> LoadReport:
    """Return a random load report of a busy engine."""
    return LoadReport(
        measured_wall_ms=wall_ms - rng.randrange(500),
        running=rng.randrange(64),
        waiting=rng.randrange(20),
        waiting_tokens=rng.randrange(40_000),
        kv_used_ratio=rng.random(),
        prefill_tokens_per_s=rng.uniform(5_000, 20_000),
        decode_ms_per_token=rng.uniform(10, 40),
        max_running=64,
    )


def fleet_members(size: FleetSize) -> list[Member]:
    """Return the live list of a fleet."""
    members = []
    for number in range(size.entry_count):
        name = f"entry-{number:04d}.region-a"
        zone = f"zone-{number % size.zone_count}"
        members.append(Member(name, Role.ENTRY, zone, name, f"tcp://{name}:7101"))
    for number in range(size.engine_count):
        name = f"engine-{number:04d}.region-a"
        zone = f"zone-{number % size.zone_count}"
        members.append(Member(name, Role.ENDPOINT, zone, name, "", "model", "v1"))
    return members


class Costs(msgspec.Struct):
    """Measured costs of one entry instance; ``_us`` fields are processor time."""

    peers: int
    interval_ms: int
    digest_bytes: float
    summary_bytes: float
    digests_received: int
    summaries_received: int
    send_us: float
    receive_digest_us: float
    receive_summary_us: float

    def messages_per_s(self) -> float:
        """Return messages sent and received per second."""
        digests = self.peers + self.digests_received
        summaries = 2 * self.summaries_received / DIGESTS_PER_SUMMARY
        return (digests + summaries) * 1_000 / self.interval_ms

    def payload_bytes_per_s(self) -> float:
        """Return payload bytes sent and received per second."""
        digests = (self.peers + self.digests_received) * self.digest_bytes
        summaries = (
            2 * self.summaries_received / DIGESTS_PER_SUMMARY * self.summary_bytes
        )
        return (digests + summaries) * 1_000 / self.interval_ms

    def core_ratio(self, transport_us: float) -> float:
        """Return the share of a core, with half of ``transport_us`` per message."""
        interval_us = self.send_us
        interval_us += self.digests_received * self.receive_digest_us
        summaries = self.summaries_received / DIGESTS_PER_SUMMARY
        interval_us += summaries * self.receive_summary_us
        per_s = interval_us * 1_000 / self.interval_ms
        return (per_s + self.messages_per_s() * transport_us / 2) / 1e6


def measure(size: FleetSize, rng: random.Random) -> Costs:
    """Measure the digests of one data centre and the summaries it gets from others."""
    members = fleet_members(size)
    entries = [member for member in members if member.role is Role.ENTRY]
    zone_members = [entry for entry in entries if entry.zone == "zone-0"]
    local_entries = [
        Entry(entry.instance, "zone-0", members, rng) for entry in zone_members
    ]
    remote_entries = [
        Entry(next(e.instance for e in entries if e.zone == other), other, members, rng)
        for other in sorted({entry.zone for entry in entries} - {"zone-0"})
    ]
    all_entries = [*local_entries, *remote_entries]
    measured_entry = local_entries[0]
    durations_us: dict[str, list[float]] = {"send": [], "digest": [], "summary": []}
    sizes: dict[str, list[int]] = {"digest": [], "summary": []}
    interval_ms = measured_entry.membership.interval_ms()
    for round_number in range(ROUNDS):
        for entry in all_entries:
            entry.clock.advance_ms(interval_ms)
            entry.update_loads()
        for entry in remote_entries:
            entry.record_peer_digests(entries, round_number)
        is_measured = round_number >= WARM_UP_ROUNDS
        sent = [
            send(
                entry,
                durations_us["send"]
                if is_measured and entry is measured_entry
                else None,
            )
            for entry in all_entries
        ]
        for entry, (digest, summary) in zip(all_entries, sent, strict=True):
            if entry in remote_entries and not summary:
                continue
            if entry in remote_entries:
                receivers = [measured_entry] if is_measured else local_entries
                deliver(
                    entry,
                    receivers,
                    measured_entry,
                    summary,
                    durations_us["summary"],
                    is_measured,
                )
                if is_measured:
                    sizes["summary"].append(len(summary))
            else:
                receivers = [measured_entry] if is_measured else local_entries
                deliver(
                    entry,
                    receivers,
                    measured_entry,
                    digest,
                    durations_us["digest"],
                    is_measured,
                )
                if is_measured:
                    sizes["digest"].append(len(digest))
    return Costs(
        peers=len(local_entries) - 1,
        interval_ms=interval_ms,
        digest_bytes=mean(sizes["digest"]),
        summary_bytes=mean(sizes["summary"]),
        digests_received=len(local_entries) - 1,
        summaries_received=len(remote_entries),
        send_us=mean(durations_us["send"]),
        receive_digest_us=mean(durations_us["digest"]),
        receive_summary_us=mean(durations_us["summary"]),
    )


def send(entry: Entry, durations_us: list[float] | None) -> tuple[bytes, bytes]:
    """Send from an entry instance; return its digest and its summary."""
    entry.transport.messages.clear()
    start_s = time.process_time()
    run_without_loop(entry.exchange.send_digest())
    if durations_us is not None:
        durations_us.append((time.process_time() - start_s) * 1e6)
    sealer = Sealer("key-of-the-benchmark")
    data_by_is_digest = {True: b"", False: b""}
    for _, data in entry.transport.messages:
        envelope = sealer.open(data, entry.clock.wall_ms())
        data_by_is_digest[isinstance(envelope.message, Digest)] = data
    return data_by_is_digest[True], data_by_is_digest[False]


def run_without_loop(coroutine) -> None:
    """Run a coroutine that awaits nothing but a yield to other tasks."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration:
        return


def deliver(
    sender: Entry,
    receivers: list[Entry],
    measured_entry: Entry,
    data: bytes,
    durations_us: list[float],
    is_measured: bool,
) -> None:
    """Deliver a message; record the processor time of ``measured_entry``."""
    for entry in receivers:
        if sender is entry:
            continue
        start_s = time.process_time()
        entry.exchange.receive(data)
        if is_measured and entry is measured_entry:
            durations_us.append((time.process_time() - start_s) * 1e6)


def mean(values: list) -> float:
    """Return the mean, or 0 for an empty list."""
    return sum(values) / len(values) if values else 0.0


async def measure_transport_us(size_bytes: int) -> float:
    """Return the processor time to send and receive one message, in microseconds."""
    sender = PynngTransport("tcp://127.0.0.1:0", NoMetrics())
    receiver = PynngTransport("tcp://127.0.0.1:0", NoMetrics())
    for end in (sender, receiver):
        failure = end.open()
        if failure is not None:
            raise RuntimeError(str(failure))
    data = bytes(size_bytes)
    sender.send(receiver.address, data)
    await receiver.receive()
    start_s = time.process_time()
    for _ in range(TRANSPORT_MESSAGES):
        sender.send(receiver.address, data)
        await receiver.receive()
    cpu_s = time.process_time() - start_s
    await sender.close()
    await receiver.close()
    return cpu_s / TRANSPORT_MESSAGES * 1e6


def timed_us(call: Callable[[], object], count: int = 2_000) -> float:
    """Return the processor time of one call in microseconds."""
    start_s = time.process_time()
    for _ in range(count):
        call()
    return (time.process_time() - start_s) / count * 1e6


def print_step_costs() -> None:
    """Print the cost to build, seal and open a digest of seven loads."""
    rng = random.Random(1)
    sealer = Sealer("key-of-the-benchmark")
    reports = [random_report(WALL_START_MS, rng) for _ in range(7)]

    def build_digest() -> Digest:
        pair_ids = itertools.count(1_000_000_000)
        loads = tuple(
            LoadItem.from_report(next(pair_ids), report, WALL_START_MS)
            for report in reports
        )
        return Digest("live", 7, 1, False, loads)

    digest = build_digest()
    envelope = Envelope("entry-0001.region-a", WALL_START_MS, 9, WALL_START_MS, digest)
    data = sealer.seal(envelope)
    print(
        f"digest of 7 loads: {len(data)} bytes, "
        f"{timed_us(build_digest):.1f} us to build,"
    )
    print(f"  {timed_us(lambda: sealer.seal(envelope)):.1f} us to seal,")
    print(f"  {timed_us(lambda: sealer.open(data, WALL_START_MS)):.1f} us to open")


def print_fan_outs(costs: Costs) -> None:
    """Print the bytes of other ways to spread digests, from their measured size."""
    count = costs.peers + 1
    mesh = 2 * costs.peers * (costs.digest_bytes + HEADER_BYTES)
    side = math.ceil(math.sqrt(count))
    row = 2 * (side - 1) * (costs.digest_bytes + HEADER_BYTES)
    column = 2 * (side - 1) * (side * costs.digest_bytes + HEADER_BYTES)
    print(f"  full mesh each second:            {mesh / 1_000:6.1f} KB/s")
    print(f"  rows, then merged columns:        {(row + column) / 1_000:6.1f} KB/s")
    slower = mesh * 1_000 / costs.interval_ms
    print(f"  full mesh at the longer interval: {slower / 1_000:6.1f} KB/s")


def print_size(size: FleetSize, message_us: float) -> None:
    """Print the costs at one fleet size."""
    costs = measure(size, random.Random(1))
    payload = costs.payload_bytes_per_s()
    total = payload + costs.messages_per_s() * HEADER_BYTES
    ratio = costs.core_ratio(message_us)
    print(
        f"{size.entry_count} entry instances, {size.zone_count} data centres, "
        f"{size.engine_count} engines"
    )
    print(f"  interval:        {costs.interval_ms} ms")
    print(f"  messages:        {costs.messages_per_s():.1f} /s sent and received")
    print(f"  digest, summary: {costs.digest_bytes:.0f} B, {costs.summary_bytes:.0f} B")
    print(f"  send:            {costs.send_us:.0f} us each interval")
    print(f"  receive digest:  {costs.receive_digest_us:.0f} us")
    print(f"  receive summary: {costs.receive_summary_us:.0f} us")
    print(f"  payload:         {payload / 1_000:.1f} KB/s")
    budget = total / BUDGET_BYTES_PER_S
    print(f"  with headers:    {total / 1_000:.1f} KB/s, {budget:.0%} of the budget")
    budget = ratio / BUDGET_CORE_RATIO
    print(f"  processor:       {ratio:.2%} of a core, {budget:.0%} of the budget")
    print_fan_outs(costs)


def main() -> None:
    """Print all measurements."""
    print_step_costs()
    message_us = asyncio.run(measure_transport_us(400))
    print(f"pynng, 400 bytes: {message_us:.0f} us for send and receive together")
    for size in SIZES:
        print_size(size, message_us)


if __name__ == "__main__":
    main()
