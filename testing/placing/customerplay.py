"""Overload with customers, in fleets of any size, with faults between the instances.

16 customers, three of them large. One may send a multiple of its usual load and one
kind of request may come in a burst, while engines are lost; digests are lost, and
instances are cut off from the others and restart. `Report` says what callers get.
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

import msgspec

from _monsoonpulley.fleet.model import Service
from _monsoonpulley.ids import CustomerId, ZoneId
from _monsoonpulley.limits.fairshare import FairShares
from _monsoonpulley.limits.returntimes import (
    is_on_time,
    kept_share,
    tell_return_time,
)
from _monsoonpulley.placing.placer import Choice, PlacementRefusal
from _monsoonpulley.placing.requestwork import predict_work_ms
from _monsoonpulley.placing.servicecapacity import ServiceCapacities

from .overloadplay import (
    CLASSES,
    RETURN_SHARE,
    ROUTES,
    SCALING,
    SERVICE,
    SPEC,
    ZONES,
    Instance,
    Play,
    Request,
    RequestClass,
)

CUSTOMERS = tuple(f"customer-{n:02}" for n in range(16))
LARGE_WEIGHTS = (0.2, 0.15, 0.1)
WEIGHTS = {
    name: LARGE_WEIGHTS[n]
    if n < len(LARGE_WEIGHTS)
    else (1 - sum(LARGE_WEIGHTS)) / (len(CUSTOMERS) - len(LARGE_WEIGHTS))
    for n, name in enumerate(CUSTOMERS)
}
SURGING = CUSTOMERS[1]
ENGINES = Service(SERVICE, "/health", 1_000, engine=SPEC)
LEAVING_SHARE, REPEATING_SHARE = 0.1, 0.5
"""Share of the callers that leave without a first event after twice the target, and of
these the share that sends the request again."""

SESSION_WINDOW_S, SESSION_REQUESTS = 8, 4
DUE_MS = 100
"""A caller that returns this much before or after the time that it was told is on
time."""


class Outcome(msgspec.Struct):
    """What became of one request.

    Attributes
    ----------
    state : str
        ``in_target``, ``late``, ``left`` or ``rejected``.
    is_due, has_found : bool
        Whether its caller returned at the time that it was told, and whether the
        request then found capacity.
    """

    kind: str
    customer: str
    zone: str
    subject: str
    tokens: int
    arrived_s: float
    state: str = "rejected"
    is_due: bool = False
    has_found: bool = False

    @property
    def is_served(self) -> bool:
        """Whether the caller got an answer."""
        return self.state in ("in_target", "late")


class Report:
    """Shares of the requests that arrived in a time, by any of their properties."""

    def __init__(self, outcomes: Iterable[Outcome]):
        self.outcomes = list(outcomes)

    def share(self, *states: str) -> float:
        """Return the share of the requests with one of the outcomes."""
        count = sum(outcome.state in states for outcome in self.outcomes)
        return count / max(1, len(self.outcomes))

    @property
    def served(self) -> float:
        """Share of the requests that were answered."""
        return self.share("in_target", "late")

    def by(self, key: Callable[[Outcome], str]) -> dict[str, Report]:
        """Return a report for each value of a property."""
        groups: dict[str, list[Outcome]] = defaultdict(list)
        for outcome in self.outcomes:
            groups[key(outcome)].append(outcome)
        return {name: Report(groups[name]) for name in sorted(groups)}

    def by_kind(self) -> dict[str, Report]:
        """Return a report for each kind, the most urgent one first."""
        reports = self.by(lambda outcome: outcome.kind)
        return {kind.name: reports[kind.name] for kind in CLASSES}

    def largest(self) -> tuple[Report, Report]:
        """Return the largest tenth of the requests and the fifth below it."""
        ranked = sorted(self.outcomes, key=lambda outcome: -outcome.tokens)
        tenth, third = len(ranked) // 10, 3 * len(ranked) // 10
        return Report(ranked[:tenth]), Report(ranked[tenth:third])

    def sessions(self) -> tuple[int, int]:
        """Return how many sessions were asked for often, and were never served."""
        asked, served = Counter(), Counter()
        for outcome in self.outcomes:
            window = int(outcome.arrived_s / SESSION_WINDOW_S)
            asked[outcome.subject, window] += 1
            served[outcome.subject, window] += outcome.is_served
        often = [key for key, count in asked.items() if count >= SESSION_REQUESTS]
        return len(often), sum(not served[key] for key in often)

    def found_share(self) -> float:
        """Return the share that found capacity of those that returned on time."""
        due = [outcome for outcome in self.outcomes if outcome.is_due]
        return sum(outcome.has_found for outcome in due) / max(1, len(due))

    def line(self) -> str:
        """Return the shares as text."""
        states = ("in_target", "late", "left", "rejected")
        shares = " ".join(f"{state} {self.share(state):.3f}" for state in states)
        return f"{len(self.outcomes):6} requests: {shares}"


class Faults(msgspec.Struct):
    """Faults between the instances.

    Attributes
    ----------
    lost_share : float
        Share of the digests that are lost.
    cut_s : tuple of float
        Start and end of a time in which a third of the instances hears nobody.
    restart_s : tuple of float
        Times at which a tenth of the instances starts anew.
    """

    lost_share: float = 0.0
    cut_s: tuple[float, float] = (0.0, 0.0)
    restart_s: tuple[float, ...] = ()


class SharingInstance(Instance):
    """An instance that also divides capacity between customers."""

    def __init__(self, name: str, seed: int, zone: ZoneId):
        super().__init__(name, seed, zone)
        self.shares = FairShares()
        self.capacities = ServiceCapacities(lambda _: True, lambda *_: None)


class CustomerPlay(Play):
    """A day with customers.

    Parameters
    ----------
    seed, instance_count : int
        Seed of all randomness, and number of instances.
    load : float
        Usual load, as a multiple of the classes' rates.
    surging, surge_factor : str, float
        Customer that sends a multiple of its usual load during ``surge_s``.
    burst_kind, burst_factor : str, float
        The same of a kind, during ``burst_s``.
    is_sharing : bool
        Whether customers have shares.
    """

    scaling = msgspec.structs.replace(SCALING, maximum=2)

    def __init__(
        self,
        seed: int,
        instance_count: int,
        *,
        load: float = 1.2,
        surging: str = "",
        surge_factor: float = 6.0,
        surge_s: tuple[float, float] = (0.0, 0.0),
        burst_kind: str = "",
        burst_factor: float = 3.0,
        burst_s: tuple[float, float] = (0.0, 0.0),
        faults: Faults | None = None,
        replaces_losses: bool = False,
        is_sharing: bool = True,
    ):
        super().__init__(seed, replaces_losses=replaces_losses)
        self._seed = seed
        self._load, self._is_sharing = load, is_sharing
        self._surging, self._surge_factor, self._surge_s = (
            surging,
            surge_factor,
            surge_s,
        )
        self._burst = (burst_kind, burst_factor, burst_s)
        self._faults = faults or Faults()
        self._instances = [
            self._new_instance(n, ZONES[n % len(ZONES)]) for n in range(instance_count)
        ]
        self._cut_count = instance_count // 3
        self._round = 0
        self.outcomes: list[Outcome] = []
        self.whole_view = FairShares()
        self.factor_errors: list[tuple[float, float]] = []
        self._outcomes: dict[int, Outcome] = {}
        for second in self._faults.restart_s:
            self.at_s(second, self._restart_some)

    def report(self, start_s: float = 0, end_s: float = 10**9) -> Report:
        """Return what callers got whose requests arrived in a time."""
        return Report(o for o in self.outcomes if start_s <= o.arrived_s < end_s)

    def mean_factor_error(self, start_s: float, end_s: float) -> float:
        """Return the mean difference of factors from those of one that sees all.

        A factor is between 0.2 and 1, and between 1 and 1.24 for a starved kind.
        """
        errors = [error for s, error in self.factor_errors if start_s <= s < end_s]
        return sum(errors) / max(1, len(errors))

    def customer_weights(self) -> dict[str, float]:
        """Return the load that each customer sends now, of a usual total of 1."""
        weights = dict(WEIGHTS)
        start_s, end_s = self._surge_s
        if self._surging and start_s <= self.now_ms / 1000 < end_s:
            weights[self._surging] *= self._surge_factor
        return weights

    def _new_instance(self, number: int, zone: ZoneId) -> SharingInstance:
        return SharingInstance(f"i-{number}", self._seed + number, zone)

    def _restart_some(self) -> None:
        count = len(self._instances)
        for n in self.rng.sample(range(count), max(1, count // 10)):
            self._instances[n] = self._new_instance(n, self._instances[n].zone)

    def _rate_factor(self, kind: RequestClass) -> float:
        factor = self._load * sum(self.customer_weights().values())
        name, burst_factor, (start_s, end_s) = self._burst
        if kind.name == name and start_s <= self.now_ms / 1000 < end_s:
            factor *= burst_factor
        return factor

    def _start_request(self, request: Request) -> None:
        weights = self.customer_weights()
        request.customer = self.rng.choices(list(weights), list(weights.values()))[0]
        outcome = Outcome(
            request.kind.name,
            request.customer,
            "",
            request.parts[-2].id,
            request.prompt_tokens,
            self.now_ms / 1000,
        )
        self.outcomes.append(outcome)
        self._outcomes[id(request)] = outcome
        self._send(request)

    def _choose_instance(self, request: Request) -> Instance:
        instance = super()._choose_instance(request)
        self._outcomes[id(request)].zone = instance.zone
        return instance

    def _max_wait_ms(
        self, instance: SharingInstance, request: Request, elapsed_ms: float
    ) -> float:
        kind, factor = request.kind, 1.0
        if self._is_sharing:
            self._note_capacity(instance)
            key = (SERVICE, kind.rank, CustomerId(request.customer))
            factor = instance.shares.limit_factor(*key, round(self.now_ms))
            true_factor = self.whole_view.limit_factor(*key, round(self.now_ms))
            error = abs(factor - true_factor)
            self.factor_errors.append((self.now_ms / 1000, error))
        left_ms = kind.deadline_ms - elapsed_ms
        return self._wait_limits.max_wait_ms(
            ROUTES[kind.name],
            elapsed_ms,
            kind.rank,
            factor,
            has_precedence=self._is_sharing and is_on_time(elapsed_ms, left_ms),
        )

    def _note_capacity(self, instance: SharingInstance) -> None:
        capacity = instance.capacities.observe(
            ENGINES,
            tuple(engine.endpoint for engine in self._engines.values()),
            round(self.now_ms),
        )
        for shares in (instance.shares, self.whole_view):
            shares.set_capacity(SERVICE, capacity.work_ms_per_s, capacity.lasting_share)

    def _record_choice(
        self,
        request: Request,
        instance: SharingInstance,
        choice: Choice | PlacementRefusal,
    ) -> None:
        is_admitted = isinstance(choice, Choice)
        for shares in (instance.shares, self.whole_view):
            if request.has_returned and not is_admitted:
                continue
            shares.record(
                SERVICE,
                request.kind.rank,
                CustomerId(request.customer),
                predict_work_ms(instance.models, ENGINES, choice.prefill_tokens),
                round(self.now_ms),
                is_admitted=is_admitted,
            )

    def _handle_refusal(
        self, request: Request, instance: Instance, refusal: PlacementRefusal
    ) -> None:
        outcome = self._outcomes[id(request)]
        if not request.has_returned:
            left_ms = request.kind.deadline_ms - (self.now_ms - request.arrived_ms)
            refusal = self._tell_return_time(request, instance, refusal, left_ms)
            patience_ms = RETURN_SHARE * left_ms
            outcome.is_due = refusal.retry_after_ms <= patience_ms + DUE_MS
        super()._handle_refusal(request, instance, refusal)

    def _tell_return_time(
        self,
        request: Request,
        instance: SharingInstance,
        refusal: PlacementRefusal,
        left_ms: float,
    ) -> PlacementRefusal:
        work = instance.shares.work(SERVICE, round(self.now_ms))
        if not self._is_sharing or not work.is_short:
            return refusal
        told = tell_return_time(
            refusal.retry_after_ms,
            left_ms,
            kept_share(work, instance.capacities.get(SERVICE).work_ms_per_s),
            self.rng,
        )
        return msgspec.structs.replace(refusal, retry_after_ms=told.retry_after_ms)

    def _record_served(
        self, request: Request, first_ms: float, *, is_in_time: bool
    ) -> None:
        outcome = self._outcomes[id(request)]
        outcome.state = "in_target" if is_in_time else "late"
        outcome.has_found = True
        patience_ms = 2 * request.kind.target_ms
        is_impatient = first_ms - request.arrived_ms > patience_ms
        if is_impatient and self.rng.random() < LEAVING_SHARE:
            outcome.state = "left"
            if self.rng.random() < REPEATING_SHARE:
                repeated = Request(request.kind, request.parts, self.now_ms)
                leaves_ms = request.arrived_ms + patience_ms
                self._at(leaves_ms, lambda: self._repeat(repeated))

    def _repeat(self, request: Request) -> None:
        request.arrived_ms = self.now_ms
        self._start_request(request)

    def _exchange_digests(self) -> None:
        """Deliver digests as often as in a fleet of this size."""
        self._round += 1
        now_ms, count = round(self.now_ms), len(self._instances)
        start_s, end_s = self._faults.cut_s
        is_cut = start_s <= self.now_ms / 1000 < end_s
        for n, sender in enumerate(self._instances):
            if count > 150 and (self._round + n) % 6:
                continue
            digest = self._digest(sender, now_ms)
            for m, receiver in enumerate(self._instances):
                is_near = count <= 12 or receiver.zone == sender.zone
                if sender is receiver or (
                    count <= 150 and not is_near and (self._round + n) % 4
                ):
                    continue
                if is_cut and (n < self._cut_count or m < self._cut_count):
                    continue
                if self.rng.random() >= self._faults.lost_share:
                    self._receive(receiver, sender, digest, now_ms)

    def _digest(self, sender: Instance, now_ms: int) -> tuple:
        sender.demand.refresh_own(now_ms)
        return (
            sender.board.own_loads(),
            sender.models.own_sums(now_ms),
            sender.demand.own_totals(),
            sender.shares.own_entries(now_ms),
        )

    def _receive(
        self, receiver: Instance, sender: Instance, digest: tuple, now_ms: int
    ) -> None:
        loads, sums, totals, entries = digest
        receiver.board.update_peer(sender.name, loads)
        receiver.models.update_peer(sender.name, sums)
        receiver.demand.update(sender.name, 1, totals, now_ms)
        receiver.shares.update_peer(sender.name, entries)


CUT_S = (16.0, 21.0)


def surge_day(seed: int, instance_count: int, **kwargs) -> CustomerPlay:
    """Play a large customer at six times its usual load, from 10 s to 30 s."""
    day = CustomerPlay(
        seed, instance_count, surging=SURGING, surge_s=(10, 30), **kwargs
    )
    day.run(32)
    return day


def burst_day(seed: int, instance_count: int, **kwargs) -> CustomerPlay:
    """Play a burst of the kind with the longest prompts, from 10 s to 24 s."""
    day = CustomerPlay(
        seed, instance_count, burst_kind="draft", burst_s=(10, 24), **kwargs
    )
    day.run(26)
    return day


def waves_day(seed: int, instance_count: int, **kwargs) -> CustomerPlay:
    """Play losses in three data centres, one after the other, with all else."""
    faults = Faults(0.1, CUT_S, (14.0, 20.0))
    day = CustomerPlay(
        seed,
        instance_count,
        surging=SURGING,
        surge_s=(10, 28),
        burst_kind="chat",
        burst_s=(16, 24),
        faults=faults,
        replaces_losses=True,
        **kwargs,
    )
    for n, zone in enumerate(ZONES):
        day.at_s(12 + 4 * n, lambda: setattr(day, "is_dry", True))
        day.at_s(12 + 4 * n, lambda zone=zone: day.lose_zone(zone))
        day.at_s(15 + 4 * n, lambda: setattr(day, "is_dry", False))
    day.run(30)
    return day


DAYS = {"surge": surge_day, "burst": burst_day, "waves": waves_day}
OVERLOAD_S = {"surge": (12, 30), "burst": (11, 24), "waves": (12, 28)}
"""When there is too little capacity, and the shares have had 1 or 2 s to be known."""


def main() -> None:
    """Print what callers get on each day, by fleet size."""
    sizes = [int(size) for size in sys.argv[1:]] or [9, 65]
    for name, play in DAYS.items():
        for size in sizes:
            day = play(1, size)
            report = day.report(*OVERLOAD_S[name])
            print(f"{name}, {size} instances: {report.line()}")
            for kind, each in report.by_kind().items():
                largest, below = each.largest()
                print(
                    f"  {kind:12}{each.line()}, largest tenth {largest.served:.3f},"
                    f" fifth below {below.served:.3f}"
                )
            usual = [o for o in report.outcomes if o.customer != SURGING]
            print(f"  {'usual':12}{Report(usual).line()}")
            for key in ("customer", "zone"):
                for value, each in report.by(
                    lambda o, key=key: getattr(o, key)
                ).items():
                    print(f"  {value:12}{each.line()}")
            often, never = report.sessions()
            print(f"  sessions {often}, never served {never};", end=" ")
            print(f"returns on time that found capacity {report.found_share():.3f};")
            error = day.mean_factor_error(*OVERLOAD_S[name])
            cut_error = day.mean_factor_error(*CUT_S)
            print(f"  mean error of factors {error:.3f}, in {CUT_S} s {cut_error:.3f}")


if __name__ == "__main__":
    main()
