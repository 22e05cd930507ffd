"""Sessions in which operators change the configuration."""

from __future__ import annotations

import asyncio

import msgspec

from _monsoonpulley.config.document import Document
from _monsoonpulley.config.store import ConfigStore

from ..deployments import andina
from ..recorder import Session, session


@session("racing-configuration", andina, seed=31)
async def racing_configuration(play: Session) -> None:
    """Let two operators change one class at once, then a third another class."""
    await play.sleep_ms(2_000)
    store = play.world.config_store()
    head = await store.read_head()
    document = head.document
    first = _with_answer_time(document, "survey-upload", 2_500)
    second = _with_answer_time(document, "survey-upload", 3_500)
    third = _with_answer_time(document, "pulled-report", 9_000)
    await asyncio.gather(
        _apply(play, store, first, head.number, "ana"),
        _apply(play, play.world.config_store(), second, head.number, "luis"),
    )
    await _apply(play, store, third, head.number, "marta")
    await play.sleep_ms(15_000)
    for name, entry in play.world.entries.items():
        play.record_event("in_force", entry=name, number=entry.instance.watcher.number)
    play.stream("entry-1", "conteo-andino", "corridor-summary", "after", 4)


async def _apply(
    play: Session, store: ConfigStore, document: Document, expected: int, author: str
) -> None:
    result = await store.apply(document, expected_number=expected, author=author)
    play.record_event(
        "operator_applies",
        author=author,
        expected_number=expected,
        result=type(result).__name__,
        detail=str(result) if not hasattr(result, "document") else result.number,
    )


def _with_answer_time(document: Document, name: str, answer_within_ms: int) -> Document:
    changed = msgspec.structs.replace(
        document.classes[name], answer_within_ms=answer_within_ms
    )
    return msgspec.structs.replace(
        document, classes={**document.classes, name: changed}
    )
