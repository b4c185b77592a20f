"""Assigns slots to the requests of other entries, as their broker."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from typing import Final, Protocol

from carobslip import (
    clocks,
    control,
    identifiers,
    observability,
    slotbroker,
    targets,
    tasks,
)

Decision = slotbroker.SlotGranted | slotbroker.SlotRefused
Answer = Decision | slotbroker.SlotQueued

#: Timeout of a pushed decision. A lost one is recovered by the entry, which
#: repeats its question.
_ANSWER_TIMEOUT_MS: Final = 150.0
#: Decisions in one message.
_SLOTS_MAX: Final = 256
#: Shortest time between two decisions that no message has caused.
_TIMER_MIN_S: Final = 0.005


class Broker(Protocol):
    """Assigns the slots of services' targets."""

    @property
    def deadline_ms(self) -> float | None:
        """When ``advance`` is next due; None if nothing waits."""

    def ask(self, demand: slotbroker.SlotDemand) -> Answer:
        """Returns the decision on a request; may be repeated."""

    def withdraw(self, ticket: str) -> None:
        """Drops a request and frees its slot."""

    def release(self, outcome: slotbroker.SlotOutcome) -> None:
        """Frees a slot; may be repeated."""

    def store_report(
        self, target: identifiers.TargetId, total: int, *, valid_ms: float
    ) -> None:
        """Stores a report of all requests at a target."""

    def store_pass(
        self,
        report: slotbroker.GroupPass,
        members: Sequence[targets.TargetRecord],
    ) -> None:
        """Stores how long the passes of a group are."""

    def avoid(self, target: identifiers.TargetId, avoid_ms: float) -> None:
        """Sends a target nothing for a time."""

    def clear_avoidance(self, target: identifiers.TargetId) -> None:
        """Ends the avoidance of a target."""

    def drop_entries(self, alive: Collection[identifiers.InstanceId]) -> None:
        """Ends the leases of entries that are gone."""

    def drop_unlisted(self, listed: Collection[identifiers.TargetId]) -> None:
        """Drops the state of unlisted targets."""

    def advance(self) -> list[Decision]:
        """Returns the decisions on queued requests that are possible now."""

    def entry_of(self, ticket: str) -> identifiers.InstanceId | None:
        """Returns the entry of a request that waits, or was just decided."""


class SlotServer:
    """Answers requests for slots, and pushes later decisions to entries.

    Decisions are made once in a turn of the event loop, after the messages that
    may permit them, and when the broker's deadline has come.

    Args:
        broker: Decides.
        node: Control traffic of this process.
        is_current: Returns False while the state of this process may be stale
            after a pause.
        supervisor: Runs the tasks that push.
        clock: Monotonic time.
        log: Receives failures of the broker.
        metrics: Counts messages.
    """

    def __init__(
        self,
        *,
        broker: Broker,
        node: control.Node,
        is_current: Callable[[], bool],
        supervisor: tasks.Supervisor,
        clock: clocks.Clock,
        log: observability.EventLog,
        metrics: observability.Metrics,
    ) -> None:
        self._broker = broker
        self._node = node
        self._is_current = is_current
        self._supervisor = supervisor
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self.on_own_decision: Callable[[Decision], None] = _ignore
        self._addresses: dict[identifiers.InstanceId, str] = {}
        self._is_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        node.register_handler(control.AskSlot, self._on_ask)
        node.register_handler(control.WithdrawSlot, self._on_withdraw)
        node.register_handler(control.ReleaseSlots, self._on_release)

    def ask(self, demand: slotbroker.SlotDemand) -> Answer:
        """Returns the decision on a request of this entry."""
        answer = self._broker.ask(demand)
        self._schedule()
        return answer

    def withdraw(self, ticket: str) -> None:
        """Withdraws a request."""
        self._broker.withdraw(ticket)
        self._schedule()

    def release(self, outcome: slotbroker.SlotOutcome) -> None:
        """Frees a slot."""
        self._broker.release(outcome)
        self._schedule()

    def note_loads(
        self,
        loads: Collection[tuple[identifiers.TargetId, int]],
        *,
        valid_ms: float,
    ) -> None:
        """Stores a report of all requests at some targets."""
        for target, total in loads:
            self._broker.store_report(target, total, valid_ms=valid_ms)
        if self._broker.deadline_ms is not None:
            self._schedule()

    def note_pass(
        self,
        report: slotbroker.GroupPass,
        members: Sequence[targets.TargetRecord],
    ) -> None:
        """Stores how long the passes of a group are."""
        self._broker.store_pass(report, members)

    def avoid(
        self, avoided: Collection[identifiers.TargetId], avoid_ms: float
    ) -> None:
        """Sends some targets nothing for a time."""
        for target in avoided:
            self._broker.avoid(target, avoid_ms)

    def clear_avoidance(self, usable: Collection[identifiers.TargetId]) -> None:
        """Ends the avoidance of some targets."""
        for target in usable:
            self._broker.clear_avoidance(target)

    def drop_entries(self, alive: Collection[identifiers.InstanceId]) -> None:
        """Ends the leases of entries that are gone."""
        self._broker.drop_entries(alive)
        for entry in self._addresses.keys() - set(alive):
            self._addresses.pop(entry)
        self._schedule()

    def drop_unlisted(self, listed: Collection[identifiers.TargetId]) -> None:
        """Drops the state of unlisted targets."""
        self._broker.drop_unlisted(listed)
        self._schedule()

    def close(self) -> None:
        """Makes no more decisions."""
        if self._timer is not None:
            self._timer.cancel()

    async def _on_ask(
        self, message: control.AskSlot, origin: control.Origin
    ) -> control.SlotAnswer | control.Refused:
        if not self._is_current():
            return control.Refused(fault='the state may be stale after a pause')
        demand = message.demand
        self._addresses[demand.entry] = origin.control_address
        answer = self.ask(demand)
        if isinstance(answer, slotbroker.SlotGranted):
            return control.SlotAnswer(granted=answer)
        if isinstance(answer, slotbroker.SlotRefused):
            return control.SlotAnswer(refused=answer)
        return control.SlotAnswer(queued=answer)

    async def _on_withdraw(
        self, message: control.WithdrawSlot, origin: control.Origin
    ) -> control.Noted:
        self.withdraw(message.ticket)
        return control.Noted()

    async def _on_release(
        self, message: control.ReleaseSlots, origin: control.Origin
    ) -> control.Noted:
        for outcome in message.outcomes:
            self.release(outcome)
        return control.Noted()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._advance)

    def _advance(self) -> None:
        """Makes the decisions that are possible now, and sends them."""
        self._is_scheduled = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        try:
            self._send(self._broker.advance())
        except Exception as error:
            # The timer must be set again, or all queued requests would wait.
            self._metrics.count('slots.broker_failed')
            self._log.write(
                observability.Event.TASK_FAILED,
                task='slot broker',
                fault=repr(error),
            )
        deadline_ms = self._broker.deadline_ms
        if deadline_ms is not None:
            wait_s = (deadline_ms - self._clock.now_ms()) / 1000
            self._timer = asyncio.get_running_loop().call_later(
                max(_TIMER_MIN_S, wait_s), self._advance
            )

    def _send(self, decisions: list[Decision]) -> None:
        by_entry: dict[identifiers.InstanceId, list[Decision]] = {}
        for decision in decisions:
            entry = self._broker.entry_of(decision.ticket)
            if entry == self._node.origin.instance:
                self.on_own_decision(decision)
            elif entry is not None:
                by_entry.setdefault(entry, []).append(decision)
        for entry, made in by_entry.items():
            address = self._addresses.get(entry)
            if address is None:
                continue
            for begin in range(0, len(made), _SLOTS_MAX):
                self._supervisor.run_once(
                    self._push(address, made[begin : begin + _SLOTS_MAX])
                )

    async def _push(self, address: str, decisions: list[Decision]) -> None:
        message = control.PushSlot(
            granted=tuple(
                one
                for one in decisions
                if isinstance(one, slotbroker.SlotGranted)
            ),
            refused=tuple(
                one
                for one in decisions
                if isinstance(one, slotbroker.SlotRefused)
            ),
        )
        self._metrics.count('slots.pushed', len(decisions))
        try:
            await self._node.ask(
                address,
                message,
                answer=control.Noted,
                timeout_ms=_ANSWER_TIMEOUT_MS,
            )
        except control.PeerUnreachable:
            self._metrics.count('slots.pushes_unanswered')


def _ignore(decision: Decision) -> None:
    """Default until the entry's own requests are connected."""
