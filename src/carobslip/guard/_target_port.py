"""The port to the target behind a guard."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec

from carobslip import identifiers


class TargetNotReached(Exception):
    """No byte of the call was sent, so it cannot have run."""


class TargetLost(Exception):
    """The call was sent, but its answer is missing or incomplete."""


class TargetCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call of the target.

    Attributes:
        request_id: Identifies the call at the target, for cancellation.
        method: HTTP method.
        path: Path with its query.
        content_type: Media type of the body.
        body: The caller's body.
        key: Idempotency key forwarded to the target, if there is one.
        timeout_ms: Time allowed for the answer.
        priority: Forwarded to engines that support priorities.
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
        """Yields the body as it arrives; raises TargetLost if it breaks off."""


class Target(Protocol):
    """Calls the target."""

    def call(
        self,
        call: TargetCall,
    ) -> AbstractAsyncContextManager[TargetAnswer]:
        """Sends a call and yields its answer; an early exit cancels it.

        Raises:
            TargetNotReached: Nothing was sent.
            TargetLost: The call was sent but not answered.
        """

    async def is_up(self) -> bool:
        """Tells whether the target answers its probe."""
