"""Bodies of ``/v1/models``, as the OpenAI API shapes them."""

from __future__ import annotations

import msgspec


class ModelObject(msgspec.Struct, frozen=True):
    """One entry: a class of work that the customer may use."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "monsoonpulley"


class ModelList(msgspec.Struct, frozen=True):
    """The whole list."""

    data: list[ModelObject]
    object: str = "list"
