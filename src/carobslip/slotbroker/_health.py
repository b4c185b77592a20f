"""Failures, avoidance and slowness of targets."""

import statistics
from collections.abc import Iterable
from typing import Final

from carobslip import identifiers
from carobslip.slotbroker import _types

#: Time for which a failed target is avoided, doubled for each failure in a row
#: up to the second value.
_AVOID_MS: Final = 500.0
_AVOID_MAX_MS: Final = 4000.0
#: Doublings that reach the longest time.
_DOUBLINGS_MAX: Final = 3
#: Failures in a row after which a target that still answers is avoided.
_FAILURES_MAX: Final = 2
#: Weight of one answer in the average time of an event.
_AVERAGE_SHARE: Final = 0.3
#: Ratio to the median from which a target counts as slow, and the largest one
#: that is used.
_SLOW_RATIO: Final = 1.3
_SLOW_RATIO_MAX: Final = 4.0
#: Time after which an average without new answers is ignored.
_FRESH_MS: Final = 5000.0
#: Targets from which a median is meaningful.
_TARGETS_MIN: Final = 3
#: Interval at which the median is computed.
_MEDIAN_INTERVAL_MS: Final = 100.0
_FAILED_RESULTS: Final = frozenset(
    (_types.SlotResult.FAILED, _types.SlotResult.UNREACHABLE)
)


class _TargetHealth:
    def __init__(self) -> None:
        self.failures = 0
        self.failed_ms = float('-inf')
        self.avoid_until_ms = 0.0
        # Set by others, and not ended by late answers of a stalled group.
        self.stalled_until_ms = 0.0
        self.pace = 1.0
        self.pace_until_ms = 0.0
        self.event_ms = 0.0
        self.observed_ms = 0.0


class TargetHealth:
    """Tells which targets are to be avoided, and which are slow."""

    def __init__(self) -> None:
        self._known: dict[identifiers.TargetId, _TargetHealth] = {}
        self._median_ms = 0.0
        self._median_at_ms = float('-inf')

    def avoided_until_ms(self, target: identifiers.TargetId) -> float:
        """Returns until when a target is avoided; 0 if it never was."""
        known = self._known.get(target)
        if known is None:
            return 0.0
        return max(known.avoid_until_ms, known.stalled_until_ms)

    def avoid(
        self, target: identifiers.TargetId, until_ms: float, now_ms: float
    ) -> bool:
        """Avoids a target, whatever its requests show.

        Returns:
            Whether the avoidance begins, rather than being renewed.
        """
        known = self._get(target)
        is_new = known.stalled_until_ms <= now_ms
        known.stalled_until_ms = max(known.stalled_until_ms, until_ms)
        return is_new

    def clear(self, target: identifiers.TargetId) -> None:
        """Ends the avoidance of a target whose cause has been removed."""
        known = self._known.get(target)
        if known is not None:
            known.failures = 0
            known.avoid_until_ms = 0.0
            known.stalled_until_ms = 0.0

    def note_outcome(
        self,
        outcome: _types.SlotOutcome,
        *,
        started_ms: float,
        now_ms: float,
    ) -> float:
        """Counts an outcome; returns how long the target is avoided for it.

        Args:
            outcome: The outcome of a request.
            started_ms: When the request got its slot.
            now_ms: The present time.
        """
        if outcome.result is _types.SlotResult.SERVED:
            self._note_served(outcome, now_ms)
            return 0.0
        if outcome.result not in _FAILED_RESULTS:
            return 0.0
        known = self._get(outcome.target)
        # Requests that ran at the time of a failure often fail with it, and say
        # nothing about the target's state afterwards.
        if started_ms < known.failed_ms:
            return 0.0
        known.failed_ms = now_ms
        known.failures += 1
        is_unreachable = outcome.result is _types.SlotResult.UNREACHABLE
        if not is_unreachable and known.failures < _FAILURES_MAX:
            return 0.0
        doublings = min(known.failures - 1, _DOUBLINGS_MAX)
        avoid_ms = min(_AVOID_MAX_MS, _AVOID_MS * 2.0**doublings)
        known.avoid_until_ms = max(known.avoid_until_ms, now_ms + avoid_ms)
        return avoid_ms

    def slowness(self, target: identifiers.TargetId, now_ms: float) -> float:
        """Returns the time of an event relative to the other targets."""
        known = self._known.get(target)
        if known is None:
            return 1.0
        ratio = known.pace if now_ms < known.pace_until_ms else 1.0
        median_ms = self._median(now_ms)
        if median_ms > 0 and now_ms - known.observed_ms <= _FRESH_MS:
            ratio = max(ratio, known.event_ms / median_ms)
        return min(_SLOW_RATIO_MAX, ratio) if ratio >= _SLOW_RATIO else 1.0

    def store_pace(
        self, target: identifiers.TargetId, pace: float, until_ms: float
    ) -> None:
        """Stores the time that a target needs relative to its group."""
        known = self._get(target)
        known.pace = pace
        known.pace_until_ms = until_ms

    def drop_unlisted(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops the state of unlisted targets."""
        kept = frozenset(listed)
        for target in list(self._known):
            if target not in kept:
                self._known.pop(target)

    def _note_served(self, outcome: _types.SlotOutcome, now_ms: float) -> None:
        known = self._get(outcome.target)
        known.failures = 0
        known.avoid_until_ms = 0.0
        if not outcome.events:
            return
        event_ms = outcome.took_ms / outcome.events
        if outcome.first_event_ms is not None and outcome.events > 1:
            written_ms = outcome.took_ms - outcome.first_event_ms
            event_ms = max(0.0, written_ms) / (outcome.events - 1)
        if now_ms - known.observed_ms > _FRESH_MS or not known.event_ms:
            known.event_ms = event_ms
        known.event_ms += _AVERAGE_SHARE * (event_ms - known.event_ms)
        known.observed_ms = now_ms

    def _median(self, now_ms: float) -> float:
        if now_ms - self._median_at_ms >= _MEDIAN_INTERVAL_MS:
            self._median_at_ms = now_ms
            times_ms = [
                one.event_ms
                for one in self._known.values()
                if one.event_ms and now_ms - one.observed_ms <= _FRESH_MS
            ]
            self._median_ms = 0.0
            if len(times_ms) >= _TARGETS_MIN:
                self._median_ms = statistics.median(times_ms)
        return self._median_ms

    def _get(self, target: identifiers.TargetId) -> _TargetHealth:
        return self._known.setdefault(target, _TargetHealth())
