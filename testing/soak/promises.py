"""Checks of the promises that hold under any fault, from the records of a run."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from .callers import BODY_CAUSE, PART_CAUSE
from .endpoints import STREAM_EVENT_COUNT
from .records import Call, Records, Run, Statement, StatementKind
from .world import (
    BOUNDS,
    BURST,
    COLD_PER_S,
    ENDPOINTS,
    LIMITS,
    LOCAL_ZONE,
    ROUTE_TIMEOUT_MS,
    route_timeout_ms,
    zone_of,
)

Check = Callable[[Records], Iterable[str]]

CHECKS: dict[str, Check] = {}

STREAM_KINDS = frozenset(("stream", "report"))

LATE_IN_STOP_MS = 3_000
"""Time after SIGTERM from which a request is answered whole or refused."""

REFUSALS = frozenset((408, 421, 429, 503))
"""Statuses which promise that the request has not run and never will."""

STABLE_MS = 4_000
"""Time without a disturbance after which an instance must keep all promises."""

MAX_APPLY_MS = 3_000
"""Longest time from a commit of a configuration until it is in force."""

DRAIN_MS = BOUNDS["drain_timeout_ms"]

EVACUATION_MS = BOUNDS["evacuation_ms"]

SWITCH_MARGIN_MS = 250
DISTURBED_SWITCH_MARGIN_MS = 8 * SWITCH_MARGIN_MS
"""Once an instance has used a configuration, requests sent this much later must not be
handled by an older one; the longer time holds on a disturbed instance."""

ANSWER_MARGIN_MS = 500
"""Allowed delay of the final answer after its route's timeout."""

MAX_LATE, MAX_LATE_SHARE = 7, 0.25
"""Allowed late answers: the larger of this number and this share of the requests that
outlast their timeout."""

MAX_LOST = 3
"""Requests of undisturbed instances that may end without an answer."""

RECOVERY_TIMEOUT_MS = 15_000
"""Longest time until every instance serves again after the last disturbance."""

NOTICE_MS = 500
"""Time after an endpoint's statement from which it binds the instance."""

MAX_IN_PAUSE = 2
"""Requests that may reach an endpoint in a pause that it asked for."""

LIMIT_WINDOW_MS = 4_000
"""Any time of this length may have one and a half times a limit, and five requests."""

COLD_WINDOW_MS = 1_000
"""Any time of this length may have what a cold endpoint tolerates, times
``cold_overage``, and ``cold_slack`` requests."""

CRASHES = {PART_CAUSE: 5, BODY_CAUSE: 3}
"""Crashes under a part of prompts, and under a request, after which it is bound."""

MAX_CRASHING = 3
"""Requests that crash endpoints and may reach them after that, of all instances."""

MAX_FALLS, MAX_FALLS_SHARE = 2, 0.1
"""Falls in one time in which a service is brittle: this number, and this share of its
endpoints."""

MIN_SOUND_CALLS = 20
"""Sound requests without which their share isn't compared."""

MISDIRECTED = 421

RESTARTS = frozenset(("kill", "stop", "pause"))
"""Disturbances after which an instance is not held to what it was told before."""

RESUME_MARGIN_MS = 300
"""Duty calls this soon after a disturbance may have been sent before it ended."""


def check(check_records: Check) -> Check:
    """Register a check under its function name."""
    CHECKS[check_records.__name__] = check_records
    return check_records


def find_violations(records: Records) -> list[str]:
    """Return a line for each violation, headed by the name of its check."""
    return [
        f"{name}: {text}"
        for name, check_records in CHECKS.items()
        for text in check_records(records)
    ]


def _executed_runs(call: Call) -> list[Run]:
    return [run for run in call.runs if run.was_run]


@check
def run_at_most_once(records: Records) -> Iterator[str]:
    """Check that requests that aren't idempotent run at most once."""
    for call in records.calls.values():
        runs = _executed_runs(call)
        if call.kind == "order" and len(runs) > 1:
            where = ", ".join(f"{run.endpoint} at {run.arrived_ms}" for run in runs)
            yield f"{call.id} ran {len(runs)} times: {where}"


@check
def refused_requests_never_run(records: Records) -> Iterator[str]:
    """Check that refused requests that aren't idempotent never run."""
    for call in records.calls.values():
        if call.kind == "order" and call.status in REFUSALS and _executed_runs(call):
            yield f"{call.id} was answered {call.status} and ran"


@check
def answers_intact(records: Records) -> Iterator[str]:
    """Check that a success is one endpoint's complete answer to this request."""
    for call in records.calls.values():
        if call.status is None or not call.is_whole:
            continue
        if call.answered_id != call.id:
            yield f"{call.id} got an answer for {call.answered_id!r}"
        if call.status != 200:
            continue
        if not call.seal:
            yield f"{call.id} got a 200 without a response seal"
        elif call.kind in STREAM_KINDS:
            if call.seal not in [run.seal for run in call.runs]:
                yield f"{call.id} got the seal {call.seal!r}, which no run has"
        elif not any(
            run.seal == call.seal and run.body == call.answer for run in call.runs
        ):
            yield f"{call.id} got {len(call.answer)} bytes that no endpoint sent"


@check
def streams_in_order(records: Records) -> Iterator[str]:
    """Check that events come in order, once each, and complete streams have all."""
    for call in records.calls.values():
        if call.kind not in STREAM_KINDS or call.status != 200:
            continue
        if call.events != list(range(1, len(call.events) + 1)):
            yield f"{call.id} got the events {call.events}"
        elif call.is_whole and len(call.events) != STREAM_EVENT_COUNT:
            yield f"{call.id} ended as complete after {len(call.events)} events"


@check
def only_sent_requests_run(records: Records) -> Iterator[str]:
    """Check that endpoints run what callers sent, unchanged, for the right customer."""
    for request_id, run in records.unknown_runs:
        yield f"{run.endpoint} got a request with the unknown id {request_id!r}"
    for call in records.calls.values():
        service = "other" if call.kind == "other" else "app"
        for run in _executed_runs(call):
            if run.request_body != call.body:
                yield f"{call.id} ran at {run.endpoint} with another body"
            if run.customer != call.customer:
                yield f"{call.id} ran for {run.customer!r}, not {call.customer!r}"
            if run.service != service:
                yield f"{call.id} ran at the service {run.service!r}, not {service!r}"


@check
def no_requests_to_drained_endpoints(records: Records) -> Iterator[str]:
    """Check that undisturbed instances send no request to drained endpoints."""
    for call in records.calls.values():
        for run in _executed_runs(call):
            due_ms = records.drained_ms.get(run.endpoint, run.arrived_ms) + DRAIN_MS
            targets = (call.instance, "store", run.endpoint)
            since_ms = min(due_ms - DRAIN_MS, run.arrived_ms) - STABLE_MS
            if run.arrived_ms > due_ms and records.is_undisturbed(
                targets, since_ms, run.arrived_ms
            ):
                late_ms = run.arrived_ms - due_ms
                yield (
                    f"{call.id} reached {run.endpoint} {late_ms:.0f} ms after its"
                    " drain timeout"
                )


def _shown_configuration(call: Call) -> tuple[int, int] | None:
    """Return the configuration number that a call proves in force, and when (in ms)."""
    if call.feature and (runs := _executed_runs(call)):
        return call.feature, runs[0].arrived_ms
    return None


@check
def no_return_to_older_configuration(records: Records) -> Iterator[str]:
    """Check that no process of an instance goes back to an older configuration."""
    by_process: dict[tuple[str, int], list[Call]] = defaultdict(list)
    for call in records.calls.values():
        if call.feature:
            by_process[call.instance, call.incarnation].append(call)
    for (instance, incarnation), calls in by_process.items():
        seen = sorted(
            filter(None, map(_shown_configuration, calls)), key=lambda each: each[1]
        )
        for call in calls:
            if call.status != 404:
                continue
            is_undisturbed = records.is_undisturbed(
                (instance,), call.sent_ms - STABLE_MS, call.ended_ms or call.sent_ms
            )
            slack_ms = (
                SWITCH_MARGIN_MS if is_undisturbed else DISTURBED_SWITCH_MARGIN_MS
            )
            if any(
                number >= call.feature and at_ms + slack_ms < call.sent_ms
                for number, at_ms in seen
            ):
                yield (
                    f"{instance}/{incarnation} went back to a configuration"
                    f" before {call.feature}"
                )


@check
def configurations_applied_in_time(records: Records) -> Iterator[str]:
    """Check that undisturbed instances apply a configuration within `MAX_APPLY_MS`."""
    written_ms = {version.number: version.written_ms for version in records.versions}
    for call in records.calls.values():
        if call.status != 404:
            continue
        if not call.feature:
            yield f"{call.id} got a 404 for a route that is in every configuration"
            continue
        age_ms = call.sent_ms - written_ms[call.feature]
        targets = (call.instance, "store")
        since_ms = call.sent_ms - MAX_APPLY_MS - STABLE_MS
        if age_ms > MAX_APPLY_MS and records.is_undisturbed(
            targets, since_ms, call.sent_ms
        ):
            yield f"{call.instance} had not applied {call.feature} after {age_ms} ms"


def _max_in_window(times_ms: list[int], window_ms: float) -> int:
    times_ms = sorted(times_ms)
    max_count = first = 0
    for index, at_ms in enumerate(times_ms):
        while times_ms[first] <= at_ms - window_ms:
            first += 1
        max_count = max(max_count, index - first + 1)
    return max_count


@check
def quotas(records: Records) -> Iterator[str]:
    """Check that a customer's requests stay within its quota over all instances."""
    window_s = BOUNDS["quota_window_s"]
    rate_per_s = max(version.rate_per_s for version in records.versions)
    allowed = (rate_per_s * window_s + BURST) * (1 + BOUNDS["quota_overage"])
    allowed += BOUNDS["quota_slack"]
    times_ms = [
        call.runs[0].arrived_ms
        for call in records.calls.values()
        if call.customer == "limited" and _executed_runs(call)
    ]
    max_count = _max_in_window(times_ms, window_s * 1000)
    if max_count > allowed:
        yield f"{max_count} requests in {window_s} s, {allowed:.0f} allowed"


@check
def retry_budgets(records: Records) -> Iterator[str]:
    """Check that retries to a service stay within the budget over all instances."""
    window_ms = BOUNDS["budget_window_s"] * 1000
    for service in ("app", "other"):
        request_times_ms = sorted(
            call.sent_ms
            for call in records.calls.values()
            if ("other" if call.kind == "other" else "app") == service
        )
        retry_times_ms = sorted(
            run.arrived_ms
            for call in records.calls.values()
            for run in call.runs[1:]
            if run.service == service
        )
        for end_ms in retry_times_ms:
            count = sum(
                end_ms - window_ms < at_ms <= end_ms for at_ms in retry_times_ms
            )
            requests = max(
                sum(
                    end_ms - back_ms - window_ms < at_ms <= end_ms - back_ms
                    for at_ms in request_times_ms
                )
                for back_ms in (0, window_ms / 2, window_ms)
            )
            allowed = BOUNDS["retry_budget_ratio"] * requests
            allowed += BOUNDS["budget_extra_retries"]
            if count > allowed:
                yield f"{count} retries to {service}, {allowed:.0f} allowed"
                break


@check
def one_duty_holder(records: Records) -> Iterator[str]:
    """Check that one instance at a time acts for a duty, by rising fencing numbers."""
    highest = 0
    holders: dict[int, str] = {}
    counts: dict[int, dict[str, int]] = {}
    for call in records.duty_calls:
        holder = holders.setdefault(call.fencing_number, call.holder)
        if holder != call.holder:
            yield (
                f"{holder} and {call.holder} both used fencing number"
                f" {call.fencing_number}"
            )
        reported = counts.setdefault(call.window, call.counts)
        if reported != call.counts:
            yield f"two reports for window {call.window}: {reported}, {call.counts}"
        targets = (call.holder, "store", "cloud")
        is_undisturbed = records.is_undisturbed(
            targets, call.at_ms - RESUME_MARGIN_MS, call.at_ms
        )
        if call.fencing_number < highest and is_undisturbed:
            yield (
                f"{call.holder} used fencing number {call.fencing_number}"
                f" after {highest}"
            )
        highest = max(highest, call.fencing_number)
    yield from _find_alternation(records)


def _find_alternation(records: Records) -> Iterator[str]:
    """Yield a line where holders act in the order A, B, A within one lease duration."""
    turns: list[tuple[str, int, int]] = []
    for call in records.duty_calls:
        targets = (call.holder, "store", "cloud")
        if not records.is_undisturbed(
            targets, call.at_ms - RESUME_MARGIN_MS, call.at_ms
        ):
            continue
        if turns and turns[-1][0] == call.holder:
            turns[-1] = (call.holder, turns[-1][1], call.at_ms)
        else:
            turns.append((call.holder, call.at_ms, call.at_ms))
    for before, _, after in zip(turns, turns[1:], turns[2:], strict=False):
        apart_ms = after[1] - before[2]
        if before[0] == after[0] and apart_ms < BOUNDS["lease_duration_ms"]:
            yield f"{before[0]} acted again within {apart_ms} ms, with another between"


@check
def answers_in_time(records: Records) -> Iterator[str]:
    """Check that requests that reach their route's timeout are answered then."""
    long, late = 0, []
    for call in records.calls.values():
        if call.ended_ms is None:
            continue
        elapsed_ms = call.ended_ms - call.sent_ms
        since_ms = call.sent_ms - STABLE_MS
        timeout_ms = route_timeout_ms(call.kind)
        if elapsed_ms <= timeout_ms or not records.is_undisturbed(
            (call.instance,), since_ms, call.ended_ms
        ):
            continue
        long += 1
        if elapsed_ms > timeout_ms + ANSWER_MARGIN_MS:
            late.append(call.id)
    if len(late) > max(MAX_LATE, MAX_LATE_SHARE * long):
        yield f"{len(late)} of {long} had no answer at their timeout: {late[:5]}"


@check
def no_answers_lost(records: Records) -> Iterator[str]:
    """Check that undisturbed instances answer calls to undisturbed endpoints."""
    lost = []
    for call in records.calls.values():
        if call.status is not None or call.ended_ms is None or not call.runs:
            continue
        left_early = call.ended_ms - call.sent_ms < route_timeout_ms(call.kind)
        targets = (call.instance, *(run.endpoint for run in call.runs))
        since_ms = call.sent_ms - STABLE_MS
        if not call.has_left and left_early:
            if records.is_undisturbed(targets, since_ms, call.ended_ms):
                lost.append(call.id)
    if len(lost) > MAX_LOST:
        yield f"{len(lost)} requests without an answer, {MAX_LOST} allowed: {lost[:5]}"


@check
def stopping_instances_answer(records: Records) -> Iterator[str]:
    """Check that a stopping instance answers the requests that endpoints ran."""
    stops = [each for each in records.disturbances if each.kind == "stop"]
    for call in records.calls.values():
        if call.status is not None or call.has_left or not _executed_runs(call):
            continue
        ended_ms = call.ended_ms or call.sent_ms
        if ended_ms - call.sent_ms >= route_timeout_ms(call.kind):
            continue
        is_within = any(
            stop.what == call.instance
            and stop.from_ms - ROUTE_TIMEOUT_MS <= call.sent_ms <= (stop.until_ms or 0)
            for stop in stops
        )
        others = Records(
            disturbances=[d for d in records.disturbances if d.kind != "stop"]
        )
        targets = (call.instance, *(run.endpoint for run in call.runs))
        if is_within and others.is_undisturbed(
            targets, call.sent_ms - STABLE_MS, ended_ms
        ):
            yield f"{call.id} ran but was not answered while {call.instance} stopped"


@check
def late_requests_whole_or_refused(records: Records) -> Iterator[str]:
    """Check that a stopping instance begins late only what it can complete."""
    stops = [each for each in records.disturbances if each.kind == "stop"]
    others = Records(disturbances=[d for d in records.disturbances if d.kind != "stop"])
    for call in records.calls.values():
        if call.is_whole or call.has_left or not _executed_runs(call):
            continue
        ended_ms = call.ended_ms or call.sent_ms
        is_late = any(
            stop.what == call.instance
            and stop.from_ms + LATE_IN_STOP_MS < call.sent_ms <= (stop.until_ms or 0)
            for stop in stops
        )
        targets = (call.instance, *(run.endpoint for run in call.runs))
        has_time = ended_ms - call.sent_ms < route_timeout_ms(call.kind)
        if is_late and has_time:
            if others.is_undisturbed(targets, call.sent_ms - STABLE_MS, ended_ms):
                yield f"{call.id} was begun late in a stop and cut off"


@check
def leaving_endpoints_get_nothing(records: Records) -> Iterator[str]:
    """Check that an instance that is told so sends an endpoint that leaves nothing."""
    told_ms = _first_told_ms(records, StatementKind.LEAVING)
    for call, run in _arrivals(records):
        due_ms = told_ms.get((run.endpoint, call.instance))
        if due_ms is None or call.sent_ms <= due_ms + DRAIN_MS:
            continue
        if not _has_restarted(records, call.instance, due_ms, run.arrived_ms):
            late_ms = run.arrived_ms - due_ms
            yield f"{call.id} reached {run.endpoint} {late_ms} ms after it said so"


@check
def evacuations_kept(records: Records) -> Iterator[str]:
    """Check that calm instances send nothing to an evacuated data centre."""
    for call, run in _arrivals(records):
        targets = (call.instance, "store", run.endpoint)
        for each in records.evacuations:
            late_ms = run.arrived_ms - each.from_ms - EVACUATION_MS
            if (
                each.what == zone_of(run.endpoint)
                and late_ms > 0
                and (each.until_ms is None or run.arrived_ms < each.until_ms)
                and records.is_undisturbed(
                    targets, run.arrived_ms - STABLE_MS, run.arrived_ms
                )
            ):
                yield (
                    f"{call.id} reached {run.endpoint} {late_ms} ms after its data"
                    " centre had to be evacuated"
                )


@check
def regions_kept(records: Records) -> Iterator[str]:
    """Check that requests reach no endpoint outside their allowed region, ever."""
    for call, run in _arrivals(records):
        if call.kind == "local" and zone_of(run.endpoint) != LOCAL_ZONE:
            yield f"{call.id} reached {run.endpoint} outside its region"


@check
def pauses_kept(records: Records) -> Iterator[str]:
    """Check that an endpoint gets no more than a few requests in a pause."""
    arrivals = _arrivals_by_pair(records)
    for each in records.statements:
        if each.kind is not StatementKind.PAUSE:
            continue
        from_ms, until_ms = each.at_ms + NOTICE_MS, each.at_ms + each.value * 1000
        pair = (each.endpoint, each.instance)
        times = [ms for ms in arrivals[pair] if from_ms < ms < until_ms]
        if len(times) > MAX_IN_PAUSE and not _has_restarted(
            records, each.instance, each.at_ms, times[-1]
        ):
            yield f"{each.endpoint} got {len(times)} requests in a pause"


@check
def rate_limits_kept(records: Records) -> Iterator[str]:
    """Check that instances together keep to the limits that endpoints name."""
    limits: dict[tuple[str, int], list[Statement]] = defaultdict(list)
    for each in records.statements:
        if each.kind is StatementKind.LIMIT:
            # One that was named, ended and named again is two limits.
            ended_count = sum(
                time.what == each.endpoint
                and time.until_ms is not None
                and time.until_ms < each.at_ms
                for time in records.limited
            )
            limits[each.endpoint, ended_count].append(each)
    told_ms = _first_told_ms(records, StatementKind.LIMIT)
    arrivals = _arrivals_by_pair(records)
    for (endpoint, _), statements in limits.items():
        first_ms, last_ms = statements[0].at_ms, statements[-1].at_ms
        per_s = max(each.value for each in statements)
        times = sorted(
            ms
            for (name, instance), all_ms in arrivals.items()
            for ms in all_ms
            if name == endpoint
            and ms >= told_ms.get((name, instance), ms + 1) + NOTICE_MS
            and not _has_restarted(records, instance, first_ms - STABLE_MS, ms)
        )
        allowed = 1.5 * per_s * LIMIT_WINDOW_MS / 1000 + 5
        for end_ms in times:
            if not first_ms + STABLE_MS <= end_ms <= last_ms:
                continue
            count = sum(end_ms - LIMIT_WINDOW_MS < ms <= end_ms for ms in times)
            if count > allowed:
                yield f"{endpoint} got {count} requests in 4 s, limit {per_s} a second"
                break


@check
def cold_endpoints_get_few_requests(records: Records) -> Iterator[str]:
    """Check that instances together keep to what cold endpoints tolerate.

    One that starts cold is known from the row that says so, also to instances that are
    disturbed. One that turns cold is known as late as one that drains.
    """
    allowed = COLD_PER_S * BOUNDS["cold_overage"] + BOUNDS["cold_slack"]
    for time in records.cold:
        is_start = time.kind == "start"
        from_ms = time.from_ms + (0 if is_start else DRAIN_MS)
        times = []
        for call, run in _arrivals(records):
            if run.endpoint != time.what or not from_ms <= run.arrived_ms:
                continue
            targets = (time.what,) + (() if is_start else ("store", call.instance))
            if run.arrived_ms < (time.until_ms or 0) and records.is_undisturbed(
                targets, run.arrived_ms - STABLE_MS, run.arrived_ms
            ):
                times.append(run.arrived_ms)
        count = _max_in_window(times, COLD_WINDOW_MS)
        if count > allowed:
            yield f"{time.what} got {count} requests in 1 s, {allowed:.0f} allowed"


def _arrivals(records: Records) -> Iterator[tuple[Call, Run]]:
    for call in records.calls.values():
        for run in call.runs:
            # 421 says that the request was for another endpoint.
            if run.status != MISDIRECTED:
                yield call, run


def _arrivals_by_pair(records: Records) -> dict[tuple[str, str], list[int]]:
    """Return the arrival times by endpoint and instance."""
    found: dict[tuple[str, str], list[int]] = defaultdict(list)
    for call, run in _arrivals(records):
        found[run.endpoint, call.instance].append(run.arrived_ms)
    return found


def _first_told_ms(records: Records, kind: StatementKind) -> dict[tuple[str, str], int]:
    """Return when each endpoint first said so to each instance."""
    first: dict[tuple[str, str], int] = {}
    for each in records.statements:
        if each.kind is kind:
            first.setdefault((each.endpoint, each.instance), each.at_ms)
    return first


def _has_restarted(
    records: Records, instance: str, from_ms: int, until_ms: int
) -> bool:
    """Return whether an instance was restarted or stood still in a time span."""
    others = [d for d in records.disturbances if d.kind in RESTARTS]
    return not Records(disturbances=others).is_undisturbed(
        (instance,), from_ms, until_ms
    )


@check
def no_unexpected_exits(records: Records) -> Iterator[str]:
    """Check that instances run until they are stopped."""
    for name, code in records.exits:
        yield f"{name} exited unexpectedly with code {code}"


@check
def limits_of_instances_kept(records: Records) -> Iterator[str]:
    """An instance stays within its memory and descriptors, whatever callers send."""
    if records.memory_mb > LIMITS["memory_mb"]:
        yield f"{records.memory_mb:.0f} MB taken, {LIMITS['memory_mb']} allowed"
    if records.descriptors > LIMITS["file_descriptors"]:
        allowed = LIMITS["file_descriptors"]
        yield f"{records.descriptors} descriptors open, {allowed} allowed"


@check
def service_recovers(records: Records) -> Iterator[str]:
    """Check that every instance serves again after the last disturbance."""
    for name, at_ms in records.served_again_ms.items():
        if at_ms < 0:
            yield f"{name} served nothing {RECOVERY_TIMEOUT_MS} ms after the last fault"


@check
def crashing_requests_bounded(records: Records) -> Iterator[str]:
    """Check that few requests that crash endpoints reach them once that is clear."""
    for cause, bound_ms in _crash_bounds(records):
        count = 0
        for call, run in _arrivals(records):
            targets = (call.instance, "store")
            count += (
                call.cause == cause
                and call.sent_ms > bound_ms
                and records.is_undisturbed(
                    targets, call.sent_ms - STABLE_MS, run.arrived_ms
                )
            )
        if count > MAX_CRASHING:
            yield f"{count} requests with {cause} reached endpoints after {bound_ms}"


@check
def sound_requests_begin_beside_crashing_ones(records: Records) -> Iterator[str]:
    """Check that sound requests begin at half the usual share at least meanwhile."""
    for cause, bound_ms in _crash_bounds(records):
        times = [c.sent_ms for c in records.calls.values() if c.cause == cause]
        meanwhile, usually = [], []
        for call in records.calls.values():
            if call.cause or call.has_left or call.customer == "limited":
                continue
            targets = (call.instance, "store", *(run.endpoint for run in call.runs))
            if call.kind not in ("app", "stream") or not records.is_undisturbed(
                targets, call.sent_ms - STABLE_MS, call.ended_ms or call.sent_ms
            ):
                continue
            has_begun = call.status == 200 and len(call.runs) == 1
            if bound_ms + STABLE_MS < call.sent_ms < max(times):
                meanwhile.append(has_begun)
            elif call.sent_ms < min(times):
                usually.append(has_begun)
        if min(len(meanwhile), len(usually)) < MIN_SOUND_CALLS:
            continue
        share, usual = (sum(each) / len(each) for each in (meanwhile, usually))
        if share < usual / 2:
            yield (
                f"{share:.2f} of sound requests begin beside {cause},"
                f" {usual:.2f} before"
            )


@check
def brittle_endpoints_seldom_fall(records: Records) -> Iterator[str]:
    """Check that few brittle endpoints are asked for more than they bear."""
    everyone = tuple({call.instance for call in records.calls.values()})
    for time in records.brittle:
        until_ms = time.until_ms if time.until_ms is not None else math.inf
        falls = [
            fall
            for fall in records.falls
            if fall.cause == time.what
            and time.from_ms <= fall.at_ms <= until_ms
            and records.is_undisturbed(
                (*everyone, "store"), fall.at_ms - STABLE_MS, fall.at_ms
            )
        ]
        if len(falls) > MAX_FALLS + MAX_FALLS_SHARE * ENDPOINTS[time.what]:
            yield f"{len(falls)} brittle endpoints of {time.what} fell over"


def _crash_bounds(records: Records) -> Iterator[tuple[str, int]]:
    """Return each cause of crashes and the time from which its bound holds."""
    for cause in sorted({crash.cause for crash in records.crashes}):
        needed = next(n for name, n in CRASHES.items() if cause.startswith(name))
        times = sorted(c.at_ms for c in records.crashes if c.cause == cause)
        if len(times) >= needed:
            yield cause, times[needed - 1] + STABLE_MS
