"""Forwards the answer of a target to the caller."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Iterator
from typing import Final

from carobslip import guard
from carobslip.forwarding import (
    _calls,
    _context,
    _continuation,
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
#: Events of one stream that are handled before other requests get a turn, and
#: the pause after them. A target that sends small events as fast as its link
#: permits then uses a small part of the processor.
_BATCH_EVENTS: Final = 64
_BATCH_PAUSE_S: Final = 0.002


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
            guard.TargetLost: The stream broke off, does not continue the one
                that has begun, or goes on without a new event; complete events
                were forwarded.
        """
        splitter = _events.EventSplitter()
        continuation = _continuation.Continuation(pending)
        async for content in answer.chunks():
            self._note_received(call, content)
            async for batch in _batches_of(splitter.feed(content)):
                call.check()
                self._note_events(call, len(batch))
                fresh = continuation.take(batch)
                await self._forward(pending, call, answer.head, fresh)
                continuation.check()
            if len(splitter.rest) > _EVENT_MAX_BYTES:
                raise guard.TargetLost('an event is too long')
        if splitter.is_inside_event:
            raise guard.TargetLost('the stream ended inside an event')
        if not pending.begun:
            raise guard.TargetLost('the stream ended before its first event')
        await self._forward(pending, call, answer.head, splitter.rest)
        with call.sending_to_caller():
            await pending.caller.end()

    def _note_events(self, call: _calls.Call, count: int) -> None:
        progress = call.progress
        if progress.first_event_ms is None:
            now_ms = self._context.clock.now_ms()
            progress.first_event_ms = now_ms - call.started_ms
        progress.events += count

    def _note_received(self, call: _calls.Call, content: bytes) -> None:
        call.check()
        call.progress.received_bytes += len(content)
        if content:
            self._stalls.note_received(call.place.target)

    async def _forward(
        self,
        pending: _pending_request.PendingRequest,
        call: _calls.Call,
        head: _request.AnswerHead,
        content: bytes,
    ) -> None:
        if content:
            with call.sending_to_caller():
                await self._write(pending, head, content)

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
        await pending.caller.write(content)


async def _batches_of(
    complete: Iterator[_events.StreamEvent],
) -> AsyncIterator[list[_events.StreamEvent]]:
    """Yields some events at a time, with a pause between."""
    batch = list(itertools.islice(complete, _BATCH_EVENTS))
    while batch:
        yield batch
        if len(batch) == _BATCH_EVENTS:
            await asyncio.sleep(_BATCH_PAUSE_S)
        batch = list(itertools.islice(complete, _BATCH_EVENTS))
