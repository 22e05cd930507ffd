"""Requests that are refused because they crash endpoints, on all instances alike.

Each instance reports the crashes that it sees to all others, so that each can decide
from all evidence. Whichever decides first tells the others, and the entry stays in
force everywhere until it is lifted: a request with its fingerprints was served, or no
such request has come for long.
"""

from __future__ import annotations

import secrets
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from ..clock import Clock
from ..ids import Fingerprint, InstanceId, ServiceId, VersionId
from ..observability.log import Log
from ..peers.rendezvous import choose_nodes
from .attribution import REPORT_DELAY_MS, CrashLedger, Culprits
from .evidence import CrashReport, Entry, QuarantineNews
from .fingerprint import outline_in
from .trials import TrialClaim

MAX_ENTRIES = 10_000
"""Entries in force; the one that was refused least lately makes room."""

MAX_TOLD_ENTRIES = 32
"""Entries in a digest: those that were refused most lately."""

REPEAT_MS = 500
"""News are sent again for this long, as datagrams get lost."""

MAX_IMMEDIATE_REPORTS = 4
"""Reports that are sent at once between two ticks. If many endpoints are lost together,
the others wait for the tick, which sends them in one message."""

MAX_MESSAGE_SUSPECTS = 60
"""Suspects in a message: about 6 KB."""

IDLE_EXPIRY_MS = 600_000
"""An entry ends after this long without a request that it refuses."""

LIFTED_MEMORY_MS = 600_000
"""Lifted entries are remembered for this long, as peers may still tell of them."""

DECISION_INTERVAL_MS = 500
"""Without new reports, evidence is weighed again after this time: requests that were
served meanwhile may show who is to blame."""

TRIAL_AFTER_MS = 30_000
"""Time from the decision to the only trial. Where trials are not stored, one instance
may send it for as long from then on."""

CLAIM_BYTES = 8
"""Random bytes of a claim's name."""

RETRY_AFTER_MS = 60_000
"""Retry time of refused requests: what makes them crash endpoints lasts."""


class _State(msgspec.Struct):
    """What this instance knows of an entry.

    Attributes
    ----------
    entry : Entry
        The entry.
    since_ms, refused_ms : int
        Times of the decision, and of the last request that an instance refused.
    refused_count : int
        Requests that this instance refused.
    was_tried : bool
        Whether the trial was sent, as far as this instance knows.
    tried_versions : frozenset of str
        Versions of the service for which a trial was sent, as far as it knows.
    claim : str
        Name of the claim of this instance that is not decided; empty without one.
    has_trial : bool
        Whether this instance may send the next such request as a trial.
    """

    entry: Entry
    since_ms: int
    refused_ms: int
    refused_count: int = 0
    was_tried: bool = False
    tried_versions: frozenset[str] = frozenset()
    claim: str = ""
    has_trial: bool = False


class Quarantine:
    """Entries in force, and the evidence for new ones.

    Parameters
    ----------
    own : InstanceId
        This instance.
    clock, log : Clock, Log
        Time source, and the log of crashes and entries.
    send_news : callable
        Called with `QuarantineNews` for all other instances.
    on_entry, on_lifted : callable
        Called with an `Entry` that this instance decided, and with one that it lifted,
        to store that.
    on_claim : callable or None
        Called with a `TrialClaim`, to store it and call `decide_claim`. Without it a
        trial is known to this instance alone.
    """

    def __init__(
        self,
        own: InstanceId,
        clock: Clock,
        log: Log,
        send_news: Callable[[QuarantineNews], None] = lambda news: None,
        on_entry: Callable[[Entry], None] = lambda entry: None,
        on_lifted: Callable[[Entry], None] = lambda entry: None,
        on_claim: Callable[[TrialClaim], None] | None = None,
    ):
        self._on_claim = on_claim
        self._own = own
        self._clock = clock
        self._log = log
        self._send_news = send_news
        self._on_entry = on_entry
        self._on_lifted = on_lifted
        self._ledger = CrashLedger()
        self._states: OrderedDict[str, _State] = OrderedDict()
        self._keys_by_fingerprint: dict[Fingerprint, list[str]] = {}
        self._lifted_wall_ms: dict[str, int] = {}
        self._immediate_count = 0
        self._has_new_evidence = False
        self._reported_ms = self._decided_ms = clock.now_ms()
        self._fresh_reports: list[tuple[int, CrashReport]] = []
        self._fresh_entries: list[tuple[int, Entry]] = []
        self._fresh_lifted: list[tuple[int, str]] = []
        self._reachable: frozenset[InstanceId] = frozenset((own,))
        self._entry_outlines: Counter[str | None] = Counter()

    @property
    def is_idle(self) -> bool:
        """Whether there is neither an entry nor evidence."""
        return not self._states and self._ledger.is_empty

    def needs_request(self, outline: str) -> bool:
        """Return whether entries or evidence may be about a request with this outline.

        Only then its fingerprint, which takes its whole body, has to be known.
        """
        return outline in self._entry_outlines or self._ledger.suspects_outline(outline)

    def entries(self) -> list[Entry]:
        """Return the entries in force."""
        return [state.entry for state in self._states.values()]

    def entry_count(self) -> int:
        """Return the number of entries in force."""
        return len(self._states)

    def set_reachable(self, instances: Iterable[InstanceId]) -> None:
        """Set the other instances that are reachable, one of which sends trials."""
        self._reachable = frozenset((self._own, *instances))
        self._ledger.set_instance_count(len(self._reachable))

    def find_entry(self, fingerprints: Iterable[Fingerprint]) -> Entry | None:
        """Return the entry that refuses a request with these fingerprints, if any."""
        if not self._states:
            return None
        present = frozenset(fingerprints)
        for fingerprint in present:
            for key in self._keys_by_fingerprint.get(fingerprint, ()):
                entry = self._states[key].entry
                if present.issuperset(entry.fingerprints):
                    return entry
        return None

    def is_responsible(self, key: str) -> bool:
        """Return whether this instance, of those that are reachable, acts for all."""
        return choose_nodes(self._reachable, key) == [self._own]

    def try_acquire_trial(self, entry: Entry, versions: Iterable[VersionId]) -> bool:
        """Return whether this instance may send one request in spite of an entry.

        One instance of those that know each other sends a single trial some time after
        the decision, and one for each change to versions that have not crashed. It
        claims the trial first, which a later request then is.

        Parameters
        ----------
        entry : Entry
            The entry that refuses the request.
        versions : iterable of VersionId
            Versions of all endpoints that may get it.
        """
        state = self._states.get(entry.key)
        if state is None:
            return False
        if state.has_trial:
            state.has_trial = False
            return True
        if not self.is_responsible(entry.key):
            return False
        now_versions = frozenset(versions)
        is_new = bool(now_versions) and now_versions.isdisjoint(
            (*entry.versions, *state.tried_versions)
        )
        age_ms = self._clock.now_ms() - state.since_ms
        is_due = age_ms >= TRIAL_AFTER_MS and not state.was_tried
        if self._on_claim is None:
            # A process that starts again doesn't know whether there was a trial.
            is_due = is_due and age_ms < 2 * TRIAL_AFTER_MS
        if not is_new and not is_due:
            return False
        if self._on_claim is None:
            self._record_trial(state, now_versions)
            return True
        if not state.claim:
            state.claim = secrets.token_hex(CLAIM_BYTES)
            self._on_claim(TrialClaim(state.entry, now_versions, is_new, state.claim))
        return False

    def decide_claim(
        self, claim: TrialClaim, *, is_granted: bool, tried_versions: Iterable[str]
    ) -> None:
        """Record whether this instance may send a trial that it has claimed.

        Parameters
        ----------
        claim : TrialClaim
            The claim.
        is_granted : bool
            Whether it may.
        tried_versions : iterable of str
            Versions for which a trial was claimed, by any instance.
        """
        state = self._states.get(claim.entry.key)
        if state is None or state.claim != claim.name:
            return
        state.claim = ""
        state.has_trial = is_granted
        if is_granted:
            self._record_trial(state, claim.versions)
        state.was_tried = True
        state.tried_versions |= frozenset(tried_versions)

    def tried_entries(self) -> list[tuple[Entry, frozenset[str]]]:
        """Return the entries of which a trial is known, with the versions of trials."""
        return [
            (state.entry, state.tried_versions)
            for state in self._states.values()
            if state.was_tried
        ]

    def _record_trial(self, state: _State, versions: frozenset[str]) -> None:
        state.was_tried = True
        state.tried_versions |= versions
        self._log.event(
            "quarantine_trial",
            entry=state.entry.key,
            age_ms=self._clock.now_ms() - state.since_ms,
            versions=sorted(versions),
        )

    def record_refusal(self, entry: Entry) -> None:
        """Record that a request was refused for an entry."""
        state = self._states.get(entry.key)
        if state is not None:
            state.refused_count += 1
            state.refused_ms = self._clock.now_ms()
            self._states.move_to_end(entry.key)

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash that this instance saw, and tell the others at once."""
        now_ms = self._clock.now_ms()
        self._log.event(
            "endpoint_crashed",
            endpoint=report.endpoint,
            service=report.service,
            version=report.version,
            age_ms=report.age_ms,
            requests=[suspect.request for suspect in report.suspects],
            parts=sorted({p.fingerprint for s in report.suspects for p in s.parts}),
        )
        self._ledger.record_crash(report, now_ms)
        self._fresh_reports.append((now_ms, report))
        if report.is_late:
            # Unlikely the cause: the next tick is soon enough.
            return
        self._note_evidence(now_ms)
        self._immediate_count += 1
        if self._immediate_count <= MAX_IMMEDIATE_REPORTS:
            self._send_news(QuarantineNews(reports=(report,)))

    def record_success(
        self, service: ServiceId, fingerprints: tuple[Fingerprint, ...]
    ) -> None:
        """Record that an endpoint served a request with these fingerprints.

        While the quarantine is idle, `count_success` is enough.
        """
        self._ledger.record_success(service, fingerprints, self._clock.now_ms())
        entry = self.find_entry(fingerprints)
        if entry is not None:
            self.lift(entry, "such a request was served")

    def record_begun(
        self, service: ServiceId, fingerprints: tuple[Fingerprint, ...]
    ) -> None:
        """Record that an endpoint has been answering such a request for a while."""
        self._ledger.record_begun(service, fingerprints, self._clock.now_ms())

    def record_running(
        self, fingerprints: tuple[Fingerprint, ...], ran_ms: int
    ) -> None:
        """Record for how long (ms) an endpoint has been running such a request."""
        now_ms = self._clock.now_ms()
        acquitted = self._ledger.record_running(fingerprints, ran_ms, now_ms)
        entry = self.find_entry(acquitted) if acquitted else None
        if entry is not None:
            self.lift(entry, "such a request runs for long")

    def count_success(self, service: ServiceId) -> None:
        """Count a request that an endpoint served."""
        self._ledger.count_success(service, self._clock.now_ms())

    def lift(self, entry: Entry, why: str) -> None:
        """End an entry on all instances."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        self._ledger.acquit(map(Fingerprint, entry.fingerprints), now_ms)
        self._remove(entry.key, why)
        self._lifted_wall_ms[entry.key] = wall_ms
        self._fresh_lifted.append((now_ms, entry.key))
        self._send_news(QuarantineNews(lifted={entry.key: wall_ms}))
        self._on_lifted(entry)

    def handle_news(self, news: QuarantineNews) -> None:
        """Apply what another instance tells."""
        for key, wall_ms in news.lifted.items():
            self._apply_lifted(key, wall_ms)
        for entry in news.entries:
            self.add_entry(entry, idle_ms=0)
        now_ms = self._clock.now_ms()
        for report in news.reports:
            self._ledger.record_crash(report, now_ms)
            if not report.is_late:
                self._note_evidence(now_ms)

    def served_notices(self) -> dict[str, int]:
        """Return suspects that were served here lately, for the digest."""
        return self._ledger.served_notices(self._clock.now_ms())

    def ended_notices(self) -> dict[str, int]:
        """Return suspects whose answers ended here lately, for the digest."""
        return self._ledger.ended_notices(self._clock.now_ms())

    def record_peer_served(self, served: dict[str, int], ended: dict[str, int]) -> None:
        """Drop charges against fingerprints that another instance saw served.

        Parameters
        ----------
        served, ended : dict
            Time since answers to them had begun, and ended, by fingerprint.
        """
        now_ms = self._clock.now_ms()
        for name, age_ms in served.items():
            self._ledger.acquit_early((Fingerprint(name),), now_ms - max(0, age_ms))
        for name, age_ms in ended.items():
            self._ledger.acquit((Fingerprint(name),), now_ms - max(0, age_ms))

    def told_entries(self) -> tuple[tuple[Entry, int], ...]:
        """Return entries and the time since they refused a request, for the digest."""
        now_ms = self._clock.now_ms()
        latest = list(self._states.values())[-MAX_TOLD_ENTRIES:]
        return tuple((state.entry, now_ms - state.refused_ms) for state in latest)

    def add_entry(self, entry: Entry, idle_ms: int) -> None:
        """Put an entry of another instance or of the store in force.

        Parameters
        ----------
        entry : Entry
            The entry.
        idle_ms : int
            Time since it last refused a request, as far as its source knows.
        """
        lifted_wall_ms = self._lifted_wall_ms.get(entry.key)
        if lifted_wall_ms is not None and entry.since_wall_ms <= lifted_wall_ms:
            return
        refused_ms = self._clock.now_ms() - max(0, idle_ms)
        state = self._states.get(entry.key)
        if state is not None:
            if refused_ms > state.refused_ms:
                state.refused_ms = refused_ms
                self._states.move_to_end(entry.key)
            return
        if idle_ms <= IDLE_EXPIRY_MS:
            self._insert(entry, refused_ms)

    def tick(self) -> None:
        """Decide by the evidence, repeat fresh news and end what is over.

        Called several times a second.
        """
        now_ms = self._clock.now_ms()
        if not self._ledger.is_empty:
            self._ledger.expire(now_ms)
            is_due = now_ms - self._decided_ms >= DECISION_INTERVAL_MS
            if self._ledger.has_candidates and (is_due or self._has_new_evidence):
                self._decide(now_ms)
        self._repeat_news(now_ms)
        for state in list(self._states.values()):
            if now_ms - state.refused_ms > IDLE_EXPIRY_MS:
                self._remove(state.entry.key, "no such request has come for long")
                if self.is_responsible(state.entry.key):
                    self._on_lifted(state.entry)
        earliest_wall_ms = self._clock.wall_ms() - LIFTED_MEMORY_MS
        for key, wall_ms in list(self._lifted_wall_ms.items()):
            if wall_ms < earliest_wall_ms:
                del self._lifted_wall_ms[key]

    def _note_evidence(self, now_ms: int) -> None:
        self._has_new_evidence, self._reported_ms = True, now_ms

    def _decide(self, now_ms: int) -> None:
        """Put culprits in quarantine that the evidence shows."""
        # A last report may still be too young to be weighed.
        self._has_new_evidence = now_ms - self._reported_ms < REPORT_DELAY_MS
        self._decided_ms = now_ms
        for culprits in self._ledger.find_culprits(now_ms):
            self._quarantine(culprits)

    def _quarantine(self, culprits: Culprits) -> None:
        entry = Entry(
            culprits.fingerprints,
            culprits.service,
            culprits.versions,
            self._clock.wall_ms(),
            self._own,
            culprits.endpoints,
        )
        if entry.key in self._states:
            return
        now_ms = self._clock.now_ms()
        self._insert(entry, now_ms)
        self._fresh_entries.append((now_ms, entry))
        self._send_news(QuarantineNews(entries=(entry,)))
        self._on_entry(entry)

    def _insert(self, entry: Entry, refused_ms: int) -> None:
        age_ms = max(0, self._clock.wall_ms() - entry.since_wall_ms)
        since_ms = self._clock.now_ms() - age_ms
        self._states[entry.key] = _State(entry, since_ms, refused_ms)
        for fingerprint in entry.fingerprints:
            keys = self._keys_by_fingerprint.setdefault(Fingerprint(fingerprint), [])
            keys.append(entry.key)
            self._entry_outlines[outline_in(Fingerprint(fingerprint))] += 1
        self._log.event(
            "quarantined",
            entry=entry.key,
            service=entry.service,
            versions=entry.versions,
            endpoints=entry.endpoints,
            decided_by=entry.instance,
            age_ms=age_ms,
        )
        if len(self._states) > MAX_ENTRIES:
            self._remove(next(iter(self._states)), "there are too many")

    def _remove(self, key: str, why: str) -> None:
        state = self._states.pop(key, None)
        if state is None:
            return
        for fingerprint in state.entry.fingerprints:
            keys = self._keys_by_fingerprint[Fingerprint(fingerprint)]
            keys.remove(key)
            if not keys:
                del self._keys_by_fingerprint[Fingerprint(fingerprint)]
            outline = outline_in(Fingerprint(fingerprint))
            self._entry_outlines[outline] -= 1
            if not self._entry_outlines[outline]:
                del self._entry_outlines[outline]
        self._log.event(
            "quarantine_ended", entry=key, why=why, refused=state.refused_count
        )

    def _apply_lifted(self, key: str, wall_ms: int) -> None:
        if wall_ms <= self._lifted_wall_ms.get(key, 0):
            return
        self._lifted_wall_ms[key] = wall_ms
        self._ledger.acquit(map(Fingerprint, key.split("+")), self._clock.now_ms())
        state = self._states.get(key)
        if state is not None and state.entry.since_wall_ms <= wall_ms:
            self._remove(key, "another instance lifted it")

    def _repeat_news(self, now_ms: int) -> None:
        earliest_ms = now_ms - REPEAT_MS
        self._fresh_reports = [f for f in self._fresh_reports if f[0] >= earliest_ms]
        self._fresh_entries = [f for f in self._fresh_entries if f[0] >= earliest_ms]
        self._fresh_lifted = [f for f in self._fresh_lifted if f[0] >= earliest_ms]
        self._immediate_count = 0
        aged = [
            msgspec.structs.replace(report, age_ms=report.age_ms + now_ms - seen_ms)
            for seen_ms, report in self._fresh_reports
        ]
        for reports in _split_by_suspects(aged):
            self._send_news(QuarantineNews(reports=reports))
        entries = tuple(entry for _, entry in self._fresh_entries)
        lifted = {key: self._lifted_wall_ms[key] for _, key in self._fresh_lifted}
        if entries or lifted:
            self._send_news(QuarantineNews(entries=entries, lifted=lifted))


def _split_by_suspects(reports: list[CrashReport]) -> list[tuple[CrashReport, ...]]:
    """Return the reports in groups of few suspects, each for one message."""
    groups: list[list[CrashReport]] = []
    suspect_count = MAX_MESSAGE_SUSPECTS
    for report in reports:
        suspect_count += len(report.suspects)
        if suspect_count > MAX_MESSAGE_SUSPECTS:
            groups.append([])
            suspect_count = len(report.suspects)
        groups[-1].append(report)
    return [tuple(group) for group in groups]
