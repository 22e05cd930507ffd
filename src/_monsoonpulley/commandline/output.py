"""Bodies of the operators' interface as text for the command line."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from ..config.difference import Difference
from ..config.ini import format_deadline
from ..external.livelist import MemberState
from ..observability.logsummary import Interval, LogSummary, quantile
from ..operator_wire import (
    ConfigStatusBody,
    ConflictBody,
    EndpointStatus,
    EntryStatus,
    HistoryBody,
    RevisionSummary,
    RolloutsBody,
    StatusBody,
)


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows as aligned columns below a header line."""
    cells_by_line = [tuple(header), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [
        max(len(cells[column]) for cells in cells_by_line)
        for column in range(len(header))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
        ).rstrip()
        for cells in cells_by_line
    )


def difference_text(changes: Difference) -> str:
    """Return a configuration difference, section by section."""
    return "\n".join(str(change) for change in changes) or "no section differs"


def conflict_text(conflict: ConflictBody) -> str:
    """Return the change that conflicts with the operator's, and what to do."""
    current = conflict.current
    advice = "The two changes were not merged."
    if conflict.same_sections:
        advice = f"Both change: {', '.join(conflict.same_sections)}."
    if conflict.problems:
        advice = "Merged, they are not valid:\n" + "\n".join(conflict.problems)
    return "\n".join(
        [
            f"refused: based on revision {conflict.expected_number}, but revision "
            f"{current.number} is in force, by {current.author!r}"
            + (f" ({current.note})" if current.note else ""),
            f"changed by {current.author!r} or before, since revision "
            f"{conflict.expected_number}:",
            difference_text(conflict.theirs),
            f"your change, as {conflict.author!r}:",
            difference_text(conflict.yours),
            f"{advice}\nStart again from 'monsoonpulley config show'.",
        ]
    )


def history_text(history: HistoryBody) -> str:
    """Return the history, newest first."""
    return format_table(
        ("REVISION", "APPLIED", "AUTHOR", "CHANGE TOKEN", "NOTE"),
        [_history_row(one) for one in history.revisions],
    )


def _history_row(one: RevisionSummary) -> tuple[object, ...]:
    applied = format_deadline(one.applied_wall_ms)
    return (one.number, applied, one.author, one.change_token, one.note)


def config_status_text(status: ConfigStatusBody) -> str:
    """Return the instances in which the newest revision is in force."""
    behind_count = sum(
        one.change_token != status.change_token for one in status.entries
    )
    count = len(status.entries)
    verdict = f"in force in all {count} known entry instances"
    if behind_count:
        verdict = f"in force in {count - behind_count} of {count} known entry instances"
    return f"revision {status.number}: {verdict}\n{_entries_text(status.entries)}"


def _entries_text(entries: Iterable[EntryStatus]) -> str:
    return format_table(
        ("INSTANCE", "ZONE", "STATE", "REVISION", "HEARD"),
        [
            (one.instance, one.zone, one.state, one.number, f"{one.heard_ms_ago} ms")
            for one in entries
        ],
    )


def status_text(status: StatusBody) -> str:
    """Return the state of the system, one line for each instance and version."""
    parts = [_status_header(status), _instances_text(status)]
    if status.endpoints:
        parts.append(_versions_text(status))
    if status.rollouts:
        parts.append(_rollouts_text(status))
    vacant = [one.duty for one in status.duties if not one.holder]
    if vacant:
        parts.append(f"duties without a holder: {', '.join(vacant)}")
    return "\n\n".join(parts)


def status_details_text(status: StatusBody) -> str:
    """Return the state of the system with each endpoint and duty."""
    endpoints = [msgspec.structs.astuple(one) for one in status.endpoints]
    duties = [msgspec.structs.astuple(one) for one in status.duties]
    return "\n\n".join(
        [
            _status_header(status),
            _entries_text(status.entries),
            _rollouts_text(status),
            format_table(
                ("ENDPOINT", "ZONE", "SERVICE", "VERSION", "STATE", "IN PROGRESS"),
                endpoints,
            ),
            format_table(("DUTY", "HOLDER", "FENCING NUMBER"), duties),
        ]
    )


def _status_header(status: StatusBody) -> str:
    return (
        f"as {status.instance} in {status.zone} knows it; configuration "
        f"revision {status.number}"
    )


def _instances_text(status: StatusBody) -> str:
    duty_counts = Counter(one.holder for one in status.duties)
    return format_table(
        ("INSTANCE", "ZONE", "STATE", "REVISION", "HEARD", "DUTIES"),
        [
            (
                one.instance,
                one.zone,
                one.state,
                one.number,
                f"{one.heard_ms_ago} ms",
                duty_counts[one.instance],
            )
            for one in status.entries
        ],
    )


def _versions_text(status: StatusBody) -> str:
    by_version: dict[tuple[str, str], list[EndpointStatus]] = {}
    for one in status.endpoints:
        by_version.setdefault((one.service, one.version), []).append(one)
    rows = [
        (
            *version,
            len(endpoints),
            sum(one.state == MemberState.LIVE.value for one in endpoints),
            sum(one.in_progress for one in endpoints),
        )
        for version, endpoints in sorted(by_version.items())
    ]
    header = ("SERVICE", "VERSION", "ENDPOINTS", "LIVE", "IN PROGRESS")
    return format_table(header, rows)


def _rollouts_text(status: StatusBody) -> str:
    rollouts = [
        (
            one.service,
            one.version,
            one.state,
            _deadline_text(one.deadline_wall_ms),
            one.why,
        )
        for one in status.rollouts
    ]
    return format_table(("SERVICE", "VERSION", "STATE", "DEADLINE", "WHY"), rollouts)


def log_summary_text(summary: LogSummary) -> str:
    """Return a line for each interval of a log, and the reasons of refusals."""
    header = (
        *("AT", "ANSWERED", "REFUSED", "FAILED", "REJECTED", "FIRST MS p50", "p90"),
        *("MEASURED/PREDICTED p50", "p90", "HEARD", "ORDERS", "REFUSED ORDERS"),
    )
    first_wall_ms = summary.intervals[0].start_wall_ms if summary.intervals else 0
    rows = [_interval_row(one, first_wall_ms) for one in summary.intervals]
    reasons = [
        (status, reason, count)
        for (status, reason), count in summary.refusals.most_common()
    ]
    parts = [
        format_table(header, rows),
        format_table(("STATUS", "REASON", "REQUESTS"), reasons),
    ]
    if summary.skipped_count:
        parts.append(f"{summary.skipped_count} lines are no log lines")
    return "\n\n".join(parts)


def _interval_row(one: Interval, first_wall_ms: int) -> tuple[object, ...]:
    return (
        f"{(one.start_wall_ms - first_wall_ms) / 1000:.0f} s",
        one.answered_count,
        one.refused_count,
        one.failed_count,
        one.rejected_count,
        *(_number_text(quantile(one.first_ms, share), 0) for share in (0.5, 0.9)),
        *(_number_text(quantile(one.error_ratios, share), 2) for share in (0.5, 0.9)),
        "" if one.least_heard is None else f"{one.least_heard} of {one.member_count}",
        one.order_count,
        one.refused_order_count,
    )


def _number_text(value: float | None, digits: int) -> str:
    return "" if value is None else f"{value:.{digits}f}"


def rollout_status_text(body: RolloutsBody) -> str:
    """Return the state of each ordered version."""
    header = ("SERVICE", "VERSION", "STATE", "SHARE", "DEADLINE", "WHY")
    rows = [
        (
            one.service,
            one.version,
            one.state,
            f"{one.share:.0%}",
            _deadline_text(one.deadline_wall_ms),
            one.why,
        )
        for one in body.rollouts
    ]
    return f"as {body.instance} knows it\n{format_table(header, rows)}"


def rollout_history_text(body: RolloutsBody) -> str:
    """Return the state changes of all ordered versions, oldest first."""
    header = ("AT", "SERVICE", "VERSION", "STATE", "SHARE", "WHY")
    rows = [
        (step.wall_ms, one.service, one.version, step.state, step.share, step.why)
        for one in body.rollouts
        for step in one.steps
    ]
    rows.sort(key=lambda row: row[:3])
    return format_table(
        header,
        [
            (format_deadline(wall_ms), *names, f"{share:.0%}", why)
            for wall_ms, *names, share, why in rows
        ],
    )


def _deadline_text(deadline_wall_ms: int | None) -> str:
    return "-" if deadline_wall_ms is None else format_deadline(deadline_wall_ms)
