"""Runs one attempt of a request, with a second call if its target stalls."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

import msgspec

from carobslip import guard, observability, slotbroker, targets, verdicts
from carobslip.forwarding import (
    _calls,
    _context,
    _crash_watch,
    _demand,
    _loads,
    _numbers,
    _pending_request,
    _ports,
    _relay,
    _repeat_budget,
    _retry_after,
    _slot_ports,
    _slot_source,
    _stalls,
)

_Reason = verdicts.Reason
_Verdict = verdicts.Verdict

#: Approximate stall of a group after it loses a rank.
_GROUP_STALL_MS: Final = 1500.0
#: Interval at which requests at a stalled target look for another free slot.
_STALL_POLL_S: Final = 0.05
_SERVER_ERROR: Final = 500
#: Further targets that a request tries while its target is stalled.
_SECOND_CALLS_MAX: Final = 2


class Attempts:
    """Calls targets for requests that hold a slot there.

    Args:
        registry: The published targets.
        loads: Load of the targets.
        port: Calls targets.
        stalls: Tells which targets are stalled.
        admission: Finds slots for second calls of requests at a stalled target.
        demand_of: Returns what a request needs in order to start.
        budget: Bounds repeated sends.
        crash_watch: Tells which requests may have crashed a target.
        context: Clock, random generator, log and metrics.
    """

    def __init__(
        self,
        *,
        registry: targets.TargetRegistry,
        loads: _loads.LoadTracker,
        port: _ports.TargetPort,
        stalls: _stalls.StallTracker,
        admission: _slot_source.SlotSource,
        demand_of: Callable[[_pending_request.PendingRequest], _demand.Demand],
        budget: _repeat_budget.RepeatBudget,
        crash_watch: _crash_watch.CrashWatch,
        context: _context.ProcessContext,
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._port = port
        self._stalls = stalls
        self._admission = admission
        self._demand_of = demand_of
        self._budget = budget
        self._crash_watch = crash_watch
        self._context = context
        self._relay = _relay.Relay(stalls=stalls, context=context)

    async def run(
        self,
        pending: _pending_request.PendingRequest,
        place: targets.TargetRecord,
    ) -> verdicts.Outcome:
        """Sends a request to one target and returns the outcome.

        While that target is stalled, the request is also sent to a second one
        if it may be repeated. The call that answers first is kept.

        Args:
            pending: The request.
            place: The target at which it holds a slot; the slot is released.
        """
        calls: list[_calls.Call] = []
        self._start(pending, place, calls)
        pending.is_at_target = True
        try:
            outcome = await self._wait_for_outcome(pending, calls)
        finally:
            await self._cancel_all(calls)
        # Not after a cancellation: the call was in progress then.
        pending.is_at_target = False
        return outcome

    def _start(
        self,
        pending: _pending_request.PendingRequest,
        place: targets.TargetRecord,
        calls: list[_calls.Call],
    ) -> None:
        call = _calls.Call(
            place=place,
            started_ms=self._context.clock.now_ms(),
            calls=calls,
            is_resumed=pending.resume_after is not None,
        )
        pending.sent += 1
        if pending.arrivals:
            self._budget.note_arrival(pending)
        pending.arrivals += 1
        pending.last_call = call.progress
        calls.append(call)
        call.task = asyncio.ensure_future(self._call(pending, call))

    async def _wait_for_outcome(
        self,
        pending: _pending_request.PendingRequest,
        calls: list[_calls.Call],
    ) -> verdicts.Outcome:
        """Waits until one call succeeds or all calls have ended."""
        last = verdicts.may_have_run(_Reason.CONNECTION_LOST)
        while calls:
            await self._wait(pending, calls)
            ended = [call for call in calls if _is_done(call)]
            for call in ended:
                calls.remove(call)
                self._admission.release(call.place, _use_of(call))
                outcome = self._note_end(pending, call)
                if outcome.verdict is _Verdict.RAN:
                    return outcome
                if not call.is_cancelled:
                    last = outcome
            if len(calls) == 1:
                self._start_second(pending, calls)
        return last

    async def _wait(
        self, pending: _pending_request.PendingRequest, calls: list[_calls.Call]
    ) -> None:
        """Waits for the end of a call, or for a report of a stalled target."""
        awaited: set[asyncio.Future[Any]] = {
            call.task for call in calls if call.task is not None
        }
        only = calls[0].place.target
        if len(calls) > 1 or not pending.may_be_sent_again:
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        elif self._stalls.is_reported_stalled(only):
            await asyncio.wait(awaited, timeout=_STALL_POLL_S)
        else:
            stall = asyncio.ensure_future(self._stalls.wait_for_stall(only))
            try:
                await asyncio.wait(
                    awaited | {stall},
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                stall.cancel()

    def _start_second(
        self,
        pending: _pending_request.PendingRequest,
        calls: list[_calls.Call],
    ) -> None:
        """Sends a request to a second target while the first is stalled.

        The first call continues until either call has content to forward: the
        stall report may be wrong, and the second target may not answer.
        """
        first = calls[0]
        stays = first.is_sending_to_caller or not self._stalls.is_stalled(
            first.place.target,
            since_ms=first.started_ms,
        )
        if stays or not self._may_start_second(pending):
            return
        demand = self._demand_of(pending)
        place = self._admission.take(
            msgspec.structs.replace(
                demand,
                excluded=demand.excluded | {first.place.target},
            ),
        )
        if place is not None and self._budget.reserve(pending):
            pending.second_calls += 1
            self._start(pending, place, calls)

    def _may_start_second(
        self, pending: _pending_request.PendingRequest
    ) -> bool:
        return (
            pending.may_be_sent_again
            and pending.second_calls < _SECOND_CALLS_MAX
            and not self._crash_watch.gate.find_hold(
                pending.request.crash_parts
            )
            and self._budget.can_reserve(pending)
        )

    def _note_end(
        self,
        pending: _pending_request.PendingRequest,
        call: _calls.Call,
    ) -> verdicts.Outcome:
        """Returns the outcome of a call after recording it."""
        target = call.place.target
        outcome = _outcome_of(call)
        took_ms = self._context.clock.now_ms() - call.started_ms
        if outcome.verdict is _Verdict.RAN:
            self._loads.note_success(target, took_ms)
            return outcome
        if outcome.verdict is _Verdict.NOT_RUN:
            pending.note_not_run(target)
        else:
            pending.note_lost(target)
        self._context.log.write(
            observability.Event.ATTEMPT_ENDED,
            request=pending.request.request_id,
            target=target,
            verdict=outcome.verdict.value,
            reason=outcome.reason.value,
            fault=outcome.explanation,
            took_ms=round(took_ms),
            list_revision=self._registry.revision,
            crash_parts=pending.request.crash_parts,
            is_suspect=pending.is_suspect,
            **call.progress.fields(self._context.clock.now_ms()),
        )
        return outcome

    async def _cancel_all(self, calls: list[_calls.Call]) -> None:
        """Cancels the calls that are still in progress."""
        tasks = [call.task for call in calls if call.task is not None]
        for call in calls:
            call.cancel()
            self._admission.release(call.place, _use_of(call))
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _call(
        self,
        pending: _pending_request.PendingRequest,
        call: _calls.Call,
    ) -> verdicts.Outcome:
        place = call.place
        sent = _ports.ForwardCall(
            request=pending.request,
            target=place.target,
            address=place.address,
            team=None if pending.team is None else pending.team.team,
            time_left_ms=pending.deadline_ms - self._context.clock.now_ms(),
            last_event=pending.resume_after,
            may_reuse_connection=pending.route.may_repeat
            and pending.request.method == 'POST',
            progress=call.progress,
            urgency=pending.urgency,
        )
        try:
            async with self._port.call(sent) as answer:
                return await self._handle_answer(pending, call, answer)
        except guard.TargetNotReached as fault:
            pending.arrivals -= 1
            self._note_failure(place, is_unreachable=True)
            return verdicts.not_run(_Reason.NOT_CONNECTED, str(fault))
        except guard.TargetLost as fault:
            self._note_failure(place, is_unreachable=False)
            await self._note_crash(pending, call)
            return verdicts.may_have_run(_Reason.CONNECTION_LOST, str(fault))

    async def _note_crash(
        self,
        pending: _pending_request.PendingRequest,
        call: _calls.Call,
    ) -> None:
        has_events = call.progress.events > 0
        if await self._crash_watch.is_suspect(
            pending.request, call.place, has_events=has_events
        ):
            pending.is_suspect = True
        # A stream that has begun goes on at once: its caller counts the pause.
        pending.resend_pause_ms = (
            0.0 if has_events else self._crash_watch.resend_pause_ms(call.place)
        )

    async def _handle_answer(
        self,
        pending: _pending_request.PendingRequest,
        call: _calls.Call,
        answer: _ports.TargetAnswer,
    ) -> verdicts.Outcome:
        place = call.place
        call.answered_status = answer.head.status
        if answer.load is not None:
            total = answer.load.running + answer.load.waiting
            self._loads.store_report(
                place.target,
                total,
                valid_ms=_loads.ANSWER_VALID_MS,
            )
        if not answer.is_other_target:
            self._note_wishes(call, answer)
        if answer.has_not_run or answer.is_other_target:
            return self._handle_refusal(place, answer)
        if answer.head.is_success and answer.is_event_stream:
            await self._relay.forward_stream(pending, call, answer)
            if not call.is_resumed:
                # The rest of a stream does not show what happened before it.
                self._crash_watch.note_answered(pending.request)
            return verdicts.ran()
        body = await self._relay.read_whole(call, answer)
        if pending.begun:
            # The caller already has the head of the first answer, so an error
            # of the second target cannot replace it.
            return verdicts.may_have_run(
                _Reason.TARGET_FAILED,
                f'status {answer.head.status} when resumed',
            )
        if answer.head.status >= _SERVER_ERROR and (
            call.has_parallel_call or self._reserve_repeat(pending)
        ):
            return verdicts.may_have_run(
                _Reason.TARGET_FAILED,
                f'status {answer.head.status}',
            )
        with call.sending_to_caller():
            await pending.caller.answer(answer.head, body)
        return verdicts.ran()

    def _reserve_repeat(self, pending: _pending_request.PendingRequest) -> bool:
        """Tells whether a repeat replaces a failed answer.

        The budget is reserved at once, before the failure is withheld.
        """
        return pending.may_be_sent_again and self._budget.reserve(pending)

    def _handle_refusal(
        self,
        place: targets.TargetRecord,
        answer: _ports.TargetAnswer,
    ) -> verdicts.Outcome:
        if answer.is_other_target:
            self._registry.note_replaced(place.target)
            return verdicts.not_run(_Reason.WRONG_INCARNATION)
        at_fault = answer.target_at_fault
        if at_fault is not None and at_fault != place.target:
            self._loads.avoid(at_fault, _GROUP_STALL_MS)
        self._note_failure(place, is_unreachable=False)
        return verdicts.not_run(
            _Reason.TARGET_REFUSED,
            f'status {answer.head.status}, at fault {at_fault or "itself"}',
        )

    def _note_wishes(
        self, call: _calls.Call, answer: _ports.TargetAnswer
    ) -> None:
        """Records which further requests a target wants."""
        place = call.place
        if answer.retry_after is not None:
            self._note_turned_away(place, answer.retry_after)
        if answer.is_leaving:
            self._registry.note_leaving(place)
        self._admission.permits.limits.note_answer(
            place.target,
            answer.rate_limits,
            started_ms=call.started_ms,
            is_success=answer.head.is_success,
        )

    def _note_turned_away(
        self, place: targets.TargetRecord, retry_after: str
    ) -> None:
        pause_ms = _retry_after.read_pause_ms(retry_after)
        if pause_ms is not None:
            self._loads.note_turned_away(place.target, pause_ms)
        self._context.log.write(
            observability.Event.TARGET_TURNED_AWAY,
            target=place.target,
            retry_after=retry_after[: _numbers.VALUE_MAX_CHARS],
            pause_ms=pause_ms,
        )

    def _note_failure(
        self,
        place: targets.TargetRecord,
        *,
        is_unreachable: bool,
    ) -> None:
        avoid_ms = self._loads.note_failure(
            place.target,
            is_unreachable=is_unreachable,
        )
        if avoid_ms:
            self._context.log.write(
                observability.Event.TARGET_AVOIDED,
                target=place.target,
                avoid_ms=round(avoid_ms),
            )


def _is_done(call: _calls.Call) -> bool:
    return call.task is None or call.task.done()


def _outcome_of(call: _calls.Call) -> verdicts.Outcome:
    if call.task is None or call.is_cancelled:
        return verdicts.may_have_run(
            _Reason.TARGET_FAILED,
            'another target answered first',
        )
    return call.task.result()


def _use_of(call: _calls.Call) -> _slot_ports.SlotUse:
    """Returns how a call that has ended used its slot."""
    return _slot_ports.SlotUse(
        result=_result_of(call),
        first_event_ms=call.progress.first_event_ms,
        events=call.progress.events,
    )


def _result_of(call: _calls.Call) -> slotbroker.SlotResult:
    task = call.task
    if task is None or call.is_cancelled or task.cancelled():
        return slotbroker.SlotResult.CANCELLED
    if task.exception() is not None:
        # The answer could not be sent to the caller.
        return slotbroker.SlotResult.CANCELLED
    outcome = task.result()
    if outcome.reason is _Reason.NOT_CONNECTED:
        return slotbroker.SlotResult.UNREACHABLE
    if outcome.verdict is _Verdict.NOT_RUN:
        return slotbroker.SlotResult.NOT_RUN
    has_failed = call.answered_status >= _SERVER_ERROR
    if outcome.verdict is _Verdict.RAN and not has_failed:
        return slotbroker.SlotResult.SERVED
    return slotbroker.SlotResult.FAILED
