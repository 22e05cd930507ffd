"""The start of the ingress process."""

from __future__ import annotations

import subprocess
import sys
import unittest
from pathlib import Path

SOURCE = Path(__file__).parents[2] / "src"
SIGHUP_BIT = 1
LIBRARY = "msgspec"


def handles_sighup(pid: int) -> bool:
    """Return whether a process ignores or catches SIGHUP."""
    masks = {
        line.split(":")[0]: int(line.split()[1], 16)
        for line in Path(f"/proc/{pid}/status").read_text().splitlines()
        if line.startswith(("SigIgn", "SigCgt"))
    }
    return any(mask & SIGHUP_BIT for mask in masks.values())


class TestStart(unittest.TestCase):
    def test_a_reload_signal_while_libraries_load_does_not_end_the_process(self):
        missing = {"MONSOONPULLEY_CONFIG": "/nonexistent"}
        process = subprocess.Popen(
            [sys.executable, str(SOURCE)], stdout=subprocess.DEVNULL, env=missing
        )
        checks_while_loading = 0
        while process.poll() is None:
            try:
                maps = Path(f"/proc/{process.pid}/maps").read_text()
                if LIBRARY in maps:
                    checks_while_loading += 1
                    self.assertTrue(handles_sighup(process.pid))
            except (ProcessLookupError, FileNotFoundError, IndexError):
                break
        self.assertEqual(process.wait(), 2)
        self.assertGreater(checks_while_loading, 0)
