"""Run every test: ``python -m testing [MODULE ...]``.

Test modules run in parallel in a few worker processes; the result does not
depend on how they are distributed. Those of crowds run after them, one at a time.
Tests listed in ``KNOWN-RED.txt`` by a line
that begins with ``test: ID`` may fail and are printed.
"""

from __future__ import annotations

import io
import os
import sys
import time
import unittest
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKER_COUNT = max(1, min(6, (os.cpu_count() or 1) // 2))
SLOWEST_MODULE_COUNT = 5
SERIAL_MODULE_PREFIX = "testing.crowds"
"""Modules whose tests load the machine, and are run one at a time after all others."""

SLOW_MODULE_PREFIXES = (
    "testing.promises",
    "testing.control",
    "testing.peers",
    "testing.config",
)
"""Slow modules start first, so that none runs alone at the end."""


@dataclass
class ModuleResult:
    """Result of one test module."""

    module: str
    run_count: int = 0
    skipped_count: int = 0
    elapsed_s: float = 0.0
    failures: dict[str, str] = field(default_factory=dict)


def run_module(module: str) -> ModuleResult:
    """Run one module's tests in this process."""
    started_s = time.perf_counter()
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    result = unittest.TextTestRunner(stream=io.StringIO(), verbosity=0).run(suite)
    outcome = ModuleResult(module, result.testsRun, len(result.skipped))
    for test, trace in result.failures + result.errors:
        outcome.failures[_test_id(test)] = trace
    for test in result.unexpectedSuccesses:
        outcome.failures[_test_id(test)] = "unexpected success"
    outcome.elapsed_s = time.perf_counter() - started_s
    return outcome


def _test_id(test: unittest.TestCase) -> str:
    """Return a test's id, without the parameters of a subtest."""
    return getattr(test, "test_case", test).id()


def find_modules() -> list[str]:
    """Return the names of all test modules, the slow ones first."""
    paths = sorted((ROOT / "testing").rglob("test_*.py"))
    names = [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]
    return sorted(
        names, key=lambda name: (not name.startswith(SLOW_MODULE_PREFIXES), name)
    )


def read_known_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[1] for line in lines if line.startswith("test:")}


def report(results: list[ModuleResult]) -> int:
    """Print the results of all modules; return the exit code."""
    known_red_ids = read_known_red()
    failures = {
        test: trace for result in results for test, trace in result.failures.items()
    }
    for test, trace in sorted(failures.items()):
        title = "KNOWN RED" if test in known_red_ids else "FAIL"
        print(f"{'=' * 70}\n{title}: {test}\n{trace}")
    slowest = sorted(results, key=lambda result: -result.elapsed_s)[
        :SLOWEST_MODULE_COUNT
    ]
    for result in slowest:
        print(f"{result.elapsed_s:6.1f} s  {result.module}")
    run_count = sum(result.run_count for result in results)
    skipped_count = sum(result.skipped_count for result in results)
    new_failures = [test for test in failures if test not in known_red_ids]
    print(f"known red: {len(failures) - len(new_failures)}")
    passed_count = run_count - skipped_count - len(failures)
    print(f"{passed_count} passed, {len(new_failures)} failed, {skipped_count} skipped")
    return 1 if new_failures or run_count == skipped_count else 0


def main(arguments: list[str]) -> int:
    """Run the named modules, or all."""
    modules = arguments or find_modules()
    serial = [name for name in modules if name.startswith(SERIAL_MODULE_PREFIX)]
    parallel = [name for name in modules if name not in serial]
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        results = list(pool.map(run_module, parallel))
    with ProcessPoolExecutor(1) as pool:
        results += pool.map(run_module, serial)
    return report(results)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
