"""The clock port and its two implementations."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Provides monotonic time, for all durations, and wall time."""

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds."""

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""


class SystemClock:
    """Reads the clocks of the machine."""

    def now_ms(self) -> float:
        """Returns time since boot, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return int(time.time() * 1000)


class LoopClock:
    """Uses the time of the event loop, which tests may control.

    Args:
        epoch_ms: Unix time at which the loop's time is zero.
    """

    def __init__(self, *, epoch_ms: int) -> None:
        self._epoch_ms = epoch_ms

    def now_ms(self) -> float:
        """Returns the loop's time in milliseconds."""
        return asyncio.get_running_loop().time() * 1000

    def wall_ms(self) -> int:
        """Returns the epoch plus the loop's time, in milliseconds."""
        return self._epoch_ms + int(self.now_ms())
