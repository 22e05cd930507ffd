"""Run every test: ``python -m testing [unittest options]``.

Tests named in ``KNOWN-RED.txt`` may fail; they are run and printed.
"""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red(path: Path = KNOWN_RED) -> set[str]:
    """Return the ids of tests that may fail: what follows ``test:``."""
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def test_id(case: unittest.TestCase) -> str:
    """Return a test's id, without the parameters of a subtest."""
    return getattr(case, "test_case", case).id()


def main() -> None:
    """Discover and run the tests below this folder."""
    here = Path(__file__).parent
    suite = unittest.defaultTestLoader.discover(
        str(here), top_level_dir=str(here.parent)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = [test_id(case) for case, _ in result.failures + result.errors]
    bad += [test_id(case) for case in result.unexpectedSuccesses]
    red = known_red()
    failed = len([name for name in bad if name not in red])
    skipped = len(result.skipped)
    passed = result.testsRun - len(set(bad)) - skipped
    for name in sorted(red):
        print(f"known red, {'failed' if name in bad else 'passed'}: {name}")
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    sys.exit(1 if failed or not passed else 0)


if __name__ == "__main__":
    main()
