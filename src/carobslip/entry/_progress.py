"""State of a request in progress."""

import msgspec

from carobslip import control, directory, identifiers, verdicts
from carobslip.entry import _caller_port, _trace


class UnsettledAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt whose outcome is not known.

    Attributes:
        guard: The guard it was sent to.
        incarnation: Incarnation of the guard that it was sent to.
    """

    guard: directory.InstanceRecord
    incarnation: identifiers.Incarnation


class Progress(msgspec.Struct, kw_only=True):
    """State of a request in progress.

    Attributes:
        trace: Recorded steps of the request.
        key: Idempotency key; None for repeatable calls.
        key_is_fresh: The entry generated the key for this request.
        tried: Targets that are excluded from further attempts.
        attempts: Number of attempts so far.
        begun: The head of a reply has been sent to the caller.
        unsettled: An attempt that may have run, if there is one.
        last: Outcome of the latest attempt.
    """

    trace: _trace.Trace
    key: control.KeyRef | None
    key_is_fresh: bool
    tried: set[identifiers.TargetId]
    attempts: int = 0
    begun: bool = False
    unsettled: UnsettledAttempt | None = None
    last: verdicts.Outcome | None = None


class TrackingCaller:
    """Relays a reply and records that it has begun."""

    def __init__(
        self,
        *,
        caller: _caller_port.Caller,
        progress: Progress,
    ) -> None:
        self._caller = caller
        self._progress = progress

    async def begin(self, status: int, content_type: str) -> None:
        """Records the beginning and relays the head."""
        self._progress.begun = True
        await self._caller.begin(status, content_type)

    async def write(self, content: bytes) -> None:
        """Relays a part of the body."""
        await self._caller.write(content)
