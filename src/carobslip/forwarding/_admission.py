"""Decides when and where a request starts, and when it is refused.

Under overload there are more requests than the targets have slots. The excess
waits at the entry, where a refusal still proves that a request did not run,
rather than inside a target. The queue is kept short enough for queued requests
to meet the objective; others are refused on arrival with a retry delay.
"""

import asyncio
import collections
import random
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from carobslip import clocks, identifiers, targets
from carobslip.forwarding import (
    _cold_turns,
    _demand,
    _loads,
    _permits,
    _slot_ports,
)

#: Window over which requests to a cold target are counted; the bound is stated
#: per second.
_COLD_WINDOW_MS: Final = 1000.0
#: Part of the fleet's bound that entries use; below 1 because their windows are
#: counted independently.
_COLD_USED_SHARE: Final = 0.8
#: Bounds of the retry delay of a refused caller, drawn uniformly so that
#: callers refused together do not retry together.
_RETRY_MIN_MS: Final = 400.0
_RETRY_MAX_MS: Final = 1400.0
#: The predicted wait is a mean; only this part of the time left is used, as a
#: margin for requests that wait longer.
_PREDICTED_WAIT_SHARE: Final = 0.75
#: Requests that may wait for a service without any listed target: targets that
#: disappear together usually return together within a short time.
_NO_TARGETS_WAITERS_MAX: Final = 8
#: Bounds of the retry delay if there is no usable target; a group needs some
#: seconds to form again.
_NO_TARGETS_RETRY_MIN_MS: Final = 1000.0
_NO_TARGETS_RETRY_MAX_MS: Final = 2500.0
#: Callers return within this multiple of the time until a target is usable, so
#: that they do not return together.
_RETURN_SPREAD: Final = 1.5
#: Interval at which a queued request is rechecked in the absence of events.
_RECHECK_S: Final = 0.05


class _Waiter:
    """One request in the queue."""

    def __init__(self, demand: _demand.Demand, order: int) -> None:
        self.demand = demand
        self.order = order
        self.start: asyncio.Future[targets.TargetRecord] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def rank(self) -> tuple[bool, int, int]:
        """Sort key: resends first, then by priority, then by arrival."""
        demand = self.demand
        return not demand.may_have_run, demand.priority, self.order


class Admission:
    """Starts requests while targets have free slots, and queues the others.

    Args:
        loads: Load of the targets.
        candidates: Returns the targets that may be used for a service.
        entries: Returns how many entries share the targets.
        permits: Tells which targets take no request because of their rate.
        clock: Monotonic time.
        generator: Spreads the retries of refused callers.
        position: Returns the index of this entry among those that share the
            targets; None if it is not known.
        cold_share: Returns the part of the rate of a cold target of a service
            that this entry uses; None for an equal part.
    """

    def __init__(
        self,
        *,
        loads: _loads.LoadTracker,
        candidates: Callable[
            [identifiers.ServiceId],
            Sequence[targets.TargetRecord],
        ],
        entries: Callable[[], int],
        permits: _permits.PermitGate,
        clock: clocks.Clock,
        generator: random.Random,
        position: Callable[[], int] | None = None,
        cold_share: Callable[[identifiers.ServiceId], float] | None = None,
    ) -> None:
        self._cold_share = cold_share or self._equal_share
        self._loads = loads
        self._candidates = candidates
        self._entries = entries
        self.permits = permits
        self._clock = clock
        self._random = generator
        self._cold_turns = _cold_turns.ColdTurns(
            position=position, clock=clock, generator=generator
        )
        self._order = 0
        self.is_closed = False
        self._waiters: dict[identifiers.ServiceId, list[_Waiter]] = {}

    def close(self) -> None:
        """Refuses all requests that have not run, those in the queues too."""
        self.is_closed = True

    def waiting(self, service: identifiers.ServiceId) -> int:
        """Returns how many requests wait for a service."""
        return len(self._waiters.get(service, ()))

    def take(self, demand: _demand.Demand) -> targets.TargetRecord | None:
        """Takes a slot that is free now, bypassing the queue, if there is one.

        Meant for a request that is already in progress at a stalled target.
        """
        # A permit would take a message to another entry and back.
        limited = frozenset(
            record.target
            for record in self._candidates(demand.service)
            if self.permits.limits.find(record.target) is not None
        )
        record = self._find_place(
            msgspec.structs.replace(demand, excluded=demand.excluded | limited)
        )
        return None if record is None else self._start(record)

    async def admit(
        self, demand: _demand.Demand
    ) -> targets.TargetRecord | _demand.Refusal:
        """Waits for a slot; the caller must return it with ``release``.

        Args:
            demand: What the request needs.
        """
        if self._is_closed_for(demand):
            return self._refuse('no new requests', demand)
        if demand.may_have_run or not self.waiting(demand.service):
            record = self._find_place(demand)
            if record is not None:
                return self._start(record)
        refusal = self._predict_refusal(demand)
        if refusal is not None:
            return refusal
        return await self._wait(demand)

    def release(
        self,
        record: targets.TargetRecord,
        use: _slot_ports.SlotUse = _slot_ports.UNUSED,
    ) -> None:
        """Returns a slot and starts queued requests."""
        self._loads.note_end(record.target)
        self.start_queued(record.service)

    def start_queued(self, service: identifiers.ServiceId) -> None:
        """Starts queued requests for which a slot is free now."""
        queue = self._waiters.get(service)
        if not queue:
            return
        for waiter in sorted(queue, key=lambda one: one.rank):
            if waiter.start.done():
                continue
            record = self._find_place(waiter.demand)
            if record is not None:
                queue.remove(waiter)
                waiter.start.set_result(self._start(record))
            elif not waiter.demand.excluded:
                return

    def recheck_queues(self) -> None:
        """Rechecks every queue after the state of targets has changed."""
        for service in list(self._waiters):
            self.start_queued(service)

    async def _wait(
        self, demand: _demand.Demand
    ) -> targets.TargetRecord | _demand.Refusal:
        self._order += 1
        waiter = _Waiter(demand, self._order)
        queue = self._waiters.setdefault(demand.service, [])
        queue.append(waiter)
        try:
            return await self._end_of_wait(waiter)
        except asyncio.CancelledError:
            if waiter.start.done():
                self.release(waiter.start.result())
            raise
        finally:
            if waiter in queue:
                queue.remove(waiter)

    async def _end_of_wait(
        self, waiter: _Waiter
    ) -> targets.TargetRecord | _demand.Refusal:
        demand = waiter.demand
        while self._clock.now_ms() < demand.wait_until_ms:
            await asyncio.wait([waiter.start], timeout=_RECHECK_S)
            is_closed = self._is_closed_for(demand)
            if not waiter.start.done() and not is_closed:
                self.start_queued(demand.service)
            if waiter.start.done():
                return waiter.start.result()
            if is_closed:
                return self._refuse('no new requests', demand)
        return self._refuse('waited too long', demand)

    def _is_closed_for(self, demand: _demand.Demand) -> bool:
        return self.is_closed and not demand.may_have_run

    def _predict_refusal(
        self, demand: _demand.Demand
    ) -> _demand.Refusal | None:
        """Returns a refusal if the request is not expected to start in time."""
        candidates = self._candidates(demand.service)
        allowed = [
            record
            for record in candidates
            if record.target not in demand.excluded
        ]
        usable = [
            record
            for record in allowed
            if not self._loads.is_avoided(record.target)
        ]
        if demand.may_have_run and allowed:
            return None
        if not candidates and (
            self.waiting(demand.service) < _NO_TARGETS_WAITERS_MAX
        ):
            return None
        if not usable and self._can_wait_for_avoided(demand, allowed):
            return None
        if not usable:
            wait_ms = self._ms_until_usable(allowed)
            return self._refuse(
                'no usable target',
                demand,
                retry_ms=(
                    max(_NO_TARGETS_RETRY_MIN_MS, wait_ms),
                    max(_NO_TARGETS_RETRY_MAX_MS, _RETURN_SPREAD * wait_ms),
                ),
            )
        ahead = 1 + sum(
            waiter.demand.priority <= demand.priority
            for waiter in self._waiters.get(demand.service, ())
        )
        until_ms = min(demand.on_time_until_ms, demand.wait_until_ms)
        wait_ms = _PREDICTED_WAIT_SHARE * (until_ms - self._clock.now_ms())
        rate = self._starts_per_ms(usable)
        if rate is not None:
            rate = max(rate, self._turns_per_ms(usable, demand))
        if rate is not None and ahead > max(0.0, rate * wait_ms):
            return self._refuse('queue too long', demand)
        return None

    def _ms_until_usable(
        self, avoided: Sequence[targets.TargetRecord]
    ) -> float:
        """Returns the time until the first of some targets is usable."""
        until_ms = min(
            (self._loads.avoided_until_ms(one.target) for one in avoided),
            default=0.0,
        )
        return max(0.0, until_ms - self._clock.now_ms())

    def _can_wait_for_avoided(
        self,
        demand: _demand.Demand,
        avoided: Sequence[targets.TargetRecord],
    ) -> bool:
        """Tells whether avoided targets become usable before the wait ends.

        The waiting requests are limited to this entry's share of the slots of
        those targets, because all of them start at once then.
        """
        slots = sum(
            record.slots
            for record in avoided
            if self._loads.avoided_until_ms(record.target)
            < demand.wait_until_ms
        )
        return self.waiting(demand.service) < slots / max(1, self._entries())

    def _refuse(
        self,
        reason: str,
        demand: _demand.Demand,
        *,
        retry_ms: tuple[float, float] = (_RETRY_MIN_MS, _RETRY_MAX_MS),
    ) -> _demand.Refusal:
        return _demand.Refusal(
            reason=reason,
            retry_after_ms=self._random.uniform(*retry_ms),
            waiting=self.waiting(demand.service),
            without_place=dict(
                collections.Counter(
                    self._why_no_place(record, demand)
                    for record in self._candidates(demand.service)
                ),
            ),
        )

    def _why_no_place(
        self,
        record: targets.TargetRecord,
        demand: _demand.Demand,
    ) -> str:
        loads = self._loads
        excluded = self._why_excluded(record, demand)
        if excluded is not None:
            return excluded
        if not loads.has_report(record.target):
            return 'no report'
        if loads.load_of(record.target) >= record.slots:
            return 'full'
        return 'left to other entries'

    def _why_excluded(
        self,
        record: targets.TargetRecord,
        demand: _demand.Demand,
    ) -> str | None:
        """Returns why a target must not get a request, whatever its load."""
        if record.target in demand.excluded:
            return 'excluded'
        if self._loads.is_avoided(record.target):
            return 'avoided'
        if self.permits.is_blocked(record.target):
            return 'limited'
        if not self._is_within_cold_rate(record, demand):
            return 'cold'
        return None

    def _find_place(
        self, demand: _demand.Demand
    ) -> targets.TargetRecord | None:
        free = [
            record
            for record in self._candidates(demand.service)
            if self._has_free_slot(record, demand.share_min)
            and self._why_excluded(record, demand) is None
        ]
        return self._loads.choose(free)

    def _has_free_slot(
        self,
        record: targets.TargetRecord,
        share_min: int,
    ) -> bool:
        if self._loads.has_report(record.target):
            load = self._loads.load_of(record.target)
            return load < record.slots and self._loads.may_use_free_slot(
                record.target,
                record.slots,
            )
        # Without a load report, each entry uses an equal share of the slots.
        share = -(-record.slots // max(1, self._entries()))
        own = self._loads.own_requests(record.target)
        return own < min(record.slots, max(share_min, share))

    def _is_within_cold_rate(
        self,
        record: targets.TargetRecord,
        demand: _demand.Demand,
    ) -> bool:
        if demand.cold_rps <= 0:
            return True
        own_rps = self._cold_share(demand.service) * demand.cold_rps
        if demand.spreads_cold_rate and own_rps < 1:
            entries = max(1, self._entries())
            turn_ms = _COLD_WINDOW_MS / (own_rps * entries)
            return self._cold_turns.is_open(
                record.target, turn_ms=turn_ms, entries=entries
            ) and not self._loads.sends_within(record.target, turn_ms)
        sent = self._loads.sends_within(record.target, _COLD_WINDOW_MS)
        return sent < max(1, int(own_rps))

    def _equal_share(self, service: identifiers.ServiceId) -> float:
        return _COLD_USED_SHARE / max(1, self._entries())

    def _turns_per_ms(
        self,
        usable: Sequence[targets.TargetRecord],
        demand: _demand.Demand,
    ) -> float:
        """Returns the rate at which this entry gets turns at free targets."""
        if not demand.spreads_cold_rate:
            return 0.0
        free = sum(
            self._has_free_slot(record, demand.share_min) for record in usable
        )
        own_rps = self._cold_share(demand.service) * demand.cold_rps
        return free * own_rps / _COLD_WINDOW_MS

    def _start(self, record: targets.TargetRecord) -> targets.TargetRecord:
        self._loads.note_start(record.target)
        return record

    def _starts_per_ms(
        self,
        usable: Sequence[targets.TargetRecord],
    ) -> float | None:
        """Returns the rate at which slots become free for this entry.

        No slot is free when this is called, so the requests in progress equal
        the capacity. None while no request has ended yet.
        """
        times_ms = [
            self._loads.service_ms_of(record.target) for record in usable
        ]
        known_ms = [time_ms for time_ms in times_ms if time_ms > 0]
        if not known_ms:
            return None
        own = sum(self._loads.own_requests(record.target) for record in usable)
        all_requests = sum(
            self._loads.load_of(record.target) for record in usable
        )
        share = all_requests / max(1, self._entries())
        return max(own, share) * len(known_ms) / sum(known_ms)
