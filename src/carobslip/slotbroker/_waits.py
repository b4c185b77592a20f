"""Rate at which slots become free, time to the first event, retry delays."""

import collections
import random
import statistics
from typing import Final

#: Window of releases, outcomes and arrivals.
_WINDOW_MS: Final = 1000.0
#: Releases in the window from which their rate is used.
_RELEASES_MIN: Final = 10
#: Shortest time over which a rate is measured.
_MEASURED_MIN_MS: Final = 250.0
#: Measured rates are bounded to these multiples of slots / time held: the
#: number of usable slots can change faster than the window.
_RATE_SHARE_MIN: Final = 0.5
_RATE_SHARE_MAX: Final = 2.0
#: Time that a slot is held, before any was released.
_HELD_MS: Final = 2000.0
#: Time that a slot is held at least, in predictions.
_HELD_MIN_MS: Final = 20.0
#: Recent outcomes that are kept, and those used whatever their age.
_KEPT_MAX: Final = 512
_HELD_KEPT_MAX: Final = 64
_FRESH_MIN: Final = 8
#: Quantile of the observed times to the first event that is expected.
_FIRST_EVENT_QUANTILE: Final = 0.7
#: Part of the time to the objective that is expected for the first event,
#: before any was observed.
_FIRST_EVENT_SHARE: Final = 0.4
#: Part of the rate that is assumed to remain for a request while more urgent
#: requests arrive faster than slots become free.
_REMAINING_SHARE_MIN: Final = 0.2

#: Bounds of retry delays. A delay must end while the refusal is remembered.
_RETRY_MIN_MS: Final = 400.0
_RETRY_MAX_MS: Final = 6000.0
_RETRY_SPREAD: Final = 1.5
_RETRY_PATIENCE_SHARE: Final = 1 / 3
#: Added to the shortest delay for each step of priority, so that more urgent
#: callers return first.
_RETRY_STEP_MS: Final = 100.0

_Timed = tuple[float, float]


class ServiceTimes:
    """What the recent requests of one service showed."""

    def __init__(self) -> None:
        self._held_ms: collections.deque[float] = collections.deque(
            maxlen=_HELD_KEPT_MAX
        )
        self._releases_ms: collections.deque[float] = collections.deque(
            maxlen=_KEPT_MAX
        )
        self._first_events: collections.deque[_Timed] = collections.deque(
            maxlen=_KEPT_MAX
        )
        self._arrivals: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._arrived: collections.Counter[int] = collections.Counter()
        self._measured_from_ms = 0.0
        self._released_ms = float('-inf')
        self._first_event_ms: float | None = None
        self._typical_held_ms = _HELD_MS

    def note_release(self, held_ms: float, now_ms: float) -> None:
        """Notes that a slot became free after some time of use."""
        held = self._typical_held_ms
        # Slots become free at the former rate after a stall; the time without
        # releases would make the rate seem low.
        if now_ms - self._released_ms > _MEASURED_MIN_MS:
            self._releases_ms.clear()
            self._measured_from_ms = now_ms
        self._released_ms = now_ms
        self._releases_ms.append(now_ms)
        self._held_ms.append(max(_HELD_MIN_MS, held_ms))
        weight = min(1.0, len(self._held_ms) / _FRESH_MIN)
        median_ms = statistics.median(self._held_ms)
        self._typical_held_ms = held + weight * (median_ms - held)

    def age_ms(self, now_ms: float) -> float | None:
        """Returns the time since the last release; None before the first."""
        if not self._held_ms:
            return None
        return now_ms - self._released_ms

    def note_first_event(self, first_event_ms: float, now_ms: float) -> None:
        """Notes the time from a start to the first event."""
        self._first_events.append((now_ms, first_event_ms))
        recent = [
            one
            for moment, one in self._first_events
            if now_ms - moment <= _WINDOW_MS
        ]
        if len(recent) < _FRESH_MIN:
            recent = [one for _, one in self._first_events][-_FRESH_MIN:]
        recent.sort()
        index = int(_FIRST_EVENT_QUANTILE * (len(recent) - 1) + 0.5)
        self._first_event_ms = recent[index]

    def first_event_ms(self, on_time_left_ms: float) -> float:
        """Returns the expected time from a start to the first event.

        Args:
            on_time_left_ms: Time to the objective when the request arrived.
        """
        if self._first_event_ms is None:
            return _FIRST_EVENT_SHARE * max(0.0, on_time_left_ms)
        return self._first_event_ms

    def note_arrival(self, priority: int, now_ms: float) -> None:
        """Notes a request that was accepted and can be on time."""
        if len(self._arrivals) == _KEPT_MAX:
            self._drop_arrival()
        self._arrivals.append((now_ms, priority))
        self._arrived[priority] += 1

    def arrivals_per_ms(self, below: float, now_ms: float) -> float:
        """Returns the rate of accepted requests that can be on time.

        Args:
            below: Only requests of a more urgent priority than this count.
            now_ms: The present time.
        """
        while self._arrivals and now_ms - self._arrivals[0][0] > _WINDOW_MS:
            self._drop_arrival()
        count = sum(
            amount
            for priority, amount in self._arrived.items()
            if priority < below
        )
        return count / _WINDOW_MS

    def rate_per_ms(self, slots: int, now_ms: float) -> float:
        """Returns the rate at which slots become free.

        Args:
            slots: Slots of the usable targets, all of them in use.
            now_ms: The present time.
        """
        usual = max(1, slots) / self._typical_held_ms
        while self._releases_ms and (
            now_ms - self._releases_ms[0] > _WINDOW_MS
        ):
            self._releases_ms.popleft()
        count = len(self._releases_ms)
        if count < _RELEASES_MIN:
            return usual
        since_ms = max(self._measured_from_ms, now_ms - _WINDOW_MS)
        # A stall in progress says nothing about the rate after it.
        until_ms = min(now_ms, self._released_ms + _MEASURED_MIN_MS)
        measured = count / max(_MEASURED_MIN_MS, until_ms - since_ms)
        return max(
            _RATE_SHARE_MIN * usual, min(_RATE_SHARE_MAX * usual, measured)
        )

    def _drop_arrival(self) -> None:
        _, priority = self._arrivals.popleft()
        self._arrived[priority] -= 1


def wait_ms(ahead: int, rate: float, arrivals: float) -> float:
    """Returns the expected wait of a request.

    Args:
        ahead: Requests that go before it.
        rate: Slots that become free, per millisecond.
        arrivals: Requests that arrive and go before it, per millisecond.
    """
    remaining = max(rate - arrivals, _REMAINING_SHARE_MIN * rate)
    return (ahead + 1) / remaining


def retry_after_ms(
    *,
    backlog_ms: float,
    priority: int,
    patience_left_ms: float,
    generator: random.Random,
) -> float:
    """Returns a retry delay.

    Args:
        backlog_ms: Time until the backlog at and above the caller's priority
            has drained.
        priority: The caller's priority.
        patience_left_ms: How long the caller still waits.
        generator: Spreads the delays.
    """
    shortest_ms = _RETRY_MIN_MS + _RETRY_STEP_MS * priority
    delay_ms = min(_RETRY_MAX_MS, max(shortest_ms, backlog_ms))
    longest_ms = max(0.0, _RETRY_PATIENCE_SHARE * patience_left_ms)
    if delay_ms * _RETRY_SPREAD > longest_ms:
        # The spread is kept below the bound, or callers would return together.
        delay_ms = longest_ms / _RETRY_SPREAD
        if longest_ms > _RETRY_MIN_MS:
            delay_ms = max(_RETRY_MIN_MS, delay_ms)
        return generator.uniform(delay_ms, longest_ms)
    return delay_ms * generator.uniform(1.0, _RETRY_SPREAD)
