"""Least fault of a new version that a roll-out finds.

Run with ``python -m benchmarks.rolloutfaults``.

For each usual share of failures and number of results, prints the least fault that is
found with a probability of 0.98, and how many of 100 sound versions are rolled back.
A fault is a share of the requests that would else succeed. The old version has as many
results as it has beside a canary with a fifth of the requests.
"""

from __future__ import annotations

from _monsoonpulley.control.versionresults import (
    FOUND_PROBABILITY,
    Comparison,
    Trait,
    share_reaching,
)

USUAL_SHARES = (0.002, 0.02, 0.14, 0.3, 0.45)
RESULT_COUNTS = (30, 60, 125, 250, 500)
OLD_RESULTS_PER_RESULT = 4


def compare(count: int, usual_share: float) -> Comparison:
    """Return a comparison of this many results, before any of them is known."""
    old_count = OLD_RESULTS_PER_RESULT * count
    spread = usual_share * (1.0 - usual_share) / old_count
    return Comparison(count, 0, usual_share * count, spread * count**2)


def least_fault(comparison: Comparison, limit: int) -> float:
    """Return the least fault of which enough results reach the limit."""
    return next(
        percent / 100
        for percent in range(1, 101)
        if share_reaching(comparison, limit, percent / 100) >= FOUND_PROBABILITY
        or percent == 100
    )


def main() -> None:
    """Print the table."""
    print("usual failures" + "".join(f"{count:>16d}" for count in RESULT_COUNTS))
    for usual_share in USUAL_SHARES:
        cells = []
        for count in RESULT_COUNTS:
            comparison = compare(count, usual_share)
            limit = comparison.bad_limit(Trait.FAILED)
            false_share = share_reaching(comparison, limit, 0.0)
            cells.append(
                f"{least_fault(comparison, limit):>9.2f} ({100 * false_share:4.1f})"
            )
        print(f"{usual_share:<14g}" + "".join(cells))


if __name__ == "__main__":
    main()
