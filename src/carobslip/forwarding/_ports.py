"""The ports towards the caller and the target of a forwarded request."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec

from carobslip import identifiers
from carobslip.forwarding import _request


class Caller(Protocol):
    """Takes the answer of one request."""

    async def answer(self, head: _request.AnswerHead, body: bytes) -> None:
        """Sends a whole answer."""

    async def begin(self, head: _request.AnswerHead) -> None:
        """Sends the head of a stream; nothing can be refused from here on."""

    async def write(self, content: bytes) -> None:
        """Sends a part of a stream, waiting while the caller is slow."""

    async def end(self) -> None:
        """Ends a stream as complete."""


class ForwardCall(msgspec.Struct, frozen=True, kw_only=True):
    """One try of a request at one target.

    Attributes:
        request: The caller's request.
        target: The start of the target that is meant; others refuse.
        address: Where it is.
        team: Whose request it is; None where callers need no key.
        time_left_ms: The target stops its work then.
        last_event: The stream goes on after this event; None from the start.
        may_reuse_connection: A kept connection may carry the call.
    """

    request: _request.ForwardRequest
    target: identifiers.TargetId
    address: str
    team: identifiers.TeamId | None
    time_left_ms: float
    last_event: str | None
    may_reuse_connection: bool


class TargetLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says about its load in an answer."""

    running: int
    waiting: int
    slots: int


class TargetAnswer(Protocol):
    """A target's answer, whose body may still be arriving.

    Attributes:
        head: Status and headers.
        has_not_run: The target states that the request did not run.
        is_other_target: Another start of a target has the address.
        is_event_stream: The body is a series of events.
        load: What the target says about its load, if it does.
        culprit: The target at fault, where the answering one names another.
    """

    head: _request.AnswerHead
    has_not_run: bool
    is_other_target: bool
    is_event_stream: bool
    load: TargetLoad | None
    culprit: identifiers.TargetId | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises TargetLost if it breaks."""


class TargetPort(Protocol):
    """Calls targets."""

    def call(
        self,
        call: ForwardCall,
    ) -> AbstractAsyncContextManager[TargetAnswer]:
        """Sends a call once and yields the answer; leaving early cancels it.

        Raises:
            guard.TargetNotReached: Nothing was sent.
            guard.TargetLost: The call was sent and no answer came.
        """
