"""Reads the configuration and the instance list from the platform."""

from typing import Final

import aiohttp
import msgspec

from carobslip import decoding, directory, fleet, settings
from carobslip.adapters import whole_bodies

_RESPONSE_TIMEOUT_S: Final = 2.0

_list_decoder: Final = msgspec.json.Decoder(directory.InstanceList)


class PlatformClient:
    """Read-only client of the platform.

    Args:
        addresses: URLs of the configuration and of the list.
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
    ) -> fleet.PublishedDocument | fleet.NoDocument:
        """Reads the operators' document by long polling.

        Args:
            after_version: Version that the caller already has.
            wait_ms: How long the platform may wait for a higher version.

        Raises:
            fleet.PlatformUnavailable: The service did not answer.
        """
        text = await self._get(
            self._addresses.configuration_url,
            {'after_version': str(after_version), 'wait_ms': str(wait_ms)},
            wait_ms / 1000 + _RESPONSE_TIMEOUT_S,
        )
        if text is None:
            return fleet.NoDocument.UNCHANGED
        return fleet.PublishedDocument(text=text)

    async def read_instances(self) -> tuple[directory.InstanceRecord, ...]:
        """Reads the list of instances.

        Raises:
            fleet.PlatformUnavailable: The service did not answer with a list.
        """
        text = await self._get(
            self._addresses.instances_url, {}, _RESPONSE_TIMEOUT_S
        )
        try:
            return _list_decoder.decode(text or '').instances
        except decoding.MALFORMED as fault:
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
                allow_redirects=False,
            ) as response:
                return await _read_text(response)
        except (aiohttp.ClientError, OSError, TimeoutError) as fault:
            raise fleet.PlatformUnavailable(repr(fault)) from None


async def _read_text(response: aiohttp.ClientResponse) -> str | None:
    if response.status == 304:
        return None
    if response.status != 200:
        raise fleet.PlatformUnavailable(f'status {response.status}')
    content = await whole_bodies.read_whole(response)
    try:
        return content.decode()
    except UnicodeDecodeError as fault:
        raise fleet.PlatformUnavailable(str(fault)) from None
