"""Runs calls that must be executed at most once."""

import asyncio

import msgspec

from carobslip import (
    admission,
    attempts,
    clocks,
    configuration,
    control,
    idempotency,
    identifiers,
    verdicts,
)
from carobslip.guard import _checks, _target_port

_KeyState = idempotency.KeyState
_Reason = verdicts.Reason


class KeyedRun:
    """Claims a key, runs its call once and stores the reply.

    Each key is processed in a separate task, which continues when the entry
    disconnects. Later requests with the key wait for the same task.

    Args:
        gate: Admission at the target.
        target: Calls the target.
        clock: Monotonic and wall time.
        record: The deduplication record of this guard.
        claimant: Claims keys that were chosen by callers.
        last_check: Refuses attempts just before the target is called.
    """

    def __init__(
        self,
        *,
        gate: admission.Gate,
        target: _target_port.Target,
        clock: clocks.Clock,
        record: idempotency.Record,
        claimant: idempotency.Claimant,
        last_check: _checks.LastCheck,
    ) -> None:
        self._last_check = last_check
        self._gate = gate
        self._target = target
        self._clock = clock
        self._record = record
        self._claimant = claimant

    async def run(
        self,
        attempt: attempts.Attempt,
        body: bytes,
        digest: int,
        policy: configuration.Policy,
    ) -> idempotency.StoredReply:
        """Runs the attempt, joins a run in progress, or replays its reply.

        Args:
            attempt: The attempt sent by the entry; it has a key.
            body: The caller's body.
            digest: Digest of the whole request; detects reuse of the key for
                a different request.
            policy: The policy that applies to the request.

        Returns:
            The stored reply, or one without content whose outcome gives the
            reason for the refusal.
        """
        key = key_of(attempt)
        refusal = self._check_key_age(key, policy)
        if refusal is not None:
            return _without_content(refusal)
        try:
            record = self._record.open(key)
        except idempotency.RecordFull:
            return _without_content(_record_full(attempt))
        if record.body_digest not in {None, digest}:
            return _without_content(
                verdicts.not_run(
                    _Reason.KEY_CONFLICT,
                    'the key was already used with a different request',
                ),
            )
        if record.reply is not None:
            return _mark_replayed(record.reply)
        return await self._join_or_start(attempt, body, digest, policy, record)

    def settle(
        self,
        key: control.KeyRef,
    ) -> tuple[control.SettleState, bool]:
        """Refuses earlier attempts of a key from now on, unless one runs.

        Returns:
            The state of the key, and whether this guard held it exclusively.
        """
        try:
            record = self._record.open(key)
        except idempotency.RecordFull:
            return control.SettleState.IN_DOUBT, False
        if record.state is _KeyState.RUNNING:
            return control.SettleState.RUNNING, True
        if record.state is _KeyState.DONE:
            return control.SettleState.DONE, True
        if record.state is _KeyState.IN_DOUBT:
            return control.SettleState.IN_DOUBT, True
        exclusive = record.state is _KeyState.HELD
        record.state = _KeyState.IDLE
        record.not_before_ms = self._clock.now_ms()
        return control.SettleState.UNSEEN, exclusive

    async def _join_or_start(
        self,
        attempt: attempts.Attempt,
        body: bytes,
        digest: int,
        policy: configuration.Policy,
        record: idempotency.KeyRecord,
    ) -> idempotency.StoredReply:
        if record.state is _KeyState.IN_DOUBT:
            return _without_content(_in_doubt('the target did not answer'))
        if record.work is None:
            if attempt.dispatched_ms <= record.not_before_ms:
                return _without_content(
                    verdicts.not_run(_Reason.PERMIT_EXPIRED),
                )
            record.body_digest = digest
            work = self._run_to_completion(attempt, body, policy, record)
            record.work = asyncio.ensure_future(work)
        return await asyncio.shield(record.work)

    async def _run_to_completion(
        self,
        attempt: attempts.Attempt,
        body: bytes,
        policy: configuration.Policy,
        record: idempotency.KeyRecord,
    ) -> idempotency.StoredReply:
        try:
            reply = await self._claim_and_run(attempt, body, policy, record)
        finally:
            record.work = None
            self._record.release_reply(record)
        if reply.outcome.verdict is verdicts.Verdict.NOT_RUN:
            # A delayed duplicate of this attempt must not run after the
            # caller has received NOT_RUN.
            record.not_before_ms = self._clock.now_ms()
            record.body_digest = None
        return reply

    async def _claim_and_run(
        self,
        attempt: attempts.Attempt,
        body: bytes,
        policy: configuration.Policy,
        record: idempotency.KeyRecord,
    ) -> idempotency.StoredReply:
        if not self._gate.is_open:
            return _without_content(verdicts.not_run(_Reason.DRAINING))
        refusal = await self._acquire_key(attempt, record)
        if refusal is not None:
            return _without_content(refusal)
        try:
            ticket = await self._gate.enter(
                team=attempt.team,
                policy=policy,
                deadline_ms=attempt.deadline_ms,
            )
        except admission.GateRefused as refused:
            return _without_content(_with_key_proof(refused.outcome))
        unit_ms: float | None = None
        try:
            reply = await self._run_held(attempt, body, policy, record)
            if reply.outcome.verdict is verdicts.Verdict.RAN:
                unit_ms = self._clock.now_ms() - ticket.started_ms
        finally:
            self._gate.leave(ticket, unit_ms=unit_ms)
        return reply

    async def _acquire_key(
        self,
        attempt: attempts.Attempt,
        record: idempotency.KeyRecord,
    ) -> verdicts.Outcome | None:
        """Moves the key to state HELD, or returns why it cannot."""
        if record.state is _KeyState.HELD:
            return None
        if attempt.key_is_fresh:
            record.state = _KeyState.HELD
            return None
        result = await self._claimant.claim(key_of(attempt), record)
        if result.status is idempotency.ClaimStatus.WON:
            return None
        if result.status is idempotency.ClaimStatus.HELD_ELSEWHERE:
            outcome = verdicts.not_run(
                _Reason.KEY_HELD_ELSEWHERE,
                result.explanation,
            )
            return msgspec.structs.replace(outcome, holder=result.holder)
        return verdicts.not_run(_Reason.KEY_IN_DOUBT, result.explanation)

    async def _run_held(
        self,
        attempt: attempts.Attempt,
        body: bytes,
        policy: configuration.Policy,
        record: idempotency.KeyRecord,
    ) -> idempotency.StoredReply:
        refusal = self._last_check(attempt)
        if refusal is not None:
            return _without_content(_with_key_proof(refusal))
        # Memory is reserved only now: queued attempts do not need any.
        try:
            self._record.reserve_reply(record, policy.reply_max_bytes)
        except idempotency.RecordFull:
            return _without_content(
                _with_key_proof(verdicts.not_run(_Reason.RECORD_FULL)),
            )
        remaining_ms = attempt.deadline_ms - self._clock.now_ms()
        if record.state is not _KeyState.HELD:
            return _without_content(verdicts.not_run(_Reason.KEY_SEALED))
        call = _target_port.TargetCall(
            request_id=attempt.request_id,
            method=attempt.method,
            path=attempt.path,
            content_type=attempt.content_type,
            body=body,
            key=attempt.key,
            timeout_ms=remaining_ms,
            priority=policy.priority,
        )
        record.state = _KeyState.RUNNING
        reply = await self._call(call, policy.reply_max_bytes)
        self._note_result(record, reply)
        return reply

    def _note_result(
        self,
        record: idempotency.KeyRecord,
        reply: idempotency.StoredReply,
    ) -> None:
        if reply.outcome.verdict is verdicts.Verdict.RAN:
            record.state = _KeyState.DONE
            record.reply = reply
        elif reply.outcome.verdict is verdicts.Verdict.NOT_RUN:
            # This guard cannot reach the target, so it releases the key and
            # another guard may claim it.
            record.state = _KeyState.IDLE
            self._gate.note_failure()
        else:
            record.state = _KeyState.IN_DOUBT
            self._gate.note_failure()

    async def _call(
        self,
        call: _target_port.TargetCall,
        reply_max_bytes: int,
    ) -> idempotency.StoredReply:
        try:
            async with asyncio.timeout(call.timeout_ms / 1000):
                async with self._target.call(call) as answer:
                    return await _read_reply(answer, reply_max_bytes)
        except _target_port.TargetNotReached as fault:
            return _without_content(
                _with_key_proof(
                    verdicts.not_run(_Reason.NOT_CONNECTED, str(fault))
                ),
            )
        except _target_port.TargetLost as fault:
            return _without_content(_in_doubt(str(fault)))
        except TimeoutError:
            return _without_content(
                _in_doubt('the target did not answer in time')
            )

    def _check_key_age(
        self,
        key: control.KeyRef,
        policy: configuration.Policy,
    ) -> verdicts.Outcome | None:
        age = idempotency.classify_key_age(
            key.key,
            wall_ms=self._clock.wall_ms(),
            policy=policy,
        )
        if age is idempotency.KeyAge.EXPIRED:
            return verdicts.may_have_run(
                _Reason.KEY_EXPIRED,
                'the key is older than the deduplication horizon',
            )
        if age is idempotency.KeyAge.IN_FUTURE:
            return verdicts.not_run(
                _Reason.KEY_IN_FUTURE,
                'the creation time in the key is in the future',
            )
        return None


def key_of(attempt: attempts.Attempt) -> control.KeyRef:
    """Returns the key of an attempt, qualified by its team."""
    return control.KeyRef(
        team=attempt.team,
        key=attempt.key or identifiers.IdempotencyKey(''),
    )


async def _read_reply(
    answer: _target_port.TargetAnswer,
    reply_max_bytes: int,
) -> idempotency.StoredReply:
    content = bytearray()
    async for chunk in answer.chunks():
        content += chunk
        if len(content) > reply_max_bytes:
            outcome = verdicts.ran(_Reason.REPLY_TOO_LARGE)
            return _without_content(outcome)
    return idempotency.StoredReply(
        status=answer.status,
        content_type=answer.content_type,
        content=bytes(content),
        outcome=verdicts.ran(),
    )


def _without_content(outcome: verdicts.Outcome) -> idempotency.StoredReply:
    return idempotency.StoredReply(
        status=0,
        content_type='',
        content=b'',
        outcome=outcome,
    )


def _mark_replayed(reply: idempotency.StoredReply) -> idempotency.StoredReply:
    outcome = reply.outcome
    if outcome.reason is _Reason.COMPLETED:
        outcome = verdicts.ran(_Reason.REPLAYED)
    return msgspec.structs.replace(reply, outcome=outcome)


def _with_key_proof(outcome: verdicts.Outcome) -> verdicts.Outcome:
    return msgspec.structs.replace(outcome, key_proof=True)


def _in_doubt(explanation: str) -> verdicts.Outcome:
    return verdicts.may_have_run(_Reason.KEY_IN_DOUBT, explanation)


def _record_full(attempt: attempts.Attempt) -> verdicts.Outcome:
    outcome = verdicts.not_run(
        _Reason.RECORD_FULL,
        'no memory is left for another key within the horizon',
    )
    return _with_key_proof(outcome) if attempt.key_is_fresh else outcome
