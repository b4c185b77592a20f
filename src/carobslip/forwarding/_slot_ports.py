"""Interface to the broker of a service, and how the use of a slot ended."""

from typing import Protocol

import msgspec

from carobslip import identifiers, slotbroker


class SlotUse(msgspec.Struct, frozen=True, kw_only=True):
    """How a call used its slot.

    Attributes:
        result: How it ended.
        first_event_ms: Time from the start of the call to the first event of
            its answer, if there was one.
        events: Events of its answer.
    """

    result: slotbroker.SlotResult
    first_event_ms: float | None = None
    events: int = 0


#: The use of a slot at which no call was made.
UNUSED = SlotUse(result=slotbroker.SlotResult.CANCELLED)


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """Decision of a broker, or the lack of one.

    Attributes:
        decision: The decision; None if no broker answers, or if the service
            has none.
        broker: The entry that decided, or that did not answer; empty if none
            was asked.
        known_ms: The decision was made after this time on the entry's clock.
    """

    decision: slotbroker.SlotGranted | slotbroker.SlotRefused | None
    broker: str = ''
    known_ms: float = 0


class SlotTrace(msgspec.Struct, kw_only=True):
    """What logs tell about a request's way to a slot.

    Attributes:
        ticket: Its last ticket at a broker.
        broker: The entry that was asked last.
        decision: ``granted``, ``refused``, ``unanswered`` or ``unusable``;
            empty before a decision.
        lease: The last slot that it was granted.
        asked: Tickets that it has had.
    """

    ticket: str = ''
    broker: str = ''
    decision: str = ''
    lease: str = ''
    asked: int = 0

    def fields(self) -> dict[str, str | int]:
        """Returns the trace as fields of a log line, if a broker was asked."""
        if not self.asked:
            return {}
        return {
            'ticket': self.ticket,
            'broker': self.broker,
            'decision': self.decision,
            'lease': self.lease,
            'tickets': self.asked,
        }


class SlotPort(Protocol):
    """Reaches the broker of each service.

    Attributes:
        instance: The entry that asks.
        data_centre: Where it runs.
    """

    instance: identifiers.InstanceId
    data_centre: identifiers.DataCentreId

    def new_ticket(self) -> str:
        """Returns a name that no other request in the fleet has."""

    async def acquire(self, demand: slotbroker.SlotDemand) -> Assignment:
        """Waits for the decision on a request.

        The request is withdrawn if the wait is cancelled. A slot that was
        granted must be returned with ``release``.
        """

    def release(
        self, assignment: Assignment, outcome: slotbroker.SlotOutcome
    ) -> None:
        """Returns a slot to the broker that granted it."""
