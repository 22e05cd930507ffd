import unittest

from ..support import ALICE, run_world

QUESTION = {"model": "question", "prompt": "how long does bole dry", "max_tokens": 4}


def record_choices(router):
    """Return a list to which the router's further choices add their request ids."""
    request_ids = []
    choose = router.choose

    def record_and_choose(request, now_ms):
        request_ids.append(request.request_id)
        return choose(request, now_ms)

    router.choose = record_and_choose
    return request_ids


class PreviewTest(unittest.TestCase):
    def test_the_choice_made_for_admission_is_used_by_the_first_attempt(self):
        async def script(world):
            request_ids = record_choices(world.entries["entry-1"].instance.router)
            caller = world.caller("entry-1", ALICE)
            answer = await caller.post_json("/v1/completions", QUESTION)
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(request_ids), 1)
            self.assertEqual(len(world.events("route")), 1)

        run_world(script)

    def test_a_retry_chooses_an_endpoint_anew(self):
        async def script(world):
            request_ids = record_choices(world.entries["entry-1"].instance.router)
            for engine in world.engines.values():
                if engine.endpoint_id == "engine-1":
                    engine.crash()
            caller = world.caller("entry-1", ALICE)
            answer = await caller.post_json("/v1/completions", QUESTION)
            self.assertEqual(answer.status, 200)
            chosen = [line["chosen"] for line in world.events("route")]
            self.assertEqual(chosen, ["engine-1", "engine-2"])
            self.assertEqual(len(request_ids), 2)

        run_world(script)

    def test_a_request_that_waited_for_admission_chooses_anew(self):
        async def script(world):
            instance = world.entries["entry-1"].instance
            service = instance.document().classes["question"].service
            instance.router.admission.set_slots(service, 1)
            instance.router.update_slots = lambda: None
            caller = world.caller("entry-1", ALICE)
            first = world.processes.start(
                "caller", caller.post_json("/v1/completions", QUESTION)
            )
            second = world.processes.start(
                "caller", caller.post_json("/v1/completions", QUESTION)
            )
            answers = [await first, await second]
            self.assertEqual([answer.status for answer in answers], [200, 200])
            waiting_ids = [
                line["request_id"] for line in world.events("admission_wait")
            ]
            self.assertEqual(len(waiting_ids), 1)
            self.assertEqual(instance.placement._previews, {})

        run_world(script)
