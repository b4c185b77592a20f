"""Runs a request: choose a guard, attempt, retry on proof, settle."""

import asyncio
from collections.abc import Sequence

from carobslip import (
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
    _attempter,
    _caller_outcome,
    _caller_port,
    _guard_port,
    _progress,
    _requests,
    _settlement,
    _trace,
)

_Reason = verdicts.Reason
_Verdict = verdicts.Verdict


class Runner:
    """Runs requests at targets, with retries.

    Another target is tried only with proof that the request did not run, or
    if the call is repeatable and no part of a reply has been relayed.

    Args:
        entry: The id of this instance.
        node: Handles control traffic and holds the configuration.
        guards: Sends attempts.
        chooser: Chooses guards.
        hints: The latest hints of guards.
        clock: Monotonic and wall time.
        traces: Stores the trace of each request.
    """

    def __init__(
        self,
        *,
        entry: identifiers.InstanceId,
        node: control.Node,
        guards: _guard_port.GuardPort,
        chooser: routing.Chooser,
        hints: routing.HintStore,
        clock: clocks.Clock,
        traces: _trace.TraceStore,
    ) -> None:
        self._node = node
        self._chooser = chooser
        self._clock = clock
        self._traces = traces
        self._budget = routing.RetryBudget()
        self._attempter = _attempter.Attempter(
            entry=entry,
            node=node,
            guards=guards,
            hints=hints,
            clock=clock,
        )

    async def run(
        self,
        request: _requests.CallerRequest,
        caller: _caller_port.Caller,
    ) -> verdicts.Outcome:
        """Runs a request and relays its reply.

        Args:
            request: The checked request.
            caller: Receives the reply.

        Returns:
            The final outcome. RAN means that the whole reply was relayed.
        """
        progress = self._start(request)
        remaining_s = (request.deadline_ms - self._clock.now_ms()) / 1000
        try:
            async with asyncio.timeout(remaining_s):
                outcome = await self._attempt_all(request, progress, caller)
        except TimeoutError:
            outcome = await self._end_after_deadline(progress)
        progress.trace.outcome = outcome
        self._attempter.note(progress, '', f'ended as {outcome.verdict.value}')
        return outcome

    def _start(self, request: _requests.CallerRequest) -> _progress.Progress:
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
        return _progress.Progress(
            trace=trace,
            key=key,
            key_is_fresh=request.key is None,
            tried=set(),
        )

    async def _attempt_all(
        self,
        request: _requests.CallerRequest,
        progress: _progress.Progress,
        caller: _caller_port.Caller,
    ) -> verdicts.Outcome:
        policy = self._attempter.policy_of(request)
        next_target: identifiers.TargetId | None = None
        while progress.attempts < policy.attempts_max:
            guard = self._choose(request, progress, next_target)
            if guard is None:
                break
            if progress.attempts and not self._budget.try_spend():
                self._attempter.note(progress, '', 'the retry budget is spent')
                break
            outcome = await self._attempter.attempt(
                request, progress, guard, caller
            )
            progress.last = outcome
            if self._is_final(request, progress, outcome):
                self._note_success(outcome, policy)
                return outcome
            next_target = self._next_target(progress, outcome)
        return self._final_outcome(progress)

    def _is_final(
        self,
        request: _requests.CallerRequest,
        progress: _progress.Progress,
        outcome: verdicts.Outcome,
    ) -> bool:
        if progress.begun or outcome.verdict is _Verdict.RAN:
            return True
        if outcome.reason in _caller_outcome.REQUEST_FAULTS:
            return True
        if outcome.verdict is _Verdict.MAY_HAVE_RUN:
            return not request.repeatable
        # A guard that holds a caller's key keeps it: no other guard can run
        # the key, and the caller may retry with the same key.
        kept = outcome.key_proof and not progress.key_is_fresh
        return kept and outcome.reason is not _Reason.NOT_CONNECTED

    def _next_target(
        self,
        progress: _progress.Progress,
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

    def _final_outcome(self, progress: _progress.Progress) -> verdicts.Outcome:
        """Returns the outcome of a request without further attempts."""
        last = progress.last or verdicts.not_run(
            _Reason.NO_TARGET,
            'no target of the service accepts work at present',
            retry_after_ms=int(_attempter.AVOID_MS),
        )
        if progress.unsettled is not None and _is_refusal(last):
            # The last target refused, but an earlier attempt may have run.
            return verdicts.may_have_run(_Reason.CONNECTION_LOST)
        return _caller_outcome.outcome_for_caller(
            last,
            key_is_callers=not progress.key_is_fresh
            and progress.key is not None,
        )

    async def _end_after_deadline(
        self, progress: _progress.Progress
    ) -> verdicts.Outcome:
        """Ends a request whose deadline has passed."""
        late = verdicts.not_run(_Reason.DEADLINE_PASSED)
        if progress.begun:
            return verdicts.may_have_run(_Reason.REPLY_TIMEOUT)
        sent = progress.unsettled
        if sent is None:
            progress.last = late
            return self._final_outcome(progress)
        if progress.key is None:
            return verdicts.may_have_run(_Reason.REPLY_TIMEOUT)
        settled = await self._attempter.settle(progress.key, sent)
        self._attempter.note(
            progress, '', f'settled after the deadline: {settled}'
        )
        progress.last = _settlement.outcome_of(settled, late)
        progress.unsettled = None
        return self._final_outcome(progress)

    def _choose(
        self,
        request: _requests.CallerRequest,
        progress: _progress.Progress,
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
            self._attempter.note(progress, '', 'no usable target is left')
            return None
        target = candidate.guard.target or ''
        self._attempter.note(progress, target, f'chosen: {candidate.why}')
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


def _is_refusal(outcome: verdicts.Outcome) -> bool:
    return outcome.verdict is _Verdict.NOT_RUN
