"""Detects that the process was suspended."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from carobslip import clocks

_TICK_MS: Final = 250.0
_PAUSE_MS: Final = 1000.0


class PauseDetector:
    """Ticks periodically, and calls back after a gap of at least one second.

    Args:
        clock: Monotonic time, which advances during a pause.
        on_pause: Called with the length of the pause in milliseconds.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        on_pause: Callable[[float], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._on_pause = on_pause
        self._last_tick_ms: float | None = None

    def is_current(self) -> bool:
        """Tells whether the process has been running without a pause.

        False from the moment the process resumes until the callback has ended.
        True before the first tick, when there is no state yet that could be
        stale.
        """
        if self._last_tick_ms is None:
            return True
        return self._clock.now_ms() - self._last_tick_ms < _PAUSE_MS

    async def run(self) -> None:
        """Ticks forever; must run in a single task."""
        last_ms = self._clock.now_ms()
        while True:
            self._last_tick_ms = last_ms
            await asyncio.sleep(_TICK_MS / 1000)
            gap_ms = self._clock.now_ms() - last_ms
            if gap_ms >= _PAUSE_MS:
                await self._on_pause(gap_ms)
            last_ms = self._clock.now_ms()
