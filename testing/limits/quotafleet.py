"""A fleet that shares customers' quotas, played without sockets.

Digests leave at the intervals of `sharing/exchange.py`, arrive late and get lost. One
customer sends several times its usual load; the others send their usual one. Callers
that are refused come back once, at another instance, if the retry time is at most a
third of the time that they have left.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, field

from _monsoonpulley.fleet.model import Configuration, Customer, Quota
from _monsoonpulley.ids import CustomerId, InstanceId
from _monsoonpulley.limits.quota import QuotaLedger
from _monsoonpulley.sharing.exchange import (
    BUNDLE_INTERVALS,
    DIGEST_INTERVAL_MS,
    FULL_DIGEST_INTERVALS,
    FULL_RATE_MAX_MEMBERS,
    MAX_DIRECT_REMOTE_MEMBERS,
    OWN_ZONE_MEMBERS_PER_INTERVAL,
    REMOTE_ZONE_INTERVALS,
)
from _monsoonpulley.sharing.members import (
    BUNDLED_SILENCE_MS,
    MAX_SILENCE_MS,
    MEMBER_EXPIRY_MS,
)
from _monsoonpulley.wire.serverconnection import CallerLimits

WINDOW_S, OVERAGE, SLACK = 8, 0.1, 140_000.0
STEP_MS = 10
TICK_MS = 250
WARM_UP_MS = 9_000
HEAVY_FROM_MS = 11_000
CUSTOMER_COUNT = 16
USUAL_SHARE = 1 / 1.8
"""A customer's usual load, as a share of its rate."""

RETRY_SHARE = 1 / 3
"""Callers honour a retry time up to this share of the time that they have left."""


@dataclass(frozen=True)
class Kind:
    """A kind of request: its mean cost, share of the requests, rank and deadline."""

    name: str
    mean_cost: float
    share: float
    rank: int
    deadline_ms: int


KINDS = (
    Kind("buy", 200, 0.30, 0, 2_500),
    Kind("ask", 900, 0.30, 1, 3_000),
    Kind("chat", 2_500, 0.20, 1, 4_000),
    Kind("sum", 5_000, 0.12, 2, 8_000),
    Kind("plan", 12_000, 0.08, 3, 12_000),
)
MEAN_COST = sum(kind.mean_cost * kind.share for kind in KINDS)


@dataclass
class Request:
    customer: CustomerId
    kind: Kind
    cost: float
    at_ms: int
    is_return: bool = False
    spent_ms: int = 0
    is_admitted: bool = False
    arrived_ms: int = 0


@dataclass
class Node:
    name: InstanceId
    zone: int
    round: int
    has_store: bool
    ledger: QuotaLedger
    incarnation: int = 1
    up_from_ms: int = 0
    group: int = 0
    cycle: dict = field(default_factory=dict)
    heard_ms: dict = field(default_factory=dict)
    known_ms: dict = field(default_factory=dict)
    latest: dict = field(default_factory=dict)


def make_configuration(rates: dict[CustomerId, float]) -> Configuration:
    customers = {
        name: Customer(name, None, Quota(True, rate, rate, 200))
        for name, rate in rates.items()
    }
    return Configuration(
        version=1,
        routes_by_host={},
        services={},
        customers=customers,
        customer_by_key={},
        has_customers=True,
        limits=CallerLimits(),
    )


class Fleet:
    """Instances in three or four data centres, their callers and their digests."""

    def __init__(
        self,
        count: int,
        *,
        seed: int,
        factor: float = 6.0,
        loss: float = 0.05,
        heavy_ms: int = 16_000,
        end_ms: int = 30_000,
    ):
        self.rng = random.Random(seed)
        self.factor, self.loss, self.end_ms = factor, loss, end_ms
        self.heavy_until_ms = HEAVY_FROM_MS + heavy_ms
        self.now_ms = 0
        self.rates = {
            CustomerId(f"customer-{n}"): self.rng.uniform(100_000, 300_000)
            for n in range(CUSTOMER_COUNT)
        }
        self.heavy = CustomerId("customer-0")
        self.configuration = make_configuration(self.rates)
        zone_count = 4 if count > 100 else 3
        self.nodes: list[Node] = []
        self.zones: list[list[Node]] = [[] for _ in range(zone_count)]
        for n in range(count):
            zone = n % zone_count
            node = Node(
                InstanceId(f"i-{n}"),
                zone,
                self.rng.randrange(BUNDLE_INTERVALS * 4),
                has_store=n % 3 != 1,
                ledger=self.make_ledger(starts_full=True),
            )
            node.ledger.set_members(frozenset(), count, 0)
            self.nodes.append(node)
            self.zones[zone].append(node)
        for node in self.nodes:
            node.known_ms = {o.name: 0 for o in self.nodes if o is not node}
            node.phase_ms = self.rng.randrange(0, DIGEST_INTERVAL_MS, STEP_MS)
        self.requests: list[Request] = []
        self.sent: list[tuple[int, CustomerId, float]] = []
        self._queue: list[tuple[int, int, object]] = []
        self._serial = itertools.count()

    def make_ledger(self, *, starts_full: bool) -> QuotaLedger:
        made = QuotaLedger(WINDOW_S, OVERAGE, SLACK, starts_full=starts_full)
        made.configure(self.configuration, self.now_ms)
        return made

    # Faults

    def stop(self, node: Node, down_ms: int) -> None:
        """End a process, which starts anew after ``down_ms``."""
        node.up_from_ms = self.now_ms + down_ms
        self.after(down_ms, lambda: self._start(node))

    def _start(self, node: Node) -> None:
        node.ledger = self.make_ledger(starts_full=False)
        node.incarnation += 1
        node.heard_ms, node.latest, node.cycle = {}, {}, {}
        node.known_ms = {}
        if node.has_store:
            node.known_ms = {o.name: self.now_ms for o in self.nodes if o is not node}
        node.ledger.set_members(frozenset(), len(node.known_ms) + 1, self.now_ms)

    def is_up(self, node: Node) -> bool:
        return node.up_from_ms <= self.now_ms

    def after(self, delay_ms: int, act) -> None:
        item = (self.now_ms + delay_ms, next(self._serial), act)
        heapq.heappush(self._queue, item)

    # Play

    def run(self, on_step=lambda fleet: None) -> None:
        while self.now_ms < self.end_ms:
            self.now_ms += STEP_MS
            on_step(self)
            while self._queue and self._queue[0][0] <= self.now_ms:
                heapq.heappop(self._queue)[2]()
            for node in self.nodes:
                if not self.is_up(node):
                    continue
                if self.now_ms % DIGEST_INTERVAL_MS == node.phase_ms:
                    self._send_round(node)
                if self.now_ms % TICK_MS == 0:
                    self._tick(node)
            self._send_requests()

    def _tick(self, node: Node) -> None:
        is_large = len(self.nodes) > 100
        reachable = set()
        for name, ms in node.heard_ms.items():
            is_bundled = is_large and self._node(name).zone != node.zone
            silence_ms = BUNDLED_SILENCE_MS if is_bundled else MAX_SILENCE_MS
            if self.now_ms - ms < silence_ms:
                reachable.add(name)
        if 2 * len(reachable) >= len(node.known_ms):
            node.known_ms = {
                name: ms
                for name, ms in node.known_ms.items()
                if self.now_ms - max(ms, node.heard_ms.get(name, 0)) <= MEMBER_EXPIRY_MS
            }
        node.ledger.set_members(
            frozenset(reachable), len(node.known_ms) + 1, self.now_ms
        )

    def _node(self, name: InstanceId) -> Node:
        return self.nodes[int(name.removeprefix("i-"))]

    # Digests

    def _digest(self, node: Node) -> tuple:
        return (node.name, node.incarnation, self.now_ms, self._content(node))

    def _content(self, node: Node):
        return node.ledger.used_by_customer()

    def _deliver(self, sender: Node, receiver: Node, digests, *, bundled=False) -> None:
        if sender.group != receiver.group or self.rng.random() < self.loss:
            return
        is_near = sender.zone == receiver.zone
        delay_ms = self.rng.choice((0, 10) if is_near else (10, 20, 40))
        self.after(delay_ms, lambda: self._receive(receiver, digests, bundled))

    def _receive(self, receiver: Node, digests, bundled: bool) -> None:
        if not self.is_up(receiver):
            return
        for digest in digests:
            name, incarnation, _, content = digest
            if name == receiver.name:
                continue
            known = receiver.latest.get(name)
            if known is not None and known[1:3] >= digest[1:3]:
                continue
            receiver.latest[name] = digest
            receiver.heard_ms[name] = self.now_ms
            receiver.known_ms[name] = self.now_ms
            self._record(receiver, name, incarnation, content, bundled)

    def _record(self, receiver, name, incarnation, content, bundled) -> None:
        receiver.ledger.record_peer_usage(name, incarnation, content)

    def _send_round(self, node: Node) -> None:
        node.round += 1
        near = [o for o in self.zones[node.zone] if o is not node]
        remote_count = len(self.nodes) - len(near) - 1
        if len(self.nodes) - 1 <= FULL_RATE_MAX_MEMBERS:
            if node.round % FULL_DIGEST_INTERVALS == 0:
                digest = self._digest(node)
                for other in self.nodes:
                    if other is not node:
                        self._deliver(node, other, [digest])
        elif remote_count <= MAX_DIRECT_REMOTE_MEMBERS:
            self._send_spread(node, near)
        else:
            self._send_bundled(node, near)

    def _send_spread(self, node: Node, near) -> None:
        turn = node.round % REMOTE_ZONE_INTERVALS
        if turn == 0:
            node.cycle = self._digest(node)
        if turn == 0 or node.round % FULL_DIGEST_INTERVALS == 0:
            digest = node.cycle if turn == 0 else self._digest(node)
            for other in near:
                self._deliver(node, other, [digest])
        if node.cycle:
            remote = [o for o in self.nodes if o.zone != node.zone]
            for other in remote[turn::REMOTE_ZONE_INTERVALS]:
                self._deliver(node, other, [node.cycle])

    def _send_bundled(self, node: Node, near) -> None:
        interval = math.ceil((len(near) + 1) / OWN_ZONE_MEMBERS_PER_INTERVAL)
        turn = node.round % interval
        if turn == 0 or not node.cycle:
            node.cycle = self._digest(node)
        for other in near[turn::interval]:
            self._deliver(node, other, [node.cycle])
        own = [node.cycle] + [
            node.latest[o.name] for o in near if o.name in node.latest
        ]
        remote = [o for o in self.nodes if o.zone != node.zone]
        index = self.zones[node.zone].index(node)
        assigned = remote[index :: len(near) + 1]
        turn = node.round % BUNDLE_INTERVALS
        fresh = [d for d in own if self.now_ms - d[2] <= 1_500]
        for other in assigned[turn::BUNDLE_INTERVALS]:
            for start in range(0, len(fresh), 8):
                self._deliver(node, other, fresh[start : start + 8], bundled=True)

    # Requests

    def _send_requests(self) -> None:
        is_heavy = HEAVY_FROM_MS <= self.now_ms < self.heavy_until_ms
        for name, rate in self.rates.items():
            factor = self.factor if is_heavy and name == self.heavy else 1.0
            mean = rate * USUAL_SHARE * factor / MEAN_COST * STEP_MS / 1000
            due = self.rng.expovariate(1)
            while due < mean:
                self._request(name)
                due += self.rng.expovariate(1)

    def _request(self, customer: CustomerId) -> None:
        kind = self.rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        cost = round(kind.mean_cost * self.rng.choice((0.4, 0.7, 1.0, 1.2, 1.7)))
        request = Request(customer, kind, min(cost, 12_000), self.now_ms)
        request.arrived_ms = self.now_ms
        self.requests.append(request)
        self._arrive(request, None)

    def _arrive(self, request: Request, avoid: Node | None) -> None:
        running = [n for n in self.nodes if self.is_up(n) and n is not avoid]
        if not running:
            return
        node = self.rng.choice(running)
        refusal = self._consume(node, request)
        if refusal is None:
            self._send(node, request)
            return
        left_ms = request.kind.deadline_ms - request.spent_ms
        retry_ms = refusal.retry_after_ms
        if request.is_return or retry_ms > left_ms * RETRY_SHARE:
            return
        back = Request(
            request.customer, request.kind, request.cost, request.at_ms, True
        )
        back.spent_ms = retry_ms
        back.arrived_ms = self.now_ms + retry_ms
        self.requests.append(back)
        self.after(max(retry_ms, STEP_MS), lambda: self._arrive(back, node))

    def _consume(self, node: Node, request: Request):
        return node.ledger.consume(request.customer, request.cost, self.now_ms)

    def _send(self, node: Node, request: Request) -> None:
        """Send an admitted request to an endpoint, or refund it if none takes it."""
        fate = self.rng.random()
        ledger = node.ledger
        if fate < 0.01:
            request.is_admitted = True
            self.after(
                self.rng.randrange(100, 600, 10),
                lambda: ledger.refund(request.customer, request.cost),
            )
            return
        request.is_admitted = True
        delay_ms = self.rng.randrange(100, 600, 10) if fate < 0.02 else 0
        self.after(
            delay_ms,
            lambda: self.sent.append((self.now_ms, request.customer, request.cost)),
        )

    # Figures

    def limit(self, customer: CustomerId) -> float:
        return self.rates[customer] * (WINDOW_S + 1)

    def allowed(self, customer: CustomerId) -> float:
        return self.limit(customer) * (1 + OVERAGE) + SLACK

    def window_share(self, customer: CustomerId) -> float:
        """Return the highest sum of any sliding window, over what the bound allows."""
        window: deque[tuple[int, float]] = deque()
        total = most = 0.0
        for ms, name, cost in sorted(self.sent):
            if name != customer:
                continue
            window.append((ms, cost))
            total += cost
            while window[0][0] <= ms - WINDOW_S * 1000:
                total -= window.popleft()[1]
            most = max(most, total)
        return most / self.allowed(customer)

    def owed(self, customer: CustomerId) -> float:
        """Return what one exact account over the sliding window would admit."""
        window: deque[tuple[int, float]] = deque()
        total = owed = 0.0
        for request in self.requests:
            if request.customer != customer or request.is_return:
                continue
            while window and window[0][0] <= request.at_ms - WINDOW_S * 1000:
                total -= window.popleft()[1]
            if total + request.cost <= self.limit(customer):
                window.append((request.at_ms, request.cost))
                total += request.cost
                if request.at_ms >= WARM_UP_MS:
                    owed += request.cost
        return owed

    def admitted(self, customer: CustomerId) -> float:
        return sum(
            r.cost
            for r in self.requests
            if r.customer == customer and r.is_admitted and r.at_ms >= WARM_UP_MS
        )

    def admitted_share(self, customer: CustomerId) -> float:
        """Return the admitted work over what is within the window's limit."""
        return min(1.0, self.admitted(customer) / self.owed(customer))

    def within_share(self, customer: CustomerId) -> float:
        """Return the admitted work over itself and what was refused within the limit.

        A refused request was within the limit if the window before it had room for it
        beside what was admitted and what was refused within the limit.
        """
        window: deque[tuple[int, float]] = deque()
        total = admitted = lost = 0.0
        arrivals = [r for r in self.requests if r.customer == customer]
        for request in sorted(arrivals, key=lambda r: r.arrived_ms):
            while window and window[0][0] <= request.arrived_ms - WINDOW_S * 1000:
                total -= window.popleft()[1]
            is_counted = WARM_UP_MS <= request.arrived_ms <= self.end_ms
            fits = total + request.cost <= self.limit(customer)
            if not request.is_admitted and not fits:
                continue
            window.append((request.arrived_ms, request.cost))
            total += request.cost
            if request.is_admitted:
                admitted += request.cost * is_counted
            else:
                lost += request.cost * is_counted
        return admitted / (admitted + lost)

    def kind_shares(self, customer: CustomerId) -> dict[str, float]:
        """Return the share of the first arrivals that were served, by kind."""
        served: dict[str, list[int]] = {}
        for r in self.requests:
            if r.customer != customer or not self._is_in_heavy(r):
                continue
            counts = served.setdefault(r.kind.name, [0, 0])
            counts[0] += r.is_admitted
            counts[1] += not r.is_return
        return {name: s / n for name, (s, n) in served.items()}

    def returned(self) -> tuple[int, int]:
        """Return how many callers came back, and how many of them were served."""
        back = [r for r in self.requests if r.is_return]
        return len(back), sum(r.is_admitted for r in back)

    def longest_silence_ms(self, customer: CustomerId) -> int:
        """Return the longest time without an admitted request of a customer."""
        times = [ms for ms, name, _ in sorted(self.sent) if name == customer]
        return max(b - a for a, b in itertools.pairwise(times))

    def _is_in_heavy(self, request: Request) -> bool:
        return HEAVY_FROM_MS <= request.at_ms < self.heavy_until_ms


def cut_a_third(fleet: Fleet) -> None:
    """Cut a third of the instances off from the others for 6 s."""
    if fleet.now_ms == 15_000:
        for index, node in enumerate(fleet.nodes):
            node.group = int(index % 3 == 0)
    elif fleet.now_ms == 21_000:
        for node in fleet.nodes:
            node.group = 0


def restart_in_turn(fleet: Fleet) -> None:
    """Restart one instance after the other, over 15 s."""
    gap_ms = max(STEP_MS, 15_000 // len(fleet.nodes) // STEP_MS * STEP_MS)
    since_ms = fleet.now_ms - 13_000
    index = since_ms // gap_ms
    if since_ms >= 0 and since_ms % gap_ms == 0 and index < len(fleet.nodes):
        fleet.stop(fleet.nodes[index], 1_200)


def kill_a_tenth(fleet: Fleet) -> None:
    """Kill a tenth of the instances at once; they are back after 5 s."""
    if fleet.now_ms == 14_000:
        count = max(1, len(fleet.nodes) // 10)
        for node in fleet.nodes[:count]:
            fleet.stop(node, 5_000)


FAULTS = {
    "calm": lambda fleet: None,
    "partition": cut_a_third,
    "restarts": restart_in_turn,
    "kills": kill_a_tenth,
}
