"""Concurrent calls of one request."""

import asyncio
import contextlib
from collections.abc import Iterator

from carobslip import targets, verdicts
from carobslip.forwarding import _ports


class Call:
    """One call of a request at one target.

    A request has a second call while the target of the first one seems to be
    stalled. The first call that has content to forward cancels the others and
    alone continues the request.

    Args:
        place: The target that is called.
        started_ms: When it was started.
        calls: All calls of the request that are in progress.
        is_resumed: It asks for the rest of a stream only.
    """

    def __init__(
        self,
        *,
        place: targets.TargetRecord,
        started_ms: float,
        calls: list['Call'],
        is_resumed: bool = False,
    ) -> None:
        self.place = place
        self.started_ms = started_ms
        self.task: asyncio.Future[verdicts.Outcome] | None = None
        self.progress = _ports.CallProgress(started_ms=started_ms)
        self.is_cancelled = False
        self.is_sending_to_caller = False
        self.answered_status = 0
        self.is_resumed = is_resumed
        self._calls = calls

    @property
    def has_parallel_call(self) -> bool:
        """Tells whether another call of the request is in progress."""
        return any(
            call.task is not None and not call.task.done()
            for call in self._calls
            if call is not self
        )

    @contextlib.contextmanager
    def sending_to_caller(self) -> Iterator[None]:
        """Cancels the other calls while this one writes to the caller.

        Raises:
            asyncio.CancelledError: This call was cancelled itself.
        """
        self.check()
        for call in self._calls:
            if call is not self:
                call.cancel()
        self.is_sending_to_caller = True
        try:
            yield
        finally:
            self.is_sending_to_caller = False

    def check(self) -> None:
        """Raises if the call was cancelled.

        Raises:
            asyncio.CancelledError: The call was cancelled.
        """
        if self.is_cancelled:
            raise asyncio.CancelledError

    def cancel(self) -> None:
        """Cancels the call; no more of its answer is forwarded."""
        self.is_cancelled = True
        if self.task is not None:
            self.task.cancel()
