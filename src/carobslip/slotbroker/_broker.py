"""Assigns the slots of targets to the requests of all entries."""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec

from carobslip import clocks, identifiers, observability, targets
from carobslip.slotbroker import (
    _decision_log,
    _health,
    _leases,
    _pass_bound,
    _ports,
    _queue,
    _scheduler,
    _service,
    _tickets,
    _types,
)

#: Services with a queue; a bound against invalid names.
_SERVICES_MAX: Final = 64
#: Interval at which the ends of leases are checked.
_LEASE_CHECK_MS: Final = 1000.0


class SlotBroker:
    """Holds the queue and the leases of the services that it is chosen for.

    Args:
        candidates: Returns the targets that may be used for a service.
        pacing: Limits the request rate of started targets.
        clock: Monotonic time.
        generator: Names leases, breaks ties and spreads retries.
        log: Receives decisions.
        metrics: Receives counts of decisions.
        pass_figures: Returns what a service states about the passes of its
            targets.
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
        pass_figures: Callable[
            [identifiers.ServiceId], _pass_bound.PassFigures | None
        ] = _pass_bound.no_figures,
    ) -> None:
        self._candidates = candidates
        self._pacing = pacing
        self._clock = clock
        self._log = _decision_log.DecisionLog(
            log=log, metrics=metrics, clock=clock
        )
        self._leases = _leases.LeaseBook()
        self._health = _health.TargetHealth()
        self._tickets = _tickets.Tickets()
        self._bound = _pass_bound.PassBound(
            figures=pass_figures, leases=self._leases
        )
        self._scheduler = _scheduler.Scheduler(
            candidates=candidates,
            leases=self._leases,
            health=self._health,
            tickets=self._tickets,
            pacing=pacing,
            bound=self._bound,
            generator=generator,
            log=self._log,
        )
        self._services: dict[identifiers.ServiceId, _service.ServiceState] = {}
        self._order = 0
        self._advanced_ms = 0.0

    @property
    def deadline_ms(self) -> float | None:
        """When ``advance`` is next due; None if nothing waits or runs."""
        if self._tickets.queued:
            return self._advanced_ms + _scheduler.REVIEW_MS
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
        queued = self._tickets.queued.get(ticket)
        if queued is not None:
            waiter = self._services[queued.service].queue.find(ticket)
            return _types.SlotQueued(
                ticket=ticket, wait_ms=0.0 if waiter is None else waiter.wait_ms
            )
        now_ms = self._clock.now_ms()
        state = self._state(demand.service)
        waiter = self._new_waiter(demand, state, now_ms)
        if self._tickets.is_full or demand.service not in self._services:
            return self._scheduler.refuse(waiter, state, 'queue full', now_ms)
        return self._scheduler.decide(waiter, state, now_ms)

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
            self._scheduler.note_decision(
                waiter, state, is_served=False, now_ms=now_ms
            )
        self._end(ticket, demand.entry, now_ms)

    def release(self, outcome: _types.SlotOutcome) -> None:
        """Frees a slot; without effect if its lease has ended."""
        now_ms = self._clock.now_ms()
        lease = self._leases.close(outcome.lease, now_ms)
        if lease is None:
            return
        # A name that no lease has would be kept as a target of its own.
        outcome = msgspec.structs.replace(outcome, target=lease.granted.target)
        waiter = lease.waiter
        self._end(waiter.demand.ticket, waiter.demand.entry, now_ms)
        self._pacing.note_outcome(outcome)
        state = self._services.get(waiter.demand.service)
        if state is not None:
            state.note_outcome(lease, outcome, now_ms)
        avoid_ms = self._health.note_outcome(
            outcome, started_ms=lease.started_ms, now_ms=now_ms
        )
        if avoid_ms:
            self._note_avoided(outcome.target, outcome.result.value, avoid_ms)
            self._pacing.note_recovered(outcome.target)

    def store_report(
        self, target: identifiers.TargetId, total: int, *, valid_ms: float
    ) -> None:
        """Stores a report of all requests at a target."""
        self._leases.store_report(
            target, total, valid_ms=valid_ms, now_ms=self._clock.now_ms()
        )

    def store_pace(
        self, target: identifiers.TargetId, pace: float, *, valid_ms: float
    ) -> None:
        """Stores how slow a target is relative to the others of its group.

        Outcomes do not show it: all targets of a lock-step group take as long
        as the slowest.

        Args:
            target: The target.
            pace: Time that it needs relative to the usual one.
            valid_ms: Validity of the report.
        """
        self._health.store_pace(target, pace, self._clock.now_ms() + valid_ms)

    def store_pass(
        self,
        report: _pass_bound.GroupPass,
        members: Sequence[targets.TargetRecord],
    ) -> None:
        """Stores how long the passes of a group are."""
        limit = self._bound.store(report, members, self._clock.now_ms())
        self._log.metrics.level(
            f'slots.group_limit.{report.group}', limit or 0.0
        )

    def avoid(self, target: identifiers.TargetId, avoid_ms: float) -> None:
        """Assigns no slots of a target for a while."""
        now_ms = self._clock.now_ms()
        if self._health.avoid(target, now_ms + avoid_ms, now_ms):
            self._note_avoided(target, 'stalled', avoid_ms)

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
        self._bound.drop_unlisted(kept)
        for service, state in list(self._services.items()):
            if not len(state.queue) and not self._candidates(service):
                self._services.pop(service)

    def advance(self) -> list[_scheduler.Decision]:
        """Decides on queued requests as far as possible."""
        now_ms = self._clock.now_ms()
        self._advanced_ms = now_ms
        for lease in self._leases.expired(now_ms):
            self._end_lease(lease, 'time passed', now_ms)
        decisions: list[_scheduler.Decision] = []
        for service, state in self._services.items():
            if len(state.queue):
                decisions += self._scheduler.advance(service, state, now_ms)
        return decisions

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
            how_returned=self._scheduler.returns.take(
                demand.service, demand.content_digest, now_ms
            ),
        )
        state.queue.open_account(waiter)
        return waiter

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

    def _note_avoided(
        self, target: identifiers.TargetId, reason: str, avoid_ms: float
    ) -> None:
        self._log.write(
            observability.Event.SLOT_TARGET_AVOIDED,
            'slots.target_avoided',
            target=target,
            reason=reason,
            avoid_ms=round(avoid_ms),
        )

    def _end(
        self, ticket: str, entry: identifiers.InstanceId, now_ms: float
    ) -> None:
        refused = _types.SlotRefused(
            ticket=ticket, reason='already ended', retry_after_ms=0.0
        )
        self._tickets.end(refused, entry, now_ms)
