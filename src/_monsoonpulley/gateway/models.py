"""Response bodies of ``/v1/models`` in the format of the OpenAI API."""

from __future__ import annotations

import msgspec


class ModelObject(msgspec.Struct, frozen=True):
    """A class that the customer may use."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "monsoonpulley"


class ModelList(msgspec.Struct, frozen=True):
    """The list of the classes that the customer may use."""

    data: list[ModelObject]
    object: str = "list"
