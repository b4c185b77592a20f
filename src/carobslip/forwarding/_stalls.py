"""Detects targets that stall because their lock-step group does."""

import asyncio
from collections.abc import Iterable
from typing import Final

from carobslip import clocks, identifiers

#: Longest silence of a working target; a pass takes less.
_SILENCE_MIN_MS: Final = 300.0


class _TargetState:
    """Last stall report and last received content of one target."""

    def __init__(self) -> None:
        self.stall_reported = asyncio.Event()
        self.reported_ms = 0.0
        self.received_ms = 0.0


class StallTracker:
    """Tells which targets are stalled.

    Stall reports may be late or wrong, so a target that still sends content
    does not count as stalled, whatever was reported.

    Args:
        clock: Monotonic time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._known: dict[identifiers.TargetId, _TargetState] = {}

    def store_report(
        self,
        targets: Iterable[identifiers.TargetId],
        *,
        is_stalled: bool,
    ) -> None:
        """Stores a report about a group's targets."""
        for target in targets:
            known = self._get(target)
            if is_stalled:
                known.reported_ms = self._clock.now_ms()
                known.stall_reported.set()
            else:
                known.stall_reported.clear()

    def note_received(self, target: identifiers.TargetId) -> None:
        """Records that a target has just sent content."""
        self._get(target).received_ms = self._clock.now_ms()

    def is_reported_stalled(self, target: identifiers.TargetId) -> bool:
        """Tells whether a target is reported as stalled."""
        known = self._known.get(target)
        return known is not None and known.stall_reported.is_set()

    def is_stalled(
        self,
        target: identifiers.TargetId,
        *,
        since_ms: float,
    ) -> bool:
        """Tells whether a call gets no content because its target is stalled.

        Args:
            target: The target that is called.
            since_ms: When the call was started.
        """
        if not self.is_reported_stalled(target):
            return False
        known = self._get(target)
        if known.reported_ms < known.received_ms:
            return False
        silent_ms = self._clock.now_ms() - max(known.received_ms, since_ms)
        return silent_ms >= _SILENCE_MIN_MS

    async def wait_for_stall(self, target: identifiers.TargetId) -> None:
        """Returns once a target is reported as stalled."""
        await self._get(target).stall_reported.wait()

    def drop_unlisted(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops unlisted targets that are not reported as stalled."""
        kept = set(listed)
        for target in list(self._known):
            if target not in kept and not self.is_reported_stalled(target):
                self._known.pop(target)

    def _get(self, target: identifiers.TargetId) -> _TargetState:
        return self._known.setdefault(target, _TargetState())
