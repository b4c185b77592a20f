"""The queue of one service, with what its requests showed."""

from collections.abc import Sequence
from typing import Final

import msgspec

from carobslip import targets
from carobslip.slotbroker import (
    _classes,
    _cost,
    _leases,
    _queue,
    _returns,
    _types,
    _waits,
)

#: Slots per millisecond that are expected while no target is listed: nothing
#: is known, so that no queued request is refused for it.
_RATE_WITHOUT_TARGETS: Final = 1.0


class Outlook(msgspec.Struct, frozen=True, kw_only=True):
    """When slots are expected to become free.

    Attributes:
        rate: Slots that become free, per millisecond.
        blocked_ms: Time until the first target is usable.
        age_ms: Age of the newest release that the rate rests on, if any.
        now_ms: Time of the forecast.
    """

    rate: float
    blocked_ms: float
    age_ms: float | None
    now_ms: float


class ServiceState:
    """Requests that wait for one service, and forecasts for them."""

    def __init__(self) -> None:
        self.queue = _queue.ServiceQueue(self._is_ordered_on_time)
        self.times = _waits.ServiceTimes()
        self.costs = _cost.CostModel()
        self.classes = _classes.ClassRecords()
        self.reviewed_ms = float('-inf')
        self.last_outlook: Outlook | None = None
        self._now_ms = 0.0

    def look_out(
        self,
        candidates: Sequence[targets.TargetRecord],
        usable_from_ms: float,
        now_ms: float,
    ) -> Outlook:
        """Stores and returns when slots are expected to become free.

        Args:
            candidates: The targets that are counted on.
            usable_from_ms: When the first of them can be used.
            now_ms: The present time.
        """
        slots = sum(record.slots for record in candidates)
        rate = _RATE_WITHOUT_TARGETS
        if candidates:
            rate = self.times.rate_per_ms(slots, now_ms)
        self.last_outlook = Outlook(
            rate=rate,
            blocked_ms=max(0.0, usable_from_ms - now_ms),
            age_ms=self.times.age_ms(now_ms),
            now_ms=now_ms,
        )
        return self.last_outlook

    def set_time(self, now_ms: float) -> None:
        """Sets the time that the order refers to."""
        self._now_ms = now_ms

    def can_be_on_time(self, waiter: _queue.Waiter) -> bool:
        """Tells whether a request that starts now meets its objective."""
        first_ms = self.times.first_event_ms(waiter.demand.on_time_left_ms)
        return self._now_ms + first_ms <= waiter.on_time_until_ms

    def forecast_ms(
        self,
        waiter: _queue.Waiter,
        outlook: Outlook,
        *,
        ahead: int,
        ahead_in_class: int,
        floor: int | None,
    ) -> float:
        """Returns the expected wait of a request.

        Args:
            waiter: The request.
            outlook: When slots become free.
            ahead: Requests that go before it.
            ahead_in_class: Those of its own priority.
            floor: The class that gets the guaranteed grants, if any.
        """
        is_late = not self.can_be_on_time(waiter)
        below = float('inf') if is_late else waiter.priority
        arrivals = self.times.arrivals_per_ms(below, outlook.now_ms)
        wait_ms = _waits.wait_ms(ahead, outlook.rate, arrivals)
        if waiter.priority == floor:
            floor_rate = outlook.rate / _classes.GRANTS_PER_FLOOR
            wait_ms = min(wait_ms, (ahead_in_class + 1) / floor_rate)
        return outlook.blocked_ms + wait_ms

    def floor_class(self) -> int | None:
        """Returns the class that gets the guaranteed grants, if any."""
        return self.classes.floor_class(self.queue.priorities())

    def next_waiter(self, pending: list[_queue.Waiter]) -> _queue.Waiter:
        """Removes and returns the request that is to start next.

        Args:
            pending: Waiting requests in their order.
        """
        due = self.classes.due_class(self.queue.priorities())
        index = 0
        if due is not None and not pending[0].demand.may_have_run:
            index = next(
                (
                    place
                    for place, waiter in enumerate(pending)
                    if waiter.priority == due
                ),
                0,
            )
        return pending.pop(index)

    def note_decision(
        self, waiter: _queue.Waiter, *, is_served: bool, now_ms: float
    ) -> None:
        """Counts a decision for its class."""
        self.set_time(now_ms)
        waiter.is_on_time = is_served and self.can_be_on_time(waiter)
        self.classes.note(
            waiter.priority,
            is_new=waiter.how_returned is _returns.Return.NEW,
            is_served=is_served,
            is_on_time=waiter.is_on_time,
            now_ms=now_ms,
        )
        if is_served:
            waiting = {waiter.priority, *self.queue.priorities()}
            self.classes.note_grant(waiter.priority, waiting)

    def note_outcome(
        self,
        lease: _leases.Lease,
        outcome: _types.SlotOutcome,
        now_ms: float,
    ) -> None:
        """Learns from the end of a request and charges its team."""
        waiter = lease.waiter
        cost = self.costs.observe(waiter.demand, outcome)
        waiter.account.finish += cost - waiter.cost
        if outcome.first_event_ms is not None:
            self.times.note_first_event(outcome.first_event_ms, now_ms)
        is_on_time = _was_on_time(lease, outcome)
        self.classes.correct(
            waiter.priority, on_time=is_on_time - waiter.is_on_time
        )
        if outcome.events or outcome.result is _types.SlotResult.SERVED:
            self.times.note_release(outcome.took_ms, now_ms)

    def _is_ordered_on_time(self, waiter: _queue.Waiter) -> bool:
        if waiter.priority in self.classes.held_back:
            return False
        return self.can_be_on_time(waiter)


def _was_on_time(lease: _leases.Lease, outcome: _types.SlotOutcome) -> bool:
    first_ms = outcome.first_event_ms
    if first_ms is None and outcome.result is _types.SlotResult.SERVED:
        # An answer that is not streamed arrives at its end.
        first_ms = outcome.took_ms
    if first_ms is None:
        return False
    return lease.started_ms + first_ms <= lease.waiter.on_time_until_ms
