"""HTTP client with which entries send attempts to guards."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import aiohttp

from carobslip import attempts, entry, observability
from carobslip.adapters import client_faults, single_sends, strict_answers

_CONNECT_TIMEOUT_S: Final = 0.5


class HttpReplyReader:
    """Reads the frames of one reply."""

    def __init__(
        self,
        *,
        attempt: attempts.Attempt,
        stream: aiohttp.StreamReader,
    ) -> None:
        self._stream = stream
        self._reader = attempts.FrameReader(
            request_id=attempt.request_id,
            incarnation=attempt.incarnation,
            read_exactly=self._read_exactly,
        )

    async def read(self) -> attempts.Frame:
        """Returns the next frame; raises GuardLost if the reply is broken."""
        try:
            return await self._reader.read()
        except attempts.FrameSequenceBroken as fault:
            raise entry.GuardLost(str(fault)) from None

    async def _read_exactly(self, length: int) -> bytes:
        try:
            with client_faults.translate_read_errors(lost=entry.GuardLost):
                return await self._stream.readexactly(length)
        except asyncio.IncompleteReadError:
            raise EOFError from None


class HttpGuardClient:
    """Sends attempts to guards; each is sent once.

    Args:
        session: Pools connections to guards.
    """

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    @asynccontextmanager
    async def open(
        self,
        address: str,
        attempt: attempts.Attempt,
        body: bytes,
    ) -> AsyncIterator[HttpReplyReader]:
        """Sends one attempt and yields the reader of its reply.

        Raises:
            GuardNotReached: Nothing was sent.
            GuardLost: The attempt may have arrived.
        """
        response = await self._post(address, attempt, body)
        try:
            if response.status != 200:
                raise entry.GuardLost(f'the guard answered {response.status}')
            yield HttpReplyReader(attempt=attempt, stream=response.content)
        except BaseException:
            # Closing the connection tells the guard that the caller has left.
            response.close()
            raise
        response.release()

    async def _post(
        self,
        address: str,
        attempt: attempts.Attempt,
        body: bytes,
    ) -> aiohttp.ClientResponse:
        header = attempts.encode_attempt(attempt)
        with client_faults.translate_send_errors(
            not_reached=entry.GuardNotReached,
            lost=entry.GuardLost,
        ):
            return await self._session.post(
                f'http://{address}/run',
                data=body,
                headers={
                    attempts.ATTEMPT_HEADER: header,
                    'Content-Type': 'application/octet-stream',
                },
                allow_redirects=False,
            )


def new_session(
    *,
    log: observability.EventLog | None = None,
    metrics: observability.Metrics | None = None,
) -> aiohttp.ClientSession:
    """Returns a client session for calls between the system's processes.

    Args:
        log: Records answers that were refused.
        metrics: Counts them.
    """
    return aiohttp.ClientSession(
        connector=strict_answers.StrictConnector(
            log=log, metrics=metrics, limit=0, keepalive_timeout=30
        ),
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=_CONNECT_TIMEOUT_S,
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trust_env=False,
        middlewares=(single_sends.send_once,),
    )
