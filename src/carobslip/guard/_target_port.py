"""The port to the target behind a guard."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec

from carobslip import identifiers


class TargetNotReached(Exception):
    """No byte of the call was sent: it certainly did not run."""


class TargetLost(Exception):
    """The call was sent, but its answer is missing or incomplete."""


class TargetCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call of the target.

    Attributes:
        request_id: Names the call towards the target, for cancelling.
        method: HTTP method.
        path: Path with its query.
        content_type: Media type of the body.
        body: The caller's body.
        key: Idempotency key, passed on where there is one.
        timeout_ms: The answer is needed within this time.
        priority: Passed on to engines that honour it.
    """

    request_id: identifiers.RequestId
    method: str
    path: str
    content_type: str
    body: bytes
    key: identifiers.IdempotencyKey | None
    timeout_ms: float
    priority: int


class TargetAnswer(Protocol):
    """An answer whose body may still be arriving."""

    status: int
    content_type: str

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises TargetLost when it breaks."""


class Target(Protocol):
    """Calls the target."""

    def call(
        self,
        call: TargetCall,
    ) -> AbstractAsyncContextManager[TargetAnswer]:
        """Sends a call and yields the answer; leaving early cancels it.

        Raises:
            TargetNotReached: Nothing was sent.
            TargetLost: The call was sent and no answer came.
        """

    async def is_up(self) -> bool:
        """Tells whether the target answers its probe."""
