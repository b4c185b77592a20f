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


class CallProgress(msgspec.Struct, kw_only=True):
    """How far a call came, for logs.

    Attributes:
        started_ms: When its place had been taken.
        connect_ms: Time until it had a connection; None before that. Close to
            0 for a kept one.
        unconfirmed_bytes: What the target's machine had not confirmed when the
            call was given up; None for other ends.
    """

    started_ms: float = 0
    connect_ms: float | None = None
    unconfirmed_bytes: int | None = None

    def fields(self, now_ms: float) -> dict[str, float | int | None]:
        """Returns how far the call came, for a log line."""
        connect_ms = self.connect_ms
        return {
            'call_ms': round(now_ms - self.started_ms),
            'connect_ms': None if connect_ms is None else round(connect_ms, 1),
            'unconfirmed_bytes': self.unconfirmed_bytes,
        }


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
        progress: Is told how far the call came.
    """

    request: _request.ForwardRequest
    target: identifiers.TargetId
    address: str
    team: identifiers.TeamId | None
    time_left_ms: float
    last_event: str | None
    may_reuse_connection: bool
    progress: CallProgress = msgspec.field(default_factory=CallProgress)


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
