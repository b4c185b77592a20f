"""Bounds the requests in progress at a target and queues the others."""

import asyncio
from typing import Final

import msgspec

from carobslip import clocks, configuration, identifiers, verdicts
from carobslip.admission import _fair_queue, _limiter

_RETRY_AFTER_MIN_MS: Final = 100


class GateRefused(Exception):
    """The request is refused and provably did not run.

    Attributes:
        outcome: The verdict with its reason.
    """

    def __init__(self, *, outcome: verdicts.Outcome) -> None:
        super().__init__(outcome.reason.value)
        self.outcome = outcome


class Ticket(msgspec.Struct, frozen=True, kw_only=True):
    """Permission for one request to be in progress.

    Attributes:
        started_ms: Monotonic time at which the request was admitted.
    """

    started_ms: float


class Gate:
    """Admits requests at one target, up to an adaptive limit.

    Args:
        clock: Monotonic time.
        policy: Values in force for the target.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        policy: configuration.Policy,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self.limiter = _limiter.Limiter(
            settings=_limiter_settings(policy),
            now_ms=clock.now_ms(),
        )
        self.in_progress = 0
        self._queue: _fair_queue.FairQueue[asyncio.Future[Ticket]] = (
            _fair_queue.FairQueue()
        )
        self._closed_reason: verdicts.Reason | None = None

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def room(self) -> int:
        """Number of further requests that could start at once."""
        if self._closed_reason is not None:
            return 0
        return max(0, self.limiter.limit - self.in_progress - self.waiting)

    @property
    def is_open(self) -> bool:
        """Tells whether new requests are accepted."""
        return self._closed_reason is None

    def apply_policy(self, policy: configuration.Policy) -> None:
        """Puts changed values in force and keeps the current limit."""
        self._policy = policy
        self.limiter.settings = _limiter_settings(policy)
        self._start_waiting()

    def close(self, reason: verdicts.Reason) -> None:
        """Refuses new requests and all that have not started."""
        self._closed_reason = reason
        for waiter in self._queue.drain():
            _refuse(waiter, verdicts.not_run(reason))

    def reopen(self) -> None:
        """Accepts requests again, starting from the cold limit."""
        if self._closed_reason is not None:
            self._closed_reason = None
            self.limiter.reset()

    async def enter(
        self,
        *,
        team: identifiers.TeamId,
        policy: configuration.Policy,
        deadline_ms: float,
    ) -> Ticket:
        """Waits until the request may start.

        Args:
            team: Team that owns the request.
            policy: Gives priority and weight of the request.
            deadline_ms: Monotonic time by which the reply is needed.

        Raises:
            GateRefused: The request cannot start in time.
        """
        if self._closed_reason is not None:
            raise GateRefused(outcome=verdicts.not_run(self._closed_reason))
        if not len(self._queue) and self.in_progress < self.limiter.limit:
            return self._admit()
        self._refuse_if_late(deadline_ms)
        return await self._wait(team, policy, deadline_ms)

    def leave(self, ticket: Ticket, *, unit_ms: float | None) -> None:
        """Ends an admitted request and starts waiting ones.

        Args:
            ticket: The ticket that :meth:`enter` returned.
            unit_ms: Latency per unit of work; None when there was no answer.
        """
        if unit_ms is not None:
            self.limiter.note_success(
                now_ms=self._clock.now_ms(),
                started_ms=ticket.started_ms,
                unit_ms=unit_ms,
                in_progress=self.in_progress,
            )
        self.in_progress -= 1
        self._start_waiting()

    def note_failure(self) -> None:
        """Resets the limit to its cold value after a failure of the target."""
        self.limiter.note_failure()

    def _admit(self) -> Ticket:
        now_ms = self._clock.now_ms()
        self.limiter.note_start(now_ms, self.in_progress)
        self.in_progress += 1
        return Ticket(started_ms=now_ms)

    def _refuse_if_late(self, deadline_ms: float) -> None:
        rounds = (self.waiting + 1) / self.limiter.limit
        wait_ms = rounds * self.limiter.cost_ms
        now_ms = self._clock.now_ms()
        too_long = wait_ms > self._policy.queue_wait_max_ms
        if too_long or now_ms + wait_ms + self.limiter.cost_ms > deadline_ms:
            raise GateRefused(
                outcome=verdicts.not_run(
                    verdicts.Reason.QUEUE_TIMEOUT,
                    'the request could not start in time',
                    retry_after_ms=self._retry_after_ms(),
                ),
            )

    async def _wait(
        self,
        team: identifiers.TeamId,
        policy: configuration.Policy,
        deadline_ms: float,
    ) -> Ticket:
        where = _fair_queue.Placement(priority=policy.priority, team=team)
        self._evict_or_refuse(where, policy.team_weight)
        waiter: asyncio.Future[Ticket] = (
            asyncio.get_running_loop().create_future()
        )
        self._queue.put(waiter, where, policy.team_weight)
        # A request that has waited for long is likely to miss its deadline, so
        # it is refused in favour of requests that can still meet theirs.
        wait_ms = min(
            deadline_ms - self._clock.now_ms(),
            self._policy.queue_wait_max_ms,
        )
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await waiter
        except TimeoutError:
            self._release_if_granted(waiter)
            raise GateRefused(
                outcome=verdicts.not_run(
                    verdicts.Reason.QUEUE_TIMEOUT,
                    retry_after_ms=self._retry_after_ms(),
                ),
            ) from None
        except asyncio.CancelledError:
            self._release_if_granted(waiter)
            raise
        finally:
            self._queue.remove(waiter, where)

    def _release_if_granted(self, waiter: 'asyncio.Future[Ticket]') -> None:
        # The slot may have been granted just as the wait ended.
        granted = waiter.done() and not waiter.cancelled()
        if granted and waiter.exception() is None:
            self.in_progress -= 1
            self._start_waiting()

    def _evict_or_refuse(
        self,
        where: _fair_queue.Placement,
        weight: float,
    ) -> None:
        if self.waiting < self._policy.queue_max:
            return
        refusal = verdicts.not_run(
            verdicts.Reason.QUEUE_FULL,
            retry_after_ms=self._retry_after_ms(),
        )
        excess = self._queue.pop_excess(where, weight)
        if excess is None:
            raise GateRefused(outcome=refusal)
        _refuse(excess, refusal)

    def _start_waiting(self) -> None:
        while self._queue and self.in_progress < self.limiter.limit:
            waiter = self._queue.pop()
            if waiter is not None and not waiter.done():
                waiter.set_result(self._admit())

    def _retry_after_ms(self) -> int:
        rounds = (self.waiting + 1) / self.limiter.limit
        return max(_RETRY_AFTER_MIN_MS, int(rounds * self.limiter.cost_ms))


def _limiter_settings(
    policy: configuration.Policy,
) -> _limiter.LimiterSettings:
    return _limiter.LimiterSettings(
        cold=policy.concurrency_cold,
        maximum=policy.concurrency_max,
        tolerance_ratio=policy.latency_tolerance_ratio,
        idle_cold_ms=policy.idle_cold_ms,
    )


def _refuse(
    waiter: 'asyncio.Future[Ticket]',
    outcome: verdicts.Outcome,
) -> None:
    if not waiter.done():
        waiter.set_exception(GateRefused(outcome=outcome))
