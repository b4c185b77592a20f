"""The port towards guards."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from carobslip import attempts


class GuardNotReached(Exception):
    """Nothing of the attempt was sent: it certainly did not run."""


class GuardLost(Exception):
    """The attempt was sent and its reply is missing or broken."""


class ReplyReader(Protocol):
    """Yields the frames of one reply."""

    async def read(self) -> attempts.Frame:
        """Returns the next frame; raises GuardLost when the reply breaks."""


class GuardPort(Protocol):
    """Sends attempts."""

    def open(
        self,
        address: str,
        attempt: attempts.Attempt,
        body: bytes,
    ) -> AbstractAsyncContextManager[ReplyReader]:
        """Sends one attempt, once, and yields the reader of its reply.

        Raises:
            GuardNotReached: Nothing was sent.
            GuardLost: The attempt may have arrived.
        """
