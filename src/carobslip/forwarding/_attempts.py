"""One attempt of a request at one target."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from carobslip import guard, observability, targets, verdicts
from carobslip.forwarding import (
    _admission,
    _loads,
    _ports,
    _relay,
    _repeat_budget,
    _stalls,
    _tools,
    _work,
)

_Reason = verdicts.Reason
_Verdict = verdicts.Verdict

#: A group whose rank is lost stalls for about this long.
_GROUP_STALL_MS: Final = 1500.0
#: Requests at a stalled target look for room elsewhere at this interval.
_STALL_LOOK_S: Final = 0.05


class Attempts:
    """Calls targets for requests that have a place there.

    Args:
        book: The published targets.
        loads: Load of the targets.
        port: Calls targets.
        stalls: Tells which targets stand still.
        admission: Finds places for requests that leave a stalled target.
        demand_of: Returns what a request needs in order to start.
        budget: Bounds second sends.
        tools: Clock, chance and records.
    """

    def __init__(
        self,
        *,
        book: targets.TargetBook,
        loads: _loads.LoadBook,
        port: _ports.TargetPort,
        stalls: _stalls.StallBook,
        admission: _admission.Admission,
        demand_of: Callable[[_work.Work], _admission.Demand],
        budget: _repeat_budget.RepeatBudget,
        tools: _tools.Tools,
    ) -> None:
        self._book = book
        self._loads = loads
        self._port = port
        self._stalls = stalls
        self._admission = admission
        self._demand_of = demand_of
        self._budget = budget
        self._tools = tools

    async def run(
        self,
        work: _work.Work,
        place: targets.TargetRecord,
    ) -> verdicts.Outcome:
        """Sends a request to one target, and judges how that ended.

        Args:
            work: The request.
            place: Where a place was taken for it.
        """
        started_ms = self._tools.clock.now_ms()
        work.sent += 1
        work.arrivals += 1
        work.is_at_target = True
        outcome = await self._call_unless_stalled(work, place)
        work.is_at_target = False
        took_ms = self._tools.clock.now_ms() - started_ms
        if outcome.verdict is _Verdict.RAN:
            self._loads.note_success(place.target, took_ms)
        else:
            if outcome.verdict is _Verdict.NOT_RUN:
                work.sent -= 1
                work.unrun += 1
            self._tools.log.write(
                observability.Event.ATTEMPT_ENDED,
                request=work.request.request_id,
                target=place.target,
                verdict=outcome.verdict.value,
                reason=outcome.reason.value,
                fault=outcome.explanation,
                took_ms=round(took_ms),
                list_revision=self._book.revision,
            )
        return outcome

    async def _call_unless_stalled(
        self,
        work: _work.Work,
        place: targets.TargetRecord,
    ) -> verdicts.Outcome:
        """Calls a target, and takes the call back when its group stalls."""
        call = asyncio.ensure_future(self._call(work, place))
        stall = asyncio.ensure_future(self._stalls.wait(place.target))
        try:
            await asyncio.wait(
                (call, stall),
                return_when=asyncio.FIRST_COMPLETED,
            )
            while not call.done():
                if self._move(work, place):
                    return verdicts.may_have_run(
                        _Reason.TARGET_FAILED,
                        'its group stands still',
                    )
                await asyncio.wait((call,), timeout=_STALL_LOOK_S)
            return call.result()
        finally:
            await _cancel_all(call, stall)

    def _move(self, work: _work.Work, place: targets.TargetRecord) -> bool:
        """Takes a place elsewhere for a call at a stalled target.

        The call is given up only once it has another place.
        """
        if not self._stalls.is_stalled(place.target):
            return False
        if not work.route.may_repeat or work.sent >= work.route.attempts_max:
            return False
        if not self._budget.has_room(work.service):
            return False
        work.next_place = self._admission.take(self._demand_of(work))
        return work.next_place is not None

    async def _call(
        self,
        work: _work.Work,
        place: targets.TargetRecord,
    ) -> verdicts.Outcome:
        call = _ports.ForwardCall(
            request=work.request,
            target=place.target,
            address=place.address,
            team=None if work.team is None else work.team.team,
            time_left_ms=work.deadline_ms - self._tools.clock.now_ms(),
            last_event=work.resume_after,
            may_reuse_connection=work.route.may_repeat
            and work.request.method == 'POST',
        )
        try:
            async with self._port.call(call) as answer:
                return await self._pass_on(work, place, answer)
        except guard.TargetNotReached as fault:
            work.arrivals -= 1
            self._note_failure(place, is_unreachable=True)
            return verdicts.not_run(_Reason.NOT_CONNECTED, str(fault))
        except guard.TargetLost as fault:
            self._note_failure(place, is_unreachable=False)
            return verdicts.may_have_run(_Reason.CONNECTION_LOST, str(fault))

    async def _pass_on(
        self,
        work: _work.Work,
        place: targets.TargetRecord,
        answer: _ports.TargetAnswer,
    ) -> verdicts.Outcome:
        if answer.load is not None:
            total = answer.load.running + answer.load.waiting
            self._loads.note_total(
                place.target,
                total,
                valid_ms=_loads.ANSWER_VALID_MS,
            )
        if answer.has_not_run or answer.is_other_target:
            return self._judge_refusal(place, answer)
        if answer.head.is_success and answer.is_event_stream:
            await _relay.relay_stream(work, answer, self._tools)
            return verdicts.ran()
        body = await _relay.read_whole(answer)
        if work.begun:
            # The answer of the first target has begun; an error of the
            # second cannot take its place.
            return verdicts.may_have_run(
                _Reason.TARGET_FAILED,
                f'status {answer.head.status} when resumed',
            )
        if not answer.head.is_success and self._should_repeat(work, answer):
            return verdicts.may_have_run(
                _Reason.TARGET_FAILED,
                f'status {answer.head.status}',
            )
        await work.caller.answer(answer.head, body)
        return verdicts.ran()

    def _should_repeat(
        self,
        work: _work.Work,
        answer: _ports.TargetAnswer,
    ) -> bool:
        """Tells whether a target's failure is worth a second target."""
        return (
            answer.head.status >= 500
            and work.route.may_repeat
            and work.sent < work.route.attempts_max
            and self._budget.has_room(work.service)
        )

    def _judge_refusal(
        self,
        place: targets.TargetRecord,
        answer: _ports.TargetAnswer,
    ) -> verdicts.Outcome:
        if answer.is_other_target:
            self._book.note_replaced(place.target)
            return verdicts.not_run(_Reason.WRONG_INCARNATION)
        culprit = answer.culprit
        if culprit is not None and culprit != place.target:
            self._loads.avoid(culprit, _GROUP_STALL_MS)
        self._note_failure(place, is_unreachable=False)
        return verdicts.not_run(
            _Reason.TARGET_REFUSED,
            f'status {answer.head.status}, at fault {culprit or "itself"}',
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
            self._tools.log.write(
                observability.Event.TARGET_AVOIDED,
                target=place.target,
                avoid_ms=round(avoid_ms),
            )


async def _cancel_all(*tasks: asyncio.Future[Any]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
