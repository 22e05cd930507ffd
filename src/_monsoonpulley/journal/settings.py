"""Settings of the journal."""

from __future__ import annotations

import msgspec


class JournalSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and times of the journal of one instance.

    Attributes
    ----------
    max_inline_bytes : int
        Bodies of calls and answers over this size go to the object store.
    merge_first_writes : bool
        Record new work and its endpoint in one write if an endpoint is free.
        Saves one write of three; if the holder crashes before it sends, the
        record is a dispatch that may have been sent.
    max_in_progress : int
        Most submissions in progress at this instance; more are refused.
    endpoint_timeout_ms : int
        How long an endpoint is sought for an accepted submission.
    max_attempts : int
        Most endpoints tried for one submission.
    max_dispatch_age_ms : int
        Time since the start of the dispatch write after which the call is not
        sent without a new dispatch write.
    settle_timeout_ms : int
        Time after which callers of an unsettled write get ``unknown``; the work
        continues.
    lookup_timeout_ms : int
        How long an endpoint is asked for the state of a call. The call's own
        timeout is added if the endpoint reports that it is running.
    repeat_wait_ms : int
        How long a repeated submission waits for the outcome of the first.
    retry_min_ms, retry_max_ms : int
        Bounds of the backoff between tries of one step.
    poll_min_ms, poll_max_ms : int
        Bounds of the backoff between reads of a record that another instance
        holds.
    max_group_writes : int
        Most writes in one transaction.
    max_group_bytes : int
        Most bytes of values in one transaction; a larger write gets a
        transaction of its own.
    group_wait_ms : int
        How long a write waits for others to join its transaction.
    max_groups_in_flight : int
        Most transactions in progress.
    max_queued_writes : int
        Most writes waiting for a transaction; more are refused.
    max_queued_new_writes : int
        Queued writes above which new work is refused; less than
        ``max_queued_writes``, so that work in progress has priority.
    """

    max_inline_bytes: int = 16_384
    merge_first_writes: bool = True
    max_in_progress: int = 2_000
    endpoint_timeout_ms: int = 5_000
    max_attempts: int = 4
    max_dispatch_age_ms: int = 5_000
    settle_timeout_ms: int = 3_000
    lookup_timeout_ms: int = 30_000
    repeat_wait_ms: int = 20_000
    retry_min_ms: int = 20
    retry_max_ms: int = 2_000
    poll_min_ms: int = 100
    poll_max_ms: int = 2_000
    max_group_writes: int = 32
    max_group_bytes: int = 262_144
    group_wait_ms: int = 5
    max_groups_in_flight: int = 2
    max_queued_writes: int = 1_000
    max_queued_new_writes: int = 500
