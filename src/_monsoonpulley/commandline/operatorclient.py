"""Client for the operators' HTTP interface of an entry instance."""

from __future__ import annotations

import random
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from ..clock import Clock
from ..errors import Failure, Reason
from ..httpconnector import CheckedConnector
from ..operator_wire import (
    CONFIG_PATH,
    CONFIG_STATUS_PATH,
    EXPLAIN_PATH,
    HISTORY_PATH,
    ROLLOUTS_PATH,
    STATUS_PATH,
    ApplyBody,
    ConfigStatusBody,
    ConflictBody,
    ExplainBody,
    FailureBody,
    HistoryBody,
    InvalidBody,
    RevisionBody,
    RolloutsBody,
    StatusBody,
)

T = TypeVar("T")

ApplyAnswer = RevisionBody | ConflictBody | InvalidBody | Failure

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 30.0
MAX_APPLY_ATTEMPTS = 5
APPLY_RETRY_MS = 500
CHANGE_TOKEN_BITS = 128


class AnswerLostError(Exception):
    """Connection that broke after the request may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent ``aiohttp`` from retrying a request by itself.

    It retries PUT when the connection breaks, and the second answer would hide
    that the first attempt may have taken effect.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AnswerLostError(str(error) or type(error).__name__) from error


class OperatorClient:
    """Client of one entry instance; an async context manager.

    Parameters
    ----------
    entry_url : str
        ``http://IP:PORT``.
    credential : str
        The operators' credential.
    clock : Clock
        Times the waits between attempts.
    rng : random.Random
        Draws change tokens.
    """

    def __init__(
        self, entry_url: str, credential: str, clock: Clock, rng: random.Random
    ):
        self._url = entry_url.rstrip("/")
        self._credential = credential
        self._clock = clock
        self._rng = rng

    async def __aenter__(self) -> OperatorClient:
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(
            connector=CheckedConnector(),
            headers={"Authorization": f"Bearer {self._credential}"},
            timeout=timeout,
            middlewares=(send_once,),
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._session.close()

    async def config(self, number: int | None = None) -> RevisionBody | Failure:
        """Return the revision in force, or the kept revision ``number``."""
        query = "" if number is None else f"?number={number}"
        return await self._get(CONFIG_PATH + query, RevisionBody)

    async def history(self, limit: int) -> HistoryBody | Failure:
        """Return the newest ``limit`` kept revisions."""
        return await self._get(f"{HISTORY_PATH}?limit={limit}", HistoryBody)

    async def config_status(self) -> ConfigStatusBody | Failure:
        """Return in which instances the newest revision is in force."""
        return await self._get(CONFIG_STATUS_PATH, ConfigStatusBody)

    async def status(self) -> StatusBody | Failure:
        """Return the state of the system."""
        return await self._get(STATUS_PATH, StatusBody)

    async def rollouts(self) -> RolloutsBody | Failure:
        """Return the state of each ordered version."""
        return await self._get(ROLLOUTS_PATH, RolloutsBody)

    async def explain(self, subject: str) -> ExplainBody | Failure:
        """Return the log lines of all entry instances about a subject."""
        return await self._get(EXPLAIN_PATH + quote(subject, safe=""), ExplainBody)

    async def apply(
        self,
        ini: str,
        *,
        expected_number: int,
        author: str,
        note: str = "",
        merge: bool = True,
    ) -> ApplyAnswer:
        """Put a configuration in force; retry if the answer is lost.

        All attempts carry the same change token, so that the change takes effect
        at most once. A failure with ``Reason.IN_DOUBT`` names that token.
        """
        body = ApplyBody(
            ini=ini,
            expected_number=expected_number,
            author=author,
            note=note,
            change_token=f"{self._rng.getrandbits(CHANGE_TOKEN_BITS):032x}",
            merge=merge,
        )
        is_in_doubt = False
        for attempt in range(MAX_APPLY_ATTEMPTS):
            if attempt:
                await self._clock.sleep_ms(APPLY_RETRY_MS * attempt)
                body = msgspec.structs.replace(body, repeated=True)
            answer = await self._put(body)
            if not isinstance(answer, Failure):
                return answer
            is_in_doubt = is_in_doubt or answer.reason is Reason.IN_DOUBT
            if not is_in_doubt:
                return answer
        detail = f"change token {body.change_token}: {answer}"
        return Failure(Reason.IN_DOUBT, "operator.apply", self._url, detail)

    async def _put(self, body: ApplyBody) -> ApplyAnswer:
        answer = await self._request("PUT", CONFIG_PATH, msgspec.json.encode(body))
        if isinstance(answer, Failure):
            return answer
        status, data = answer
        if status == 409:
            return self._decode(data, ConflictBody)
        if status == 422:
            return self._decode(data, InvalidBody)
        if status == 200:
            decoded = self._decode(data, RevisionBody)
            if isinstance(decoded, Failure):
                # Either it was applied, or the server isn't an entry instance.
                return msgspec.structs.replace(decoded, reason=Reason.IN_DOUBT)
            return decoded
        return self._decode_failure(status, data, server_error_reason=Reason.IN_DOUBT)

    async def _get(self, path: str, body_type: type[T]) -> T | Failure:
        answer = await self._request("GET", path)
        if isinstance(answer, Failure):
            return answer
        status, data = answer
        if status != 200:
            return self._decode_failure(
                status, data, server_error_reason=Reason.PEER_ERROR
            )
        return self._decode(data, body_type)

    async def _request(
        self, method: str, path: str, data: bytes | None = None
    ) -> tuple[int, bytes] | Failure:
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=data,
                headers={"Content-Type": "application/json"} if data else None,
                allow_redirects=False,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return self._connection_failure(Reason.UNAVAILABLE, error)
        except aiohttp.InvalidURL as error:
            return self._connection_failure(Reason.INVALID, error)
        except (AnswerLostError, aiohttp.ClientError, TimeoutError) as error:
            reason = Reason.IN_DOUBT if method == "PUT" else Reason.TIMEOUT
            return self._connection_failure(reason, error)

    def _connection_failure(self, reason: Reason, error: Exception) -> Failure:
        detail = str(error) or type(error).__name__
        return Failure(reason, "operator.call", self._url, detail)

    def _decode(self, data: bytes, body_type: type[T]) -> T | Failure:
        try:
            return msgspec.json.decode(data, type=body_type)
        except msgspec.DecodeError as error:
            detail = f"the answer is not one of an entry instance: {error}"
            return Failure(Reason.PROTOCOL, "operator.decode", self._url, detail)

    def _decode_failure(
        self, status: int, data: bytes, *, server_error_reason: Reason
    ) -> Failure:
        """Return the failure in a body, or one for the status without a body."""
        body = self._decode(data, FailureBody)
        if isinstance(body, FailureBody):
            return body.to_failure()
        reason = server_error_reason if status >= 500 else Reason.PROTOCOL
        return Failure(reason, "operator.call", self._url, f"HTTP status {status}")
