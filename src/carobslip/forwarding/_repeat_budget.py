"""A bound on second sends that all entries keep together."""

import collections
from collections.abc import Callable
from typing import Final

import msgspec

from carobslip import clocks, identifiers
from carobslip.forwarding import _work

#: Share of the fleet's bound that is used: entries see each other late.
_USED_SHARE: Final = 0.7


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

    Args:
        bounds: The operators' bound.
        entries: Tells how many entries share it.
        clock: Monotonic time.
    """

    def __init__(
        self,
        *,
        bounds: RepeatBounds,
        entries: Callable[[], int],
        clock: clocks.Clock,
    ) -> None:
        self.bounds = bounds
        self._entries = entries
        self._clock = clock
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

    def can_pay(self, work: _work.Work) -> bool:
        """Tells whether one more arrival of a request is allowed."""
        return work.paid >= work.arrivals or self.has_room(work.service)

    def pay(self, work: _work.Work) -> bool:
        """Pays for the next arrival of a request; tells whether it may be.

        The first one is free. What was paid for an arrival that never came
        about pays for the next one.
        """
        if work.paid < work.arrivals:
            if not self.try_spend(work.service):
                return False
            work.paid += 1
        return True

    def try_spend(self, service: identifiers.ServiceId) -> bool:
        """Takes one repeat; tells whether it is allowed."""
        if not self.has_room(service):
            return False
        self._repeats[service].append(self._clock.now_ms())
        return True

    def has_room(self, service: identifiers.ServiceId) -> bool:
        """Tells whether one more repeat is allowed."""
        requests = self._requests.setdefault(service, collections.deque())
        repeats = self._repeats.setdefault(service, collections.deque())
        self._expire(requests)
        self._expire(repeats)
        share = self.bounds.extra / max(1, self._entries())
        allowed = _USED_SHARE * (self.bounds.ratio * len(requests) + share)
        return len(repeats) + 1 <= allowed

    def _expire(self, moments: collections.deque[float]) -> None:
        oldest_ms = self._clock.now_ms() - self.bounds.window_s * 1000
        while moments and moments[0] < oldest_ms:
            moments.popleft()
