"""Port for reading what the platform publishes."""

from typing import Protocol

from carobslip import directory


class PlatformUnavailable(Exception):
    """The platform gave no usable answer."""


class Platform(Protocol):
    """Read-only access to the platform's configuration and instance list."""

    async def read_configuration(
        self,
        after_version: int,
        wait_ms: int,
    ) -> str | None:
        """Reads the operators' document, waiting for a newer version.

        Args:
            after_version: The version that is already held.
            wait_ms: How long the service may wait for a newer one.

        Returns:
            The document's text; None when there is no newer version yet.

        Raises:
            PlatformUnavailable: The service did not answer.
        """

    async def read_instances(self) -> tuple[directory.InstanceRecord, ...]:
        """Reads the list of instances.

        Raises:
            PlatformUnavailable: The service did not answer with a list.
        """
