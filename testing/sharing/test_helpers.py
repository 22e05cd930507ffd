"""Which instance serves a request for one without links."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.ids import InstanceId, ServiceId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.sharing.digest import Digest
from _monsoonpulley.sharing.helpers import choose_helper, find_helpers
from _monsoonpulley.sharing.members import MAX_SILENCE_MS, Members

SERVICE = ServiceId("svc")
OWN_LOST_COUNT = 4
VERSION = 7


class HelpersTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.members = Members(
            InstanceId("own"), self.clock, Log(self.clock, lambda line: None)
        )

    def hear(self, name: str, **changes: object) -> None:
        fields = {"configuration": VERSION, **changes}
        self.members.record_digest(Digest(name, 1, 1, "10.0.0.1", 7_600, **fields))

    def found(self, **changes: object) -> list[str]:
        helpers = find_helpers(
            self.members, SERVICE, OWN_LOST_COUNT, VERSION, **changes
        )
        return [member.instance for member in helpers]


class TestFinding(HelpersTest):
    def test_instances_with_as_many_lost_links_do_not_help(self):
        self.hear("all links")
        self.hear("half as many lost", lost_links={SERVICE: OWN_LOST_COUNT // 2})
        self.hear("nearly as many lost", lost_links={SERVICE: OWN_LOST_COUNT - 1})
        self.hear("lost those of another service", lost_links={"other": 9})
        self.assertEqual(
            self.found(),
            ["all links", "half as many lost", "lost those of another service"],
        )

    def test_instances_that_leave_or_have_an_older_configuration_do_not_help(self):
        self.hear("leaves", is_leaving=True)
        self.hear("older", configuration=VERSION - 1)
        self.hear("newer", configuration=VERSION + 1)
        self.assertEqual(self.found(), ["newer"])

    def test_silent_and_tried_instances_do_not_help(self):
        self.hear("silent")
        self.clock.advance_ms(MAX_SILENCE_MS)
        self.hear("tried")
        self.hear("heard")
        self.assertEqual(self.found(tried_ids={"tried"}), ["heard"])


class TestChoice(HelpersTest):
    def test_the_only_instance_that_can_help_is_chosen(self):
        self.hear("a")
        (helper,) = find_helpers(self.members, SERVICE, OWN_LOST_COUNT, VERSION)
        self.assertEqual(choose_helper([helper], random.Random(1)), helper)

    def test_help_is_spread_and_the_busiest_instance_is_left_alone(self):
        for name in ("a", "b", "c"):
            self.hear(name)
        self.hear("busy", loads={"e-1": (50, 0, 0)})
        helpers = find_helpers(self.members, SERVICE, OWN_LOST_COUNT, VERSION)
        rng = random.Random(1)
        chosen = Counter(choose_helper(helpers, rng).instance for _ in range(300))
        self.assertEqual(set(chosen), {"a", "b", "c"})
        self.assertGreater(min(chosen.values()), 60)


if __name__ == "__main__":
    unittest.main()
