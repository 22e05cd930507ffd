"""Whether a broken connection counts as a crash of the endpoint."""

from __future__ import annotations

import unittest

import msgspec

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.fleet.model import Endpoint
from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId, VersionId, ZoneId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.quarantine.crashwatch import CrashWatch
from _monsoonpulley.quarantine.evidence import Suspect
from _monsoonpulley.standins.manualloop import run_manual, running_clock

ENDPOINT = Endpoint(
    EndpointId("i-1"),
    None,
    ServiceId("svc"),
    "127.0.0.1",
    1,
    ZoneId("z"),
    VersionId("v1"),
    4,
)
OTHER_ENDPOINT = msgspec.structs.replace(ENDPOINT, id=EndpointId("i-2"))
SUSPECT = Suspect("request-1", (), 5)


class TestCrashWatch(unittest.TestCase):
    def reports_after(
        self,
        reason,
        *,
        suspects=(SUSPECT,),
        is_listed=lambda e: True,
        is_cut_off=lambda: False,
        others=(),
    ):
        reports = []

        async def connect(endpoint):
            return None if reason is None else Failure(reason, "connection.open")

        async def main():
            clock = running_clock()
            watch = CrashWatch(
                InstanceId("instance-1"),
                clock,
                Log(clock, lambda line: None),
                connect,
                is_listed,
                is_cut_off,
                reports.append,
            )
            for other in others:
                watch.record_broken(other, None)
            for suspect in suspects:
                watch.record_broken(ENDPOINT, suspect)
            await clock.sleep_ms(1_000)

        run_manual(main())
        return reports

    def test_an_endpoint_that_listens_no_longer_has_crashed(self):
        (report,) = self.reports_after(Reason.NOT_LISTENING)
        self.assertEqual((report.endpoint, report.suspects), ("i-1", (SUSPECT,)))

    def test_all_requests_that_broke_together_are_suspects_of_one_crash(self):
        (report,) = self.reports_after(Reason.NOT_LISTENING, suspects=(SUSPECT,) * 3)
        self.assertEqual(len(report.suspects), 3)

    def test_a_reset_connection_to_an_endpoint_that_listens_is_no_crash(self):
        self.assertEqual(self.reports_after(None), [])

    def test_an_endpoint_behind_a_cut_link_has_not_crashed(self):
        for reason in (Reason.TIMEOUT, Reason.UNAVAILABLE):
            self.assertEqual(self.reports_after(reason), [])

    def test_an_instance_that_lost_its_links_takes_no_endpoint_for_crashed(self):
        reports = self.reports_after(
            Reason.NOT_LISTENING, is_cut_off=lambda: True, others=(OTHER_ENDPOINT,)
        )
        self.assertEqual(reports, [])

    def test_endpoints_that_crash_one_after_the_other_are_reported_all(self):
        (report,) = self.reports_after(Reason.NOT_LISTENING, is_cut_off=lambda: True)
        self.assertEqual(report.endpoint, "i-1")

    def test_endpoints_that_crash_together_are_reported_if_others_are_heard(self):
        (report,) = self.reports_after(Reason.NOT_LISTENING, others=(OTHER_ENDPOINT,))
        self.assertEqual(report.endpoint, "i-1")

    def test_the_end_of_an_endpoint_that_leaves_is_no_crash(self):
        reports = self.reports_after(
            Reason.NOT_LISTENING, is_listed=lambda endpoint: False
        )
        self.assertEqual(reports, [])

    def test_answers_that_had_gone_on_for_a_while_are_no_suspects(self):
        self.assertEqual(self.reports_after(Reason.NOT_LISTENING, suspects=(None,)), [])
