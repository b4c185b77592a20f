"""Asks the brokers of contended services for slots.

The targets of a contended service have less capacity than its callers demand, and
some callers are more urgent than others. One entry, the broker, then assigns the
slots to the requests of all entries. While no broker answers, an entry decides as
it does for other services.
"""

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import Final, Protocol

import msgspec

from carobslip import (
    clocks,
    identifiers,
    observability,
    slotbroker,
    targets,
)
from carobslip.forwarding import (
    _admission,
    _demand,
    _loads,
    _permits,
    _slot_ports,
)

#: A grant that may have been made longer ago is not used: the broker may count
#: the slot as free again, or as that of another request.
_GRANT_AGE_MAX_MS: Final = 500.0
#: Grants that one request may find unusable before this entry decides itself.
_GRANTS_MAX: Final = 4
#: Largest number that a message may carry as a count.
_COUNT_MAX: Final = 2**31


class SlotSource(Protocol):
    """Starts requests while targets have free slots, and queues the others.

    Attributes:
        permits: Tells which targets take no request because of their rate.
        is_closed: No new requests are started.
    """

    permits: _permits.PermitGate

    @property
    def is_closed(self) -> bool:
        """Whether no new requests are started."""

    def close(self) -> None:
        """Refuses all requests that have not run, those in the queues too."""

    def waiting(self, service: identifiers.ServiceId) -> int:
        """Returns how many requests wait for a service."""

    def take(self, demand: _demand.Demand) -> targets.TargetRecord | None:
        """Takes a slot that is free now, bypassing the queue, if there is one."""

    async def admit(
        self, demand: _demand.Demand
    ) -> targets.TargetRecord | _demand.Refusal:
        """Waits for a slot; the caller must return it with ``release``."""

    def release(
        self,
        record: targets.TargetRecord,
        use: _slot_ports.SlotUse = _slot_ports.UNUSED,
    ) -> None:
        """Returns a slot."""

    def start_queued(self, service: identifiers.ServiceId) -> None:
        """Starts queued requests for which a slot is free now."""

    def recheck_queues(self) -> None:
        """Rechecks every queue after the state of targets has changed."""


class _Lease:
    """A slot that a broker has granted to a request of this entry."""

    def __init__(
        self,
        *,
        place: targets.TargetRecord,
        assignment: _slot_ports.Assignment,
        granted: slotbroker.SlotGranted,
        taken_ms: float,
    ) -> None:
        # Keeps the object alive whose identity is the key of the lease.
        self.place = place
        self.assignment = assignment
        self.granted = granted
        self.taken_ms = taken_ms


class BrokeredAdmission:
    """Asks brokers for the slots of contended services.

    Args:
        own: Decides for other services, and while no broker answers.
        port: Reaches the brokers.
        contended: Returns the services that have a broker.
        candidates: Returns the targets that may be used for a service.
        loads: Load of the targets.
        clock: Monotonic time.
        log: Receives grants that could not be used.
        metrics: Counts decisions.
    """

    def __init__(
        self,
        *,
        own: _admission.Admission,
        port: _slot_ports.SlotPort,
        contended: Callable[[], frozenset[identifiers.ServiceId]],
        candidates: Callable[
            [identifiers.ServiceId],
            Sequence[targets.TargetRecord],
        ],
        loads: _loads.LoadTracker,
        clock: clocks.Clock,
        log: observability.EventLog,
        metrics: observability.Metrics,
    ) -> None:
        self._own = own
        self._port = port
        self._contended = contended
        self._candidates = candidates
        self._loads = loads
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self.permits = own.permits
        self._questions: dict[
            asyncio.Task[_slot_ports.Assignment], _demand.Demand
        ] = {}
        # A request may hold two slots at one target, so that leases are found
        # by the identity of the record that ``admit`` has returned.
        self._leases: dict[int, _Lease] = {}

    @property
    def is_closed(self) -> bool:
        """Whether no new requests are started."""
        return self._own.is_closed

    def close(self) -> None:
        """Refuses all requests that have not run, those in the queues too."""
        self._own.close()
        for question, demand in list(self._questions.items()):
            if not demand.may_have_run:
                question.cancel()

    def waiting(self, service: identifiers.ServiceId) -> int:
        """Returns how many requests of this entry wait for a service."""
        asking = sum(
            demand.service == service for demand in self._questions.values()
        )
        return asking + self._own.waiting(service)

    def take(self, demand: _demand.Demand) -> targets.TargetRecord | None:
        """Takes a slot that is free now, bypassing the queue, if there is one.

        The broker is not asked, because the answer would come too late; it
        counts the slot as soon as the target's load is reported.
        """
        return self._own.take(demand)

    async def admit(
        self, demand: _demand.Demand
    ) -> targets.TargetRecord | _demand.Refusal:
        """Waits for a slot; the caller must return it with ``release``."""
        if demand.service not in self._contended():
            return await self._own.admit(demand)
        grants = 0
        while grants < _GRANTS_MAX and not self._is_closed_for(demand):
            assignment = await self._ask(demand)
            decision = assignment.decision
            if isinstance(decision, slotbroker.SlotRefused):
                return self._refuse(demand, assignment, decision)
            if decision is None:
                break
            place = self._use(demand, assignment, decision)
            if place is not None:
                return place
            grants += 1
            demand = msgspec.structs.replace(
                demand, excluded=demand.excluded | {decision.target}
            )
        # Refuses the request if the entry is closed, or if its time is over.
        return await self._own.admit(demand)

    def release(
        self,
        record: targets.TargetRecord,
        use: _slot_ports.SlotUse = _slot_ports.UNUSED,
    ) -> None:
        """Returns a slot."""
        lease = self._leases.pop(id(record), None)
        if lease is not None:
            self._return(lease.assignment, lease.granted, lease.taken_ms, use)
        self._own.release(record)

    def start_queued(self, service: identifiers.ServiceId) -> None:
        """Starts queued requests that no broker decides on."""
        self._own.start_queued(service)

    def recheck_queues(self) -> None:
        """Rechecks the queues of requests that no broker decides on."""
        self._own.recheck_queues()

    def _is_closed_for(self, demand: _demand.Demand) -> bool:
        return self.is_closed and not demand.may_have_run

    async def _ask(self, demand: _demand.Demand) -> _slot_ports.Assignment:
        """Returns the decision; without one if no broker decides."""
        asked = self._slot_demand(demand)
        trace = demand.trace
        if trace is not None:
            trace.ticket = asked.ticket
            trace.asked += 1
        question = asyncio.ensure_future(self._port.acquire(asked))
        self._questions[question] = demand
        try:
            await asyncio.wait([question])
        except asyncio.CancelledError:
            if question.done():
                self._return_unused(question)
            question.cancel()
            raise
        finally:
            self._questions.pop(question)
        assignment = _slot_ports.Assignment(decision=None)
        if not question.cancelled():
            assignment = question.result()
        if assignment.decision is None:
            _note(demand, assignment, 'unanswered')
            self._metrics.count('brokered.unanswered')
        return assignment

    def _return_unused(
        self, question: asyncio.Task[_slot_ports.Assignment]
    ) -> None:
        """Returns the slot of a request that ends as its decision arrives."""
        if question.cancelled() or question.exception() is not None:
            return
        assignment = question.result()
        if isinstance(assignment.decision, slotbroker.SlotGranted):
            self._return(
                assignment,
                assignment.decision,
                self._clock.now_ms(),
                _slot_ports.UNUSED,
            )

    def _slot_demand(self, demand: _demand.Demand) -> slotbroker.SlotDemand:
        now_ms = self._clock.now_ms()
        return slotbroker.SlotDemand(
            ticket=self._port.new_ticket(),
            service=demand.service,
            entry=self._port.instance,
            data_centre=self._port.data_centre,
            priority=demand.priority,
            route_priority=demand.route_priority,
            on_time_left_ms=demand.objective_until_ms - now_ms,
            wait_left_ms=demand.wait_until_ms - now_ms,
            patience_left_ms=demand.patience_until_ms - now_ms,
            team=demand.team,
            prompt_tokens=min(_COUNT_MAX, demand.prompt_tokens),
            answer_tokens_max=min(_COUNT_MAX, demand.answer_tokens_max),
            answer_tokens_hint=min(_COUNT_MAX, demand.answer_tokens_hint),
            content_digest=demand.content_digest,
            may_have_run=demand.may_have_run,
            excluded=self._excluded(demand),
        )

    def _excluded(
        self, demand: _demand.Demand
    ) -> tuple[identifiers.TargetId, ...]:
        """Returns the targets that this entry does not use for a request."""
        excluded = list(demand.excluded)
        excluded.extend(
            record.target
            for record in self._candidates(demand.service)
            if record.target not in demand.excluded
            and self._is_held_back(record.target)
        )
        return tuple(excluded[: slotbroker.EXCLUDED_MAX])

    def _is_held_back(self, target: identifiers.TargetId) -> bool:
        return self._loads.is_avoided(target) or self.permits.is_blocked(target)

    def _use(
        self,
        demand: _demand.Demand,
        assignment: _slot_ports.Assignment,
        granted: slotbroker.SlotGranted,
    ) -> targets.TargetRecord | None:
        """Returns the target of a grant; None if it must not be used."""
        now_ms = self._clock.now_ms()
        known = self._find(demand, granted.target)
        fault = ''
        if now_ms - assignment.known_ms > _GRANT_AGE_MAX_MS:
            fault = 'the grant may be too old'
        elif known is None:
            fault = 'the target is not usable here'
        elif self._is_closed_for(demand):
            fault = 'no new requests'
        if known is None or fault:
            _note(demand, assignment, 'unusable')
            self._metrics.count('brokered.unusable')
            self._log.write(
                observability.Event.GRANT_NOT_USED,
                ticket=granted.ticket,
                lease=granted.lease,
                target=granted.target,
                broker=assignment.broker,
                why=fault,
                age_max_ms=round(now_ms - assignment.known_ms),
            )
            self._return(assignment, granted, now_ms, _slot_ports.UNUSED)
            return None
        _note(demand, assignment, 'granted', granted.lease)
        self._metrics.count('brokered.granted')
        place = msgspec.structs.replace(known)
        self._leases[id(place)] = _Lease(
            place=place,
            assignment=assignment,
            granted=granted,
            taken_ms=now_ms,
        )
        self._loads.note_start(place.target)
        return place

    def _find(
        self, demand: _demand.Demand, target: identifiers.TargetId
    ) -> targets.TargetRecord | None:
        if target in demand.excluded or self._is_held_back(target):
            return None
        for record in self._candidates(demand.service):
            if record.target == target:
                return record
        return None

    def _return(
        self,
        assignment: _slot_ports.Assignment,
        granted: slotbroker.SlotGranted,
        taken_ms: float,
        use: _slot_ports.SlotUse,
    ) -> None:
        self._port.release(
            assignment,
            slotbroker.SlotOutcome(
                lease=granted.lease,
                target=granted.target,
                result=use.result,
                took_ms=max(0.0, self._clock.now_ms() - taken_ms),
                first_event_ms=use.first_event_ms,
                events=min(_COUNT_MAX, use.events),
            ),
        )

    def _refuse(
        self,
        demand: _demand.Demand,
        assignment: _slot_ports.Assignment,
        refused: slotbroker.SlotRefused,
    ) -> _demand.Refusal:
        _note(demand, assignment, 'refused')
        self._metrics.count('brokered.refused')
        return _demand.Refusal(
            reason=refused.reason,
            retry_after_ms=math.ceil(refused.retry_after_ms),
            waiting=refused.waiting,
            without_place={},
        )


def _note(
    demand: _demand.Demand,
    assignment: _slot_ports.Assignment,
    decision: str,
    lease: str = '',
) -> None:
    """Records a decision in the trace of a request."""
    trace = demand.trace
    if trace is not None:
        if assignment.decision is not None:
            trace.ticket = assignment.decision.ticket
        trace.broker = assignment.broker
        trace.decision = decision
        trace.lease = lease
