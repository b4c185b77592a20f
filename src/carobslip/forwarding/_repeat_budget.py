"""A bound on second sends that all entries keep together."""

import collections
from collections.abc import Callable, Collection
from typing import Final

import msgspec

from carobslip import clocks, identifiers
from carobslip.forwarding import _work

#: Share of the fleet's bound that is used: callers move between entries.
_USED_SHARE: Final = 0.7
#: Share that a process uses which may have lived before within the window; the
#: rest may be spent. Both shares together make the whole bound.
_FIRST_USED_SHARE: Final = 0.3
#: An entry counts for so many windows after it was last known: it may go on
#: where others do not hear of it.
_KNOWN_WINDOWS: Final = 6
#: Entries are counted at this interval.
_COUNT_EVERY_MS: Final = 100.0


class RepeatBounds(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' bound on repeats of one service.

    Attributes:
        ratio: Repeats for each request in the window.
        extra: Repeats beyond that, over all entries.
        window_s: Length of the sliding window.
    """

    ratio: float = 0.2
    extra: int = 20
    window_s: float = 10


class RepeatBudget:
    """Counts requests and repeats by service in a sliding window.

    What an entry may repeat follows from the requests that it has itself. A
    process does not know what was spent before it started, so it has no part
    in the fixed share of the bound until a whole window is over.

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
        self._counted_ms = started_ms - _COUNT_EVERY_MS
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
        """Counts a first send."""
        moments = self._requests.setdefault(service, collections.deque())
        moments.append(self._clock.now_ms())
        self._expire(moments)
        self._count_entries()

    def can_pay(self, work: _work.Work) -> bool:
        """Tells whether one more arrival of a request is allowed."""
        return work.paid >= work.arrivals or self.has_room(work.service)

    def pay(self, work: _work.Work) -> bool:
        """Pays for the next arrival of a request; tells whether it may be.

        The first one is free. What was paid for an arrival that never came
        about pays for the next one.
        """
        if work.paid < work.arrivals:
            if not self.has_room(work.service):
                return False
            work.paid += 1
            work.paid_ms = self._clock.now_ms()
            self._repeats[work.service].append(work.paid_ms)
        return True

    def note_arrival(self, work: _work.Work) -> None:
        """Counts a request that is sent: what was paid for it counts now."""
        if work.paid_ms is None:
            return
        repeats = self._repeats.setdefault(work.service, collections.deque())
        if work.paid_ms in repeats:
            repeats.remove(work.paid_ms)
        work.paid_ms = self._clock.now_ms()
        repeats.append(work.paid_ms)

    def give_back(self, work: _work.Work) -> None:
        """Gives back what was paid for an arrival that does not come."""
        repeats = self._repeats.get(work.service)
        if repeats is None or work.paid < max(1, work.arrivals):
            return
        if work.paid_ms is not None and work.paid_ms in repeats:
            repeats.remove(work.paid_ms)
            work.paid -= 1

    def has_room(self, service: identifiers.ServiceId) -> bool:
        """Tells whether one more repeat is allowed."""
        requests = self._requests.setdefault(service, collections.deque())
        repeats = self._repeats.setdefault(service, collections.deque())
        self._expire(requests)
        self._expire(repeats)
        allowed = self.bounds.ratio * len(requests)
        if self._clock.now_ms() - self._started_ms < self._window_ms:
            allowed *= _FIRST_USED_SHARE
        else:
            allowed += self.bounds.extra / max(1, self._count_entries())
            allowed *= _USED_SHARE
        return len(repeats) + 1 <= allowed

    @property
    def _window_ms(self) -> float:
        return self.bounds.window_s * 1000

    def _count_entries(self) -> int:
        """Returns how many entries were known lately."""
        now_ms = self._clock.now_ms()
        if now_ms - self._counted_ms >= _COUNT_EVERY_MS:
            self._counted_ms = now_ms
            oldest_ms = now_ms - _KNOWN_WINDOWS * self._window_ms
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
