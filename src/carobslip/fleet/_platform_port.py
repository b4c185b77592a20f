"""Port for reading what the platform publishes."""

import enum
from typing import Protocol

import msgspec

from carobslip import directory


class PlatformUnavailable(Exception):
    """The platform gave no usable answer."""


class PublishedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' document, as the platform holds it.

    Attributes:
        text: JSON with comments.
        era: Counts how often the platform has come back from an older copy.
        revision: The platform's revision of the document within that era.
        is_settled: The platform has what it had acknowledged before it was
            last restored. Until then the document may be an older one.
        as_of_ms: Monotonic time at which the platform is known to have held
            this document; None if only the time of the call is known.
    """

    text: str
    era: int = 0
    revision: int = 0
    is_settled: bool = True
    as_of_ms: float | None = None


class NoDocument(enum.Enum):
    """Why the platform returns no document."""

    #: The version that is held is still the newest one.
    UNCHANGED = 'unchanged'
    #: The platform holds none, or one that cannot be translated.
    UNUSABLE = 'unusable'


class Platform(Protocol):
    """Read-only access to the platform's configuration and instance list."""

    async def read_configuration(
        self,
        after_version: int,
        wait_ms: int,
    ) -> PublishedDocument | NoDocument:
        """Reads the operators' document, waiting for a newer one.

        Args:
            after_version: The version that is already held.
            wait_ms: How long the service may wait for a newer one.

        Raises:
            PlatformUnavailable: The service did not answer.
        """

    async def read_instances(self) -> tuple[directory.InstanceRecord, ...]:
        """Reads the list of instances.

        Raises:
            PlatformUnavailable: The service did not answer with a list.
        """
