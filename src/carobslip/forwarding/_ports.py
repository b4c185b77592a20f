"""Interfaces to the caller and the target of a forwarded request."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import msgspec

from carobslip import identifiers, targets
from carobslip.forwarding import _request


class Caller(Protocol):
    """Receives the answer of one request."""

    async def answer(self, head: _request.AnswerHead, body: bytes) -> None:
        """Sends a complete answer."""

    async def begin(self, head: _request.AnswerHead) -> None:
        """Sends the head of a stream; no refusal can be sent after this."""

    async def write(self, content: bytes) -> None:
        """Sends a part of a stream, waiting while the caller reads slowly."""

    async def end(self) -> None:
        """Ends a stream as complete."""


class CallProgress(msgspec.Struct, kw_only=True):
    """Progress of a call, for logs.

    Attributes:
        started_ms: When it got its slot at the target.
        connect_ms: Time until it had a connection; None before that. Close to
            0 for a reused one.
        unconfirmed_bytes: Bytes that the target's machine had not acknowledged
            when the call was abandoned; None if it ended otherwise.
        received_bytes: Bytes of the answer's body that have arrived.
        events: Complete events of a stream among them.
        first_event_ms: Time from the start of the call to the first of them.
    """

    started_ms: float = 0
    connect_ms: float | None = None
    unconfirmed_bytes: int | None = None
    received_bytes: int = 0
    events: int = 0
    first_event_ms: float | None = None

    def fields(self, now_ms: float) -> dict[str, float | int | None]:
        """Returns the progress as fields of a log line."""
        connect_ms = self.connect_ms
        return {
            'call_ms': round(now_ms - self.started_ms),
            'connect_ms': None if connect_ms is None else round(connect_ms, 1),
            'unconfirmed_bytes': self.unconfirmed_bytes,
            'received_bytes': self.received_bytes,
            'events': self.events,
        }


class ForwardCall(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a request at one target.

    Attributes:
        request: The caller's request.
        target: The incarnation of the target that is called; others refuse.
        address: Its network address.
        team: Team that owns the request; None where callers need no key.
        time_left_ms: Time after which the target stops its work.
        last_event: The stream resumes after this event; None for a new stream.
        may_reuse_connection: A kept-alive connection may carry the call.
        progress: Updated while the call proceeds.
        urgency: Priority of the request, from 0 for the highest to 9, if the
            service is contended.
    """

    request: _request.ForwardRequest
    target: identifiers.TargetId
    address: str
    team: identifiers.TeamId | None
    time_left_ms: float
    last_event: str | None
    may_reuse_connection: bool
    progress: CallProgress = msgspec.field(default_factory=CallProgress)
    urgency: int | None = None


class TargetLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load that a target reports in an answer."""

    running: int
    waiting: int
    slots: int


class TargetAnswer(Protocol):
    """A target's answer, whose body may still be arriving.

    Attributes:
        head: Status and headers.
        has_not_run: The target states that the request did not run.
        is_other_target: Another incarnation of a target has the address.
        is_event_stream: The body is a series of events.
        load: Load that the target reports; None if it reports none.
        rate_limits: Values that name the requests a second which the target
            takes from all entries together, as received.
        retry_after: Seconds for which a target that turns the request away wants
            no further ones, as received; None if it names none.
        is_leaving: The target says that it leaves.
        target_at_fault: The target that caused the failure, if the answering
            one names another.
    """

    head: _request.AnswerHead
    has_not_run: bool
    is_other_target: bool
    is_event_stream: bool
    load: TargetLoad | None
    rate_limits: tuple[str, ...]
    retry_after: str | None
    is_leaving: bool
    target_at_fault: identifiers.TargetId | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises TargetLost if it breaks off."""


class TargetPort(Protocol):
    """Calls targets."""

    def call(
        self,
        call: ForwardCall,
    ) -> AbstractAsyncContextManager[TargetAnswer]:
        """Sends a call once and yields the answer; an early exit cancels it.

        Raises:
            guard.TargetNotReached: Nothing was sent.
            guard.TargetLost: The call was sent and no answer came.
        """

    async def is_gone(self, record: targets.TargetRecord) -> bool:
        """Tells whether a target no longer runs in the start of its record.

        Returns:
            False also if that cannot be told, because nothing answers.
        """
