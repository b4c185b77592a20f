"""Which targets stand still because their lock-step group does."""

import asyncio
from collections.abc import Iterable
from typing import Final

from carobslip import clocks, identifiers

#: A target that works sends something within this time; a pass takes less.
_SILENCE_MIN_MS: Final = 300.0


class _Known:
    """What is known of one target."""

    def __init__(self) -> None:
        self.has_news = asyncio.Event()
        self.news_ms = 0.0
        self.heard_ms = 0.0


class StallBook:
    """Tells which targets stand still.

    News of it may be late or wrong, so a target that still sends something
    does not stand still, whatever the news says.

    Args:
        clock: Monotonic time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._known: dict[identifiers.TargetId, _Known] = {}

    def note(
        self,
        targets: Iterable[identifiers.TargetId],
        *,
        is_stalled: bool,
    ) -> None:
        """Takes news about a group's targets."""
        for target in targets:
            known = self._get(target)
            if is_stalled:
                known.news_ms = self._clock.now_ms()
                known.has_news.set()
            else:
                known.has_news.clear()

    def note_heard(self, target: identifiers.TargetId) -> None:
        """Notes that a target has just sent something."""
        self._get(target).heard_ms = self._clock.now_ms()

    def has_news(self, target: identifiers.TargetId) -> bool:
        """Tells whether a target is said to stand still."""
        known = self._known.get(target)
        return known is not None and known.has_news.is_set()

    def is_stalled(
        self,
        target: identifiers.TargetId,
        *,
        since_ms: float,
    ) -> bool:
        """Tells whether a call gets nothing since its target stands still.

        Args:
            target: Where the call is.
            since_ms: When it was started.
        """
        if not self.has_news(target):
            return False
        known = self._get(target)
        if known.news_ms < known.heard_ms:
            return False
        silent_ms = self._clock.now_ms() - max(known.heard_ms, since_ms)
        return silent_ms >= _SILENCE_MIN_MS

    async def wait_for_news(self, target: identifiers.TargetId) -> None:
        """Returns when a target is said to stand still."""
        await self._get(target).has_news.wait()

    def forget_missing(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops targets that have gone."""
        kept = set(listed)
        for target in list(self._known):
            if target not in kept and not self.has_news(target):
                self._known.pop(target)

    def _get(self, target: identifiers.TargetId) -> _Known:
        return self._known.setdefault(target, _Known())
