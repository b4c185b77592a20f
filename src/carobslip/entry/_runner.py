"""The way of one request: choose, attempt, retry on proof, settle."""

import asyncio
from collections.abc import Sequence
from typing import Final

import msgspec

from carobslip import (
    attempts,
    clocks,
    configuration,
    control,
    directory,
    idempotency,
    identifiers,
    routing,
    verdicts,
)
from carobslip.entry import (
    _caller_port,
    _guard_port,
    _requests,
    _settlement,
    _trace,
)

_AVOID_MS: Final = 1000.0
_HELLO_TIMEOUT_MS: Final = 500.0
_REJOIN_PAUSE_S: Final = 0.1
_Reason = verdicts.Reason
_Verdict = verdicts.Verdict

#: The request itself is at fault; every guard would refuse it.
_REQUEST_FAULTS: Final = frozenset(
    (_Reason.KEY_CONFLICT, _Reason.KEY_IN_FUTURE, _Reason.BAD_REQUEST),
)


class _Sent(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt whose end is not known.

    Attributes:
        guard: Where it was sent.
        incarnation: The start of the guard that it was meant for.
    """

    guard: directory.InstanceRecord
    incarnation: identifiers.Incarnation


class _Progress(msgspec.Struct, kw_only=True):
    """How far a request has come.

    Attributes:
        trace: Its recorded steps.
        key: Its idempotency key; None for repeatable calls.
        key_is_fresh: The key was made for this request.
        tried: Targets that are not tried again.
        attempts: Attempts sent.
        begun: The head of a reply has been sent to the caller.
        unsettled: An attempt that may have run, if there is one.
        last: Outcome of the latest attempt.
    """

    trace: _trace.Trace
    key: control.KeyRef | None
    key_is_fresh: bool
    tried: set[identifiers.TargetId]
    attempts: int = 0
    begun: bool = False
    unsettled: _Sent | None = None
    last: verdicts.Outcome | None = None


class Runner:
    """Brings requests to targets.

    Another target is tried only on proof that the request did not run, or
    when the call may be repeated and nothing of a reply has been passed on.

    Args:
        entry: This instance.
        node: Control traffic; its holder has the configuration.
        guards: Sends attempts.
        chooser: Chooses guards.
        hints: What is known about guards.
        clock: Monotonic and wall time.
        traces: Keeps what happened.
    """

    def __init__(
        self,
        *,
        entry: identifiers.InstanceId,
        node: control.Node,
        guards: _guard_port.GuardPort,
        chooser: routing.Chooser,
        hints: routing.HintBook,
        clock: clocks.Clock,
        traces: _trace.TraceBook,
    ) -> None:
        self._entry = entry
        self._node = node
        self._guards = guards
        self._chooser = chooser
        self._hints = hints
        self._clock = clock
        self._traces = traces
        self._budget = routing.RetryBudget()
        self._settlement = _settlement.Settlement(node=node, hints=hints)

    async def run(
        self,
        request: _requests.CallerRequest,
        caller: _caller_port.Caller,
    ) -> verdicts.Outcome:
        """Runs a request and passes its reply on.

        Args:
            request: The checked request.
            caller: Takes the reply.

        Returns:
            The final verdict. RAN means that the whole reply was passed on.
        """
        progress = self._start(request)
        remaining_s = (request.deadline_ms - self._clock.now_ms()) / 1000
        try:
            async with asyncio.timeout(remaining_s):
                outcome = await self._attempt_all(request, progress, caller)
        except TimeoutError:
            outcome = await self._end_late(progress)
        progress.trace.outcome = outcome
        self._note(progress, '', f'ended as {outcome.verdict.value}')
        return outcome

    def _start(self, request: _requests.CallerRequest) -> _Progress:
        trace = _trace.Trace(
            request_id=request.request_id,
            service=request.service,
            team=request.team,
            repeatable=request.repeatable,
            accepted_ms=self._clock.now_ms(),
            steps=[],
        )
        self._traces.add(trace)
        key: control.KeyRef | None = None
        if not request.repeatable:
            made = request.key or identifiers.new_key(self._clock.wall_ms())
            key = control.KeyRef(team=request.team, key=made)
        return _Progress(
            trace=trace,
            key=key,
            key_is_fresh=request.key is None,
            tried=set(),
        )

    async def _attempt_all(
        self,
        request: _requests.CallerRequest,
        progress: _Progress,
        caller: _caller_port.Caller,
    ) -> verdicts.Outcome:
        policy = self._policy(request)
        next_target: identifiers.TargetId | None = None
        while progress.attempts < policy.attempts_max:
            guard = self._choose(request, progress, next_target)
            if guard is None:
                break
            if progress.attempts and not self._budget.try_spend():
                self._note(progress, '', 'the retry budget is spent')
                break
            outcome = await self._attempt(request, progress, guard, caller)
            progress.last = outcome
            if self._is_final(request, progress, outcome):
                self._note_success(outcome, policy)
                return outcome
            next_target = self._next_target(progress, outcome)
        return self._conclude(progress)

    def _is_final(
        self,
        request: _requests.CallerRequest,
        progress: _Progress,
        outcome: verdicts.Outcome,
    ) -> bool:
        if progress.begun or outcome.verdict is _Verdict.RAN:
            return True
        if outcome.reason in _REQUEST_FAULTS:
            return True
        if outcome.verdict is _Verdict.MAY_HAVE_RUN:
            return not request.repeatable
        # A guard that holds a caller's key keeps it: no other guard could
        # run the key, and the caller may try again with the same one.
        kept = outcome.key_proof and not progress.key_is_fresh
        return kept and outcome.reason is not _Reason.NOT_CONNECTED

    def _next_target(
        self,
        progress: _Progress,
        outcome: verdicts.Outcome,
    ) -> identifiers.TargetId | None:
        if outcome.holder is None:
            return None
        holder = identifiers.TargetId(outcome.holder)
        return None if holder in progress.tried else holder

    def _note_success(
        self,
        outcome: verdicts.Outcome,
        policy: configuration.Policy,
    ) -> None:
        if outcome.verdict is _Verdict.RAN:
            self._budget.note_success(policy.retry_ratio)

    def _conclude(self, progress: _Progress) -> verdicts.Outcome:
        """Judges a request that no further target is tried for."""
        last = progress.last or verdicts.not_run(
            _Reason.NO_TARGET,
            'no target of the service accepts work at present',
            retry_after_ms=int(_AVOID_MS),
        )
        if progress.unsettled is not None and _is_refusal(last):
            # The last target refused, but an earlier one may have run it.
            return verdicts.may_have_run(_Reason.CONNECTION_LOST)
        return judge_for_caller(
            last,
            key_is_callers=not progress.key_is_fresh
            and progress.key is not None,
        )

    async def _end_late(self, progress: _Progress) -> verdicts.Outcome:
        """Ends a request whose deadline has passed."""
        late = verdicts.not_run(_Reason.DEADLINE_PASSED)
        if progress.begun:
            return verdicts.may_have_run(_Reason.REPLY_TIMEOUT)
        sent = progress.unsettled
        if sent is None:
            progress.last = late
            return self._conclude(progress)
        if progress.key is None:
            return verdicts.may_have_run(_Reason.REPLY_TIMEOUT)
        settled = await self._settle(progress.key, sent)
        self._note(progress, '', f'settled after the deadline: {settled}')
        progress.last = _settlement.outcome_of(settled, late)
        progress.unsettled = None
        return self._conclude(progress)

    def _choose(
        self,
        request: _requests.CallerRequest,
        progress: _Progress,
        wanted: identifiers.TargetId | None,
    ) -> directory.InstanceRecord | None:
        held = self._node.holder.configuration
        if progress.key is None or progress.key_is_fresh:
            candidate = self._chooser.choose_any(
                request.service,
                held,
                progress.tried,
            )
        else:
            order = self._key_order(progress.key, request.service, wanted)
            candidate = self._chooser.choose_for_key(
                order,
                held,
                progress.tried,
            )
        if candidate is None:
            self._note(progress, '', 'no usable target is left')
            return None
        target = candidate.guard.target or ''
        self._note(progress, target, f'chosen: {candidate.why}')
        return candidate.guard

    def _key_order(
        self,
        key: control.KeyRef,
        service: identifiers.ServiceId,
        wanted: identifiers.TargetId | None,
    ) -> Sequence[identifiers.TargetId]:
        if wanted is not None:
            return [wanted]
        members = self._node.holder.configuration.services[service].targets
        return idempotency.order_targets(key, members)

    async def _attempt(
        self,
        request: _requests.CallerRequest,
        progress: _Progress,
        guard: directory.InstanceRecord,
        caller: _caller_port.Caller,
    ) -> verdicts.Outcome:
        """Sends the request to one guard, again where that can do no harm."""
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
                _CountingCaller(caller=caller, progress=progress),
            )
            self._note(
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
        progress: _Progress,
        target: identifiers.TargetId,
    ) -> verdicts.Outcome:
        self._hints.avoid(target, _AVOID_MS)
        self._note(progress, target, 'the guard gave no hint')
        progress.attempts += 1
        return verdicts.not_run(_Reason.NOT_CONNECTED)

    def _is_restarted(
        self,
        progress: _Progress,
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
        progress: _Progress,
        outcome: verdicts.Outcome,
    ) -> bool:
        """Tells whether the same guard can still give a lost reply."""
        sent = progress.unsettled
        if progress.key is None or sent is None or progress.begun:
            return False
        if outcome.reason is not _Reason.CONNECTION_LOST:
            return False
        settled = await self._settle(progress.key, sent)
        self._note(progress, _target_of(sent.guard), f'settled: {settled}')
        return settled is not None and settled.state in _settlement.REJOINABLE

    async def _judge_attempt(
        self,
        progress: _Progress,
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
        settled = await self._settle(progress.key, sent)
        judged = _settlement.outcome_of(
            settled,
            verdicts.not_run(_Reason.KEY_SEALED),
        )
        if judged.verdict is _Verdict.NOT_RUN:
            progress.unsettled = None
        return judged

    async def _settle(
        self,
        key: control.KeyRef,
        sent: _Sent,
    ) -> control.SettleAnswer | None:
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
        progress: _Progress,
        guard: directory.InstanceRecord,
        known: routing.KnownGuard,
        caller: '_CountingCaller',
    ) -> verdicts.Outcome:
        progress.attempts += 1
        attempt = self._build_attempt(request, progress, known)
        earlier = progress.unsettled
        progress.unsettled = earlier or _Sent(
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
        caller: '_CountingCaller',
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
            self._hints.avoid(_target_of(guard), _AVOID_MS)
            return verdicts.not_run(_Reason.NOT_CONNECTED, str(fault))
        except _guard_port.GuardLost as fault:
            self._hints.avoid(_target_of(guard), _AVOID_MS)
            return verdicts.may_have_run(_Reason.CONNECTION_LOST, str(fault))

    async def _relay(
        self,
        reader: _guard_port.ReplyReader,
        caller: '_CountingCaller',
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
        progress: _Progress,
        known: routing.KnownGuard,
    ) -> attempts.Attempt:
        now_ms = self._clock.now_ms()
        guard_now_ms = known.guard_now_ms(now_ms)
        permit_ms = self._policy(request).permit_ms
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

    def _policy(
        self,
        request: _requests.CallerRequest,
    ) -> configuration.Policy:
        scope = configuration.Scope(
            service=request.service,
            team=request.team,
            model=request.model,
        )
        return self._node.holder.resolver.policy_for(scope)

    def _note(self, progress: _Progress, target: str, what: str) -> None:
        progress.trace.note(self._clock.now_ms(), target, what)


def judge_for_caller(
    outcome: verdicts.Outcome,
    *,
    key_is_callers: bool,
) -> verdicts.Outcome:
    """Returns the verdict that the caller may be told.

    A refusal by one guard says nothing about earlier requests with the same
    key; NOT_RUN is told only when the guard vouches for the key.

    Args:
        outcome: How the last attempt ended.
        key_is_callers: The key may have been used by earlier requests.
    """
    if outcome.verdict is not _Verdict.NOT_RUN or not key_is_callers:
        return outcome
    if outcome.key_proof or outcome.reason in _REQUEST_FAULTS:
        return outcome
    return msgspec.structs.replace(outcome, verdict=_Verdict.MAY_HAVE_RUN)


def _target_of(guard: directory.InstanceRecord) -> identifiers.TargetId:
    return guard.target or identifiers.TargetId('')


def _is_refusal(outcome: verdicts.Outcome) -> bool:
    return outcome.verdict is _Verdict.NOT_RUN


class _CountingCaller:
    """Passes a reply on and notes when it has begun."""

    def __init__(
        self,
        *,
        caller: _caller_port.Caller,
        progress: _Progress,
    ) -> None:
        self._caller = caller
        self._progress = progress

    async def begin(self, status: int, content_type: str) -> None:
        """Notes the beginning and passes the head on."""
        self._progress.begun = True
        await self._caller.begin(status, content_type)

    async def write(self, content: bytes) -> None:
        """Passes a part of the body on."""
        await self._caller.write(content)
