import unittest

from ..support import ALICE, run_world

QUESTION = {"model": "question", "prompt": "how long does bole dry", "max_tokens": 4}


def count_choices(router):
    """Count the choices that a router makes from now on."""
    made = []
    choose = router.choose

    def counting(request, now_ms):
        made.append(request.request_id)
        return choose(request, now_ms)

    router.choose = counting
    return made


class PreviewTest(unittest.TestCase):
    def test_the_choice_made_for_admission_serves_the_first_attempt(self):
        async def script(world):
            made = count_choices(world.entries["entry-1"].instance.router)
            caller = world.caller("entry-1", ALICE)
            answer = await caller.post_json("/v1/completions", QUESTION)
            self.assertEqual(answer.status, 200)
            self.assertEqual(len(made), 1)
            self.assertEqual(len(world.events("route")), 1)

        run_world(script)

    def test_a_retry_is_chosen_anew(self):
        async def script(world):
            made = count_choices(world.entries["entry-1"].instance.router)
            for engine in world.engines.values():
                if engine.endpoint_id == "engine-1":
                    engine.crash()
            caller = world.caller("entry-1", ALICE)
            answer = await caller.post_json("/v1/completions", QUESTION)
            self.assertEqual(answer.status, 200)
            chosen = [line["chosen"] for line in world.events("route")]
            self.assertEqual(chosen, ["engine-1", "engine-2"])
            self.assertEqual(len(made), 2)

        run_world(script)

    def test_a_choice_that_has_waited_is_made_anew(self):
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
            waited = [line["request_id"] for line in world.events("admission_wait")]
            self.assertEqual(len(waited), 1)
            self.assertEqual(instance.placement._previews, {})

        run_world(script)
