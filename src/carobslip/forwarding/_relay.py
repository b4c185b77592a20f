"""Forwards the answer of a target to the caller."""

from typing import Final

from carobslip import guard
from carobslip.forwarding import (
    _calls,
    _context,
    _events,
    _pending_request,
    _ports,
    _request,
    _stalls,
)

#: Longest answer that is buffered until it is complete.
_ANSWER_MAX_BYTES: Final = 8_388_608
#: Longest event of a stream; bounds the buffer for an event without an end.
_EVENT_MAX_BYTES: Final = 1_048_576


class Relay:
    """Reads the answers of targets and forwards streams.

    Args:
        stalls: Records which targets send something.
        context: Clock and metrics.
    """

    def __init__(
        self,
        *,
        stalls: _stalls.StallTracker,
        context: _context.ProcessContext,
    ) -> None:
        self._stalls = stalls
        self._context = context

    async def read_whole(
        self,
        call: _calls.Call,
        answer: _ports.TargetAnswer,
    ) -> bytes:
        """Returns a complete body.

        Raises:
            guard.TargetLost: It broke off, or is too long to be buffered.
        """
        parts = []
        size_bytes = 0
        async for content in answer.chunks():
            self._note_received(call, content)
            parts.append(content)
            size_bytes += len(content)
            if size_bytes > _ANSWER_MAX_BYTES:
                raise guard.TargetLost('the answer is too long')
        return b''.join(parts)

    async def forward_stream(
        self,
        pending: _pending_request.PendingRequest,
        call: _calls.Call,
        answer: _ports.TargetAnswer,
    ) -> None:
        """Forwards a stream event by event.

        Raises:
            guard.TargetLost: The stream broke off, or does not continue the
                one that has begun; complete events were forwarded.
        """
        splitter = _events.EventSplitter()
        resumed_after = pending.last_event
        async for content in answer.chunks():
            self._note_received(call, content)
            complete = splitter.feed(content)
            call.progress.events += len(complete)
            resumed_after = _check_continuation(complete, resumed_after)
            fresh = [
                event.raw for event in complete if _is_next(pending, event)
            ]
            if len(splitter.rest) > _EVENT_MAX_BYTES:
                raise guard.TargetLost('an event is too long')
            if fresh:
                with call.sending_to_caller():
                    await self._write(pending, answer.head, b''.join(fresh))
        if splitter.is_inside_event:
            raise guard.TargetLost('the stream ended inside an event')
        if not pending.begun:
            raise guard.TargetLost('the stream ended before its first event')
        with call.sending_to_caller():
            if splitter.rest:
                await self._write(pending, answer.head, splitter.rest)
            await pending.caller.end()

    def _note_received(self, call: _calls.Call, content: bytes) -> None:
        call.check()
        call.progress.received_bytes += len(content)
        if content:
            self._stalls.note_received(call.place.target)

    async def _write(
        self,
        pending: _pending_request.PendingRequest,
        head: _request.AnswerHead,
        content: bytes,
    ) -> None:
        pending.progress_ms = self._context.clock.now_ms()
        if not pending.begun:
            pending.begun = True
            after_ms = pending.progress_ms - pending.request.arrived_ms
            pending.first_event_ms = after_ms
            self._context.metrics.time_ms('first_event', after_ms)
            await pending.caller.begin(head)
        if content:
            await pending.caller.write(content)


def _check_continuation(
    complete: list[_events.StreamEvent], resumed_after: int | None
) -> int | None:
    """Checks the first event of a target that resumes a stream.

    Args:
        complete: Events of the target.
        resumed_after: The event that the first of them has to follow; None if
            that has been checked, or need not be.

    Returns:
        What the first event of a later call has to follow.

    Raises:
        guard.TargetLost: It does not follow: the target reports an error as a
            stream, or runs the request anew.
    """
    fields = (event for event in complete if not event.is_comment)
    first = next(fields, None)
    if resumed_after is None or first is None:
        return resumed_after
    if first.number != resumed_after + 1:
        raise guard.TargetLost(
            f'resumed after {resumed_after} with event {first.number}'
        )
    return None


def _is_next(
    pending: _pending_request.PendingRequest, event: _events.StreamEvent
) -> bool:
    """Tells whether an event is new, and records its number.

    Raises:
        guard.TargetLost: An event is missing before it.
    """
    if event.number is None:
        return True
    last = pending.last_event
    if last is not None and event.number <= last:
        return False
    if last is not None and event.number > last + 1:
        raise guard.TargetLost(f'event {event.number} follows {last}')
    pending.last_event = event.number
    return True
