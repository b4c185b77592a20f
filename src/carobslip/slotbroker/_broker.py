"""Assigns the slots of targets to the requests of all entries."""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from carobslip import clocks, identifiers, observability, targets
from carobslip.slotbroker import (
    _decision_log,
    _health,
    _leases,
    _placement,
    _ports,
    _queue,
    _returns,
    _service,
    _tickets,
    _types,
    _waits,
)

#: Services with a queue; a bound against invalid names.
_SERVICES_MAX: Final = 64
#: Interval at which predictions for queued requests are repeated.
_REVIEW_MS: Final = 25.0
#: Interval at which the ends of leases are checked.
_LEASE_CHECK_MS: Final = 1000.0
#: A queued request is refused when its forecast exceeds the time left by this
#: factor: measured rates vary between reviews.
_REVIEW_TOLERANCE: Final = 1.2
#: Requests that may wait for a service without any listed target: targets that
#: disappear together usually return together within a short time.
_NO_TARGETS_WAITERS_MAX: Final = 8
#: Shortest expected time until a target is usable if there is none; a group
#: needs some seconds to form again.
_NO_TARGETS_MS: Final = 1000.0
_LEASE_BITS: Final = 96

_Decision = _types.SlotGranted | _types.SlotRefused


class SlotBroker:
    """Holds the queue and the leases of the services that it is chosen for.

    Args:
        candidates: Returns the targets that may be used for a service.
        pacing: Limits the request rate of started targets.
        clock: Monotonic time.
        generator: Names leases, breaks ties and spreads retries.
        log: Receives decisions.
        metrics: Receives counts of decisions.
    """

    def __init__(
        self,
        *,
        candidates: Callable[
            [identifiers.ServiceId], Sequence[targets.TargetRecord]
        ],
        pacing: _ports.TargetPacing,
        clock: clocks.Clock,
        generator: random.Random,
        log: observability.EventLog,
        metrics: observability.Metrics,
    ) -> None:
        self._candidates = candidates
        self._pacing = pacing
        self._clock = clock
        self._random = generator
        self._log = _decision_log.DecisionLog(
            log=log, metrics=metrics, clock=clock
        )
        self._leases = _leases.LeaseBook()
        self._health = _health.TargetHealth()
        self._placement = _placement.Placement(
            leases=self._leases,
            health=self._health,
            pacing=pacing,
            generator=generator,
        )
        self._tickets = _tickets.Tickets()
        self._returns = _returns.Returns()
        self._services: dict[identifiers.ServiceId, _service.ServiceState] = {}
        self._order = 0
        self._advanced_ms = 0.0

    @property
    def deadline_ms(self) -> float | None:
        """When ``advance`` is next due; None if nothing waits or runs."""
        if self._tickets.queued:
            return self._advanced_ms + _REVIEW_MS
        if len(self._leases):
            return self._advanced_ms + _LEASE_CHECK_MS
        return None

    def waiting(self, service: identifiers.ServiceId) -> int:
        """Returns how many requests wait for a service."""
        state = self._services.get(service)
        return 0 if state is None else len(state.queue)

    def entry_of(self, ticket: str) -> identifiers.InstanceId | None:
        """Returns the entry that asked with a ticket."""
        return self._tickets.entry_of(ticket)

    def ask(
        self, demand: _types.SlotDemand
    ) -> _types.SlotGranted | _types.SlotRefused | _types.SlotQueued:
        """Decides on a request, or returns the present state of its ticket."""
        ticket = demand.ticket
        known = self._tickets.granted.get(ticket) or self._tickets.refusal_of(
            ticket
        )
        if known is not None:
            return known
        if ticket in self._tickets.queued:
            waiter = self._services[demand.service].queue.find(ticket)
            return _types.SlotQueued(
                ticket=ticket, wait_ms=0.0 if waiter is None else waiter.wait_ms
            )
        return self._decide(demand)

    def withdraw(self, ticket: str) -> None:
        """Ends a ticket; frees its slot if it has one."""
        now_ms = self._clock.now_ms()
        granted = self._tickets.granted.get(ticket)
        if granted is not None:
            self._cancel(granted.lease, now_ms)
            return
        demand = self._tickets.queued.get(ticket)
        if demand is None:
            # The request for a slot may be delayed and arrive later.
            self._end(ticket, identifiers.InstanceId(''), now_ms)
            return
        state = self._services[demand.service]
        waiter = state.queue.remove(ticket)
        if waiter is not None:
            state.note_decision(waiter, is_served=False, now_ms=now_ms)
        self._end(ticket, demand.entry, now_ms)

    def release(self, outcome: _types.SlotOutcome) -> None:
        """Frees a slot; without effect if its lease has ended."""
        now_ms = self._clock.now_ms()
        lease = self._leases.close(outcome.lease, now_ms)
        if lease is None:
            return
        waiter = lease.waiter
        self._end(waiter.demand.ticket, waiter.demand.entry, now_ms)
        self._pacing.note_outcome(outcome)
        state = self._services.get(waiter.demand.service)
        if state is not None:
            state.note_outcome(waiter, outcome, now_ms)
        avoid_ms = self._health.note_outcome(outcome, now_ms)
        if avoid_ms:
            self._log.write(
                observability.Event.SLOT_TARGET_AVOIDED,
                'slots.target_avoided',
                target=outcome.target,
                reason=outcome.result.value,
                avoid_ms=round(avoid_ms),
            )

    def store_report(
        self, target: identifiers.TargetId, total: int, *, valid_ms: float
    ) -> None:
        """Stores a report of all requests at a target."""
        self._leases.store_report(
            target, total, valid_ms=valid_ms, now_ms=self._clock.now_ms()
        )

    def avoid(self, target: identifiers.TargetId, avoid_ms: float) -> None:
        """Assigns no slots of a target for a while."""
        self._health.avoid(target, self._clock.now_ms() + avoid_ms)
        self._log.write(
            observability.Event.SLOT_TARGET_AVOIDED,
            'slots.target_avoided',
            target=target,
            reason='stalled',
            avoid_ms=round(avoid_ms),
        )

    def clear_avoidance(self, target: identifiers.TargetId) -> None:
        """Ends the avoidance of a target."""
        self._health.clear(target)

    def drop_entries(self, alive: Iterable[identifiers.InstanceId]) -> None:
        """Ends the leases and tickets of entries that are gone."""
        now_ms = self._clock.now_ms()
        kept = frozenset(alive)
        for lease in self._leases.of_other_entries(kept):
            self._end_lease(lease, 'entry gone', now_ms)
        for ticket, demand in list(self._tickets.queued.items()):
            if demand.entry not in kept:
                self.withdraw(ticket)

    def drop_unlisted(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops the state of targets that are not listed."""
        kept = frozenset(listed)
        self._leases.drop_unlisted(kept)
        self._health.drop_unlisted(kept)
        self._pacing.drop_unlisted(kept)
        for service, state in list(self._services.items()):
            if not len(state.queue) and not self._candidates(service):
                self._services.pop(service)

    def advance(self) -> list[_Decision]:
        """Decides on queued requests as far as possible."""
        now_ms = self._clock.now_ms()
        self._advanced_ms = now_ms
        for lease in self._leases.expired(now_ms):
            self._end_lease(lease, 'time passed', now_ms)
        decisions: list[_Decision] = []
        for service, state in self._services.items():
            if len(state.queue):
                state.set_time(now_ms)
                decisions += self._advance_service(service, state, now_ms)
        return decisions

    def _decide(
        self, demand: _types.SlotDemand
    ) -> _types.SlotGranted | _types.SlotRefused | _types.SlotQueued:
        now_ms = self._clock.now_ms()
        state = self._state(demand.service)
        waiter = self._new_waiter(demand, state, now_ms)
        if self._tickets.is_full or demand.service not in self._services:
            return self._refuse(waiter, state, 'queue full', now_ms)
        state.set_time(now_ms)
        if demand.may_have_run or not len(state.queue):
            granted = self._place(waiter, state, now_ms)
            if granted is not None:
                return granted
        return self._enqueue(waiter, state, now_ms)

    def _state(self, service: identifiers.ServiceId) -> _service.ServiceState:
        state = self._services.get(service)
        if state is None:
            state = _service.ServiceState()
            if len(self._services) < _SERVICES_MAX:
                self._services[service] = state
        return state

    def _new_waiter(
        self,
        demand: _types.SlotDemand,
        state: _service.ServiceState,
        now_ms: float,
    ) -> _queue.Waiter:
        self._order += 1
        waiter = _queue.Waiter(
            demand,
            now_ms=now_ms,
            order=self._order,
            cost=state.costs.expect(demand),
            is_returning=self._returns.take(
                demand.service, demand.content_digest, now_ms
            ),
        )
        state.queue.open_account(waiter)
        return waiter

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
        ahead = state.queue.add(waiter)
        self._tickets.queue(demand)
        reason = self._why_not_startable(waiter, state, now_ms)
        if reason is None:
            waiter.wait_ms = state.forecast_ms(
                waiter,
                self._outlook(demand.service, state, now_ms),
                ahead=ahead,
                ahead_in_class=state.queue.count(waiter.priority) - 1,
            )
            if waiter.wait_ms > demand.wait_left_ms:
                reason = 'queue too long'
        if reason is not None and not demand.may_have_run:
            return self._refuse(waiter, state, reason, now_ms)
        if state.can_be_on_time(waiter):
            state.times.note_arrival(waiter.priority, now_ms)
        self._log.metrics.count('slots.queued')
        return _types.SlotQueued(ticket=demand.ticket, wait_ms=waiter.wait_ms)

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
            return None if is_allowed else 'no usable target'
        is_usable = any(
            record.target not in demand.excluded
            and self._health.avoided_until_ms(record.target)
            < waiter.wait_until_ms
            for record in candidates
        )
        return None if is_usable else 'no usable target'

    def _outlook(
        self,
        service: identifiers.ServiceId,
        state: _service.ServiceState,
        now_ms: float,
    ) -> _service.Outlook:
        candidates = list(self._candidates(service))
        usable = self._placement.usable(candidates, now_ms)
        until_ms = min(
            (self._health.avoided_until_ms(one.target) for one in candidates),
            default=0.0,
        )
        return state.outlook(
            usable or candidates, max(0.0, until_ms - now_ms), now_ms
        )

    def _advance_service(
        self,
        service: identifiers.ServiceId,
        state: _service.ServiceState,
        now_ms: float,
    ) -> list[_Decision]:
        pending = [
            waiter
            for waiter in state.queue.ordered()
            if waiter.wait_until_ms > now_ms
        ]
        expired = [
            waiter
            for waiter in state.queue.waiters()
            if waiter.wait_until_ms <= now_ms
        ]
        decisions: list[_Decision] = [
            self._refuse(waiter, state, 'waited too long', now_ms)
            for waiter in expired
        ]
        granted, left = self._grant_in_order(service, state, pending, now_ms)
        decisions += granted
        if now_ms - state.reviewed_ms >= _REVIEW_MS:
            state.reviewed_ms = now_ms
            decisions += self._review(service, state, left, now_ms)
        return decisions

    def _grant_in_order(
        self,
        service: identifiers.ServiceId,
        state: _service.ServiceState,
        pending: list[_queue.Waiter],
        now_ms: float,
    ) -> tuple[list[_Decision], list[_queue.Waiter]]:
        """Returns the grants, and the requests that still wait."""
        free = self._placement.free(self._candidates(service), now_ms)
        granted: list[_Decision] = []
        passed: list[_queue.Waiter] = []
        while free and pending:
            waiter = state.next_waiter(pending)
            record = self._placement.choose(free, waiter.demand, now_ms)
            if record is None:
                passed.append(waiter)
                if waiter.demand.excluded:
                    continue
                break
            granted.append(self._grant(waiter, state, record, now_ms))
            if not self._leases.room(record, now_ms):
                free.remove(record)
        return granted, passed + pending

    def _review(
        self,
        service: identifiers.ServiceId,
        state: _service.ServiceState,
        ordered: list[_queue.Waiter],
        now_ms: float,
    ) -> list[_Decision]:
        """Refuses requests that are not expected to start in time."""
        refused: list[_Decision] = []
        outlook = self._outlook(service, state, now_ms)
        ahead: dict[int, int] = {}
        for waiter in ordered:
            in_class = ahead.get(waiter.priority, 0)
            waiter.wait_ms = state.forecast_ms(
                waiter,
                outlook,
                ahead=sum(ahead.values()),
                ahead_in_class=in_class,
            )
            left_ms = waiter.wait_until_ms - now_ms
            is_hopeless = waiter.wait_ms > _REVIEW_TOLERANCE * left_ms
            if is_hopeless and not waiter.demand.may_have_run:
                refused.append(
                    self._refuse(waiter, state, 'order changed', now_ms)
                )
            else:
                ahead[waiter.priority] = in_class + 1
        return refused

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
        self._note_decision(waiter, state, is_served=True, now_ms=now_ms)
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
            waiting=len(state.queue),
        )
        return granted

    def _refuse(
        self,
        waiter: _queue.Waiter,
        state: _service.ServiceState,
        reason: str,
        now_ms: float,
    ) -> _types.SlotRefused:
        demand = waiter.demand
        state.queue.remove(demand.ticket)
        outlook = self._outlook(demand.service, state, now_ms)
        backlog = state.queue.count_as_urgent(
            waiter.priority
        ) + self._returns.expected(demand.service, waiter.priority, now_ms)
        blocked_ms = outlook.blocked_ms
        if reason == 'no usable target':
            blocked_ms = max(_NO_TARGETS_MS, blocked_ms)
        refused = _types.SlotRefused(
            ticket=demand.ticket,
            reason=reason,
            retry_after_ms=_waits.retry_after_ms(
                backlog_ms=blocked_ms + backlog / outlook.rate,
                priority=waiter.priority,
                patience_left_ms=waiter.patience_until_ms - now_ms,
                generator=self._random,
            ),
            waiting=len(state.queue),
        )
        self._returns.store(
            demand.service,
            demand.content_digest,
            priority=waiter.priority,
            now_ms=now_ms,
            retry_after_ms=refused.retry_after_ms,
        )
        self._tickets.end(refused, demand.entry, now_ms)
        self._note_decision(waiter, state, is_served=False, now_ms=now_ms)
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
            retry_after_ms=round(refused.retry_after_ms),
        )
        return refused

    def _note_decision(
        self,
        waiter: _queue.Waiter,
        state: _service.ServiceState,
        *,
        is_served: bool,
        now_ms: float,
    ) -> None:
        before = state.classes.held_back
        state.note_decision(waiter, is_served=is_served, now_ms=now_ms)
        if state.classes.held_back != before:
            self._log.write(
                observability.Event.SLOT_CLASSES_HELD_BACK,
                'slots.classes_held_back',
                service=waiter.demand.service,
                priorities=sorted(state.classes.held_back),
            )

    def _end_lease(
        self, lease: _leases.Lease, reason: str, now_ms: float
    ) -> None:
        self._log.write(
            observability.Event.SLOT_LEASE_ENDED,
            'slots.lease_ended',
            ticket=lease.granted.ticket,
            target=lease.granted.target,
            entry=lease.waiter.demand.entry,
            reason=reason,
            held_ms=round(now_ms - lease.started_ms),
        )
        self._cancel(lease.granted.lease, now_ms)

    def _cancel(self, lease: str, now_ms: float) -> None:
        held = self._leases.find(lease)
        if held is not None:
            self.release(
                _types.SlotOutcome(
                    lease=lease,
                    target=held.granted.target,
                    result=_types.SlotResult.CANCELLED,
                    took_ms=now_ms - held.started_ms,
                )
            )

    def _end(
        self, ticket: str, entry: identifiers.InstanceId, now_ms: float
    ) -> None:
        refused = _types.SlotRefused(
            ticket=ticket, reason='already ended', retry_after_ms=0.0
        )
        self._tickets.end(refused, entry, now_ms)
