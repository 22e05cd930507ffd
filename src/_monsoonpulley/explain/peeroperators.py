"""Clients with which an entry instance asks its peers about a subject."""

from __future__ import annotations

from typing import Protocol
from urllib.parse import quote

import aiohttp
import msgspec

from ..errors import MALFORMED_ERRORS, Failure, Reason
from ..ids import InstanceId
from ..operator_wire import EXPLAIN_PATH, ExplainBody, FailureBody

STEP = "explain.peer"
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class PeerOperatorClient(Protocol):
    """Client for the operators' interfaces of other entry instances."""

    async def explain_local(
        self, instance: InstanceId, address: str, subject: str, authorization: str
    ) -> ExplainBody | Failure:
        """Return one instance's own lines about a subject.

        Parameters
        ----------
        instance, address
            The instance to ask, and the ``ip:port`` of its HTTP interface.
        subject : str
            Name of the subject, as operators type it.
        authorization : str
            ``Authorization`` header of the operator's request, passed on.
        """
        ...


class NoPeerOperatorClient:
    """Client that reaches no other instance."""

    async def explain_local(
        self, instance: InstanceId, address: str, subject: str, authorization: str
    ) -> ExplainBody | Failure:
        """Return a failure: the instance can't be reached."""
        return Failure(
            Reason.UNAVAILABLE,
            STEP,
            instance,
            "no client for other instances is set up",
        )


class HttpPeerOperatorClient:
    """Client over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Carries the requests; closed by the calling code.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def explain_local(
        self, instance: InstanceId, address: str, subject: str, authorization: str
    ) -> ExplainBody | Failure:
        """Return one instance's own lines about a subject."""
        url = f"http://{address}{explain_target(subject)}"
        try:
            async with self._session.get(
                url,
                headers={"Authorization": authorization},
                # The credential must reach only the listed address.
                allow_redirects=False,
            ) as response:
                return await _read_answer(response, instance)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            detail = str(error) or type(error).__name__
            return Failure(Reason.UNAVAILABLE, STEP, instance, detail)


def explain_target(subject: str) -> str:
    """Return the path and query for an instance's own lines about a subject."""
    return f"{EXPLAIN_PATH}{quote(subject, safe='')}?scope=local"


def decode_answer(
    status: int, data: bytes, instance: InstanceId
) -> ExplainBody | Failure:
    """Return the body of an answer, or a failure."""
    try:
        if status == 200:
            return msgspec.json.decode(data, type=ExplainBody)
        return msgspec.json.decode(data, type=FailureBody).to_failure()
    except MALFORMED_ERRORS:
        return Failure(Reason.PROTOCOL, STEP, instance, f"HTTP status {status}")


async def _read_answer(
    response: aiohttp.ClientResponse, instance: InstanceId
) -> ExplainBody | Failure:
    data = bytearray()
    async for part in response.content.iter_chunked(65_536):
        data += part
        if len(data) > MAX_ANSWER_BYTES:
            detail = f"its answer has more than {MAX_ANSWER_BYTES} bytes"
            return Failure(Reason.BODY_TOO_LARGE, STEP, instance, detail)
    return decode_answer(response.status, bytes(data), instance)
