"""Checks that a target's events continue the stream that the caller has."""

from typing import Final

from carobslip import guard
from carobslip.forwarding import _events, _pending_request

#: Bytes of comments, empty lines and events that the caller already has, after
#: which a stream without a new event is given up.
_SURPLUS_MAX_BYTES: Final = 1_048_576


class Continuation:
    """Selects the events of one call that are new to the caller.

    Args:
        pending: The request; its last event is updated.
    """

    def __init__(self, pending: _pending_request.PendingRequest) -> None:
        self._pending = pending
        #: The event that the first one of the call has to follow; None if that
        #: has been checked, or need not be.
        self._resumed_after = pending.last_event
        self._surplus_bytes = 0
        self._fault: str | None = None

    def take(self, batch: list[_events.StreamEvent]) -> bytes:
        """Returns the content of the events that are new, up to a fault.

        Raises:
            guard.TargetLost: The first event does not follow the last one of
                the caller.
        """
        self._check_first(batch)
        fresh = []
        for event in batch:
            if self._is_next(event):
                fresh.append(event.raw)
            if self._fault is not None:
                break
        return b''.join(fresh)

    def check(self) -> None:
        """Checks what was taken last.

        Raises:
            guard.TargetLost: The events do not follow each other, or none of
                them has been new for long.
        """
        if self._fault is not None:
            raise guard.TargetLost(self._fault)

    def _check_first(self, batch: list[_events.StreamEvent]) -> None:
        """Checks the first event of a target that resumes a stream.

        Another number means that the target reports an error as a stream, or
        runs the request anew.
        """
        fields = (event for event in batch if not event.is_comment)
        resumed_after = self._resumed_after
        first = None if resumed_after is None else next(fields, None)
        if resumed_after is None or first is None:
            return
        if first.number != resumed_after + 1:
            raise guard.TargetLost(
                f'resumed after {resumed_after} with event {first.number}'
            )
        self._resumed_after = None

    def _is_next(self, event: _events.StreamEvent) -> bool:
        """Tells whether an event is new, and records its number."""
        last = self._pending.last_event
        if event.number is None:
            # Some targets never number their events.
            if last is not None or event.is_comment:
                self._note_surplus(event)
            return True
        if last is not None and event.number <= last:
            self._note_surplus(event)
            return False
        if last is not None and event.number > last + 1:
            self._fault = f'event {event.number} follows {last}'
            return False
        self._pending.last_event = event.number
        self._surplus_bytes = 0
        return True

    def _note_surplus(self, event: _events.StreamEvent) -> None:
        self._surplus_bytes += len(event.raw)
        if self._surplus_bytes > _SURPLUS_MAX_BYTES:
            self._fault = f'{self._surplus_bytes} bytes without a new event'
