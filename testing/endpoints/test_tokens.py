import unittest

from _monsoonpulley.endpoints.tokens import (
    block_hashes,
    count_prompt_tokens,
    max_new_tokens,
    prompt_words,
)


class PromptTest(unittest.TestCase):
    def test_words_of_all_messages_and_parts_are_counted(self):
        parts = [{"type": "text", "text": "c d"}, {"type": "image_url"}]
        messages = [{"content": "a  b\n"}, {"content": parts}, {"content": None}]
        self.assertEqual(prompt_words({"messages": messages}), ["a", "b", "c", "d"])
        self.assertEqual(count_prompt_tokens({"prompt": "x y z"}), 3)
        self.assertEqual(count_prompt_tokens({"prompt": [5, 6]}), 2)

    def test_unexpected_types_count_as_empty(self):
        for body in ({}, {"messages": 3}, {"messages": ["x", None]}, {"prompt": {}}):
            self.assertEqual(prompt_words(body), [])

    def test_unusable_limits_are_replaced_by_the_default(self):
        self.assertEqual(max_new_tokens({"max_tokens": 3}), 3)
        both = {"max_tokens": 3, "max_completion_tokens": 5}
        self.assertEqual(max_new_tokens(both), 5)
        for value in (None, -1, True, "9", 2.5):
            self.assertEqual(max_new_tokens({"max_tokens": value}), 16)


class BlockHashesTest(unittest.TestCase):
    def test_a_changed_word_changes_its_block_and_all_later_hashes(self):
        words = [str(i) for i in range(50)]
        hashes = block_hashes(words)
        self.assertEqual(len(hashes), 3)
        changed_late = block_hashes([*words[:40], "x", *words[41:]])
        self.assertEqual(hashes[:2], changed_late[:2])
        self.assertNotEqual(hashes[2], changed_late[2])
        changed_early = block_hashes(["x", *words[1:]])
        self.assertFalse(set(hashes) & set(changed_early))

    def test_hashes_depend_on_word_boundaries(self):
        self.assertNotEqual(block_hashes(["ab", "c"], 2), block_hashes(["a", "bc"], 2))

    def test_lone_surrogates_are_hashed(self):
        self.assertEqual(len(block_hashes(["\ud800"] * 16)), 1)
