"""Tells brokers which slots and requests they need not keep any longer."""

import asyncio
from collections.abc import Callable
from typing import Final

from carobslip import control, observability, slotbroker, tasks

_ANSWER_TIMEOUT_MS: Final = 150.0
#: Pauses after messages that were not answered. A broker that stays silent for
#: longer has ended, or frees the slots when their time limits end.
_PAUSES_S: Final = (0.1, 0.2, 0.4, 0.8, 1.6)
#: Messages that may be unanswered; more would use too much memory while a broker
#: is silent.
_UNANSWERED_MAX: Final = 256
#: Released slots in one message.
_SLOTS_MAX: Final = 256


class SlotOutbox:
    """Returns slots and withdraws requests until the broker has noted it.

    All slots that are returned to a broker in one turn of the event loop are
    sent in one message.

    Args:
        node: Sends control messages.
        is_member: Tells whether the entry at an address may still run.
        supervisor: Runs the tasks that send.
        log: Receives messages that were given up.
        metrics: Counts them.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        is_member: Callable[[str], bool],
        supervisor: tasks.Supervisor,
        log: observability.EventLog,
        metrics: observability.Metrics,
    ) -> None:
        self._node = node
        self._is_member = is_member
        self._supervisor = supervisor
        self._log = log
        self._metrics = metrics
        self._released: dict[str, list[slotbroker.SlotOutcome]] = {}
        self._unanswered = 0

    def release(self, address: str, outcome: slotbroker.SlotOutcome) -> None:
        """Returns a slot to the broker at an address."""
        if not self._released:
            asyncio.get_running_loop().call_soon(self._send_released)
        self._released.setdefault(address, []).append(outcome)

    def withdraw(self, address: str, ticket: str) -> None:
        """Withdraws a request from the broker at an address."""
        self._send(address, control.WithdrawSlot(ticket=ticket))

    def _send_released(self) -> None:
        released = self._released
        self._released = {}
        for address, outcomes in released.items():
            for begin in range(0, len(outcomes), _SLOTS_MAX):
                batch = tuple(outcomes[begin : begin + _SLOTS_MAX])
                self._send(address, control.ReleaseSlots(outcomes=batch))

    def _send(
        self,
        address: str,
        message: control.ReleaseSlots | control.WithdrawSlot,
    ) -> None:
        if self._unanswered >= _UNANSWERED_MAX:
            self._note_given_up(address, message, 'too many unanswered')
            return
        self._supervisor.run_once(self._repeat(address, message))

    async def _repeat(
        self,
        address: str,
        message: control.ReleaseSlots | control.WithdrawSlot,
    ) -> None:
        """Sends a message until it is answered, a few times at most."""
        self._unanswered += 1
        fault = ''
        try:
            for pause_s in (*_PAUSES_S, 0.0):
                fault = await self._deliver(address, message)
                if not fault or not self._is_member(address):
                    return
                await asyncio.sleep(pause_s)
        finally:
            self._unanswered -= 1
        self._note_given_up(address, message, fault)

    async def _deliver(
        self,
        address: str,
        message: control.ReleaseSlots | control.WithdrawSlot,
    ) -> str:
        """Sends a message once; returns why it was not answered, or ''."""
        try:
            await self._node.ask(
                address,
                message,
                answer=control.Noted,
                timeout_ms=_ANSWER_TIMEOUT_MS,
            )
        except control.PeerUnreachable as fault:
            return str(fault) or 'no answer'
        return ''

    def _note_given_up(
        self,
        address: str,
        message: control.ReleaseSlots | control.WithdrawSlot,
        fault: str,
    ) -> None:
        self._metrics.count('brokered.not_returned')
        self._log.write(
            observability.Event.SLOTS_NOT_RETURNED,
            address=address,
            fault=fault,
            names=[one.lease for one in message.outcomes]
            if isinstance(message, control.ReleaseSlots)
            else [message.ticket],
        )
