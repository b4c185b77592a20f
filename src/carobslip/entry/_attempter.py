"""Sends a request to one guard and determines its outcome."""

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

#: How long a guard that could not be reached is not chosen.
AVOID_MS: Final = 1000.0
_HELLO_TIMEOUT_MS: Final = 500.0
_REJOIN_PAUSE_S: Final = 0.1
_Reason = verdicts.Reason
_Verdict = verdicts.Verdict


class Attempter:
    """Sends attempts and determines their outcomes.

    Args:
        entry: The id of this instance.
        node: Handles control traffic and holds the configuration.
        guards: Sends attempts.
        hints: The latest hints of guards.
        clock: Monotonic time.
    """

    def __init__(
        self,
        *,
        entry: identifiers.InstanceId,
        node: control.Node,
        guards: _guard_port.GuardPort,
        hints: routing.HintStore,
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
        """Sends the request to one guard, repeating it where that is safe.

        Args:
            request: The caller's request.
            progress: State of the request.
            guard: The guard to send it to.
            caller: Receives the reply.

        Returns:
            The outcome of all attempts sent to this guard.
        """
        target = _target_of(guard)
        while True:
            known = await self._find_or_request_hint(guard)
            if known is None:
                outcome = self._fail_without_hint(progress, target)
                break
            used = known.hint.incarnation
            outcome = await self._send(
                request,
                progress,
                guard,
                known,
                _progress.TrackingCaller(caller=caller, progress=progress),
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
        return await self._combine_outcomes(progress, outcome)

    def _fail_without_hint(
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
        """Tells whether a newer incarnation refused the attempt."""
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
        """Tells whether the same guard can still return a lost reply."""
        sent = progress.unsettled
        if progress.key is None or sent is None or progress.begun:
            return False
        if outcome.reason is not _Reason.CONNECTION_LOST:
            return False
        settled = await self.settle(progress.key, sent)
        self.note(progress, _target_of(sent.guard), f'settled: {settled}')
        return settled is not None and settled.state in _settlement.REJOINABLE

    async def _combine_outcomes(
        self,
        progress: _progress.Progress,
        outcome: verdicts.Outcome,
    ) -> verdicts.Outcome:
        """Returns the outcome of all attempts sent to one guard.

        The refusal of a later attempt does not prove that an earlier one,
        whose reply was lost, did not run: only a settled key proves that.
        """
        sent = progress.unsettled
        if outcome.verdict is _Verdict.RAN or sent is None:
            return outcome
        if progress.key is None or progress.begun:
            return outcome
        settled = await self.settle(progress.key, sent)
        combined = _settlement.outcome_of(
            settled,
            verdicts.not_run(_Reason.KEY_SEALED),
        )
        if combined.verdict is _Verdict.NOT_RUN:
            progress.unsettled = None
        return combined

    async def settle(
        self,
        key: control.KeyRef,
        sent: _progress.UnsettledAttempt,
    ) -> control.SettleAnswer | None:
        """Asks the guard that got an attempt to settle its key."""
        return await self._settlement.settle(
            key,
            sent.guard.control_address,
            sent.incarnation,
        )

    async def _find_or_request_hint(
        self,
        guard: directory.InstanceRecord,
    ) -> routing.KnownGuard | None:
        """Returns the hint of a guard, requesting it if necessary."""
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
        caller: _progress.TrackingCaller,
    ) -> verdicts.Outcome:
        progress.attempts += 1
        attempt = self._build_attempt(request, progress, known)
        earlier = progress.unsettled
        progress.unsettled = earlier or _progress.UnsettledAttempt(
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
        caller: _progress.TrackingCaller,
    ) -> verdicts.Outcome:
        """Sends one attempt and relays its reply."""
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
        caller: _progress.TrackingCaller,
    ) -> verdicts.Outcome:
        """Relays the frames of a reply until its end."""
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
        """Returns the policy that applies to a request."""
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
