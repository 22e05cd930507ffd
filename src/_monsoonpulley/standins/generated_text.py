"""Generated text of the engine stand-ins, the same on every engine.

The next word depends only on all words before it. A generation that continues
elsewhere after its prompt and the text so far gives the same whole text.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

WORDS = (
    "amber arch ash basin birch bloom brook cairn canal cedar chalk clay cliff "
    "copper coral crest dale delta dune elm ember fern field fjord flint frost "
    "glade grove harbor hazel heath hollow inlet iris island ivory jade kelp "
    "lagoon larch leaf lichen linen maple marsh meadow mist moss oak ochre olive "
    "opal orchard pebble pine plain quartz reed ridge river sage sand shale slate"
).split()


def text_state(words: Iterable[str], state: int = 0) -> int:
    """Return the state after ``words``, continued from an earlier state."""
    for word in words:
        data = word.encode("utf-8", "surrogatepass")
        state = xxhash.xxh3_64_intdigest(data, seed=state)
    return state


def next_word(state: int) -> str:
    """Return the word that follows the words of ``state``."""
    return WORDS[(state >> 7) % len(WORDS)]


def whole_text(prompt: Iterable[str], count: int) -> list[str]:
    """Return the first ``count`` words generated after ``prompt``."""
    state = text_state(prompt)
    words = []
    for _ in range(count):
        word = next_word(state)
        state = text_state((word,), state)
        words.append(word)
    return words
