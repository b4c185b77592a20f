"""The port to one caller."""

from typing import Protocol


class Caller(Protocol):
    """Receives the reply to one request as it arrives."""

    async def begin(self, status: int, content_type: str) -> None:
        """Sends the head of the reply; no retry is possible afterwards."""

    async def write(self, content: bytes) -> None:
        """Sends a part of the body, with backpressure from the caller."""
