"""Limits and times of the journal."""

from __future__ import annotations

import msgspec


class JournalSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and times of the journal of one instance.

    Attributes
    ----------
    max_inline_bytes : int
        Bodies and answers over this size go to the object store.
    merge_first_writes : bool
        Record new work and name its endpoint in one write where an endpoint is
        free. Saves one write of three; if the holder crashes before it sends,
        the record is a dispatch that may have been sent.
    max_in_progress : int
        Submissions in progress at this instance; more are refused.
    endpoint_timeout_ms : int
        How long an accepted submission may look for an endpoint.
    max_attempts : int
        Endpoints tried for one submission.
    max_dispatch_age_ms : int
        After this long since the dispatch write began, the call is not sent
        without a fresh dispatch write.
    settle_timeout_ms : int
        After this long with a write unsettled the caller is told ``unknown``;
        the work goes on.
    lookup_timeout_ms : int
        How long an endpoint is asked what became of a call; a call that it
        says is running has its own timeout besides.
    repeat_wait_ms : int
        How long a repeated submission waits for the outcome of the first.
    retry_min_ms, retry_max_ms : int
        Bounds of the backoff between tries of one step.
    poll_min_ms, poll_max_ms : int
        Bounds of the backoff between reads of a record held elsewhere.
    max_group_writes : int
        Writes in one transaction at most.
    max_group_bytes : int
        Size of the values in one transaction at most; a larger write goes
        alone.
    group_wait_ms : int
        How long a write may wait for others to join its transaction.
    max_groups_in_flight : int
        Transactions in progress at most.
    max_queued_writes : int
        Writes waiting for a transaction at most; more are refused.
    max_queued_new_writes : int
        Writes waiting at most for new work to be recorded; less than
        ``max_queued_writes``, so that work in progress goes first.
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
