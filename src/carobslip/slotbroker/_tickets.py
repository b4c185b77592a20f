"""Tickets that are queued, granted or decided."""

import collections
from typing import Final

import msgspec

from carobslip import identifiers
from carobslip.slotbroker import _types

#: Tickets that may be queued or hold a lease.
TICKETS_MAX: Final = 4096
#: Decided tickets that are remembered, so that a repeated or delayed message
#: gets the same answer and takes no slot.
_ENDED_MAX: Final = 4096
_ENDED_MS: Final = 10_000.0


class _Ended(msgspec.Struct, frozen=True):
    refused: _types.SlotRefused
    entry: identifiers.InstanceId
    ended_ms: float


class Tickets:
    """Finds the state of a ticket."""

    def __init__(self) -> None:
        self.queued: dict[str, _types.SlotDemand] = {}
        self.granted: dict[str, _types.SlotGranted] = {}
        self._entries: dict[str, identifiers.InstanceId] = {}
        self._ended: collections.OrderedDict[str, _Ended] = (
            collections.OrderedDict()
        )

    @property
    def is_full(self) -> bool:
        """Tells whether no more tickets are taken."""
        return len(self.queued) + len(self.granted) >= TICKETS_MAX

    def entry_of(self, ticket: str) -> identifiers.InstanceId | None:
        """Returns the entry that asked with a ticket."""
        ended = self._ended.get(ticket)
        return self._entries.get(ticket) if ended is None else ended.entry

    def refusal_of(self, ticket: str) -> _types.SlotRefused | None:
        """Returns the refusal of an ended ticket."""
        ended = self._ended.get(ticket)
        return None if ended is None else ended.refused

    def queue(self, demand: _types.SlotDemand) -> None:
        """Notes that a ticket waits."""
        self.queued[demand.ticket] = demand
        self._entries[demand.ticket] = demand.entry

    def grant(
        self, demand: _types.SlotDemand, granted: _types.SlotGranted
    ) -> None:
        """Notes that a ticket holds a lease."""
        self.queued.pop(demand.ticket, None)
        self.granted[demand.ticket] = granted
        self._entries[demand.ticket] = demand.entry

    def end(
        self,
        refused: _types.SlotRefused,
        entry: identifiers.InstanceId,
        now_ms: float,
    ) -> None:
        """Notes that a ticket has ended."""
        self.queued.pop(refused.ticket, None)
        self.granted.pop(refused.ticket, None)
        self._entries.pop(refused.ticket, None)
        self._drop_old(now_ms)
        self._ended[refused.ticket] = _Ended(refused, entry, now_ms)

    def _drop_old(self, now_ms: float) -> None:
        while self._ended:
            oldest = next(iter(self._ended.values()))
            is_kept = now_ms - oldest.ended_ms <= _ENDED_MS
            if is_kept and len(self._ended) < _ENDED_MAX:
                return
            self._ended.popitem(last=False)
