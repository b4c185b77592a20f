"""Reads what the platform publishes: the configuration and the list."""

from typing import Final

import aiohttp
import msgspec

from carobslip import directory, fleet, settings

_MARGIN_S: Final = 2.0
_TEXT_MAX_BYTES: Final = 1_048_576

_list_decoder: Final = msgspec.json.Decoder(directory.InstanceList)


class PlatformClient:
    """Reads and watches; nothing is ever written.

    Args:
        addresses: Where the platform publishes.
        session: HTTP client session.
    """

    def __init__(
        self,
        *,
        addresses: settings.PlatformSettings,
        session: aiohttp.ClientSession,
    ) -> None:
        self._addresses = addresses
        self._session = session

    async def read_configuration(
        self,
        after_version: int,
        wait_ms: int,
    ) -> str | None:
        """Reads the operators' document, waiting for a higher version.

        Args:
            after_version: The version that is already held.
            wait_ms: How long the service may wait for a higher one.

        Returns:
            The document's text; None when there is no higher version yet.

        Raises:
            fleet.PlatformUnavailable: The service did not answer.
        """
        return await self._get(
            self._addresses.configuration_url,
            {'after_version': str(after_version), 'wait_ms': str(wait_ms)},
            wait_ms / 1000 + _MARGIN_S,
        )

    async def read_instances(self) -> tuple[directory.InstanceRecord, ...]:
        """Reads the list of instances.

        Raises:
            fleet.PlatformUnavailable: The service did not answer with a list.
        """
        text = await self._get(self._addresses.instances_url, {}, _MARGIN_S)
        try:
            return _list_decoder.decode(text or '').instances
        except msgspec.DecodeError as fault:
            raise fleet.PlatformUnavailable(str(fault)) from None

    async def _get(
        self,
        url: str,
        query: dict[str, str],
        timeout_s: float,
    ) -> str | None:
        try:
            async with self._session.get(
                url,
                params=query,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return await _read_text(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as fault:
            raise fleet.PlatformUnavailable(repr(fault)) from None


async def _read_text(response: aiohttp.ClientResponse) -> str | None:
    if response.status == 304:
        return None
    if response.status != 200:
        raise fleet.PlatformUnavailable(f'status {response.status}')
    content = await response.content.read(_TEXT_MAX_BYTES + 1)
    while len(content) <= _TEXT_MAX_BYTES:
        more = await response.content.read(_TEXT_MAX_BYTES + 1)
        if not more:
            break
        content += more
    if len(content) > _TEXT_MAX_BYTES:
        raise fleet.PlatformUnavailable(
            'the document is longer than a megabyte'
        )
    try:
        return content.decode()
    except UnicodeDecodeError as fault:
        raise fleet.PlatformUnavailable(str(fault)) from None
