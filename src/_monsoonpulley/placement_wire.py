"""JSON bodies of the question where a request would go, for ingress and client.

``POST /explain/place`` with a `PlacementQuery` on the metrics port of an ingress
instance returns a `PlacementExplanation`; 400 with a text says what is wrong with the
question, and 429 that another one was asked right before.
"""

from __future__ import annotations

import msgspec

EXPLAIN_PLACE_PATH = "/explain/place"


class PlacementQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request as a caller would send it.

    Attributes
    ----------
    host, path, method : str
        Host header, target with its query, and method.
    customer : str
        Name of the customer; empty for a request without a key.
    prompt_tokens, max_output_tokens : int or None
        Its token counts; both are needed for a request with token counts.
    prompt_prefix : str
        Parts of the prompt, as ``ID:TOKENS,ID:TOKENS``.
    length_hint : int or None
        The caller's estimate of the tokens to generate.
    deadline_ms : int or None
        How long the caller waits; None for the route's time limit.
    body : bytes
        Body, in base64; it matters only to the quarantine.
    """

    host: str
    path: str = "/"
    method: str = "POST"
    customer: str = ""
    prompt_tokens: int | None = None
    max_output_tokens: int | None = None
    prompt_prefix: str = ""
    length_hint: int | None = None
    deadline_ms: int | None = None
    body: bytes = b""


class GateLine(msgspec.Struct, frozen=True):
    """What one gate says.

    Attributes
    ----------
    gate : str
        Its name.
    says : str
        What it decided, and from which figures.
    left_out : dict
        Why, by each endpoint that it leaves out.
    """

    gate: str
    says: str
    left_out: dict[str, str] = {}


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint that the placer compared, and what it predicted.

    Attributes
    ----------
    predicted_ms, wait_ms, cost_ms : float
        Time to the first event or the answer, the part of it spent waiting, and the
        figure by which candidates are compared.
    prefill_tokens, backlog_tokens, held_tokens, running : int
        Tokens of the prompt that are not cached there, and the load there.
    speed_factor : float
        Time that it takes, relative to the others of its service.
    """

    endpoint: str
    zone: str
    version: str
    predicted_ms: float
    wait_ms: float
    cost_ms: float
    prefill_tokens: int
    backlog_tokens: int
    held_tokens: int
    running: int
    is_cold: bool = False
    speed_factor: float = 1.0


class Rejection(msgspec.Struct, frozen=True):
    """The answer that the caller would get."""

    status: int
    reason: str
    retry_after_ms: int | None = None


class PlacementExplanation(msgspec.Struct, frozen=True):
    """Where a request would go now, and why.

    Attributes
    ----------
    instance, zone, configuration : str, str, int
        The instance that was asked, and the version of its configuration.
    route, service, customer, priority : str, str, str, int
        What the request belongs to; empty if that was not found.
    remaining_ms, max_wait_ms : int, float or None
        Time until the deadline, and the longest wait for an endpoint; None for any.
    share_factor : float
        Factor on the longest wait, from its customer's share of the service's work.
    endpoint : str
        Where it would go; empty if it would be rejected.
    rejection : Rejection or None
        Set if it would be rejected.
    helpers : tuple of str
        Instances that would be asked to serve it before it is rejected.
    gates : tuple of GateLine
        In the order in which they are asked, up to the one that rejects.
    candidates : tuple of Candidate
        Best first.
    """

    instance: str
    zone: str
    configuration: int
    route: str = ""
    service: str = ""
    customer: str = ""
    priority: int = 0
    remaining_ms: int = 0
    max_wait_ms: float | None = None
    share_factor: float = 1.0
    endpoint: str = ""
    rejection: Rejection | None = None
    helpers: tuple[str, ...] = ()
    gates: tuple[GateLine, ...] = ()
    candidates: tuple[Candidate, ...] = ()
