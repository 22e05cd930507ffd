import random
import unittest

import msgspec

from _monsoonpulley.endpoints.service import Execution
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.journal import steps as s
from _monsoonpulley.journal.decision import JournalDecision, RecordInput
from _monsoonpulley.journal.record import RecordedAnswer, StoredRecord
from _monsoonpulley.journal.transitions import Transitions

from . import world as w

ANSWER_LOST = Failure(Reason.TIMEOUT, "table.commit", "table", "", Delivery.MAYBE)
NEW_RECORD = w.submission("key").to_record("i0", 1, "token", 0, 1_024)
ANSWER = RecordedAnswer(200, (), b"a customer's answer")


def encode_line(progress, event, transition, now_ms):
    decision = JournalDecision.from_transition(
        NEW_RECORD.request_id, progress, event, transition, now_ms
    )
    return msgspec.json.decode(msgspec.json.encode(decision))


def rebuild_record(fields):
    """Return a record with only the inputs that a log line holds."""
    inputs = msgspec.convert(fields, RecordInput)
    call = msgspec.structs.replace(
        NEW_RECORD.call,
        method=inputs.method,
        path=inputs.path,
        timeout_ms=inputs.timeout_ms,
        headers=(),
        body=b"",
    )
    named = msgspec.structs.asdict(inputs)
    for name in ("method", "path", "timeout_ms"):
        del named[name]
    return msgspec.structs.replace(NEW_RECORD, call=call, **named)


def rebuild_progress(line):
    confirmed, pending = line.get("confirmed"), line.get("pending")
    if confirmed and pending is not None:
        pending = {**confirmed, **pending}
    before = msgspec.convert(line.get("before", {}), s.Progress)
    return msgspec.structs.replace(
        before,
        confirmed=rebuild_record(confirmed) if confirmed else None,
        pending=rebuild_record(pending) if pending else None,
    )


def rebuild_event(line):
    fields = dict(line.get("event_fields", {}))
    if "status" in fields:
        fields["answer"] = RecordedAnswer(fields.pop("status"), ())
    if fields.get("current"):
        current = rebuild_record(fields["current"])
        fields["current"] = StoredRecord(current, fields.pop("revision"))
    if "record" in fields:
        fields["record"] = rebuild_record(fields["record"])
    if "execution" in fields:
        fields["execution"] = Execution(fields["execution"])
    if "failure" in fields:
        fields["failure"] = msgspec.convert(fields["failure"], Failure)
    return getattr(s, line["on"])(**fields)


class ReplayTest(unittest.TestCase):
    def check_replays(self, *events, step_ms=1):
        progress = s.Progress()
        for number, event in enumerate(events):
            now_ms = number * step_ms
            rules = Transitions(w.SETTINGS, random.Random(number))
            transition = rules.decide(progress, event, now_ms, 0)
            line = encode_line(progress, event, transition, now_ms)
            rules = Transitions(w.SETTINGS, random.Random(number))
            replayed = rules.decide(
                rebuild_progress(line), rebuild_event(line), line["now_ms"], 0
            )
            with self.subTest(line["on"], number=number):
                self.assertEqual(replayed.rule, transition.rule)
                self.assertEqual(replayed.step.__class__, transition.step.__class__)
                if not isinstance(replayed.step, s.FollowStep):
                    self.assertEqual(replayed.step, transition.step)
            self.assertNotIn("a customer's", msgspec.json.encode(line).decode())
            progress = transition.progress

    def test_each_decision_can_be_replayed_from_its_log_line(self):
        self.check_replays(
            s.Submitted(NEW_RECORD),
            s.WriteFailed(ANSWER_LOST),
            s.WriteConfirmed(1),
            s.EndpointChosen("e1"),
            s.WriteConfirmed(2),
            s.SendFailed(ANSWER_LOST),
            s.LookupFailed(ANSWER_LOST),
            s.Answered(ANSWER),
            s.WriteConfirmed(3),
        )

    def test_a_log_line_holds_the_lookup_time_of_a_running_call(self):
        started = s.Submitted(NEW_RECORD, "e1")
        running = s.LookedUp(Execution.RUNNING)
        timeout_ms = w.SETTINGS.lookup_timeout_ms + NEW_RECORD.call.timeout_ms
        for step_ms in (timeout_ms // 2 - 1, timeout_ms // 2 + 1):
            events = (started, s.WriteConfirmed(1), running, running)
            self.check_replays(*events, step_ms=step_ms)

    def test_a_conflict_can_be_replayed_from_its_log_line(self):
        other = msgspec.structs.replace(NEW_RECORD, token="other", holder="i2")
        other_call = msgspec.structs.replace(other, body_sha256="0" * 64)
        for current in (other, other_call, NEW_RECORD):
            with self.subTest(current.token):
                stored = StoredRecord(current, 7)
                self.check_replays(s.Submitted(NEW_RECORD), s.WriteConflicted(stored))

    def test_a_log_line_holds_only_differences_from_the_confirmed_record(self):
        progress = s.Progress(confirmed=NEW_RECORD, pending=NEW_RECORD, revision=1)
        progress = msgspec.structs.replace(
            progress, pending=msgspec.structs.replace(NEW_RECORD, token="new")
        )
        transition = s.Transition(progress, s.StopStep(), "rule")
        line = encode_line(progress, s.WriteConfirmed(2), transition, 0)
        self.assertEqual(line["pending"], {"token": "new"})
