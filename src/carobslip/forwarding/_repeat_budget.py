"""A bound on repeated sends that holds for all entries together."""

import collections
from collections.abc import Callable, Collection
from typing import Final

import msgspec

from carobslip import clocks, identifiers
from carobslip.forwarding import _pending_request

#: Share of the fleet's bound that is used; below 1 because callers move between
#: entries.
_USED_SHARE: Final = 0.7
#: Share that a process uses until it has run for a whole window: an earlier
#: process may have spent the rest. Both shares add up to the whole bound.
_STARTUP_USED_SHARE: Final = 0.3
#: Windows for which an entry still counts after it was last known: it may keep
#: sending while it is partitioned from the others.
_ENTRY_KEPT_WINDOWS: Final = 6
#: Interval at which entries are counted.
_COUNT_INTERVAL_MS: Final = 100.0


class RepeatBounds(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' bound on repeats of one service.

    Attributes:
        ratio: Repeats per request in the window.
        extra: Repeats on top of that, over all entries.
        window_s: Length of the sliding window.
    """

    ratio: float = 0.2
    extra: float = 20
    window_s: float = 10


class RepeatBudget:
    """Counts requests and repeats by service in a sliding window.

    An entry's bound follows from its own requests. A process does not know
    what was spent before it started, so it gets no part of the fixed share of
    the bound until it has run for a whole window.

    Args:
        bounds: The operators' bound.
        entries: Returns the entries that share it.
        clock: Monotonic time.
        started_ms: When this process started.
    """

    def __init__(
        self,
        *,
        bounds: RepeatBounds,
        entries: Callable[[], Collection[object]],
        clock: clocks.Clock,
        started_ms: float,
    ) -> None:
        self.bounds = bounds
        self._entries = entries
        self._clock = clock
        self._started_ms = started_ms
        self._counted_ms = started_ms - _COUNT_INTERVAL_MS
        self._known_ms: dict[object, float] = {}
        self._requests: dict[
            identifiers.ServiceId,
            collections.deque[float],
        ] = {}
        self._repeats: dict[
            identifiers.ServiceId,
            collections.deque[float],
        ] = {}

    def note_request(self, service: identifiers.ServiceId) -> None:
        """Counts a request."""
        moments = self._requests.setdefault(service, collections.deque())
        moments.append(self._clock.now_ms())
        self._expire(moments)
        self._count_entries()

    def can_reserve(self, pending: _pending_request.PendingRequest) -> bool:
        """Tells whether one more arrival of a request is allowed."""
        return pending.reserved >= pending.arrivals or self.allows_repeat(
            pending.service
        )

    def reserve(self, pending: _pending_request.PendingRequest) -> bool:
        """Reserves the next arrival of a request; False if none is left.

        The first arrival is free. A reservation for an arrival that did not
        happen is used for the next one.
        """
        if pending.reserved < pending.arrivals:
            if not self.allows_repeat(pending.service):
                return False
            pending.reserved += 1
            pending.reserved_ms = self._clock.now_ms()
            self._repeats[pending.service].append(pending.reserved_ms)
        return True

    def note_arrival(self, pending: _pending_request.PendingRequest) -> None:
        """Moves the reservation of a repeat to the time at which it is sent."""
        if pending.reserved_ms is None:
            return
        repeats = self._repeats.setdefault(pending.service, collections.deque())
        if pending.reserved_ms in repeats:
            repeats.remove(pending.reserved_ms)
        pending.reserved_ms = self._clock.now_ms()
        repeats.append(pending.reserved_ms)

    def release_unused(self, pending: _pending_request.PendingRequest) -> None:
        """Releases the reservation of an arrival that did not happen."""
        repeats = self._repeats.get(pending.service)
        if repeats is None or pending.reserved < max(1, pending.arrivals):
            return
        if pending.reserved_ms is not None and pending.reserved_ms in repeats:
            repeats.remove(pending.reserved_ms)
            pending.reserved -= 1

    def allows_repeat(self, service: identifiers.ServiceId) -> bool:
        """Tells whether one more repeat is allowed."""
        requests = self._requests.setdefault(service, collections.deque())
        repeats = self._repeats.setdefault(service, collections.deque())
        self._expire(requests)
        self._expire(repeats)
        allowed = self.bounds.ratio * len(requests)
        if self._clock.now_ms() - self._started_ms < self._window_ms:
            allowed *= _STARTUP_USED_SHARE
        else:
            allowed += self.bounds.extra / max(1, self._count_entries())
            allowed *= _USED_SHARE
        return len(repeats) + 1 <= allowed

    @property
    def _window_ms(self) -> float:
        return self.bounds.window_s * 1000

    def _count_entries(self) -> int:
        """Returns how many entries were known within the last windows."""
        now_ms = self._clock.now_ms()
        if now_ms - self._counted_ms >= _COUNT_INTERVAL_MS:
            self._counted_ms = now_ms
            oldest_ms = now_ms - _ENTRY_KEPT_WINDOWS * self._window_ms
            self._known_ms.update((entry, now_ms) for entry in self._entries())
            self._known_ms = {
                entry: known_ms
                for entry, known_ms in self._known_ms.items()
                if known_ms >= oldest_ms
            }
        return len(self._known_ms)

    def _expire(self, moments: collections.deque[float]) -> None:
        oldest_ms = self._clock.now_ms() - self._window_ms
        while moments and moments[0] < oldest_ms:
            moments.popleft()
