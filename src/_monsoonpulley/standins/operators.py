"""Operators' interfaces of entry instances in the same process."""

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
    """What is wrong on the way to instances; delays in ms."""

    delay_ms: dict[str, int] = {}


class PeerOperatorsStandin:
    """A `peeroperators.PeerOperators` that calls applications directly.

    Parameters
    ----------
    find : callable
        Returns the application at an address, ``None`` for none.
    faults : OperatorFaults
        What is wrong on the way.
    """

    def __init__(self, find: FindApplication, faults: OperatorFaults):
        self._find = find
        self._faults = faults

    async def explain(
        self, instance: InstanceId, address: str, subject: str, authorization: str
    ) -> ExplainBody | Failure:
        """Return what one instance itself remembers."""
        delay_ms = self._faults.delay_ms.get(address, 0)
        await running_clock().sleep_ms(delay_ms)
        app = self._find(address)
        if app is None:
            return Failure(Reason.UNAVAILABLE, STEP, instance, "no connection")
        headers = {"authorization": authorization}
        target = explain_target(subject)
        answer = await Caller(app).request("GET", target, b"", headers)
        if not answer.is_complete:
            return Failure(Reason.UNAVAILABLE, STEP, instance, "connection lost")
        return decode_answer(answer.status, answer.body, instance)
