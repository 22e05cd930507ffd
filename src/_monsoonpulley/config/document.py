"""The configuration document that operators write.

It holds request classes, customers, services and versions, but no weights and
no addresses.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from ..ids import ClassId, CustomerId, ServiceId, VersionId

Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]
Sha256Hex = Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class ServiceKind(Enum):
    """How a service is called."""

    MODEL = "model"
    PLAIN = "plain"


class FencingCheck(Enum):
    """Whether a service's endpoints check fencing numbers of orders."""

    CHECKED = "checked"
    IGNORED = "ignored"


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests and its targets.

    Attributes
    ----------
    service : ServiceId
        Service that answers its requests.
    answer_within_ms : int
        Target for the whole answer, or for the first token of a stream.
    token_gap_ms : int
        Target between tokens of a stream.
    repeats : int
        How often a request may be repeated. 0 means that it runs at most once;
        callers must then send an ``Idempotency-Key``.
    retention_s : int
        How long the record of an at-most-once request is kept.
    max_body_bytes : int
        Largest request body.
    """

    service: ServiceId
    answer_within_ms: Milliseconds
    token_gap_ms: Milliseconds = 1_000
    repeats: Annotated[int, Meta(ge=0, le=10)] = 2
    retention_s: Annotated[int, Meta(ge=60, le=31_536_000)] = 86_400
    max_body_bytes: Annotated[int, Meta(ge=1, le=67_108_864)] = 1_048_576


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer; only the SHA-256 digest of its credential is kept.

    ``classes`` are the request classes it may use; empty means all.
    """

    credential_sha256: Sha256Hex
    classes: tuple[ClassId, ...] = ()


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service whose endpoints answer requests.

    Attributes
    ----------
    kind : ServiceKind
        Whether its endpoints are engines or a plain service.
    refusal_statuses : tuple of int
        HTTP statuses that mean that an endpoint did not run the call.
    lookup : bool
        Whether its endpoints can be asked if they ran a request id.
    fencing : FencingCheck
        Whether its endpoints check the fencing numbers of orders.
    """

    kind: ServiceKind
    refusal_statuses: tuple[Annotated[int, Meta(ge=400, le=599)], ...] = (429,)
    lookup: bool = False
    fencing: FencingCheck = FencingCheck.IGNORED


class Version(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A version of a service and the deadline of its roll-out.

    ``deadline_wall_ms`` is Unix epoch milliseconds; ``None`` marks the version
    that the service starts with.
    """

    service: ServiceId
    version: VersionId
    deadline_wall_ms: int | None = None


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One validated configuration."""

    classes: dict[ClassId, RequestClass] = {}
    customers: dict[CustomerId, Customer] = {}
    services: dict[ServiceId, Service] = {}
    versions: tuple[Version, ...] = ()


class Revision(msgspec.Struct, frozen=True):
    """An applied document.

    Attributes
    ----------
    number : int
        Starts at 1 and rises by 1 with each applied change.
    change_token : str
        Random token by which a change is found after its answer was lost.
    author : str
        Who applied it.
    applied_wall_ms : int
        When, by the wall clock of the instance that applied it.
    note : str
        Reason that the author gave.
    """

    number: int
    change_token: str
    author: str
    applied_wall_ms: int
    document: Document
    note: str = ""
