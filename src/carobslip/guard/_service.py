"""Handles attempts from arrival to the end of the reply."""

from collections.abc import Callable

from carobslip import (
    admission,
    attempts,
    clocks,
    configuration,
    control,
    hashing,
    idempotency,
    identifiers,
    verdicts,
)
from carobslip.guard import _engine_run, _keyed_run, _sink, _target_port


class GuardService:
    """Admits attempts for one target, runs them and writes the replies.

    Args:
        target_id: The target behind the guard.
        service_id: The service of the target.
        data_centre: The data centre of the target.
        target: Calls the target.
        node: Handles control traffic and holds the configuration.
        clock: Monotonic and wall time.
        address_of: Returns another member's control address; None if unknown.
        is_current: False after a process pause, until the configuration has
            been refreshed.
    """

    def __init__(
        self,
        *,
        target_id: identifiers.TargetId,
        service_id: identifiers.ServiceId,
        data_centre: identifiers.DataCentreId,
        target: _target_port.Target,
        node: control.Node,
        clock: clocks.Clock,
        address_of: Callable[[identifiers.TargetId], str | None],
        is_current: Callable[[], bool],
    ) -> None:
        self._is_current = is_current
        self.target_id = target_id
        self.service_id = service_id
        self.data_centre = data_centre
        self.node = node
        self._clock = clock
        self._target = target
        self._draining = False
        self.attempts_in_progress = 0
        self.gate = admission.Gate(clock=clock, policy=self._own_policy())
        self.record = idempotency.Record(
            clock=clock,
            horizon_ms=lambda: self._own_policy().horizon_ms,
            max_bytes=lambda: self._own_policy().record_max_bytes,
        )
        self.voter = idempotency.Voter(
            target=target_id,
            incarnation=self.incarnation,
            record=self.record,
            clock=clock,
            service=self._membership,
            started_wall_ms=clock.wall_ms(),
        )
        claimant = idempotency.Claimant(
            target=target_id,
            incarnation=self.incarnation,
            node=node,
            voter=self.voter,
            clock=clock,
            service=self._membership,
            address_of=address_of,
        )
        self._engine_run = _engine_run.EngineRun(
            gate=self.gate,
            target=target,
            clock=clock,
            last_check=self._last_check,
        )
        self._keyed_run = _keyed_run.KeyedRun(
            gate=self.gate,
            target=target,
            clock=clock,
            record=self.record,
            claimant=claimant,
            last_check=self._last_check,
        )
        self._register_handlers()

    @property
    def incarnation(self) -> identifiers.Incarnation:
        """Identifies this process start of the guard."""
        return self.node.origin.incarnation

    def hint(self) -> control.GuardHint:
        """Returns the load data by which entries choose a guard."""
        return control.GuardHint(
            target=self.target_id,
            incarnation=self.incarnation,
            guard_now_ms=self._clock.now_ms(),
            room=self.gate.room,
            waiting=self.gate.waiting,
            limit=self.gate.limiter.limit,
            accepts_work=self.gate.is_open,
            cost_ms=self.gate.limiter.cost_ms,
        )

    def apply_configuration(self) -> None:
        """Applies the held configuration to the gate."""
        self.gate.apply_policy(self._own_policy())
        if self._draining:
            return
        held = self.node.holder.configuration
        if held.target_is_out(self.target_id, self.data_centre):
            self.gate.close(verdicts.Reason.TARGET_OUT)
        else:
            self.gate.reopen()

    def start_drain(self) -> None:
        """Refuses new work; attempts in progress run to their end."""
        self._draining = True
        self.gate.close(verdicts.Reason.DRAINING)

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is in progress."""
        return self.attempts_in_progress == 0 and self.gate.in_progress == 0

    async def serve(
        self,
        attempt: attempts.Attempt,
        body: bytes,
        sink: _sink.ReplySink,
    ) -> None:
        """Runs an attempt and writes its whole reply.

        Args:
            attempt: The attempt sent by the entry.
            body: The caller's body.
            sink: Receives the frames.
        """
        self.attempts_in_progress += 1
        try:
            refusal = self._refusal(attempt)
            if refusal is None:
                await self._run(attempt, body, sink)
            else:
                await self._write_end(attempt, refusal, 0, sink)
        finally:
            self.attempts_in_progress -= 1

    def settle(self, request: control.SettleKey) -> control.SettleAnswer:
        """Prevents attempts of a key that have not started from running."""
        state, exclusive = control.SettleState.IN_DOUBT, False
        if request.incarnation == self.incarnation:
            state, exclusive = self._keyed_run.settle(request.key)
        return control.SettleAnswer(
            state=state,
            exclusive=exclusive,
            hint=self.hint(),
        )

    async def _run(
        self,
        attempt: attempts.Attempt,
        body: bytes,
        sink: _sink.ReplySink,
    ) -> None:
        policy = self._policy_of(attempt)
        if attempt.repeatable:
            chunks, outcome = await self._engine_run.run(
                attempt,
                body,
                policy,
                sink,
            )
        else:
            digest = hashing.digest_bytes(body, attempt.method, attempt.path)
            reply = await self._keyed_run.run(attempt, body, digest, policy)
            chunks, outcome = await self._write_stored(attempt, reply, sink)
        if outcome is not None:
            await self._write_end(attempt, outcome, chunks, sink)

    async def _write_stored(
        self,
        attempt: attempts.Attempt,
        reply: idempotency.StoredReply,
        sink: _sink.ReplySink,
    ) -> tuple[int, verdicts.Outcome]:
        if reply.outcome.verdict is not verdicts.Verdict.RAN:
            return 0, reply.outcome
        if reply.outcome.reason is verdicts.Reason.REPLY_TOO_LARGE:
            return 0, reply.outcome
        replayed = reply.outcome.reason is verdicts.Reason.REPLAYED
        await sink.write(
            attempts.Head(
                request_id=attempt.request_id,
                incarnation=self.incarnation,
                status=reply.status,
                content_type=reply.content_type,
                replayed=replayed,
            ),
        )
        await sink.write(attempts.Chunk(number=0, content=reply.content))
        return 1, reply.outcome

    async def _write_end(
        self,
        attempt: attempts.Attempt,
        outcome: verdicts.Outcome,
        chunks: int,
        sink: _sink.ReplySink,
    ) -> None:
        await sink.write(
            attempts.End(
                request_id=attempt.request_id,
                chunks=chunks,
                outcome=outcome,
                hint=self.hint(),
            ),
        )

    def _refusal(self, attempt: attempts.Attempt) -> verdicts.Outcome | None:
        reason = verdicts.Reason
        now_ms = self._clock.now_ms()
        if attempt.incarnation != self.incarnation:
            return verdicts.not_run(reason.WRONG_INCARNATION)
        if attempt.service != self.service_id:
            return verdicts.not_run(reason.UNKNOWN_SERVICE)
        if now_ms > attempt.permit_until_ms:
            return verdicts.not_run(reason.PERMIT_EXPIRED)
        if now_ms >= attempt.deadline_ms:
            return verdicts.not_run(reason.DEADLINE_PASSED)
        if not attempt.repeatable and attempt.key is None:
            return verdicts.not_run(reason.BAD_REQUEST, 'the key is missing')
        return None

    def _last_check(
        self,
        attempt: attempts.Attempt,
    ) -> verdicts.Outcome | None:
        """Repeats checks just before the target is called.

        The attempt may have been queued, or the process paused, since arrival.
        """
        if not self._is_current():
            return verdicts.not_run(
                verdicts.Reason.PAUSED,
                'the guard was paused and revalidates its state',
            )
        if self._clock.now_ms() >= attempt.deadline_ms:
            return verdicts.not_run(verdicts.Reason.DEADLINE_PASSED)
        return None

    def _register_handlers(self) -> None:
        self.node.register_handler(control.Hello, self._on_hello)
        self.node.register_handler(control.VoteRequest, self._on_vote)
        self.node.register_handler(control.RoundQuery, self._on_round)
        self.node.register_handler(control.SettleKey, self._on_settle)

    async def _on_hello(
        self,
        request: control.Hello,
        origin: control.Origin,
    ) -> control.GuardHint:
        return self.hint()

    async def _on_vote(
        self,
        request: control.VoteRequest,
        origin: control.Origin,
    ) -> control.VoteAnswer:
        return self.voter.vote(request)

    async def _on_round(
        self,
        request: control.RoundQuery,
        origin: control.Origin,
    ) -> control.RoundState:
        return self.voter.answer_round(request)

    async def _on_settle(
        self,
        request: control.SettleKey,
        origin: control.Origin,
    ) -> control.SettleAnswer:
        return self.settle(request)

    def _membership(
        self,
    ) -> tuple[configuration.Service, configuration.Policy]:
        services = self.node.holder.configuration.services
        return services[self.service_id], self._own_policy()

    def _own_policy(self) -> configuration.Policy:
        scope = configuration.Scope(
            service=self.service_id,
            data_centre=self.data_centre,
            target=self.target_id,
        )
        return self.node.holder.resolver.policy_for(scope)

    def _policy_of(self, attempt: attempts.Attempt) -> configuration.Policy:
        scope = configuration.Scope(
            service=self.service_id,
            team=attempt.team,
            data_centre=self.data_centre,
            target=self.target_id,
            model=attempt.model,
        )
        return self.node.holder.resolver.policy_for(scope)
