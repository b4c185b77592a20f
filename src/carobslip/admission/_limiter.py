"""An adaptive concurrency limit derived from the target's latency."""

from typing import Final

import msgspec

#: Weight of one sample in the moving average.
_AVERAGE_SHARE: Final = 0.2
#: Relative rise of the baseline per sample, so that old minima expire.
_BASELINE_RISE: Final = 0.002
#: Factor by which a slow sample reduces the limit.
_BACKOFF_RATIO: Final = 0.7
#: Multiple of the tolerated latency at which a target counts as cold.
_COLD_TOLERANCES: Final = 2.0
#: Samples before the first decrease is possible.
_LEARNING_SAMPLES: Final = 3


class LimiterSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the limit.

    Attributes:
        cold: Limit of a target whose capacity is not known yet.
        maximum: Limit that is never exceeded.
        tolerance_ratio: Latency over baseline that still counts as healthy.
        idle_cold_ms: A target idle for longer is cold again.
    """

    cold: int
    maximum: int
    tolerance_ratio: float
    idle_cold_ms: int


class Limiter:
    """Grows the limit while latency stays near the baseline.

    During warm-up the limit grows by one per completed request, which doubles
    it with every full round; after the first slow sample it grows by one per
    round. Samples are latency per unit of work in milliseconds.

    Args:
        settings: Bounds of the limit.
        now_ms: Monotonic time of the start.
    """

    def __init__(self, *, settings: LimiterSettings, now_ms: float) -> None:
        self.settings = settings
        self.cost_ms = 0.0
        self._limit = float(settings.cold)
        self._baseline_ms: float | None = None
        self._samples = 0
        self._warming = True
        self._last_decrease_ms = now_ms
        self._last_active_ms = now_ms

    @property
    def limit(self) -> int:
        """Requests that may be in progress; at least one."""
        return max(1, min(int(self._limit), self.settings.maximum))

    @property
    def is_warming(self) -> bool:
        """Tells whether the target's capacity is still being probed."""
        return self._warming

    def note_start(self, now_ms: float, in_progress: int) -> None:
        """Records a start; after a long idle time the limit is reset first."""
        idle_ms = now_ms - self._last_active_ms
        if in_progress == 0 and idle_ms > self.settings.idle_cold_ms:
            self.reset()
        self._last_active_ms = now_ms

    def note_success(
        self,
        *,
        now_ms: float,
        started_ms: float,
        unit_ms: float,
        in_progress: int,
    ) -> None:
        """Adjusts the limit to the latency of a completed request.

        Args:
            now_ms: Monotonic time now.
            started_ms: When the request started.
            unit_ms: Its service time per unit of work.
            in_progress: Requests in progress, this one included.
        """
        self._last_active_ms = now_ms
        self._update_cost(now_ms - started_ms)
        ratio = self._update_baseline(unit_ms)
        if ratio > self.settings.tolerance_ratio:
            self._decrease(ratio, now_ms, started_ms)
        elif in_progress >= self.limit:
            step = 1.0 if self._warming else 1.0 / self._limit
            self._limit = min(self._limit + step, self.settings.maximum)

    def note_failure(self) -> None:
        """Resets the limit after a failed or refused call."""
        self.reset()

    def reset(self) -> None:
        """Returns to the cold limit; the baseline is kept."""
        self._limit = float(min(self.settings.cold, self.settings.maximum))
        self._warming = True

    def _update_cost(self, service_ms: float) -> None:
        if self.cost_ms == 0:
            self.cost_ms = service_ms
        self.cost_ms += _AVERAGE_SHARE * (service_ms - self.cost_ms)

    def _update_baseline(self, unit_ms: float) -> float:
        self._samples += 1
        if self._baseline_ms is None:
            self._baseline_ms = unit_ms
        risen_ms = self._baseline_ms * (1 + _BASELINE_RISE)
        self._baseline_ms = max(min(risen_ms, unit_ms), 0.001)
        if self._samples < _LEARNING_SAMPLES:
            return 1.0
        return unit_ms / self._baseline_ms

    def _decrease(
        self,
        ratio: float,
        now_ms: float,
        started_ms: float,
    ) -> None:
        # Requests that started before the last decrease do not reflect the
        # limit that has been in force since.
        if started_ms < self._last_decrease_ms:
            return
        self._last_decrease_ms = now_ms
        if ratio > self.settings.tolerance_ratio * _COLD_TOLERANCES:
            self.reset()
            return
        self._warming = False
        floor = float(min(self.settings.cold, self.settings.maximum))
        self._limit = max(self._limit * _BACKOFF_RATIO, min(floor, 1.0))
