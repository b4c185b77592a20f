"""HTTP client with which a guard calls its target."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import aiohttp

from carobslip import guard, observability
from carobslip.adapters import client_faults, single_sends, strict_answers

_CONNECT_TIMEOUT_S: Final = 1.0
_PROBE_TIMEOUT_S: Final = 1.0


class HttpTargetAnswer:
    """An answer whose body may still be arriving."""

    def __init__(self, *, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.status = response.status
        self.content_type = response.headers.get(
            'Content-Type',
            'application/octet-stream',
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        with client_faults.translate_read_errors():
            async for content in self._response.content.iter_any():
                yield content


class HttpTarget:
    """Implements the target port.

    Every call has its own connection: closing it tells the target that the call
    was cancelled.

    Args:
        base_url: Base URL of the target.
        probe_path: Path of a cheap call that checks whether the target is up.
        log: Records answers that were refused.
        metrics: Counts them.
    """

    def __init__(
        self,
        *,
        base_url: str,
        probe_path: str,
        log: observability.EventLog | None = None,
        metrics: observability.Metrics | None = None,
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._probe_path = probe_path
        self._session = aiohttp.ClientSession(
            connector=strict_answers.StrictConnector(
                log=log, metrics=metrics, limit=0, force_close=True
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

    @asynccontextmanager
    async def call(
        self,
        call: guard.TargetCall,
    ) -> AsyncIterator[HttpTargetAnswer]:
        """Sends a call and yields the answer; leaving early cancels it.

        Raises:
            TargetNotReached: Nothing was sent.
            TargetLost: The call was sent and no answer came.
        """
        response = await self._send(call)
        try:
            yield HttpTargetAnswer(response=response)
        finally:
            response.close()

    async def is_up(self) -> bool:
        """Tells whether the target answers its probe."""
        try:
            async with self._session.get(
                f'{self._base_url}{self._probe_path}',
                timeout=aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                return response.status < 500
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def close(self) -> None:
        """Drops all connections."""
        await self._session.close()

    async def _send(self, call: guard.TargetCall) -> aiohttp.ClientResponse:
        with client_faults.translate_send_errors():
            return await self._session.request(
                call.method,
                f'{self._base_url}/{call.path.lstrip("/")}',
                data=call.body,
                headers=_headers(call),
                allow_redirects=False,
            )


def _headers(call: guard.TargetCall) -> dict[str, str]:
    headers = {
        'Content-Type': call.content_type,
        'Carobslip-Request-Id': call.request_id,
        'Carobslip-Priority': str(call.priority),
        'Carobslip-Timeout-Ms': str(int(call.timeout_ms)),
    }
    if call.key is not None:
        headers['Idempotency-Key'] = call.key
    return headers
