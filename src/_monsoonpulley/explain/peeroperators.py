"""How an entry instance asks others what they remember of a subject."""

from __future__ import annotations

from typing import Protocol
from urllib.parse import quote

import aiohttp
import msgspec

from ..errors import Failure, Reason
from ..ids import InstanceId
from ..operator_wire import EXPLAIN_PATH, ExplainBody, FailureBody

STEP = "explain.peer"
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class PeerOperatorClient(Protocol):
    """The operators' interfaces of other entry instances."""

    async def explain(
        self, instance: InstanceId, address: str, subject: str, authorization: str
    ) -> ExplainBody | Failure:
        """Return what one instance itself remembers.

        Parameters
        ----------
        instance, address
            Whom to ask, and the ``ip:port`` of its HTTP interface.
        subject : str
            As operators name it.
        authorization : str
            Header of the operator's own request, passed on.
        """
        ...


class NoPeerOperatorClient:
    """Reaches no other instance."""

    async def explain(
        self, instance: InstanceId, address: str, subject: str, authorization: str
    ) -> ExplainBody | Failure:
        """Return that the instance can't be reached."""
        return Failure(Reason.UNAVAILABLE, STEP, instance, "no way to it")


class HttpPeerOperatorClient:
    """Asks over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Carries the requests; the caller closes it.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def explain(
        self, instance: InstanceId, address: str, subject: str, authorization: str
    ) -> ExplainBody | Failure:
        """Return what one instance itself remembers."""
        url = f"http://{address}{explain_target(subject)}"
        try:
            async with self._session.get(
                url,
                headers={"Authorization": authorization},
                # The credential goes to the listed address alone.
                allow_redirects=False,
            ) as response:
                return await _read_answer(response, instance)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            detail = str(error) or type(error).__name__
            return Failure(Reason.UNAVAILABLE, STEP, instance, detail)


def explain_target(subject: str) -> str:
    """Return the path and query that ask an instance for its own lines."""
    return f"{EXPLAIN_PATH}{quote(subject, safe='')}?scope=local"


def decode_answer(
    status: int, data: bytes, instance: InstanceId
) -> ExplainBody | Failure:
    """Return the body of an answer, or what failed."""
    try:
        if status == 200:
            return msgspec.json.decode(data, type=ExplainBody)
        return msgspec.json.decode(data, type=FailureBody).to_failure()
    except msgspec.DecodeError:
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
