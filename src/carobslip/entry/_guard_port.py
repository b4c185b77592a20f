"""The port to guards."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from carobslip import attempts


class GuardNotReached(Exception):
    """No byte of the attempt was sent, so it cannot have run."""


class GuardLost(Exception):
    """The attempt was sent, but its reply is missing or incomplete."""


class ReplyReader(Protocol):
    """Yields the frames of one reply."""

    async def read(self) -> attempts.Frame:
        """Returns the next frame; raises GuardLost if the reply breaks off."""


class GuardPort(Protocol):
    """Sends attempts."""

    def open(
        self,
        address: str,
        attempt: attempts.Attempt,
        body: bytes,
    ) -> AbstractAsyncContextManager[ReplyReader]:
        """Sends one attempt exactly once and yields a reader of its reply.

        Raises:
            GuardNotReached: Nothing was sent.
            GuardLost: The attempt may have arrived.
        """
