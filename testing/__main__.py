"""Run every test: ``python -m testing [unittest options]``."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path


def main() -> None:
    """Discover and run the tests below this folder."""
    here = Path(__file__).parent
    suite = unittest.defaultTestLoader.discover(
        str(here), top_level_dir=str(here.parent)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    sys.exit(1 if failed or not passed else 0)


if __name__ == "__main__":
    main()
