"""``monsoonpulley explain place``: its question to an ingress, and its output."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated
from urllib.parse import urlsplit

import aiohttp
import msgspec
from cyclopts import Parameter

from ..errors import Failure, Reason
from ..httpconnector import CheckedConnector
from ..placement_wire import (
    EXPLAIN_PLACE_PATH,
    PlacementExplanation,
    PlacementQuery,
    Rejection,
)
from .access import UsageError
from .output import format_table

INGRESS_VARIABLE = "MONSOONPULLEY_INGRESS"
CALL_TIMEOUT_S = 5.0
STEP = "explain.place"


@Parameter(name="*")
@dataclass(frozen=True)
class IngressAccess:
    """Address for reaching an ingress instance."""

    ingress: Annotated[str | None, Parameter(env_var=INGRESS_VARIABLE)] = None
    "Address of the instance's metrics port, as http://IP:PORT."

    def url(self) -> str:
        """Return the address; raise `UsageError` if it is missing or malformed."""
        if not self.ingress:
            raise UsageError(f"give --ingress http://IP:PORT or set {INGRESS_VARIABLE}")
        parts = urlsplit(self.ingress)
        if parts.scheme != "http" or not parts.hostname:
            raise UsageError(f"--ingress {self.ingress!r}: expected http://IP:PORT")
        return self.ingress.rstrip("/")


INGRESS_FROM_ENVIRONMENT = IngressAccess()


async def fetch_explanation(
    url: str, query: PlacementQuery
) -> PlacementExplanation | Failure:
    """Ask an ingress instance where a request would go now."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(
                connector=CheckedConnector(), timeout=timeout
            ) as session,
            session.post(
                url + EXPLAIN_PLACE_PATH,
                data=msgspec.json.encode(query),
                allow_redirects=False,
            ) as response,
        ):
            data = await response.read()
            status = response.status
    except (aiohttp.ClientError, TimeoutError) as error:
        detail = str(error) or type(error).__name__
        return Failure(Reason.UNAVAILABLE, STEP, url, detail)
    if status != 200:
        reason = Reason.OVERLOADED if status == 429 else Reason.INVALID
        return Failure(reason, STEP, url, data.decode(errors="replace")[:200])
    try:
        return msgspec.json.decode(data, type=PlacementExplanation)
    except msgspec.MsgspecError as error:
        detail = f"the answer is not one of an ingress: {error}"
        return Failure(Reason.PROTOCOL, STEP, url, detail)


def placement_json(explanation: PlacementExplanation) -> str:
    """Return the explanation as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(explanation)).decode()


def placement_text(explanation: PlacementExplanation) -> str:
    """Return the decision, what each gate says, and the candidates."""
    sections = [_decision_text(explanation)]
    gates = [(line.gate, line.says) for line in explanation.gates]
    sections.append(format_table(("GATE", "SAYS"), gates))
    left_out = [
        (endpoint, line.gate, why)
        for line in explanation.gates
        for endpoint, why in sorted(line.left_out.items())
    ]
    if left_out:
        sections.append(format_table(("LEFT OUT", "BY", "WHY"), left_out))
    if explanation.candidates:
        sections.append(_candidates_text(explanation))
    return "\n\n".join(sections)


def _decision_text(explanation: PlacementExplanation) -> str:
    asked = (
        f"as {explanation.instance} in {explanation.zone} knows it; configuration "
        f"{explanation.configuration}"
    )
    if explanation.rejection is not None:
        lines = [asked, _rejection_text(explanation.rejection)]
    else:
        lines = [asked, f"goes to {explanation.endpoint}"]
    if explanation.helpers:
        names = ", ".join(explanation.helpers)
        lines.append(f"before that, one of these instances would be asked: {names}")
    if explanation.remaining_ms:
        wait_ms = explanation.max_wait_ms
        wait = "of any length" if wait_ms is None else f"of up to {wait_ms:g} ms"
        lines.append(
            f"deadline in {explanation.remaining_ms} ms, with a wait {wait} "
            f"(share factor {explanation.share_factor:g})"
        )
    return "\n".join(lines)


def _rejection_text(rejection: Rejection) -> str:
    retry_ms = rejection.retry_after_ms
    retry = "" if retry_ms is None else f"; retry after {retry_ms} ms"
    return f"rejected with {rejection.status}: {rejection.reason}{retry}"


def _candidates_text(explanation: PlacementExplanation) -> str:
    header = (
        *("ENDPOINT", "ZONE", "VERSION", "PREDICTED MS", "WAIT MS", "COST MS"),
        *("TO PREFILL", "BACKLOG", "HELD", "RUNNING", "SPEED", "COLD"),
    )
    rows = [
        (
            *(each.endpoint, each.zone, each.version),
            *(each.predicted_ms, each.wait_ms, each.cost_ms),
            *(each.prefill_tokens, each.backlog_tokens, each.held_tokens),
            *(each.running, each.speed_factor, "yes" if each.is_cold else ""),
        )
        for each in explanation.candidates
    ]
    return format_table(header, rows)
