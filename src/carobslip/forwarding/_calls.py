"""Calls of one request that are in progress at the same time."""

import asyncio
import contextlib
from collections.abc import Iterator

from carobslip import targets, verdicts
from carobslip.forwarding import _ports


class Call:
    """One call of a request at one target.

    A request has a second call while the target of the first one seems to
    stand still. The one that has something to pass on first takes the others
    back; the request then goes on with that one alone.

    Args:
        place: Where the call goes.
        started_ms: When it was started.
        calls: All calls of the request that are in progress.
    """

    def __init__(
        self,
        *,
        place: targets.TargetRecord,
        started_ms: float,
        calls: list['Call'],
    ) -> None:
        self.place = place
        self.started_ms = started_ms
        self.task: asyncio.Future[verdicts.Outcome] | None = None
        self.progress = _ports.CallProgress(started_ms=started_ms)
        self.is_taken_back = False
        self.is_passing_on = False
        self._calls = calls

    @property
    def has_rival(self) -> bool:
        """Tells whether another call of the request is in progress."""
        return any(
            call.task is not None and not call.task.done()
            for call in self._calls
            if call is not self
        )

    @contextlib.contextmanager
    def passing_on(self) -> Iterator[None]:
        """Takes the other calls back, and passes something on to the caller.

        Raises:
            asyncio.CancelledError: This call was taken back itself.
        """
        self.check()
        for call in self._calls:
            if call is not self:
                call.take_back()
        self.is_passing_on = True
        try:
            yield
        finally:
            self.is_passing_on = False

    def check(self) -> None:
        """Makes sure that the call was not taken back.

        Raises:
            asyncio.CancelledError: It was.
        """
        if self.is_taken_back:
            raise asyncio.CancelledError

    def take_back(self) -> None:
        """Ends the call; nothing of it is passed on from now on."""
        self.is_taken_back = True
        if self.task is not None:
            self.task.cancel()
