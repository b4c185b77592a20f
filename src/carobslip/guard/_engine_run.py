"""Runs repeatable calls and streams their replies."""

import asyncio

from carobslip import (
    admission,
    attempts,
    clocks,
    configuration,
    verdicts,
)
from carobslip.guard import _checks, _sink, _target_port

RunResult = tuple[int, verdicts.Outcome | None]


class EngineRun:
    """Forwards a call to the target and streams back its answer.

    Args:
        gate: Admission at the target.
        target: Calls the target.
        clock: Monotonic time.
        last_check: Refuses attempts just before the target is called.
    """

    def __init__(
        self,
        *,
        gate: admission.Gate,
        target: _target_port.Target,
        clock: clocks.Clock,
        last_check: _checks.LastCheck,
    ) -> None:
        self._last_check = last_check
        self._gate = gate
        self._target = target
        self._clock = clock

    async def run(
        self,
        attempt: attempts.Attempt,
        body: bytes,
        policy: configuration.Policy,
        sink: _sink.ReplySink,
    ) -> RunResult:
        """Runs the attempt.

        Args:
            attempt: The attempt sent by the entry.
            body: The caller's body.
            policy: The policy that applies to the request.
            sink: Receives the head and the chunks of the reply.

        Returns:
            The number of chunks written, and the outcome for the end frame;
            None when a Broken frame has already ended the reply.
        """
        try:
            ticket = await self._gate.enter(
                team=attempt.team,
                policy=policy,
                deadline_ms=attempt.deadline_ms,
            )
        except admission.GateRefused as refused:
            return 0, refused.outcome
        transfer = _Transfer(attempt=attempt, sink=sink)
        unit_ms: float | None = None
        outcome: verdicts.Outcome | None
        try:
            outcome = await self._call(attempt, body, policy, transfer)
            unit_ms = self._unit_ms(ticket, transfer)
        except (_target_port.TargetNotReached, _target_port.TargetLost) as lost:
            self._gate.note_failure()
            outcome = await transfer.end_broken(lost)
        finally:
            self._gate.leave(ticket, unit_ms=unit_ms)
        return transfer.chunks, outcome

    async def _call(
        self,
        attempt: attempts.Attempt,
        body: bytes,
        policy: configuration.Policy,
        transfer: '_Transfer',
    ) -> verdicts.Outcome:
        refusal = self._last_check(attempt)
        if refusal is not None:
            return refusal
        remaining_ms = attempt.deadline_ms - self._clock.now_ms()
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
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                async with self._target.call(call) as answer:
                    await transfer.copy(answer)
        except TimeoutError:
            raise _target_port.TargetLost(
                'the target did not answer in time'
            ) from None
        return verdicts.ran()

    def _unit_ms(
        self,
        ticket: admission.Ticket,
        transfer: '_Transfer',
    ) -> float | None:
        if transfer.status is None:
            return None
        service_ms = self._clock.now_ms() - ticket.started_ms
        return service_ms / max(1, transfer.chunks)


class _Transfer:
    """Copies an answer to the sink and counts its chunks."""

    def __init__(
        self,
        *,
        attempt: attempts.Attempt,
        sink: _sink.ReplySink,
    ) -> None:
        self._attempt = attempt
        self._sink = sink
        self.chunks = 0
        self.status: int | None = None

    async def copy(self, answer: _target_port.TargetAnswer) -> None:
        """Writes the head, then every chunk as it arrives."""
        self.status = answer.status
        await self._sink.write(
            attempts.Head(
                request_id=self._attempt.request_id,
                incarnation=self._attempt.incarnation,
                status=answer.status,
                content_type=answer.content_type,
            ),
        )
        async for content in answer.chunks():
            chunk = attempts.Chunk(number=self.chunks, content=content)
            await self._sink.write(chunk)
            self.chunks += 1

    async def end_broken(self, fault: Exception) -> verdicts.Outcome | None:
        """Returns the outcome, or sends Broken if the reply has begun."""
        if isinstance(fault, _target_port.TargetNotReached):
            return verdicts.not_run(verdicts.Reason.NOT_CONNECTED, str(fault))
        outcome = verdicts.may_have_run(
            verdicts.Reason.REPLY_TRUNCATED
            if self.status
            else verdicts.Reason.TARGET_FAILED,
            str(fault),
        )
        if self.status is None:
            return outcome
        await self._sink.write(
            attempts.Broken(
                request_id=self._attempt.request_id,
                outcome=outcome,
            ),
        )
        return None
