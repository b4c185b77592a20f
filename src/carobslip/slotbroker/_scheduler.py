"""Grants and refuses the requests of a service in their order."""

import random
from collections.abc import Callable, Sequence
from typing import Final

from carobslip import identifiers, observability, targets
from carobslip.slotbroker import (
    _decision_log,
    _health,
    _leases,
    _pass_bound,
    _placement,
    _ports,
    _queue,
    _returns,
    _service,
    _tickets,
    _types,
    _waits,
)

#: Interval at which predictions for queued requests are repeated.
REVIEW_MS: Final = 25.0
#: A queued request is refused when its forecast exceeds the time left by this
#: factor: measured rates vary between reviews.
_REVIEW_TOLERANCE: Final = 1.2
#: Requests that may wait for a service without any listed target: targets that
#: disappear together usually return together within a short time.
_NO_TARGETS_WAITERS_MAX: Final = 8
#: Shortest expected time until a target is usable if there is none; a group
#: needs some seconds to form again.
_NO_TARGETS_MS: Final = 1000.0
#: Time for which a forecast of the rate is used.
_OUTLOOK_MS: Final = 5.0
_LEASE_BITS: Final = 96
_NO_TARGET: Final = 'no usable target'

Decision = _types.SlotGranted | _types.SlotRefused


class Scheduler:
    """Decides on requests; the queues are in the states of their services.

    Args:
        candidates: Returns the targets that may be used for a service.
        leases: Slots in use.
        health: Failures and slowness of targets.
        tickets: Receives the state of each ticket.
        pacing: Limits the request rate of started targets.
        bound: Limits the requests of groups.
        generator: Names leases, breaks ties and spreads retries.
        log: Receives decisions.
    """

    def __init__(
        self,
        *,
        candidates: Callable[
            [identifiers.ServiceId], Sequence[targets.TargetRecord]
        ],
        leases: _leases.LeaseBook,
        health: _health.TargetHealth,
        tickets: _tickets.Tickets,
        pacing: _ports.TargetPacing,
        bound: _pass_bound.PassBound,
        generator: random.Random,
        log: _decision_log.DecisionLog,
    ) -> None:
        self._candidates = candidates
        self._leases = leases
        self._health = health
        self._tickets = tickets
        self._pacing = pacing
        self._random = generator
        self._log = log
        self.returns = _returns.Returns()
        self._placement = _placement.Placement(
            leases=leases,
            health=health,
            pacing=pacing,
            bound=bound,
            generator=generator,
        )

    def decide(
        self,
        waiter: _queue.Waiter,
        state: _service.ServiceState,
        now_ms: float,
    ) -> _types.SlotGranted | _types.SlotRefused | _types.SlotQueued:
        """Decides on a new request."""
        state.set_time(now_ms)
        if waiter.demand.may_have_run or not len(state.queue):
            granted = self._place(waiter, state, now_ms)
            if granted is not None:
                return granted
        return self._enqueue(waiter, state, now_ms)

    def advance(
        self,
        service: identifiers.ServiceId,
        state: _service.ServiceState,
        now_ms: float,
    ) -> list[Decision]:
        """Decides on the queued requests of a service."""
        state.set_time(now_ms)
        is_review_due = now_ms - state.reviewed_ms >= REVIEW_MS
        decisions: list[Decision] = []
        if is_review_due:
            state.reviewed_ms = now_ms
            state.queue.refresh()
            decisions += [
                self.refuse(waiter, state, 'waited too long', now_ms)
                for waiter in state.queue.waiters()
                if waiter.wait_until_ms <= now_ms
            ]
        free = self._placement.free(self._candidates(service), now_ms)
        if free:
            decisions += self._grant_in_order(state, free, now_ms)
        if is_review_due and len(state.queue):
            decisions += self._review(service, state, now_ms)
        return decisions

    def refuse(
        self,
        waiter: _queue.Waiter,
        state: _service.ServiceState,
        reason: str,
        now_ms: float,
    ) -> _types.SlotRefused:
        """Refuses a request that has not run."""
        demand = waiter.demand
        state.queue.remove(demand.ticket)
        outlook = self._outlook(demand.service, state, now_ms)
        backlog = state.queue.count_as_urgent(
            waiter.priority
        ) + self.returns.expected(demand.service, waiter.priority, now_ms)
        blocked_ms = outlook.blocked_ms
        if reason == _NO_TARGET:
            blocked_ms = max(_NO_TARGETS_MS, blocked_ms)
        refused = _types.SlotRefused(
            ticket=demand.ticket,
            reason=reason,
            retry_after_ms=_waits.retry_after_ms(
                backlog_ms=blocked_ms + backlog / outlook.rate,
                priority=max(0, demand.priority + demand.route_priority),
                patience_left_ms=waiter.patience_until_ms - now_ms,
                generator=self._random,
            ),
            waiting=len(state.queue),
        )
        self.returns.store(
            demand.service,
            demand.content_digest,
            priority=waiter.priority,
            now_ms=now_ms,
            retry_after_ms=refused.retry_after_ms,
        )
        self._tickets.end(refused, demand.entry, now_ms)
        self.note_decision(waiter, state, is_served=False, now_ms=now_ms)
        self._log.write(
            observability.Event.SLOT_REFUSED,
            'slots.refused',
            ticket=demand.ticket,
            reason=reason,
            priority=waiter.priority,
            waited_ms=round(now_ms - waiter.arrived_ms),
            forecast_ms=round(waiter.wait_ms),
            backlog=backlog,
            slots_per_s=round(1000 * outlook.rate, 1),
            released_age_ms=outlook.age_ms and round(outlook.age_ms),
            retry_after_ms=round(refused.retry_after_ms),
        )
        return refused

    def note_decision(
        self,
        waiter: _queue.Waiter,
        state: _service.ServiceState,
        *,
        is_served: bool,
        now_ms: float,
    ) -> None:
        """Counts a decision for the class of a request."""
        before = state.classes.held_back
        state.note_decision(waiter, is_served=is_served, now_ms=now_ms)
        if state.classes.held_back != before:
            self._log.write(
                observability.Event.SLOT_CLASSES_HELD_BACK,
                'slots.classes_held_back',
                service=waiter.demand.service,
                priorities=sorted(state.classes.held_back),
            )

    def _place(
        self,
        waiter: _queue.Waiter,
        state: _service.ServiceState,
        now_ms: float,
    ) -> _types.SlotGranted | None:
        candidates = self._candidates(waiter.demand.service)
        free = self._placement.free(candidates, now_ms)
        record = self._placement.choose(free, waiter.demand, now_ms)
        if record is None:
            return None
        if state.can_be_on_time(waiter):
            state.times.note_arrival(waiter.priority, now_ms)
        return self._grant(waiter, state, record, now_ms)

    def _enqueue(
        self,
        waiter: _queue.Waiter,
        state: _service.ServiceState,
        now_ms: float,
    ) -> _types.SlotRefused | _types.SlotQueued:
        demand = waiter.demand
        if self._is_too_soon(waiter, state):
            return self.refuse(waiter, state, 'returned too soon', now_ms)
        ahead = state.queue.add(waiter)
        self._tickets.queue(demand)
        reason = self._why_not_startable(waiter, state, now_ms)
        if reason is None:
            waiter.wait_ms = state.forecast_ms(
                waiter,
                self._outlook(demand.service, state, now_ms),
                ahead=ahead,
                ahead_in_class=state.queue.count(waiter.priority) - 1,
                floor=state.floor_class(),
            )
            if waiter.wait_ms > demand.wait_left_ms:
                reason = 'queue too long'
        if reason is not None and not demand.may_have_run:
            return self.refuse(waiter, state, reason, now_ms)
        if state.can_be_on_time(waiter):
            state.times.note_arrival(waiter.priority, now_ms)
        self._log.metrics.count('slots.queued')
        return _types.SlotQueued(ticket=demand.ticket, wait_ms=waiter.wait_ms)

    def _is_too_soon(
        self, waiter: _queue.Waiter, state: _service.ServiceState
    ) -> bool:
        """Tells whether a caller came back early while others wait.

        Each try is a new chance to find the queue short for a moment; early
        ones would be served more often than those that wait as told.
        """
        return (
            waiter.how_returned is _returns.Return.TOO_SOON
            and not waiter.demand.may_have_run
            and state.queue.count_as_urgent(waiter.priority) > 0
        )

    def _why_not_startable(
        self,
        waiter: _queue.Waiter,
        state: _service.ServiceState,
        now_ms: float,
    ) -> str | None:
        """Returns why no target can take a request before its wait ends."""
        demand = waiter.demand
        candidates = self._candidates(demand.service)
        if not candidates:
            is_allowed = len(state.queue) <= _NO_TARGETS_WAITERS_MAX
            return None if is_allowed else _NO_TARGET
        is_usable = any(
            record.target not in demand.excluded
            and self._health.avoided_until_ms(record.target)
            < waiter.wait_until_ms
            for record in candidates
        )
        return None if is_usable else _NO_TARGET

    def _outlook(
        self,
        service: identifiers.ServiceId,
        state: _service.ServiceState,
        now_ms: float,
    ) -> _service.Outlook:
        outlook = state.last_outlook
        if outlook is not None and now_ms - outlook.now_ms < _OUTLOOK_MS:
            return outlook
        candidates = self._candidates(service)
        usable = self._placement.usable(candidates, now_ms)
        until_ms = now_ms
        if not usable and candidates:
            until_ms = min(
                self._health.avoided_until_ms(one.target) for one in candidates
            )
        return state.look_out(usable or candidates, until_ms, now_ms)

    def _grant_in_order(
        self,
        state: _service.ServiceState,
        free: list[targets.TargetRecord],
        now_ms: float,
    ) -> list[Decision]:
        """Grants free slots until none is left or nobody can use them."""
        granted: list[Decision] = []
        pending = [
            waiter
            for waiter in state.queue.waiters()
            if waiter.wait_until_ms > now_ms
        ]
        while free and pending:
            waiter = state.next_waiter(pending)
            record = self._placement.choose(free, waiter.demand, now_ms)
            if record is None and not waiter.demand.excluded:
                break
            if record is not None:
                granted.append(self._grant(waiter, state, record, now_ms))
                free = self._placement.free(free, now_ms)
        return granted

    def _review(
        self,
        service: identifiers.ServiceId,
        state: _service.ServiceState,
        now_ms: float,
    ) -> list[Decision]:
        """Refuses requests that are not expected to start in time."""
        refused: list[Decision] = []
        outlook = self._outlook(service, state, now_ms)
        floor = state.floor_class()
        ahead: dict[int, int] = {}
        for waiter in state.queue.waiters():
            in_class = ahead.get(waiter.priority, 0)
            waiter.wait_ms = state.forecast_ms(
                waiter,
                outlook,
                ahead=sum(ahead.values()),
                ahead_in_class=in_class,
                floor=floor,
            )
            if self._is_hopeless(waiter, now_ms):
                refused.append(
                    self.refuse(waiter, state, 'order changed', now_ms)
                )
            else:
                ahead[waiter.priority] = in_class + 1
        return refused

    def _is_hopeless(self, waiter: _queue.Waiter, now_ms: float) -> bool:
        left_ms = waiter.wait_until_ms - now_ms
        return (
            not waiter.demand.may_have_run
            and waiter.wait_ms > _REVIEW_TOLERANCE * left_ms
        )

    def _grant(
        self,
        waiter: _queue.Waiter,
        state: _service.ServiceState,
        record: targets.TargetRecord,
        now_ms: float,
    ) -> _types.SlotGranted:
        demand = waiter.demand
        granted = _types.SlotGranted(
            ticket=demand.ticket,
            lease=f'{self._random.getrandbits(_LEASE_BITS):024x}',
            target=record.target,
        )
        has_waited = state.queue.remove(demand.ticket) is not None
        state.queue.charge(waiter)
        self._leases.open(granted, waiter, now_ms)
        self._tickets.grant(demand, granted)
        self._pacing.note_start(record)
        self.note_decision(waiter, state, is_served=True, now_ms=now_ms)
        waited_ms = now_ms - waiter.arrived_ms
        self._log.metrics.time_ms('slots.wait', waited_ms)
        if not has_waited:
            self._log.metrics.count('slots.granted')
            return granted
        self._log.write(
            observability.Event.SLOT_GRANTED,
            'slots.granted',
            ticket=demand.ticket,
            target=record.target,
            priority=waiter.priority,
            waited_ms=round(waited_ms),
            on_time_left_ms=round(waiter.on_time_until_ms - now_ms),
            is_returning=waiter.is_returning,
            cost=round(waiter.cost),
            load=self._leases.load_of(record.target, now_ms),
            report_age_ms=self._leases.report_age_ms(record.target, now_ms),
            waiting=len(state.queue),
        )
        return granted
