"""Which requests crash endpoints, by what crashed endpoints had in common.

Each crash has suspects: the requests that the endpoint had. One of them may be the
cause, the others were there by chance, and an endpoint may crash for any other reason.
A part of prompts, or a request that comes again, is blamed if

- enough endpoints crashed while they had a request with it, and none has answered such
  a request since the first of these crashes;
- these requests were sent one after the other: endpoints that are lost together say
  nothing about the requests that they had;
- for a part, they were different requests: a bystander may be repeated and meet the
  next crash;
- no other suspect of the same crash is more likely to be its cause;
- other requests to the service were served meanwhile, and so many that the crashes of
  these requests are not chance.

The evidence is weighed twice. First, what an endpoint had been answering soundly for a
while is taken to be sound, which decides fast and keeps long answers out. Then all its
requests are suspects, and only the end of an answer acquits, or an answer that goes on
for much longer than any crash took to come. As long answers meet many crashes, these
must have come after similar times, and be less likely chance.

See ``docs/design/quarantine.md``.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from ..ids import Fingerprint
from .evidence import CrashReport
from .fingerprint import FingerprintKind, kind_of, outline_in

MAX_CRASHES = 256
"""Crashes that are remembered; the oldest is forgotten first."""

CRASH_MEMORY_MS = 600_000
"""Crashes are remembered for this long."""

REPORT_DELAY_MS = 400
"""Time after a crash by which the others' reports of it have arrived."""

RECENT_MS = 60_000
"""A fingerprint whose last crash is longer ago waits for the next one to be blamed."""

SAME_CRASH_MS = 1_000
"""Reports of an endpoint's crash that are this close are about the same crash. It may
start again at its address before its row shows that."""

MAX_SERVED = 8_192
"""Fingerprints for which the time of the last sound answer is remembered."""

SERVED_NOTICE_MS = 1_500
"""Other instances are told for this long that a suspected fingerprint was served: every
one of them gets a digest in it."""

MAX_SERVED_NOTICES = 32
"""Suspected fingerprints in a digest."""

MAX_SUCCESSES = 64
"""Times of successes that are remembered for each service."""


class Rule(msgspec.Struct, frozen=True):
    """What it takes to blame a fingerprint.

    Attributes
    ----------
    crash_count : int
        Endpoints that crashed.
    round_count : int
        Requests of which each was sent after the crash under the one before.
    request_count : int
        Different requests.
    crashes_per_request : int
        Crashes that count for each of them: a request that crashes endpoints by itself
        must not make its parts suspicious.
    success_count : int
        Requests without the fingerprint that this instance saw served meanwhile.
    max_chance : float
        Limit of the probability that requests without the fingerprint would all have
        met as many crashes.
    lookback_ms : int
        Time before the first crash from which "meanwhile" begins.
    max_similarity_chance : float or None
        If given, the crashes must have come after similar times, instead of one after
        the other's request, and this is the limit of the probability that they do so
        by chance.
    """

    crash_count: int
    round_count: int
    request_count: int
    crashes_per_request: int
    success_count: int
    max_chance: float
    lookback_ms: int
    max_similarity_chance: float | None = None


RULES = {
    FingerprintKind.PART: Rule(
        crash_count=5,
        round_count=3,
        request_count=2,
        crashes_per_request=3,
        success_count=1,
        max_chance=0.01,
        lookback_ms=0,
    ),
    FingerprintKind.REQUEST: Rule(
        crash_count=3,
        round_count=2,
        request_count=1,
        crashes_per_request=MAX_CRASHES,
        success_count=0,
        max_chance=0.01,
        lookback_ms=10_000,
    ),
}


LATE_RULES = {
    FingerprintKind.PART: replace(
        RULES[FingerprintKind.PART], max_chance=0.001, max_similarity_chance=0.3
    ),
    FingerprintKind.REQUEST: replace(
        RULES[FingerprintKind.REQUEST], max_chance=0.001, max_similarity_chance=1.0
    ),
}
"""Rules where all requests of an endpoint are suspects. Where many of them have a part,
the time of one is always similar; copies of a request are few."""

STEADY_SHARE = 0.1
STEADY_MS = 300
"""Times from sending to the crash are similar if they differ by no more than either."""

MIN_STEADY_MS = 500
"""Similar times show something from here on: short answers are all alike."""

MIN_SIMILAR_CRASHES = 2
"""Crashes after similar times from which on they may explain others' crashes."""

MIN_APART_MS = 600
"""Time between crashes that are compared. Requests that were sent together meet the
same loss of several endpoints after the same time."""

MAX_COMPARED_CRASHES = 12
"""Newest crashes whose times are compared. A part that is in all requests may have met
hundreds."""

RUN_FACTOR = 2
PROOF_MS = 500
"""An answer that goes on for this many times as long as any crash took to come, and
this much longer, shows that its request does not crash endpoints."""


class Culprits(msgspec.Struct, frozen=True):
    """Fingerprints that are blamed together, as the evidence doesn't tell them apart.

    Attributes
    ----------
    fingerprints : tuple of Fingerprint
        Sorted.
    service : str
        The service whose endpoints crashed.
    endpoints, versions : tuple of str
        These endpoints in the order of their crashes, and their versions.
    """

    fingerprints: tuple[Fingerprint, ...]
    service: str
    endpoints: tuple[str, ...]
    versions: tuple[str, ...]


class _Suspect(msgspec.Struct, frozen=True):
    fingerprints: frozenset[Fingerprint]
    request: str
    sent_ms: int
    answered_ms: int
    is_late: bool


class _Crash(msgspec.Struct):
    """A crash with the suspects of all instances that reported it."""

    endpoint: str
    started_wall_ms: int | None
    service: str
    version: str
    at_ms: int
    suspects: list[_Suspect]
    reporters: set[str]
    late_suspects: tuple[_Suspect, ...] = ()
    """Suspects that are left out, as they had been answered for a while."""


_Charges = dict[Fingerprint, list[_Crash]]

_Weight = tuple[int, float]

_NO_WEIGHT: _Weight = (0, -math.inf)


class CrashLedger:
    """Crashes of endpoints, and the fingerprints that explain them.

    Attributes
    ----------
    has_candidates : bool
        Whether to look for culprits again without a new crash: some fingerprint has
        met enough of them, or not all instances have reported the last one.
    """

    def __init__(self) -> None:
        self._instance_count = 1
        self._crashes: deque[_Crash] = deque(maxlen=MAX_CRASHES)
        self._begun = _ServedTimes()
        self._ended = _ServedTimes()
        self._longest_ran_ms: dict[Fingerprint, int] = {}
        self._successes_ms: dict[str, deque[int]] = {}
        self._suspected: set[Fingerprint] = set()
        self._suspected_outlines: set[str | None] = set()
        self.has_candidates = False

    @property
    def is_empty(self) -> bool:
        """Whether no crash is remembered."""
        return not self._crashes

    def record_crash(self, report: CrashReport, now_ms: int) -> None:
        """Record one instance's report of a crash; a repeated one changes nothing."""
        at_ms = now_ms - max(0, report.age_ms)
        crash = self._crash_of(report, at_ms)
        if report.instance in crash.reporters:
            return
        crash.reporters.add(report.instance)
        self.has_candidates = True
        crash.at_ms = min(crash.at_ms, at_ms)
        for suspect in report.suspects:
            for part in suspect.parts:
                if part.served_ms is not None:
                    self._begun.record(
                        Fingerprint(part.fingerprint), at_ms - part.served_ms
                    )
                if part.ended_ms is not None:
                    self._ended.record(
                        Fingerprint(part.fingerprint), at_ms - part.ended_ms
                    )
            names = [suspect.request, *(p.fingerprint for p in suspect.parts)]
            fingerprints = frozenset(Fingerprint(name) for name in names if name)
            self._suspect(fingerprints)
            for fingerprint in fingerprints:
                longest_ms = self._longest_ran_ms.get(fingerprint, 0)
                self._longest_ran_ms[fingerprint] = max(longest_ms, suspect.ran_ms)
            sent_ms = at_ms - suspect.ran_ms
            crash.suspects.append(
                _Suspect(
                    fingerprints,
                    suspect.request,
                    sent_ms,
                    suspect.answered_ms,
                    suspect.is_late,
                )
            )

    def record_success(
        self, service: str, fingerprints: Iterable[Fingerprint], now_ms: int
    ) -> None:
        """Record that an endpoint served a request of this instance."""
        for fingerprint in fingerprints:
            is_suspected = fingerprint in self._suspected
            self._begun.record(fingerprint, now_ms, is_news=is_suspected)
            self._ended.record(fingerprint, now_ms, is_news=is_suspected)
        self.count_success(service, now_ms)

    def record_begun(
        self, service: str, fingerprints: Iterable[Fingerprint], now_ms: int
    ) -> None:
        """Record that an endpoint has been answering a request for a while."""
        for fingerprint in fingerprints:
            is_suspected = fingerprint in self._suspected
            self._begun.record(fingerprint, now_ms, is_news=is_suspected)
        self.count_success(service, now_ms)

    def record_running(
        self, fingerprints: Iterable[Fingerprint], ran_ms: int, now_ms: int
    ) -> list[Fingerprint]:
        """Record for how long an endpoint has been running a request.

        Returns
        -------
        list of Fingerprint
            Those that are acquitted: whenever an endpoint crashed under such a request,
            it had run for much less.
        """
        acquitted = [
            fingerprint
            for fingerprint in fingerprints
            if fingerprint in self._longest_ran_ms
            and ran_ms >= RUN_FACTOR * self._longest_ran_ms[fingerprint] + PROOF_MS
        ]
        for fingerprint in acquitted:
            self._ended.record(fingerprint, now_ms, is_news=True)
        return acquitted

    def count_success(self, service: str, now_ms: int) -> None:
        """Count a request that was served, whatever its fingerprints."""
        times_ms = self._successes_ms.get(service)
        if times_ms is None:
            times_ms = self._successes_ms[service] = deque(maxlen=MAX_SUCCESSES)
        times_ms.append(now_ms)

    def suspects_outline(self, outline: str) -> bool:
        """Return whether a request with this outline may be among the suspects."""
        return outline in self._suspected_outlines

    def acquit(self, fingerprints: Iterable[Fingerprint], at_ms: int) -> None:
        """Drop the charges against fingerprints up to a time."""
        for fingerprint in fingerprints:
            self._begun.record(fingerprint, at_ms)
            self._ended.record(fingerprint, at_ms)

    def acquit_early(self, fingerprints: Iterable[Fingerprint], at_ms: int) -> None:
        """Drop the charges of crashes that came before an answer had gone on."""
        for fingerprint in fingerprints:
            self._begun.record(fingerprint, at_ms)

    def served_notices(self, now_ms: int) -> dict[str, int]:
        """Return suspected fingerprints that were served here lately, for the digest.

        The values are the times since then.
        """
        return self._begun.notices(now_ms)

    def ended_notices(self, now_ms: int) -> dict[str, int]:
        """Return the same for answers that ended, or went on for long."""
        return self._ended.notices(now_ms)

    def expire(self, now_ms: int) -> None:
        """Forget old crashes."""
        while self._crashes and now_ms - self._crashes[0].at_ms > CRASH_MEMORY_MS:
            self._crashes.popleft()
        if self.is_empty:
            self._begun = _ServedTimes()
            self._ended = _ServedTimes()
            self._longest_ran_ms.clear()
            self._suspected.clear()
            self._suspected_outlines.clear()

    def set_instance_count(self, count: int) -> None:
        """Set how many instances send requests, this one included."""
        self._instance_count = max(1, count)

    def find_culprits(self, now_ms: int) -> list[Culprits]:
        """Return the fingerprints that are to blame, by what is known now."""
        self.has_candidates = False
        crashes = list(self._crashes)
        early = [each for crash in crashes if (each := _without_late(crash)).suspects]
        until_ms = now_ms - REPORT_DELAY_MS
        charges = self._charges(early, self._begun, until_ms)
        late_charges = self._charges(crashes, self._ended, until_ms)
        late_counts = _similar_counts(late_charges)
        found = self._find(now_ms, early, charges, self._begun, RULES, late_counts)
        known = {culprits.fingerprints for culprits in found}
        late = self._find(now_ms, crashes, late_charges, self._ended, LATE_RULES, {})
        return found + [each for each in late if each.fingerprints not in known]

    def _find(
        self,
        now_ms: int,
        all_crashes: list[_Crash],
        charges: _Charges,
        served: _ServedTimes,
        rules: dict[FingerprintKind, Rule],
        late_counts: dict[Fingerprint, int],
    ) -> list[Culprits]:
        """Return the fingerprints that crashes show to be to blame, by these rules.

        ``late_counts`` are the crashes that requests may explain which are left out.
        """
        weights = {
            f: (len(crashes), -served.latest_ms(f)) for f, crashes in charges.items()
        }
        highest = _highest_weights(all_crashes, weights)
        groups: dict[tuple, list[Fingerprint]] = {}
        evidence: dict[tuple, list[_Crash]] = {}
        for fingerprint, crashes in charges.items():
            rule = rules.get(kind_of(fingerprint))
            if rule is None or len(crashes) < rule.crash_count:
                continue
            if now_ms - crashes[-1].at_ms > RECENT_MS:
                continue
            self.has_candidates = True
            own = [
                crash
                for crash in crashes
                if weights[fingerprint] >= highest[id(crash)]
                or not _is_explained(fingerprint, crash, weights)
            ]
            own = _limit_by_request(fingerprint, own, rule.crashes_per_request)
            unexplained_count = sum(
                weights[fingerprint][0] >= _late_count(crash, late_counts)
                for crash in own
            )
            if unexplained_count >= rule.crash_count and self._is_enough(
                fingerprint, own, rule, all_crashes
            ):
                key = (kind_of(fingerprint), tuple(id(crash) for crash in own))
                groups.setdefault(key, []).append(fingerprint)
                evidence[key] = own
        return [
            Culprits(
                tuple(sorted(fingerprints)),
                evidence[key][0].service,
                tuple(c.endpoint for c in evidence[key]),
                tuple(sorted({c.version for c in evidence[key]})),
            )
            for key, fingerprints in groups.items()
        ]

    def _suspect(self, fingerprints: frozenset[Fingerprint]) -> None:
        self._suspected |= fingerprints
        if len(self._suspected) > MAX_SERVED:
            self._suspected = {
                fingerprint
                for crash in self._crashes
                for suspect in crash.suspects
                for fingerprint in suspect.fingerprints
            } | fingerprints
            self._suspected_outlines = set(map(outline_in, self._suspected))
            self._longest_ran_ms = {
                fingerprint: ran_ms
                for fingerprint, ran_ms in self._longest_ran_ms.items()
                if fingerprint in self._suspected
            }
        self._suspected_outlines.update(map(outline_in, fingerprints))

    def _crash_of(self, report: CrashReport, at_ms: int) -> _Crash:
        """Return the crash that a report is about, a new one if it is the first."""
        for crash in reversed(self._crashes):
            if (crash.endpoint, crash.started_wall_ms) == (
                report.endpoint,
                report.started_wall_ms,
            ) and abs(at_ms - crash.at_ms) < SAME_CRASH_MS:
                return crash
        crash = _Crash(
            report.endpoint,
            report.started_wall_ms,
            report.service,
            report.version,
            at_ms,
            [],
            set(),
        )
        self._crashes.append(crash)
        return crash

    def _charges(
        self, all_crashes: list[_Crash], served: _ServedTimes, until_ms: int
    ) -> _Charges:
        """Return the crashes of each fingerprint since it was last served, in order."""
        charges: _Charges = {}
        for crash in sorted(all_crashes, key=lambda c: c.at_ms):
            if crash.at_ms > until_ms:
                self.has_candidates = True
                break
            present = {f for suspect in crash.suspects for f in suspect.fingerprints}
            for fingerprint in present:
                if crash.at_ms > served.latest_ms(fingerprint):
                    charges.setdefault(fingerprint, []).append(crash)
        return charges

    def _is_enough(
        self,
        fingerprint: Fingerprint,
        crashes: list[_Crash],
        rule: Rule,
        all_crashes: list[_Crash],
    ) -> bool:
        if len(crashes) < rule.crash_count:
            return False
        holders = _holders(fingerprint, crashes)
        requests = {suspect.request for found in holders for suspect in found}
        if len(requests) < rule.request_count:
            return False
        if rule.max_similarity_chance is not None:
            return _came_after_similar_times(
                crashes, holders, rule.crash_count, rule.max_similarity_chance
            ) and self._is_no_chance(fingerprint, crashes, rule, all_crashes)
        rounds, last_crash_ms = 0, -math.inf
        for crash, found in zip(crashes, holders, strict=True):
            if max(suspect.sent_ms for suspect in found) >= last_crash_ms:
                rounds += 1
                last_crash_ms = crash.at_ms
        if rounds < rule.round_count:
            return False
        return self._is_no_chance(fingerprint, crashes, rule, all_crashes)

    def _is_no_chance(
        self,
        fingerprint: Fingerprint,
        crashes: list[_Crash],
        rule: Rule,
        all_crashes: list[_Crash],
    ) -> bool:
        """Return whether chance hardly explains these crashes.

        Other requests were served so often that so many crashes in a row are unlikely,
        or requests with the fingerprint are so rare that they are unlikely to be among
        the suspects of each crash, or both together are.
        """
        service, since_ms = crashes[0].service, crashes[0].at_ms - rule.lookback_ms
        successes_ms = self._successes_ms.get(service, ())
        success_count = sum(ms > since_ms for ms in successes_ms)
        if success_count < rule.success_count:
            return False
        # Served requests are known of this instance only.
        success_count *= self._instance_count
        meanwhile = [
            crash
            for crash in all_crashes
            if crash.service == service and crash.at_ms >= since_ms
        ]
        suspects = [suspect for crash in meanwhile for suspect in crash.suspects]
        own_count = sum(fingerprint in s.fingerprints for s in suspects)
        other_count = len(suspects) - own_count
        # Laplace's rule of succession.
        failing_share = (other_count + 1) / (other_count + success_count + 2)
        failing_chance = failing_share ** len(crashes)
        own_share = (own_count + 1) / (len(suspects) + success_count + 2)
        presence_chance = float(math.comb(len(meanwhile), len(crashes)))
        for crash in crashes:
            presence_chance *= 1 - (1 - own_share) ** len(crash.suspects)
        product = failing_chance * min(1.0, presence_chance)
        # Fisher's combination of two probabilities.
        combined = product * (1 - math.log(product)) if product else 0.0
        return min(failing_chance, presence_chance, combined) <= rule.max_chance


class _ServedTimes:
    """When requests with fingerprints were last answered, anywhere."""

    def __init__(self) -> None:
        self._latest_ms: OrderedDict[Fingerprint, int] = OrderedDict()
        self._news_ms: OrderedDict[Fingerprint, int] = OrderedDict()

    def latest_ms(self, fingerprint: Fingerprint) -> float:
        """Return the last time; minus infinity if none is known."""
        return self._latest_ms.get(fingerprint, -math.inf)

    def record(
        self, fingerprint: Fingerprint, at_ms: int, *, is_news: bool = False
    ) -> None:
        """Record a time, and whether other instances are to be told."""
        latest_ms = max(at_ms, self._latest_ms.pop(fingerprint, at_ms))
        self._latest_ms[fingerprint] = latest_ms
        if len(self._latest_ms) > MAX_SERVED:
            self._latest_ms.popitem(last=False)
        if is_news:
            self._news_ms[fingerprint] = at_ms
            self._news_ms.move_to_end(fingerprint)

    def notices(self, now_ms: int) -> dict[str, int]:
        """Return the times since the latest news, by fingerprint."""
        while self._news_ms:
            fingerprint, at_ms = next(iter(self._news_ms.items()))
            if now_ms - at_ms <= SERVED_NOTICE_MS:
                break
            del self._news_ms[fingerprint]
        latest = list(self._news_ms.items())[-MAX_SERVED_NOTICES:]
        return {fingerprint: now_ms - at_ms for fingerprint, at_ms in latest}


def _without_late(crash: _Crash) -> _Crash:
    """Return a crash without the requests that had been answered for a while."""
    early = [suspect for suspect in crash.suspects if not suspect.is_late]
    late = tuple(suspect for suspect in crash.suspects if suspect.is_late)
    return replace(crash, suspects=early, late_suspects=late)


def _similar_counts(charges: _Charges) -> dict[Fingerprint, int]:
    """Return the crashes of fingerprints that all came after similar times."""
    return {
        fingerprint: len(crashes)
        for fingerprint, crashes in charges.items()
        if len(crashes) >= MIN_SIMILAR_CRASHES
        and _came_after_similar_times(
            crashes, _holders(fingerprint, crashes), MIN_SIMILAR_CRASHES, 1.0
        )
    }


def _late_count(crash: _Crash, late_counts: dict[Fingerprint, int]) -> int:
    """Return the most crashes that a request may explain which is left out."""
    return max(
        (
            late_counts.get(fingerprint, 0)
            for suspect in crash.late_suspects
            for fingerprint in suspect.fingerprints
        ),
        default=0,
    )


def _holders(fingerprint: Fingerprint, crashes: list[_Crash]) -> list[list[_Suspect]]:
    """Return the suspects of each crash that have a fingerprint."""
    return [
        [s for s in crash.suspects if fingerprint in s.fingerprints]
        for crash in crashes
    ]


def _highest_weights(
    crashes: list[_Crash], weights: dict[Fingerprint, _Weight]
) -> dict[int, _Weight]:
    """Return the highest weight among each crash's suspects, by its id()."""
    return {
        id(crash): max(
            (
                weights.get(f, _NO_WEIGHT)
                for s in crash.suspects
                for f in s.fingerprints
            ),
            default=_NO_WEIGHT,
        )
        for crash in crashes
    }


def _came_after_similar_times(
    crashes: list[_Crash],
    holders: list[list[_Suspect]],
    count: int,
    max_chance: float,
) -> bool:
    """Return whether so many crashes came after similar times.

    These are the times since the requests were sent, or since their answers began.

    Parameters
    ----------
    crashes : list of _Crash
        The crashes, in order.
    holders : list of list of _Suspect
        Suspects of each with the fingerprint.
    count : int
        Least number of crashes.
    max_chance : float
        Limit of the probability that times are as similar by chance.
    """
    rans_ms: list[list[tuple[int, int]]] = []
    last_ms = -math.inf
    for crash, found in zip(crashes, holders, strict=True):
        if crash.at_ms - last_ms >= MIN_APART_MS:
            rans_ms.append([(crash.at_ms - s.sent_ms, s.answered_ms) for s in found])
            last_ms = crash.at_ms
    if len(rans_ms) < count:
        return False
    rans_ms = rans_ms[-MAX_COMPARED_CRASHES:]
    chances = (
        _similarity_chance([[times[since] for times in each] for each in rans_ms])
        for since in (0, 1)
    )
    return any(chance is not None and chance <= max_chance for chance in chances)


def _similarity_chance(rans_ms: list[list[int]]) -> float | None:
    """Return how likely times are as similar by chance; None if these are not similar.

    Parameters
    ----------
    rans_ms : list of list of int
        For each crash the times of the requests that it may be about.
    """
    longest_ms = max(map(max, rans_ms))
    chances = []
    for first_ms in rans_ms[0]:
        if all(any(_are_similar(first_ms, o) for o in each) for each in rans_ms):
            width = 2 * _tolerance_ms(first_ms) / longest_ms
            chance = float(len(rans_ms[0]))
            for others_ms in rans_ms[1:]:
                chance *= min(1.0, len(others_ms) * width)
            chances.append(min(1.0, chance))
    return min(chances, default=None)


def _tolerance_ms(ran_ms: int) -> float:
    return min(STEADY_MS, STEADY_SHARE * ran_ms)


def _are_similar(ran_ms: int, other_ms: int) -> bool:
    is_close = abs(other_ms - ran_ms) <= _tolerance_ms(ran_ms)
    return ran_ms >= MIN_STEADY_MS and is_close


def _is_explained(
    fingerprint: Fingerprint, crash: _Crash, weights: dict[Fingerprint, _Weight]
) -> bool:
    """Return whether another suspect is more likely to have caused the crash."""
    holders = [s for s in crash.suspects if fingerprint in s.fingerprints]
    companions = frozenset().union(*(s.fingerprints for s in holders))
    own_weight = weights[fingerprint]
    return any(
        weights.get(other, _NO_WEIGHT) > own_weight
        for suspect in crash.suspects
        if fingerprint not in suspect.fingerprints
        for other in suspect.fingerprints
        if other not in companions
    )


def _limit_by_request(
    fingerprint: Fingerprint, crashes: list[_Crash], limit: int
) -> list[_Crash]:
    """Return the crashes without those beyond the limit of each request."""
    counts: Counter[str] = Counter()
    kept = []
    for crash in crashes:
        requests = {s.request for s in crash.suspects if fingerprint in s.fingerprints}
        request = min(requests, key=lambda each: (counts[each], each))
        counts[request] += 1
        if counts[request] <= limit:
            kept.append(crash)
    return kept
