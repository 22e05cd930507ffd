"""Run every test: ``python -m testing [MODULE ...]``.

Test modules run side by side, each in one of a few worker processes; the
verdict does not depend on how they are spread. Tests that are listed in
``KNOWN-RED.txt`` by a line ``test: ID`` may fail and are printed.
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
WORKERS = max(1, min(6, (os.cpu_count() or 1) // 2))
SLOWEST_SHOWN = 5
SLOW_FIRST = ("testing.promises", "testing.control", "testing.peers", "testing.config")
"""Modules that take long start first, so that none is left alone at the end."""


@dataclass
class ModuleResult:
    """What came of one test module."""

    module: str
    run: int = 0
    skipped: int = 0
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
    return sorted(names, key=lambda name: (not name.startswith(SLOW_FIRST), name))


def read_known_red() -> set[str]:
    """Return the ids of the tests that may fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line[len("test:") :].strip() for line in lines if line.startswith("test:")}


def report(results: list[ModuleResult]) -> int:
    """Print what came of all modules; return the exit code."""
    known_red_ids = read_known_red()
    failures = {
        test: trace for result in results for test, trace in result.failures.items()
    }
    for test, trace in sorted(failures.items()):
        title = "KNOWN RED" if test in known_red_ids else "FAIL"
        print(f"{'=' * 70}\n{title}: {test}\n{trace}")
    slowest = sorted(results, key=lambda result: -result.elapsed_s)[:SLOWEST_SHOWN]
    for result in slowest:
        print(f"{result.elapsed_s:6.1f} s  {result.module}")
    run = sum(result.run for result in results)
    skipped = sum(result.skipped for result in results)
    new_failures = [test for test in failures if test not in known_red_ids]
    print(f"known red: {len(failures) - len(new_failures)}")
    passed = run - skipped - len(failures)
    print(f"{passed} passed, {len(new_failures)} failed, {skipped} skipped")
    return 1 if new_failures or run == skipped else 0


def main(arguments: list[str]) -> int:
    """Run the named modules, or all."""
    modules = arguments or find_modules()
    with ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run_module, modules))
    return report(results)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
