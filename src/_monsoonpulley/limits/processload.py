"""What an instance does that is short of processor time.

Load addressed: instances of different sizes get equal traffic from the balancer, so
that a small one falls behind while others are idle. It notices from the delay of its
own event loop. It then rejects some requests at once, less urgent ones first, whose
callers come back at other instances, and reports that it is not ready for a while.

How often and how many at once is bounded without any message: the instances of a data
centre are ordered by name, and each may be not ready in one of `SLOT_COUNT` slots of
time only. With fewer than `MIN_NEIGHBOURS`, or while it hears less than half of them,
an instance stays ready.
"""

from __future__ import annotations

import msgspec

SAMPLE_INTERVAL_MS = 100
"""Interval of measuring the delay: a tenth of the time for which it is averaged."""

SAMPLE_WEIGHT = 0.1
"""Weight of the newest delay in the mean: it lasts about 1 s, as the balancer's checks
do."""

MAX_SAMPLE_MS = 1_000
"""A process that stood still for longer was frozen: one such delay alone changes
nothing."""

MAX_SHED_SHARE = 0.5
"""Share of the less urgent requests that is rejected at most. Those that remain show
whether the delay has gone."""

URGENT_SHED_SHARE = 0.5
"""Share of the most urgent requests that is rejected, relative to the others."""

SLOT_COUNT = 8
"""An instance may be not ready an eighth of the time."""

SLOT_MS = 4_000
"""Length of a slot: the balancer needs 2 s to leave an instance out."""

SLOT_GAP_MS = 500
"""Time at both ends of a slot in which an instance is ready: for wall clocks that
differ, and for the interval at which this is decided."""

MIN_NEIGHBOURS = 4
"""Instances of a data centre of which one is a quarter."""

MAX_UNREADY_SHARE = 0.25
"""Share of a data centre's instances that may be not ready at once."""


class Neighbours(msgspec.Struct, frozen=True):
    """The instances of a data centre as one of them knows them, itself included.

    Attributes
    ----------
    position : int
        Its own position among those that it hears, by name.
    heard_count, known_count : int
        Those that it hears, and all that it knows.
    short_count, unready_count : int
        Others that say that they are short of processor time, and not ready.
    """

    position: int = 0
    heard_count: int = 1
    known_count: int = 1
    short_count: int = 0
    unready_count: int = 0


class ProcessLoad:
    """Delay of this process's event loop, and what follows from it.

    Parameters
    ----------
    pass_ms : float
        Time within which an event of a stream has to be passed on; a longer mean delay
        makes all streams late.

    Attributes
    ----------
    delay_ms : float
        Mean delay of the last second.
    """

    def __init__(self, pass_ms: float):
        self._pass_ms = max(1.0, pass_ms)
        self.delay_ms = 0.0
        self._neighbours = Neighbours()

    def set_neighbours(self, neighbours: Neighbours) -> None:
        """Set what is known of the other instances of the data centre."""
        self._neighbours = neighbours

    def set_pass_ms(self, pass_ms: float) -> None:
        """Set the time within which an event of a stream has to be passed on."""
        self._pass_ms = max(1.0, pass_ms)

    def record_delay(self, delay_ms: float) -> None:
        """Record by how much later than asked for a timer went off."""
        sample_ms = min(MAX_SAMPLE_MS, max(0.0, delay_ms))
        self.delay_ms += SAMPLE_WEIGHT * (sample_ms - self.delay_ms)

    @property
    def is_short(self) -> bool:
        """Whether the process is short of processor time."""
        return self.delay_ms > self._pass_ms

    def shed_share(self, rank: int) -> float:
        """Return the share of the requests of a rank to reject at once.

        None if half of the others are as short: their callers would gain nothing.
        """
        others = self._neighbours
        if 2 * others.short_count >= others.heard_count - 1:
            return 0.0
        excess = self.delay_ms / self._pass_ms - 1.0
        share = min(MAX_SHED_SHARE, max(0.0, excess))
        return share if rank else URGENT_SHED_SHARE * share

    def may_be_unready(self, wall_ms: int) -> bool:
        """Return whether this instance reports now that it is not ready."""
        neighbours = self._neighbours
        count = neighbours.heard_count
        if not self.is_short or count < MIN_NEIGHBOURS:
            return False
        if 2 * count < neighbours.known_count:
            return False
        if neighbours.unready_count + 1 > MAX_UNREADY_SHARE * count:
            return False
        slot, passed_ms = divmod(wall_ms, SLOT_MS)
        if not SLOT_GAP_MS <= passed_ms < SLOT_MS - SLOT_GAP_MS:
            return False
        return slot % SLOT_COUNT == neighbours.position % SLOT_COUNT
