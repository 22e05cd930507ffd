"""Instances that send requests to endpoints, some of which crash them, on manual time.

Run ``python -m testing.quarantine.crashfleet`` for a table by fleet size and fault.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.ids import Fingerprint, InstanceId, ServiceId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.quarantine.evidence import (
    CrashReport,
    PartEvidence,
    QuarantineNews,
    Suspect,
)
from _monsoonpulley.quarantine.quarantine import Quarantine

SERVICE = ServiceId("engines")
STABLE_WINDOW_MS = 3_000
DIGEST_MS = 450
TICK_MS = 250
CHECK_MS = 35
"""Time until an instance knows that an endpoint has crashed."""

NEWS_DELAY_MS = (2, 30)
DOWN_MS = (3_000, 5_000)
PROOF_MS = 500
"""Interval at which an instance learns that a stream goes on."""

LENGTHS_MS = (60, 300, 2_000)
"""Lengths of sound answers."""

MAX_ATTEMPTS = 2
CUSTOMERS = 12


@dataclass(eq=False)
class Request:
    """A request of a client, and whether it crashes endpoints."""

    parts: tuple[str, ...]
    name: str
    is_faulty: bool = False
    client_repeats: int = 1
    crash_after_ms: int = 0
    """Time from the start of the answer to the crash, if it is faulty."""
    length_ms: int | None = None
    """Length of its answer; None for one of the usual lengths."""

    @property
    def fingerprints(self) -> tuple[Fingerprint, ...]:
        return (*map(Fingerprint, self.parts), Fingerprint(f"request-{self.name}-0"))


@dataclass(eq=False)
class Attempt:
    request: Request
    instance: Instance
    number: int
    sent_ms: int
    begun_ms: int | None = None


@dataclass(eq=False)
class Endpoint:
    name: str
    zone: int
    is_up: bool = True
    attempts: list[Attempt] = field(default_factory=list)


class Instance:
    """An instance's quarantine and what it remembers of served parts."""

    def __init__(self, fleet: CrashFleet, number: int):
        self.name = InstanceId(f"instance-{number}")
        self.fleet = fleet
        self.begun_ms: dict[str, int] = {}
        self.ended_ms: dict[str, int] = {}
        self.start()

    def start(self) -> None:
        self.quarantine = Quarantine(
            self.name,
            self.fleet.clock,
            Log(self.fleet.clock, self.fleet.log_lines.append, keeps_lines=False),
            lambda news: self.fleet.send_news(self, news),
        )

    def refuses(self, request: Request) -> bool:
        entry = self.quarantine.find_entry(request.fingerprints)
        if entry is None:
            return False
        if self.quarantine.try_acquire_trial(entry, ()):
            return False
        self.quarantine.record_refusal(entry)
        return True

    def record_served(self, request: Request) -> None:
        now_ms = self.fleet.clock.now_ms()
        for part in request.parts:
            self.begun_ms[part] = self.ended_ms[part] = now_ms
        if self.quarantine.is_idle:
            self.quarantine.count_success(SERVICE)
        else:
            self.quarantine.record_success(SERVICE, request.fingerprints)

    def record_running(self, attempt: Attempt) -> None:
        request, now_ms = attempt.request, self.fleet.clock.now_ms()
        if now_ms - attempt.begun_ms < 2 * PROOF_MS:
            for part in request.parts:
                self.begun_ms[part] = now_ms
            if self.quarantine.is_idle:
                self.quarantine.count_success(SERVICE)
            else:
                self.quarantine.record_begun(SERVICE, request.fingerprints)
        if not self.quarantine.is_idle:
            ran_ms = now_ms - attempt.sent_ms
            self.quarantine.record_running(request.fingerprints, ran_ms)

    def report(self, endpoint: str, attempts: list[Attempt], crashed_ms: int) -> None:
        now_ms = self.fleet.clock.now_ms()
        suspects = tuple(
            Suspect(
                attempt.request.fingerprints[-1],
                tuple(
                    PartEvidence(
                        part,
                        _age_ms(self.begun_ms, part, now_ms),
                        _age_ms(self.ended_ms, part, now_ms),
                    )
                    for part in attempt.request.parts
                ),
                crashed_ms - attempt.sent_ms,
                0 if attempt.begun_ms is None else crashed_ms - attempt.begun_ms,
            )
            for attempt in attempts
        )
        self.quarantine.record_crash(
            CrashReport(
                endpoint, SERVICE, "v1", None, self.name, suspects, now_ms - crashed_ms
            )
        )


def _age_ms(times_ms: dict[str, int], part: str, now_ms: int) -> int | None:
    time_ms = times_ms.get(part)
    return None if time_ms is None else now_ms - time_ms


def _is_of_long_answers(news: QuarantineNews) -> bool:
    has_other_news = bool(news.entries or news.lifted)
    return not has_other_news and all(report.is_late for report in news.reports)


class CrashFleet:
    """A fleet, its clients and its endpoints.

    Attributes
    ----------
    crash_times_ms : list of int
        Times of the crashes under faulty requests.
    faulty_times_ms : list of int
        Times at which faulty requests were sent to endpoints.
    is_broken : bool
        For plays in which requests become faulty.
    sound_count, refused_sound_count : int
        Sound requests, and those of them that the quarantine refused.
    """

    def __init__(self, instance_count: int, endpoint_count: int, seed: int):
        self.clock = ManualClock(1_000_000)
        self.rng = random.Random(seed)
        # Reports of long answers alone leave the other draws of a play as they are.
        self._late_news_rng = random.Random(seed)
        self.log_lines: list[str] = []
        self.instances = [Instance(self, n) for n in range(instance_count)]
        names = [instance.name for instance in self.instances]
        for instance in self.instances:
            instance.quarantine.set_reachable(names)
        self._endpoint_numbers = itertools.count()
        self.endpoints = [self._new_endpoint(n % 4) for n in range(endpoint_count)]
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._request_numbers = itertools.count()
        self.crash_times_ms: list[int] = []
        self.faulty_times_ms: list[int] = []
        self.sound_count = self.refused_sound_count = self.news_count = 0
        self.is_broken = False
        for instance in self.instances:
            self._repeat(TICK_MS, lambda i=instance: i.quarantine.tick())
            self._repeat(DIGEST_MS, lambda i=instance: self._send_digest(i))

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        due_ms = self.clock.now_ms() + round(delay_ms)
        heapq.heappush(self._events, (due_ms, next(self._event_numbers), action))

    def run(self, duration_ms: int) -> None:
        """Play for a time."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._events)
            self.clock.advance_ms(max(0, due_ms - self.clock.now_ms()))
            action()
        self.clock.advance_ms(end_ms - self.clock.now_ms())

    def send_steadily(self, per_s: float, make: Callable[[int], Request]) -> None:
        """Have a client send requests at random times."""

        def send() -> None:
            self.arrive(make(next(self._request_numbers)))
            self.at(self.rng.expovariate(per_s) * 1000, send)

        self.at(self.rng.expovariate(per_s) * 1000, send)

    def sound_request(self, number: int) -> Request:
        """Return a request with the system prompt, its customer's part and its own."""
        customer = self.rng.randrange(CUSTOMERS)
        return Request(("part-system", f"part-customer{customer}"), f"s{number}")

    def arrive(self, request: Request) -> None:
        """Let a request arrive at any instance."""
        instance = self.rng.choice(self.instances)
        if not request.is_faulty:
            self.sound_count += 1
        self._attempt(request, instance, 1)

    def crash(self, endpoint: Endpoint, *, down_ms: float | None = None) -> None:
        """End an endpoint; another one takes its place."""
        if not endpoint.is_up:
            return
        endpoint.is_up = False
        now_ms = self.clock.now_ms()
        by_instance: dict[Instance, list[Attempt]] = {}
        for attempt in endpoint.attempts:
            by_instance.setdefault(attempt.instance, []).append(attempt)
        for instance, attempts in by_instance.items():
            self.at(
                CHECK_MS,
                lambda i=instance, s=attempts: i.report(endpoint.name, s, now_ms),
            )
        for attempt in endpoint.attempts:
            self.at(1, lambda a=attempt: self._retry(a))
        endpoint.attempts = []
        if down_ms is None:
            down_ms = self.rng.uniform(*DOWN_MS)
        self.at(down_ms, lambda: self._replace(endpoint))

    def send_news(self, sender: Instance, news: QuarantineNews) -> None:
        """Deliver news to all others; a few datagrams are lost."""
        self.news_count += 1
        rng = self._late_news_rng if _is_of_long_answers(news) else self.rng
        for other in self.instances:
            if other is not sender and rng.random() > 0.02:
                self.at(
                    rng.uniform(*NEWS_DELAY_MS),
                    lambda o=other: o.quarantine.handle_news(news),
                )

    def faulty_after_bound(self, crash_count: int = 5) -> int:
        """Return how many faulty requests were sent later than the users allow for.

        ``crash_count`` is the number of crashes from which on the bound counts.
        """
        if len(self.crash_times_ms) < crash_count:
            return 0
        bound_ms = self.crash_times_ms[crash_count - 1] + STABLE_WINDOW_MS
        return sum(sent_ms > bound_ms for sent_ms in self.faulty_times_ms)

    def refused_share(self) -> float:
        """Return the share of sound requests that the quarantine refused."""
        return self.refused_sound_count / max(1, self.sound_count)

    def _send_digest(self, sender: Instance) -> None:
        entries = sender.quarantine.told_entries()
        served = sender.quarantine.served_notices()
        ended = sender.quarantine.ended_notices()
        if not entries and not served and not ended:
            return
        for other in self.instances:
            if other is not sender:
                other.quarantine.record_peer_served(served, ended)
                for entry, idle_ms in entries:
                    other.quarantine.add_entry(entry, idle_ms)

    def _repeat(self, interval_ms: int, action: Callable[[], None]) -> None:
        def run() -> None:
            action()
            self.at(interval_ms, run)

        self.at(self.rng.uniform(0, interval_ms), run)

    def _attempt(self, request: Request, instance: Instance, number: int) -> None:
        if instance.refuses(request):
            if not request.is_faulty:
                self.refused_sound_count += 1
            return
        up = [endpoint for endpoint in self.endpoints if endpoint.is_up]
        if not up:
            return
        endpoint = self.rng.choice(up)
        attempt = Attempt(request, instance, number, self.clock.now_ms())
        endpoint.attempts.append(attempt)
        if request.is_faulty:
            self.faulty_times_ms.append(self.clock.now_ms())
        self.at(self.rng.uniform(20, 300), lambda: self._begin(endpoint, attempt))

    def _begin(self, endpoint: Endpoint, attempt: Attempt) -> None:
        if attempt not in endpoint.attempts:
            return
        request = attempt.request
        attempt.begun_ms = self.clock.now_ms()
        self.at(PROOF_MS, lambda: self._go_on(endpoint, attempt))
        if request.is_faulty:
            self.at(
                request.crash_after_ms, lambda: self._crash_under(endpoint, attempt)
            )
            return
        length_ms = request.length_ms
        if length_ms is None:
            length_ms = self.rng.choice(LENGTHS_MS)
        self.at(length_ms, lambda: self._end(endpoint, attempt))

    def _crash_under(self, endpoint: Endpoint, attempt: Attempt) -> None:
        if attempt in endpoint.attempts:
            self.crash_times_ms.append(self.clock.now_ms())
            self.crash(endpoint)

    def _go_on(self, endpoint: Endpoint, attempt: Attempt) -> None:
        """Let an instance learn that an answer still goes on."""
        if attempt in endpoint.attempts:
            attempt.instance.record_running(attempt)
            self.at(PROOF_MS, lambda: self._go_on(endpoint, attempt))

    def _end(self, endpoint: Endpoint, attempt: Attempt) -> None:
        if attempt in endpoint.attempts:
            endpoint.attempts.remove(attempt)
            attempt.instance.record_served(attempt.request)

    def _retry(self, attempt: Attempt) -> None:
        request = attempt.request
        if attempt.number < MAX_ATTEMPTS:
            self._attempt(request, attempt.instance, attempt.number + 1)
        elif request.client_repeats:
            request.client_repeats -= 1
            self.at(200, lambda: self.arrive(request))

    def _replace(self, endpoint: Endpoint) -> None:
        self.endpoints.remove(endpoint)
        self.endpoints.append(self._new_endpoint(endpoint.zone))

    def _new_endpoint(self, zone: int) -> Endpoint:
        return Endpoint(f"i-{next(self._endpoint_numbers)}", zone)


def faulty_request(*parts: str, crash_after_ms: int = 0) -> Callable[[int], Request]:
    """Return a maker of requests that crash endpoints, with these parts."""
    return lambda number: Request(
        parts, f"f{number}", is_faulty=True, crash_after_ms=crash_after_ms
    )


def repeated_request(number: int, crash_after_ms: int = 0) -> Request:
    """Return a request that crashes endpoints and is the same each time."""
    return Request(
        ("part-system", "part-customer1"),
        "again",
        is_faulty=True,
        crash_after_ms=crash_after_ms,
    )


def lose_a_third_at_random(fleet: CrashFleet) -> None:
    """Crash a third of the endpoints within 4 s."""
    for endpoint in fleet.rng.sample(fleet.endpoints, len(fleet.endpoints) // 3):
        fleet.at(fleet.rng.uniform(0, 4_000), lambda e=endpoint: fleet.crash(e))


def lose_a_data_centre(fleet: CrashFleet) -> None:
    """Crash the endpoints of a data centre at one moment."""
    for endpoint in list(fleet.endpoints):
        if endpoint.zone == 0:
            fleet.crash(endpoint)


def lose_all_at_once(fleet: CrashFleet) -> None:
    """Crash all endpoints at one moment."""
    for endpoint in list(fleet.endpoints):
        fleet.crash(endpoint)


def lose_all_in_turn(fleet: CrashFleet) -> None:
    """Crash all endpoints within 2 s."""
    for number, endpoint in enumerate(list(fleet.endpoints)):
        delay_ms = 2_000 * number / len(fleet.endpoints)
        fleet.at(delay_ms, lambda e=endpoint: fleet.crash(e))


LOSSES = {
    "a third, at random": lose_a_third_at_random,
    "a data centre": lose_a_data_centre,
    "all at once": lose_all_at_once,
    "all in turn": lose_all_in_turn,
}
SIZES = ((9, 9), (60, 100), (195, 300))
"""Instances and endpoints."""


def play(
    instance_count: int,
    endpoint_count: int,
    seed: int,
    *,
    losses: Callable[[CrashFleet], None] | None = None,
    faulty: tuple[Callable[[int], Request], ...] = (),
    faulty_per_s: float = 4.0,
    duration_ms: int = 20_000,
) -> CrashFleet:
    """Play a fleet with losses of endpoints, faulty requests, or both."""
    fleet = CrashFleet(instance_count, endpoint_count, seed)
    fleet.send_steadily(4.0 * endpoint_count, fleet.sound_request)
    fleet.run(5_000)
    for make in faulty:
        fleet.send_steadily(faulty_per_s, make)
    if losses is not None:
        for start_ms in (1_000, 8_000, 15_000):
            fleet.at(start_ms, lambda: losses(fleet))
    fleet.run(duration_ms)
    return fleet


def main() -> None:
    """Print sound requests refused and faulty ones sent beyond the bound."""
    print("| instances | fault | sound requests refused | faulty beyond the bound |")
    print("|---|---|---|---|")
    bad = (faulty_request("part-system", "part-bad"),)
    for instances, endpoints in SIZES:
        for name, losses in LOSSES.items():
            fleet = play(instances, endpoints, 1, losses=losses)
            print(f"| {instances} | {name} | {fleet.refused_share():.4f} | none sent |")
        for name, losses in (("a faulty part", None), *LOSSES.items()):
            fleet = play(instances, endpoints, 1, losses=losses, faulty=bad)
            name = name if losses is None else f"a faulty part, and {name}"
            print(
                f"| {instances} | {name} | {fleet.refused_share():.4f} "
                f"| {fleet.faulty_after_bound()} |"
            )


if __name__ == "__main__":
    main()
