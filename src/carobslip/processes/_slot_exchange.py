"""Asks the brokers of services for slots, and receives their decisions."""

import asyncio
import random
from typing import Final

import msgspec

from carobslip import (
    clocks,
    control,
    directory,
    forwarding,
    identifiers,
    observability,
    slotbroker,
)
from carobslip.processes import _slot_brokers, _slot_outbox, _slot_server

_ANSWER_TIMEOUT_MS: Final = 80.0
#: Interval at which a queued request is asked again, which recovers decisions
#: that were lost and finds brokers that have ended.
_REPEAT_S: Final = 0.25
#: A decision that arrives this long after the end of the wait is still used: the
#: broker refuses requests at the end of their wait.
_GRACE_MS: Final = 60.0
#: Bounds of the retry delay of a request that was left without a decision.
_RETRY_MIN_MS: Final = 400.0
_RETRY_MAX_MS: Final = 1400.0
#: Longest part of this entry's name in a ticket.
_NAME_MAX_CHARS: Final = 80

_UNUSED: Final = slotbroker.SlotResult.CANCELLED


class _Waiter:
    """A request that waits for a decision.

    Args:
        demand: The request, with the times that are left at ``now_ms``.
        now_ms: Present time.
    """

    def __init__(self, demand: slotbroker.SlotDemand, now_ms: float) -> None:
        self.demand = demand
        self.since_ms = now_ms
        self.known_ms = now_ms
        self.until_ms = now_ms + max(0.0, demand.wait_left_ms) + _GRACE_MS
        self.broker: directory.InstanceRecord | None = None
        self.decided: asyncio.Future[forwarding.Assignment] = (
            asyncio.get_running_loop().create_future()
        )

    def demand_at(self, now_ms: float) -> slotbroker.SlotDemand:
        """Returns the request with the times that are left at ``now_ms``."""
        if now_ms == self.since_ms:
            return self.demand
        past_ms = now_ms - self.since_ms
        return msgspec.structs.replace(
            self.demand,
            on_time_left_ms=self.demand.on_time_left_ms - past_ms,
            wait_left_ms=self.demand.wait_left_ms - past_ms,
            patience_left_ms=self.demand.patience_left_ms - past_ms,
        )


class SlotExchange:
    """Implements the slot port; each service has one entry as its broker.

    Args:
        node: Control traffic of this process.
        data_centre: Where this entry runs.
        choice: Chooses the broker of a service.
        server: Decides where this entry is the broker itself.
        outbox: Returns slots to other brokers.
        clock: Monotonic time.
        generator: Spreads retries.
        log: Receives grants that came too late.
        metrics: Counts questions.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        data_centre: identifiers.DataCentreId,
        choice: _slot_brokers.BrokerChoice,
        server: _slot_server.SlotServer,
        outbox: _slot_outbox.SlotOutbox,
        clock: clocks.Clock,
        generator: random.Random,
        log: observability.EventLog,
        metrics: observability.Metrics,
    ) -> None:
        self.instance = node.origin.instance
        self.data_centre = data_centre
        self._node = node
        self._choice = choice
        self._server = server
        self._outbox = outbox
        self._clock = clock
        self._random = generator
        self._log = log
        self._metrics = metrics
        self._tickets = 0
        self._waiters: dict[str, _Waiter] = {}
        # Addresses of the brokers of slots in use, by broker and lease.
        self._held: dict[tuple[str, str], str] = {}
        server.on_own_decision = self._on_own_decision
        node.register_handler(control.PushSlot, self._on_push)

    def new_ticket(self) -> str:
        """Returns a name that no other request in the fleet has."""
        self._tickets += 1
        origin = self._node.origin
        name = origin.instance[:_NAME_MAX_CHARS]
        return f'{name}.{origin.incarnation:x}.{self._tickets:x}'

    async def acquire(
        self, demand: slotbroker.SlotDemand
    ) -> forwarding.Assignment:
        """Waits for the decision on a request."""
        waiter = _Waiter(demand, self._clock.now_ms())
        self._waiters[demand.ticket] = waiter
        try:
            return await self._wait(waiter)
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        finally:
            self._waiters.pop(waiter.demand.ticket)

    def release(
        self,
        assignment: forwarding.Assignment,
        outcome: slotbroker.SlotOutcome,
    ) -> None:
        """Returns a slot to the broker that granted it."""
        address = self._held.pop((assignment.broker, outcome.lease), None)
        if address is not None:
            self._return(address, outcome)

    async def _wait(self, waiter: _Waiter) -> forwarding.Assignment:
        while self._clock.now_ms() < waiter.until_ms:
            broker = self._choice.find(waiter.demand.service)
            if broker is None:
                return self._give_up(waiter)
            if waiter.broker is not None and _name(waiter.broker) != (
                broker.instance
            ):
                self._move(waiter)
            waiter.broker = broker
            answered = await self._ask(waiter, broker)
            if answered and not waiter.decided.done():
                left_s = (waiter.until_ms - self._clock.now_ms()) / 1000
                await asyncio.wait(
                    [waiter.decided], timeout=min(_REPEAT_S, max(0.0, left_s))
                )
            if waiter.decided.done():
                return waiter.decided.result()
        self._withdraw(waiter)
        return forwarding.Assignment(
            decision=slotbroker.SlotRefused(
                ticket=waiter.demand.ticket,
                reason='waited too long',
                retry_after_ms=self._random.uniform(
                    _RETRY_MIN_MS, _RETRY_MAX_MS
                ),
            ),
            broker=_name(waiter.broker),
        )

    def _give_up(self, waiter: _Waiter) -> forwarding.Assignment:
        """Returns that no broker answers, after withdrawing the request."""
        self._withdraw(waiter)
        return forwarding.Assignment(decision=None, broker=_name(waiter.broker))

    def _move(self, waiter: _Waiter) -> None:
        """Withdraws a request whose service has another broker.

        It gets another ticket, because the withdrawal may be repeated until
        after the broker has changed back.
        """
        self._withdraw(waiter)
        self._waiters.pop(waiter.demand.ticket)
        waiter.demand = msgspec.structs.replace(
            waiter.demand, ticket=self.new_ticket()
        )
        self._waiters[waiter.demand.ticket] = waiter

    async def _ask(
        self, waiter: _Waiter, broker: directory.InstanceRecord
    ) -> bool:
        """Asks a broker once; tells whether it answered."""
        asked_ms = self._clock.now_ms()
        demand = waiter.demand_at(asked_ms)
        self._metrics.count('brokered.asked')
        try:
            answer = await self._answer_of(broker, demand)
        except Exception as fault:
            # A fault of the broker must not fail the request, which has not run.
            if not waiter.decided.done():
                self._choice.note_silent(demand.service, broker, repr(fault))
            return False
        self._accept(waiter, broker, answer, asked_ms)
        return True

    async def _answer_of(
        self,
        broker: directory.InstanceRecord,
        demand: slotbroker.SlotDemand,
    ) -> _slot_server.Answer | None:
        """Returns the answer of a broker, which may be this entry."""
        if broker.instance == self.instance:
            return self._server.ask(demand)
        answer = await self._node.ask(
            broker.control_address,
            control.AskSlot(demand=demand),
            answer=control.SlotAnswer,
            timeout_ms=_ANSWER_TIMEOUT_MS,
        )
        return answer.granted or answer.refused

    def _accept(
        self,
        waiter: _Waiter,
        broker: directory.InstanceRecord,
        answer: _slot_server.Answer | None,
        asked_ms: float,
    ) -> None:
        """Stores the answer to a question."""
        waiter.known_ms = asked_ms
        if isinstance(answer, slotbroker.SlotGranted):
            self._on_granted(answer, broker.instance, broker.control_address)
        elif isinstance(answer, slotbroker.SlotRefused):
            self._on_refused(answer, broker.instance)

    async def _on_push(
        self, message: control.PushSlot, origin: control.Origin
    ) -> control.Noted:
        for granted in message.granted:
            self._on_granted(granted, origin.instance, origin.control_address)
        for refused in message.refused:
            self._on_refused(refused, origin.instance)
        return control.Noted()

    def _on_own_decision(self, decision: _slot_server.Decision) -> None:
        if isinstance(decision, slotbroker.SlotRefused):
            self._on_refused(decision, self.instance)
            return
        waiter = self._waiters.get(decision.ticket)
        if waiter is not None:
            waiter.known_ms = self._clock.now_ms()
        self._on_granted(
            decision, self.instance, self._node.origin.control_address
        )

    def _on_granted(
        self,
        granted: slotbroker.SlotGranted,
        broker: identifiers.InstanceId,
        address: str,
    ) -> None:
        key = (str(broker), granted.lease)
        if key in self._held:
            return
        waiter = self._waiters.get(granted.ticket)
        if waiter is None or waiter.decided.done():
            self._return_late(granted, broker, address)
            return
        self._held[key] = address
        waiter.decided.set_result(
            forwarding.Assignment(
                decision=granted, broker=broker, known_ms=waiter.known_ms
            )
        )

    def _on_refused(
        self, refused: slotbroker.SlotRefused, broker: identifiers.InstanceId
    ) -> None:
        waiter = self._waiters.get(refused.ticket)
        if waiter is not None and not waiter.decided.done():
            waiter.decided.set_result(
                forwarding.Assignment(decision=refused, broker=broker)
            )

    def _return_late(
        self,
        granted: slotbroker.SlotGranted,
        broker: identifiers.InstanceId,
        address: str,
    ) -> None:
        """Returns a slot that no request waits for any longer."""
        self._metrics.count('brokered.late_grants')
        self._log.write(
            observability.Event.GRANT_NOT_USED,
            ticket=granted.ticket,
            lease=granted.lease,
            target=granted.target,
            broker=broker,
            why='the request no longer waits',
        )
        self._return(
            address,
            slotbroker.SlotOutcome(
                lease=granted.lease,
                target=granted.target,
                result=_UNUSED,
                took_ms=0,
            ),
        )

    def _return(self, address: str, outcome: slotbroker.SlotOutcome) -> None:
        if address == self._node.origin.control_address:
            self._server.release(outcome)
        else:
            self._outbox.release(address, outcome)

    def _withdraw(self, waiter: _Waiter) -> None:
        """Withdraws a request, and returns its slot if it has just got one."""
        broker = waiter.broker
        if broker is not None and broker.instance == self.instance:
            self._server.withdraw(waiter.demand.ticket)
        elif broker is not None:
            self._outbox.withdraw(broker.control_address, waiter.demand.ticket)
        if not waiter.decided.done():
            return
        assignment = waiter.decided.result()
        decision = assignment.decision
        if isinstance(decision, slotbroker.SlotGranted):
            self.release(
                assignment,
                slotbroker.SlotOutcome(
                    lease=decision.lease,
                    target=decision.target,
                    result=_UNUSED,
                    took_ms=0,
                ),
            )


def _name(entry: directory.InstanceRecord | None) -> str:
    return '' if entry is None else entry.instance
