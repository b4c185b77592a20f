"""Port of the transport that carries control messages."""

from collections.abc import Awaitable, Callable
from typing import Protocol

Handler = Callable[[bytes], Awaitable[bytes]]


class PeerUnreachable(Exception):
    """No answer came in time; the request may have been handled."""


class Transport(Protocol):
    """Sends requests to peers and receives requests from them."""

    async def call(
        self,
        address: str,
        frame: bytes,
        timeout_ms: float,
    ) -> bytes:
        """Sends one request and returns the answer.

        Raises:
            PeerUnreachable: No answer came within ``timeout_ms``.
        """

    async def serve(self, address: str, handler: Handler) -> None:
        """Starts passing requests received at ``address`` to a handler."""

    async def close(self) -> None:
        """Stops receiving and drops all connections."""
