"""Calls to the operator interfaces of entry instances in the same process."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from starlette.types import ASGIApp

from ..errors import Failure, Reason
from ..explain.peeroperators import STEP, decode_answer, explain_target
from ..ids import InstanceId
from ..operator_wire import ExplainBody
from .caller import Caller
from .manualloop import running_clock

FindApplication = Callable[[str], ASGIApp | None]


class OperatorFaults(msgspec.Struct):
    """Faults of the calls between entry instances.

    Attributes
    ----------
    delay_ms : dict of str to int
        Delay of calls by the address that is called.
    """

    delay_ms: dict[str, int] = {}


class PeerOperatorsStandin:
    """An `explain.peeroperators.PeerOperators` that calls applications directly.

    Parameters
    ----------
    find_application : callable
        Returns the application at an address, ``None`` if there is none.
    faults : OperatorFaults
        Faults to apply.
    """

    def __init__(self, find_application: FindApplication, faults: OperatorFaults):
        self._find_application = find_application
        self._faults = faults

    async def explain(
        self, instance: InstanceId, address: str, subject: str, authorization: str
    ) -> ExplainBody | Failure:
        """Return what one instance recorded about the subject."""
        delay_ms = self._faults.delay_ms.get(address, 0)
        await running_clock().sleep_ms(delay_ms)
        app = self._find_application(address)
        if app is None:
            return Failure(Reason.UNAVAILABLE, STEP, instance, "no connection")
        headers = {"authorization": authorization}
        target = explain_target(subject)
        answer = await Caller(app).request("GET", target, b"", headers)
        if not answer.complete:
            return Failure(Reason.UNAVAILABLE, STEP, instance, "connection lost")
        return decode_answer(answer.status, answer.body, instance)
