"""Sends a request to one guard and judges what became of it."""

import asyncio
from typing import Final

from carobslip import (
    attempts,
    clocks,
    configuration,
    control,
    directory,
    identifiers,
    routing,
    verdicts,
)
from carobslip.entry import (
    _caller_port,
    _guard_port,
    _progress,
    _requests,
    _settlement,
)

#: A guard that could not be reached is passed over for this long.
AVOID_MS: Final = 1000.0
_HELLO_TIMEOUT_MS: Final = 500.0
_REJOIN_PAUSE_S: Final = 0.1
_Reason = verdicts.Reason
_Verdict = verdicts.Verdict


class Attempter:
    """Sends attempts and finds out how they ended.

    Args:
        entry: This instance.
        node: Control traffic; its holder has the configuration.
        guards: Sends attempts.
        hints: What is known about guards.
        clock: Monotonic time.
    """

    def __init__(
        self,
        *,
        entry: identifiers.InstanceId,
        node: control.Node,
        guards: _guard_port.GuardPort,
        hints: routing.HintBook,
        clock: clocks.Clock,
    ) -> None:
        self._entry = entry
        self._node = node
        self._guards = guards
        self._hints = hints
        self._clock = clock
        self._settlement = _settlement.Settlement(node=node, hints=hints)

    async def attempt(
        self,
        request: _requests.CallerRequest,
        progress: _progress.Progress,
        guard: directory.InstanceRecord,
        caller: _caller_port.Caller,
    ) -> verdicts.Outcome:
        """Sends the request to one guard, again where that can do no harm.

        Args:
            request: The caller's request.
            progress: How far it has come.
            guard: Where to send it.
            caller: Takes the reply.

        Returns:
            The verdict on all that was sent to this guard.
        """
        target = _target_of(guard)
        while True:
            known = await self._introduce(guard)
            if known is None:
                outcome = self._end_unknown(progress, target)
                break
            used = known.hint.incarnation
            outcome = await self._send(
                request,
                progress,
                guard,
                known,
                _progress.CountingCaller(caller=caller, progress=progress),
            )
            self.note(
                progress,
                target,
                f'{outcome.verdict.value}: {outcome.reason.value}',
            )
            if self._is_restarted(progress, outcome, target, used):
                continue
            if not await self._can_rejoin(progress, outcome):
                break
            await asyncio.sleep(_REJOIN_PAUSE_S)
        progress.tried.add(target)
        return await self._judge_attempt(progress, outcome)

    def _end_unknown(
        self,
        progress: _progress.Progress,
        target: identifiers.TargetId,
    ) -> verdicts.Outcome:
        self._hints.avoid(target, AVOID_MS)
        self.note(progress, target, 'the guard gave no hint')
        progress.attempts += 1
        return verdicts.not_run(_Reason.NOT_CONNECTED)

    def _is_restarted(
        self,
        progress: _progress.Progress,
        outcome: verdicts.Outcome,
        target: identifiers.TargetId,
        used: identifiers.Incarnation,
    ) -> bool:
        """Tells whether a newer start of the guard refused the attempt."""
        if outcome.reason is not _Reason.WRONG_INCARNATION:
            return False
        renewed = self._hints.find(target)
        newer = renewed is not None and renewed.hint.incarnation != used
        return newer and progress.unsettled is None

    async def _can_rejoin(
        self,
        progress: _progress.Progress,
        outcome: verdicts.Outcome,
    ) -> bool:
        """Tells whether the same guard can still give a lost reply."""
        sent = progress.unsettled
        if progress.key is None or sent is None or progress.begun:
            return False
        if outcome.reason is not _Reason.CONNECTION_LOST:
            return False
        settled = await self.settle(progress.key, sent)
        self.note(progress, _target_of(sent.guard), f'settled: {settled}')
        return settled is not None and settled.state in _settlement.REJOINABLE

    async def _judge_attempt(
        self,
        progress: _progress.Progress,
        outcome: verdicts.Outcome,
    ) -> verdicts.Outcome:
        """Returns the verdict on all that was sent to one guard.

        A refusal of a later attempt proves nothing about an earlier one
        whose reply was lost: only a settled key does.
        """
        sent = progress.unsettled
        if outcome.verdict is _Verdict.RAN or sent is None:
            return outcome
        if progress.key is None or progress.begun:
            return outcome
        settled = await self.settle(progress.key, sent)
        judged = _settlement.outcome_of(
            settled,
            verdicts.not_run(_Reason.KEY_SEALED),
        )
        if judged.verdict is _Verdict.NOT_RUN:
            progress.unsettled = None
        return judged

    async def settle(
        self,
        key: control.KeyRef,
        sent: _progress.Sent,
    ) -> control.SettleAnswer | None:
        """Asks the guard that got an attempt what became of its key."""
        return await self._settlement.settle(
            key,
            sent.guard.control_address,
            sent.incarnation,
        )

    async def _introduce(
        self,
        guard: directory.InstanceRecord,
    ) -> routing.KnownGuard | None:
        """Returns what is known of a guard, asking it if necessary."""
        known = self._hints.find(_target_of(guard))
        if known is not None:
            return known
        try:
            hint = await self._node.ask(
                guard.control_address,
                control.Hello(),
                answer=control.GuardHint,
                timeout_ms=_HELLO_TIMEOUT_MS,
            )
        except control.PeerUnreachable:
            return None
        return self._hints.note(hint)

    async def _send(
        self,
        request: _requests.CallerRequest,
        progress: _progress.Progress,
        guard: directory.InstanceRecord,
        known: routing.KnownGuard,
        caller: _progress.CountingCaller,
    ) -> verdicts.Outcome:
        progress.attempts += 1
        attempt = self._build_attempt(request, progress, known)
        earlier = progress.unsettled
        progress.unsettled = earlier or _progress.Sent(
            guard=guard,
            incarnation=attempt.incarnation,
        )
        known.in_flight += 1
        known.sent_since += 1
        try:
            outcome = await self._exchange(request, attempt, guard, caller)
        finally:
            known.in_flight -= 1
        if outcome.verdict is _Verdict.RAN:
            progress.unsettled = None
        elif outcome.verdict is _Verdict.NOT_RUN:
            progress.unsettled = earlier
        return outcome

    async def _exchange(
        self,
        request: _requests.CallerRequest,
        attempt: attempts.Attempt,
        guard: directory.InstanceRecord,
        caller: _progress.CountingCaller,
    ) -> verdicts.Outcome:
        """Sends one attempt and passes its reply on."""
        try:
            async with self._guards.open(
                guard.http_address,
                attempt,
                request.body,
            ) as reader:
                return await self._relay(reader, caller)
        except _guard_port.GuardNotReached as fault:
            self._hints.avoid(_target_of(guard), AVOID_MS)
            return verdicts.not_run(_Reason.NOT_CONNECTED, str(fault))
        except _guard_port.GuardLost as fault:
            self._hints.avoid(_target_of(guard), AVOID_MS)
            return verdicts.may_have_run(_Reason.CONNECTION_LOST, str(fault))

    async def _relay(
        self,
        reader: _guard_port.ReplyReader,
        caller: _progress.CountingCaller,
    ) -> verdicts.Outcome:
        """Passes the frames of a reply on until its end."""
        while True:
            frame = await reader.read()
            if isinstance(frame, attempts.Head):
                await caller.begin(frame.status, frame.content_type)
            elif isinstance(frame, attempts.Chunk):
                await caller.write(frame.content)
            elif isinstance(frame, attempts.Broken):
                return frame.outcome
            else:
                self._hints.note(frame.hint)
                return frame.outcome

    def _build_attempt(
        self,
        request: _requests.CallerRequest,
        progress: _progress.Progress,
        known: routing.KnownGuard,
    ) -> attempts.Attempt:
        now_ms = self._clock.now_ms()
        guard_now_ms = known.guard_now_ms(now_ms)
        permit_ms = self.policy_of(request).permit_ms
        return attempts.Attempt(
            request_id=request.request_id,
            number=progress.attempts,
            entry=self._entry,
            service=request.service,
            team=request.team,
            model=request.model,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            repeatable=request.repeatable,
            key=progress.key.key if progress.key else None,
            key_is_fresh=progress.key_is_fresh,
            incarnation=known.hint.incarnation,
            dispatched_ms=guard_now_ms,
            permit_until_ms=guard_now_ms + permit_ms,
            deadline_ms=guard_now_ms + request.deadline_ms - now_ms,
        )

    def policy_of(
        self,
        request: _requests.CallerRequest,
    ) -> configuration.Policy:
        """Returns the values in force for a request."""
        scope = configuration.Scope(
            service=request.service,
            team=request.team,
            model=request.model,
        )
        return self._node.holder.resolver.policy_for(scope)

    def note(
        self, progress: _progress.Progress, target: str, what: str
    ) -> None:
        progress.trace.note(self._clock.now_ms(), target, what)


def _target_of(guard: directory.InstanceRecord) -> identifiers.TargetId:
    return guard.target or identifiers.TargetId('')
