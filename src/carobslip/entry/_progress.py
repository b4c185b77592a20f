"""How far a request has come, and what of it is not settled."""

import msgspec

from carobslip import control, directory, identifiers, verdicts
from carobslip.entry import _caller_port, _trace


class Sent(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt whose end is not known.

    Attributes:
        guard: Where it was sent.
        incarnation: The start of the guard that it was meant for.
    """

    guard: directory.InstanceRecord
    incarnation: identifiers.Incarnation


class Progress(msgspec.Struct, kw_only=True):
    """How far a request has come.

    Attributes:
        trace: Its recorded steps.
        key: Its idempotency key; None for repeatable calls.
        key_is_fresh: The key was made for this request.
        tried: Targets that are not tried again.
        attempts: Attempts sent.
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
    unsettled: Sent | None = None
    last: verdicts.Outcome | None = None


class CountingCaller:
    """Passes a reply on and notes when it has begun."""

    def __init__(
        self,
        *,
        caller: _caller_port.Caller,
        progress: Progress,
    ) -> None:
        self._caller = caller
        self._progress = progress

    async def begin(self, status: int, content_type: str) -> None:
        """Notes the beginning and passes the head on."""
        self._progress.begun = True
        await self._caller.begin(status, content_type)

    async def write(self, content: bytes) -> None:
        """Passes a part of the body on."""
        await self._caller.write(content)
