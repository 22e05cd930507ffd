"""Simulation of engines that take requests back after an evacuation."""

from __future__ import annotations

import random

from .fleetplay import LONG_SHARED, QUICK, SHORT, Fleet

RETURN_MS = 4_000
COUNTED_MS = 3_000
"""Time after the return whose requests are counted."""

KINDS = (LONG_SHARED, QUICK, SHORT)


class ReturningFleet(Fleet):
    """A fleet some of whose engines get no requests until `RETURN_MS`.

    Parameters
    ----------
    returning : int
        Number of those engines.
    first_share : float
        Share of the requests that may use them at first.
    rise_ms : int
        Time over which the share rises to 1.
    """

    def __init__(
        self,
        instances: int,
        engines: int,
        seed: int,
        *,
        returning: int,
        first_share: float,
        rise_ms: int,
    ):
        super().__init__(instances, engines, KINDS, seed)
        self._returning = set(list(self.engines)[:returning])
        self._first_share = first_share
        self._rise_ms = rise_ms
        self._draws = random.Random(seed)

    def _place_request(self, kind, now_ms, is_counted):
        engines, share = self.engines, 0.0
        if now_ms >= RETURN_MS:
            risen = (1 - self._first_share) * (now_ms - RETURN_MS) / self._rise_ms
            share = self._first_share + risen
        if self._draws.random() >= share:
            self.engines = {
                name: engine
                for name, engine in engines.items()
                if name not in self._returning
            }
        super()._place_request(kind, now_ms, is_counted)
        self.engines = engines


def main() -> None:
    """Print the time to the first event after the return, by the first share."""
    for instances, engines, returning in ((9, 15, 5), (65, 15, 5), (65, 24, 6)):
        for first_share in (1.0, 0.5, 0.1):
            first_ms: list[float] = []
            for seed in (1, 2, 3):
                fleet = ReturningFleet(
                    instances,
                    engines,
                    seed,
                    returning=returning,
                    first_share=first_share,
                    rise_ms=5_000,
                )
                fleet.run(RETURN_MS + COUNTED_MS, RETURN_MS)
                for result in fleet.results.values():
                    first_ms += result.first_ms
            first_ms.sort()
            quantiles = [round(first_ms[int(q * len(first_ms))]) for q in (0.5, 0.95)]
            print(
                f"{instances} instances, {returning} of {engines} engines return,"
                f" {first_share} of the requests at first: p50 {quantiles[0]} ms,"
                f" p95 {quantiles[1]} ms",
                flush=True,
            )


if __name__ == "__main__":
    main()
