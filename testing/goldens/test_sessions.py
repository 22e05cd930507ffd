import unittest

import msgspec

from . import sessions  # noqa: F401  (registers the sessions)
from .recorder import plans

REMEDY = (
    "the session differs from its recording; if this is intended, run "
    "'make goldens' and review the diff"
)


class GoldenSessionsTest(unittest.TestCase):
    def test_sessions_replay_as_recorded(self):
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

    def test_recordings_hold_no_double_execution_or_fault(self):
        for name in plans:
            with self.subTest(name):
                text = plans.get(name).path().read_text(encoding="utf-8")
                lines = [msgspec.json.decode(line) for line in text.splitlines()]
                summary = lines[-1]
                self.assertEqual(summary["event"], "session_summary")
                self.assertLessEqual(summary["most_executions_of_a_key"], 1)
                for line in lines:
                    self.assertNotIn(line["event"], ("request_fault", "journal_fault"))

    def test_versions_reach_their_end_state_and_every_caller_is_answered(self):
        for name, state in (("good-version", "done"), ("bad-version", "taken_back")):
            with self.subTest(name):
                text = plans.get(name).path().read_text(encoding="utf-8")
                lines = [msgspec.json.decode(line) for line in text.splitlines()]
                rollout_rows = [
                    x["row"] for x in lines if x["event"] == "rollout_stands"
                ]
                row = next(row for row in rollout_rows if row["version"] == "3.3")
                self.assertEqual(row["state"], state)
                self.assertLess(row["since_wall_ms"], row["deadline_wall_ms"])
                answers = [x for x in lines if x["event"] == "caller_gets"]
                self.assertEqual({x["status"] for x in answers}, {200})
