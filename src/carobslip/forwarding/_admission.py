"""Decides when a request starts, where, and when it is refused instead.

The load it answers: more requests than the targets' slots. Requests wait at
the entry, where they can still be refused truthfully, rather than inside a
target. The queue is kept so short that who waits in it still meets the
objective; who would not is refused on arrival and told when to return.
"""

import asyncio
import collections
import random
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from carobslip import clocks, identifiers, targets
from carobslip.forwarding import _loads

#: Window of the bound on requests to cold targets, in which it is stated.
_COLD_WINDOW_MS: Final = 1000.0
#: Part of the fleet's bound that entries use; they count independently.
_COLD_USED_SHARE: Final = 0.8
#: A refused caller is asked to come back after a wait within these bounds,
#: drawn evenly so that those refused together do not return together.
_RETRY_MIN_MS: Final = 400.0
_RETRY_MAX_MS: Final = 1400.0
#: The foreseen wait is a mean; this part of the time leaves room for those
#: that wait longer.
_FORESIGHT_SHARE: Final = 0.75
#: So many requests wait for a service of which no target is known at all:
#: targets that all went together come back together, and soon.
_BLIND_WAITERS_MAX: Final = 8
#: Who finds no target at all is told to come back after this time; a group
#: needs some seconds to form anew.
_RETRY_GONE_MIN_MS: Final = 1000.0
_RETRY_GONE_MAX_MS: Final = 2500.0
#: Waiters are looked at this often even if nothing else happens.
_TICK_S: Final = 0.05


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs in order to start.

    Attributes:
        service: Where it goes.
        priority: 0 is the highest.
        on_time_until_ms: A start until then can still meet the objective.
        wait_until_ms: It is refused if it has not started by then, which can
            happen when the queue moves more slowly than was foreseen.
        excluded: Targets that have refused it.
        cold_rps: Requests a second that a cold target bears; 0 for no bound.
        share_min: Places at a target that an entry may take without word of
            the load of others.
        goes_on: A target may have run it, so it cannot be refused truthfully
            any more; it goes before all others.
    """

    service: identifiers.ServiceId
    priority: int
    on_time_until_ms: float
    wait_until_ms: float
    excluded: frozenset[identifiers.TargetId] = frozenset()
    cold_rps: float = 0
    share_min: int = 1
    goes_on: bool = False


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """No start: why, and when to come back.

    Attributes:
        reason: For logs.
        retry_after_ms: When a new try may succeed.
        waiting: Requests that waited for the service.
        without_place: Targets by the reason why none has a place, for logs.
    """

    reason: str
    retry_after_ms: float
    waiting: int
    without_place: dict[str, int]


class _Waiter:
    """One request in the queue."""

    def __init__(self, demand: Demand, order: int) -> None:
        self.demand = demand
        self.order = order
        self.start: asyncio.Future[targets.TargetRecord] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def rank(self) -> tuple[bool, int, int]:
        """Orders waiters: urgent ones first, then as they came."""
        demand = self.demand
        return not demand.goes_on, demand.priority, self.order


class Admission:
    """Starts requests while there is room.

    Args:
        loads: Load of the targets.
        candidates: Returns the targets that may be used for a service.
        entries: Tells how many entries share the targets.
        clock: Monotonic time.
        generator: Spreads the returns of refused callers.
    """

    def __init__(
        self,
        *,
        loads: _loads.LoadBook,
        candidates: Callable[
            [identifiers.ServiceId],
            Sequence[targets.TargetRecord],
        ],
        entries: Callable[[], int],
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        self._loads = loads
        self._candidates = candidates
        self._entries = entries
        self._clock = clock
        self._random = generator
        self._order = 0
        self._waiters: dict[identifiers.ServiceId, list[_Waiter]] = {}

    def waiting(self, service: identifiers.ServiceId) -> int:
        """Returns how many requests wait for a service."""
        return len(self._waiters.get(service, ()))

    def take(self, demand: Demand) -> targets.TargetRecord | None:
        """Takes a place that is free now, past the queue, if there is one.

        For a request that has waited at a target already.
        """
        record = self._find_place(demand)
        return None if record is None else self._start(record)

    async def admit(self, demand: Demand) -> targets.TargetRecord | Refusal:
        """Waits for a place; the caller must give it back with ``release``.

        Args:
            demand: What the request needs.
        """
        if demand.goes_on or not self.waiting(demand.service):
            record = self._find_place(demand)
            if record is not None:
                return self._start(record)
        refusal = self._foresee(demand)
        if refusal is not None:
            return refusal
        return await self._wait(demand)

    def release(self, record: targets.TargetRecord) -> None:
        """Gives a place back."""
        self._loads.note_end(record.target)
        self.wake(record.service)

    def wake(self, service: identifiers.ServiceId) -> None:
        """Starts waiting requests for which there is room now."""
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

    def wake_all(self) -> None:
        """Looks at every queue, after news about targets."""
        for service in list(self._waiters):
            self.wake(service)

    async def _wait(self, demand: Demand) -> targets.TargetRecord | Refusal:
        self._order += 1
        waiter = _Waiter(demand, self._order)
        queue = self._waiters.setdefault(demand.service, [])
        queue.append(waiter)
        try:
            while self._clock.now_ms() < demand.wait_until_ms:
                await asyncio.wait([waiter.start], timeout=_TICK_S)
                if not waiter.start.done():
                    self.wake(demand.service)
                if waiter.start.done():
                    return waiter.start.result()
            return self._refuse('waited too long', demand)
        except asyncio.CancelledError:
            if waiter.start.done():
                self.release(waiter.start.result())
            raise
        finally:
            if waiter in queue:
                queue.remove(waiter)

    def _foresee(self, demand: Demand) -> Refusal | None:
        """Refuses a request that cannot start in time."""
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
        if demand.goes_on and allowed:
            return None
        if not candidates and (
            self.waiting(demand.service) < _BLIND_WAITERS_MAX
        ):
            return None
        if not usable and self._is_worth_waiting(demand, allowed):
            return None
        if not usable:
            return self._refuse(
                'no usable target',
                demand,
                retry_ms=(_RETRY_GONE_MIN_MS, _RETRY_GONE_MAX_MS),
            )
        ahead = 1 + sum(
            waiter.demand.priority <= demand.priority
            for waiter in self._waiters.get(demand.service, ())
        )
        until_ms = min(demand.on_time_until_ms, demand.wait_until_ms)
        wait_ms = _FORESIGHT_SHARE * (until_ms - self._clock.now_ms())
        rate = self._starts_per_ms(usable)
        if rate is not None and ahead > max(0.0, rate * wait_ms):
            return self._refuse('queue too long', demand)
        return None

    def _is_worth_waiting(
        self,
        demand: Demand,
        avoided: Sequence[targets.TargetRecord],
    ) -> bool:
        """Tells whether targets that have failed may be tried in time.

        No more requests wait for that than this entry's share of their slots:
        they all start at once then.
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
        demand: Demand,
        *,
        retry_ms: tuple[float, float] = (_RETRY_MIN_MS, _RETRY_MAX_MS),
    ) -> Refusal:
        return Refusal(
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
        demand: Demand,
    ) -> str:
        loads = self._loads
        if record.target in demand.excluded:
            return 'excluded'
        if loads.is_avoided(record.target):
            return 'avoided'
        if not self._bears_more(record, demand.cold_rps):
            return 'cold'
        if not loads.has_report(record.target):
            return 'no report'
        if loads.load_of(record.target) >= record.slots:
            return 'full'
        return 'left to other entries'

    def _find_place(self, demand: Demand) -> targets.TargetRecord | None:
        free = [
            record
            for record in self._candidates(demand.service)
            if record.target not in demand.excluded
            and not self._loads.is_avoided(record.target)
            and self._has_room(record, demand.share_min)
            and self._bears_more(record, demand.cold_rps)
        ]
        return self._loads.choose(free)

    def _has_room(
        self,
        record: targets.TargetRecord,
        share_min: int,
    ) -> bool:
        if self._loads.has_report(record.target):
            load = self._loads.load_of(record.target)
            return load < record.slots and self._loads.has_claim(
                record.target,
                record.slots,
            )
        # Without word of the others, each entry takes an equal share.
        share = -(-record.slots // max(1, self._entries()))
        own = self._loads.own_of(record.target)
        return own < min(record.slots, max(share_min, share))

    def _bears_more(
        self,
        record: targets.TargetRecord,
        cold_rps: float,
    ) -> bool:
        if cold_rps <= 0:
            return True
        share = _COLD_USED_SHARE * cold_rps / max(1, self._entries())
        sent = self._loads.sends_within(record.target, _COLD_WINDOW_MS)
        return sent < max(1, int(share))

    def _start(self, record: targets.TargetRecord) -> targets.TargetRecord:
        self._loads.note_start(record.target)
        return record

    def _starts_per_ms(
        self,
        usable: Sequence[targets.TargetRecord],
    ) -> float | None:
        """Returns how fast places become free for this entry.

        Nothing is free when this is asked, so the requests in progress are
        the capacity. None while no request has ended yet.
        """
        times_ms = [
            self._loads.service_ms_of(record.target) for record in usable
        ]
        known_ms = [time_ms for time_ms in times_ms if time_ms > 0]
        if not known_ms:
            return None
        own = sum(self._loads.own_of(record.target) for record in usable)
        all_requests = sum(
            self._loads.load_of(record.target) for record in usable
        )
        share = all_requests / max(1, self._entries())
        return max(own, share) * len(known_ms) / sum(known_ms)
