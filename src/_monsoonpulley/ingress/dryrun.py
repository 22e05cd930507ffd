"""A request that is decided on like any other, and neither sent nor counted.

`RequestRun` decides on copies of what its decisions change, so that a dry run asks the
same gates in the same order, also those that are added later.
"""

from __future__ import annotations

import copy
import random

import msgspec

from ..fleet.model import Endpoint
from ..observability.log import Log
from ..placing.placer import Choice, PlacementRefusal, Placer
from ..placing.regiongate import Regions
from ..quarantine.evidence import Entry
from ..quarantine.quarantine import RETRY_AFTER_MS
from ..wire.events import HeaderList, Mailbox
from ..wire.requestmessage import RequestMessage
from .counters import Counters
from .parts import IngressParts
from .requestrun import RequestRun

SHARED_PARTS = (
    "clock",
    "configuration",
    "directory",
    "evacuations",
    "members",
    "links",
    "load_board",
    "health",
    "cache_index",
    "demand",
    "zone_reach",
    "upstreams",
    "peer_pools",
    "caller_budget",
    "answer_memory",
    "fingerprinter",
    "served_parts",
    "ended_parts",
    "quarantine",
    "crash_watch",
    "usage",
    "stop_gate",
)
"""Parts that decisions only read; all others are copied."""


def fork_parts(
    parts: IngressParts, rng: random.Random
) -> tuple[IngressParts, random.Random]:
    """Return parts on which a request can be decided on without any effect.

    Log lines and metrics of the copies go nowhere, and their callbacks do nothing.

    Parameters
    ----------
    parts : IngressParts
        Parts of the instance.
    rng : random.Random
        Draws for its requests; the copy makes the same draws.
    """
    log = Log(parts.clock, lambda line: None, keeps_lines=False)
    replaced: dict[str, object] = {"log": log, "counters": Counters()}
    memo: dict[int, object] = {id(getattr(parts, n)): v for n, v in replaced.items()}
    for name in SHARED_PARTS:
        memo[id(getattr(parts, name))] = getattr(parts, name)
    current = parts.configuration.current
    if current is not None:
        for each in (current, current.services, current.customers):
            memo[id(each)] = each
    names = [
        name
        for name in parts.__struct_fields__
        if name not in SHARED_PARTS and name not in replaced
    ]
    copies = copy.deepcopy(({n: getattr(parts, n) for n in names}, rng), memo)
    copied_parts, copied_rng = copies
    for part in copied_parts.values():
        _silence_callbacks(part)
    return msgspec.structs.replace(parts, **replaced, **copied_parts), copied_rng


def _silence_callbacks(part: object) -> None:
    for name, value in list(getattr(part, "__dict__", {}).items()):
        if name.lstrip("_").startswith("on_") and callable(value):
            setattr(part, name, _ignore)


def _ignore(*args: object, **kwargs: object) -> None:
    """Do nothing, in place of a callback."""


class RecordingPlacer(Placer):
    """A placer that keeps what it predicted for the last choice.

    Parameters
    ----------
    placer : Placer
        Gives the state and the rules.
    """

    def __init__(self, placer: Placer):
        vars(self).update(vars(placer))
        self.estimates: list = []

    def choose(self, *args, **kwargs) -> Choice | PlacementRefusal:
        """Return the choice; see `Placer.choose`."""
        self.estimates = []
        return super().choose(*args, **kwargs)

    def _estimate(self, *args, **kwargs):
        estimate = super()._estimate(*args, **kwargs)
        self.estimates.append(estimate)
        return estimate


class DryExchange:
    """The exchange of a request that no caller has sent; it keeps the answer's status.

    Parameters
    ----------
    request : RequestMessage
        The request.
    """

    def __init__(self, request: RequestMessage):
        self.request = request
        self.mailbox = Mailbox()
        self.has_started = self.is_over = False

    def respond(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """End the exchange."""
        self.has_started = self.is_over = True


class DryRun(RequestRun):
    """Decides on a request once, as if it had just arrived.

    Parameters
    ----------
    request : RequestMessage
        The request.
    parts : IngressParts
        Parts of the instance, which are not changed.
    rng : random.Random
        As of `RequestRun`; its state is not changed.

    Attributes
    ----------
    is_admitted : bool
        Whether no gate before those of endpoints rejects it.
    placer : RecordingPlacer
        Has the predictions of the choice.
    """

    def __init__(
        self, request: RequestMessage, parts: IngressParts, rng: random.Random
    ):
        forked, forked_rng = fork_parts(parts, rng)
        self.placer = RecordingPlacer(forked.placer)
        forked = msgspec.structs.replace(forked, placer=self.placer)
        super().__init__(DryExchange(request), forked, forked_rng)
        self._untried: tuple[Endpoint, ...] | None = None
        self.is_admitted = False

    def admit(self) -> None:
        """Ask the gates before those of endpoints."""
        self.is_admitted = self._admit()

    def choose(self) -> Choice | PlacementRefusal:
        """Return the choice of an endpoint for an admitted request."""
        return self._choose()

    def reject(self, refusal: PlacementRefusal) -> None:
        """Set the status and the retry time that its caller would get."""
        self._refuse(refusal)

    def allowed_regions(self) -> Regions | None:
        """Return the regions that it may reach, None for all."""
        return self._allowed_regions()

    @property
    def usable_endpoints(self) -> tuple[Endpoint, ...]:
        """Endpoints among which it was placed."""
        return self._admission.usable

    @property
    def quota_cost(self) -> float:
        """What the request costs its customer."""
        assert self.customer is not None
        facts = self.facts
        return self.parts.quotas.cost(
            self.customer.id, facts.prompt_tokens, facts.max_output_tokens
        )

    @property
    def share_factor(self) -> float:
        """Factor on its longest wait, from its customer's share of the work."""
        return self._share_factor

    def max_wait_ms(self) -> float:
        """Return the longest wait for which it is not rejected."""
        return self._max_wait_ms(self.parts.clock.now_ms())

    def helper_names(self) -> list[str]:
        """Return the instances that would be asked to serve it."""
        return [member.instance for member in self._find_helpers()]

    def linked_endpoints(self, endpoints: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Return those of the endpoints to which there presumably are links."""
        return self._linked_endpoints(endpoints)

    def eligible_endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoints that roll-outs leave; their draw is kept."""
        return self._untried_endpoints()

    def _untried_endpoints(self) -> tuple[Endpoint, ...]:
        if self._untried is None:
            self._untried = super()._untried_endpoints()
        return self._untried

    def _may_try(self, entry: Entry) -> bool:
        # Trials are for requests that show something.
        return False

    def _refuse_quarantined(self, entry: Entry) -> None:
        detail = f"quarantined: {entry.key} crashed {len(entry.endpoints)} endpoints"
        self.respond(503, detail, RETRY_AFTER_MS)
