"""The description of a request in progress."""

from __future__ import annotations

import msgspec

from ..config.document import RequestClass
from ..ids import ClassId, CustomerId, RequestId

DEADLINE_FACTOR = 3
"""A request's deadline, as a multiple of its class's target time."""


class RequestContext(msgspec.Struct, frozen=True):
    """A request as routing and retries need it.

    Attributes
    ----------
    received_ms : int
        Monotonic time at which the whole request was received.
    path : str
        Path at the endpoint without its query string; breakers use it as the route.
    prompt_tokens, max_tokens : int
        Size of a generation in tokens; 0 for plain services.
    prefix_blocks : tuple of int
        Chained hashes of the prompt's blocks.
    stream : bool
        Whether the class's target applies to the first token only.
    content : dict or bytes
        The JSON object of a generation, or the body of a call; not copied.
    """

    request_id: RequestId
    customer: CustomerId
    class_id: ClassId
    request_class: RequestClass
    received_ms: int
    path: str
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_blocks: tuple[int, ...] = ()
    stream: bool = False
    content: dict | bytes = b""

    @property
    def target_ms(self) -> int:
        """Monotonic time by which the answer is due."""
        return self.received_ms + self.request_class.answer_within_ms

    @property
    def deadline_ms(self) -> int:
        """Monotonic time at which the request is given up."""
        allowed_ms = self.request_class.answer_within_ms * DEADLINE_FACTOR
        return self.received_ms + allowed_ms
