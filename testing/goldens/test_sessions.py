import unittest

import msgspec

from . import sessions  # noqa: F401  (registers the sessions)
from .recorder import plans

REMEDY = (
    "the session went another way than recorded; if that is meant, run "
    "'make goldens' and review the difference"
)


class GoldenSessionsTest(unittest.TestCase):
    def test_sessions_go_as_recorded(self):
        for name in plans:
            with self.subTest(name):
                plan = plans.get(name)
                recorded = plan.path().read_text(encoding="utf-8").splitlines()
                played = plan.play()
                for number, (old, new) in enumerate(
                    zip(recorded, played, strict=False), start=1
                ):
                    self.assertEqual(old, new, f"{name} line {number}: {REMEDY}")
                self.assertEqual(len(recorded), len(played), f"{name}: {REMEDY}")

    def test_no_recording_holds_a_broken_promise(self):
        for name in plans:
            with self.subTest(name):
                text = plans.get(name).path().read_text(encoding="utf-8")
                lines = [msgspec.json.decode(line) for line in text.splitlines()]
                summary = lines[-1]
                self.assertEqual(summary["event"], "session_summary")
                self.assertLessEqual(summary["most_executions_of_a_key"], 1)
                for line in lines:
                    self.assertNotIn(line["event"], ("request_fault", "journal_fault"))
