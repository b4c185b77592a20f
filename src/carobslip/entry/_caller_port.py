"""The port towards one caller."""

from typing import Protocol


class Caller(Protocol):
    """Takes the reply of one request as it arrives."""

    async def begin(self, status: int, content_type: str) -> None:
        """Sends the head of the reply; from here on nothing is retried."""

    async def write(self, content: bytes) -> None:
        """Sends a part of the body, waiting while the caller is slow."""
