import unittest

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.gateway.problem import problem_response, status_of
from _monsoonpulley.outcome import Outcome

PROMISES_NOT_RUN = {408, 421, 429, 503}


class StatusTest(unittest.TestCase):
    """Guards against callers that repeat what has run, told that it has not."""

    def test_no_status_promises_that_a_request_with_another_outcome_has_not_run(self):
        for reason in Reason:
            status = status_of(Failure(reason, "step"), Outcome.UNKNOWN)
            self.assertNotIn(status, PROMISES_NOT_RUN, reason)

    def test_a_refusal_keeps_its_status(self):
        for reason, status in ((Reason.OVERLOADED, 429), (Reason.NO_ENDPOINT, 503)):
            failure = Failure(reason, "step")
            self.assertEqual(status_of(failure, Outcome.NOT_RUN), status)

    def test_the_retry_time_is_kept(self):
        failure = Failure(Reason.OVERLOADED, "step", retry_after_ms=2_000)
        response = problem_response(failure, Outcome.UNKNOWN)
        self.assertEqual(
            (response.status_code, response.headers["retry-after"]), (504, "2")
        )


if __name__ == "__main__":
    unittest.main()
