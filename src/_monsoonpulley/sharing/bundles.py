"""Bundles of one data centre's digests for instances in others.

In a large deployment, digests from each instance to each other would be hundreds of
datagrams a second for every instance. So an instance sends its digest to those of its
own data centre only, and each of these passes the latest digests of all of them on to
a share of the instances elsewhere.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ..control.verdict import Result
from ..ids import InstanceId
from ..peers.rendezvous import weight
from .digest import Bundle, Digest

MAX_BUNDLE_DIGESTS = 8
"""Digests in one datagram: about 7 KB. A larger one is more easily lost when a link
is full."""

MAX_AGE_MS = 1_500
"""Digests older than this are not passed on: their sender has stopped."""


class _Latest(msgspec.Struct):
    """A digest without its results, and these with the rounds of their arrival."""

    digest: Digest
    received_ms: int
    results: list[tuple[int, Result]] = []


class DigestBundles:
    """The latest digests of this instance's data centre.

    Parameters
    ----------
    interval_rounds : int
        Rounds in which each receiver gets the bundles once.
    """

    def __init__(self, interval_rounds: int):
        self._interval_rounds = interval_rounds
        self._latest: dict[str, _Latest] = {}

    def record(self, digest: Digest, next_round: int, now_ms: int) -> None:
        """Record a digest of an instance of this data centre, also of this one.

        Results of new versions are in one digest each; they are passed on for as many
        rounds as it takes to send bundles to all receivers.

        Parameters
        ----------
        digest : Digest
            The digest.
        next_round : int
            Number of the next round that takes bundles.
        now_ms : int
            Monotonic time.
        """
        previous = self._latest.get(digest.instance)
        results = previous.results if previous is not None else []
        results = [*results, *((next_round, result) for result in digest.results)]
        digest = msgspec.structs.replace(digest, results=())
        self._latest[digest.instance] = _Latest(digest, now_ms, results)

    def take(self, current_round: int, now_ms: int) -> list[Bundle]:
        """Return the bundles to send in a round."""
        first_round = current_round - self._interval_rounds + 1
        digests = []
        for name, latest in list(self._latest.items()):
            if now_ms - latest.received_ms > MAX_AGE_MS:
                del self._latest[name]
                continue
            latest.results = [r for r in latest.results if r[0] >= first_round]
            results = tuple(result for _, result in latest.results)
            digests.append(msgspec.structs.replace(latest.digest, results=results))
        return [
            Bundle(tuple(digests[start : start + MAX_BUNDLE_DIGESTS]))
            for start in range(0, len(digests), MAX_BUNDLE_DIGESTS)
        ]


class BundleReceivers:
    """Instances elsewhere to which one of a data centre's instances sends bundles.

    Each receiver is assigned to one sender by rendezvous hashing, so that the loss of
    a sender moves only its own receivers.
    """

    def __init__(self, own: InstanceId):
        self._own = own
        self._key: tuple[Sequence[InstanceId], Sequence[InstanceId]] = ((), ())
        self._assigned: list[InstanceId] = []

    def assigned(
        self, senders: Sequence[InstanceId], receivers: Sequence[InstanceId]
    ) -> list[InstanceId]:
        """Return the receivers that this instance sends to, in a fixed order.

        Parameters
        ----------
        senders : sequence of InstanceId
            Instances of the data centre that send bundles, this one included.
        receivers : sequence of InstanceId
            All instances elsewhere.
        """
        key = (tuple(sorted(senders)), tuple(sorted(receivers)))
        if key != self._key:
            self._key = key
            self._assigned = [
                receiver
                for receiver in key[1]
                if max(senders, key=lambda sender: weight(sender, receiver))
                == self._own
            ]
        return self._assigned
