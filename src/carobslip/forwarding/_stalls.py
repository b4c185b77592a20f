"""Which targets stand still because their lock-step group does."""

import asyncio
from collections.abc import Iterable

from carobslip import identifiers


class StallBook:
    """Lets requests wait for the news that their target stands still."""

    def __init__(self) -> None:
        self._stalled: dict[identifiers.TargetId, asyncio.Event] = {}

    def note(
        self,
        targets: Iterable[identifiers.TargetId],
        *,
        is_stalled: bool,
    ) -> None:
        """Takes news about a group's targets."""
        for target in targets:
            event = self._event(target)
            if is_stalled:
                event.set()
            else:
                event.clear()

    def is_stalled(self, target: identifiers.TargetId) -> bool:
        """Tells whether a target stands still."""
        event = self._stalled.get(target)
        return event is not None and event.is_set()

    async def wait(self, target: identifiers.TargetId) -> None:
        """Returns when the target is known to stand still."""
        await self._event(target).wait()

    def forget_missing(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops targets that have gone."""
        kept = set(listed)
        for target in list(self._stalled):
            if target not in kept and not self._stalled[target].is_set():
                self._stalled.pop(target)

    def _event(self, target: identifiers.TargetId) -> asyncio.Event:
        return self._stalled.setdefault(target, asyncio.Event())
