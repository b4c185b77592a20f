"""A queue ordered by priority and shared among teams by weight."""

import collections
from collections.abc import Iterator
from typing import Generic, TypeVar

import msgspec

from carobslip import identifiers

WaiterT = TypeVar('WaiterT')


class _Backlog(Generic[WaiterT]):
    """Waiting requests of one team at one priority."""

    def __init__(self, weight: float, start: float) -> None:
        self.weight = weight
        self.finish = start
        self.waiters: collections.deque[WaiterT] = collections.deque()

    @property
    def length_per_weight(self) -> float:
        """Length of the backlog relative to the team's weight."""
        return len(self.waiters) / self.weight


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Priority and team of a waiter, which select its backlog."""

    priority: int
    team: identifiers.TeamId


class FairQueue(Generic[WaiterT]):
    """Start-time fair queueing among teams within each priority.

    Requests of a team that exceeds its share wait behind its own backlog and
    do not delay the requests of other teams.
    """

    def __init__(self) -> None:
        self._backlogs: dict[Placement, _Backlog[WaiterT]] = {}
        self._virtual_time: dict[int, float] = collections.defaultdict(float)
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def put(self, waiter: WaiterT, where: Placement, weight: float) -> None:
        """Appends a waiter to the backlog of its team and priority."""
        backlog = self._backlogs.get(where)
        if backlog is None:
            start = self._virtual_time[where.priority]
            backlog = _Backlog(weight, start + 1.0 / weight)
            self._backlogs[where] = backlog
        backlog.waiters.append(waiter)
        self._length += 1

    def pop(self) -> WaiterT | None:
        """Removes and returns the next waiter; None if the queue is empty."""
        if not self._backlogs:
            return None
        where = min(self._backlogs, key=self._sort_key)
        backlog = self._backlogs[where]
        self._virtual_time[where.priority] = backlog.finish
        backlog.finish += 1.0 / backlog.weight
        return self._note_removed(where, backlog.waiters.popleft())

    def pop_excess(self, where: Placement, weight: float) -> WaiterT | None:
        """Removes the newest waiter of the team that most exceeds its share.

        Args:
            where: Priority and team of the new request; only waiters of its
                priority or a lower one are removed.
            weight: Weight of the new request's team.

        Returns:
            The removed waiter, or None if the new request's own team is the
            one in excess.
        """
        own = self._backlogs.get(where)
        own_waiting = len(own.waiters) if own else 0
        own_length = (own_waiting + 1) / weight
        candidates = [
            place
            for place in self._backlogs
            if place.priority <= where.priority
        ]
        if not candidates:
            return None
        largest = min(
            candidates,
            key=lambda place: (
                place.priority,
                -self._backlogs[place].length_per_weight,
            ),
        )
        backlog = self._backlogs[largest]
        same_priority = largest.priority == where.priority
        if same_priority and backlog.length_per_weight <= own_length:
            return None
        return self._note_removed(largest, backlog.waiters.pop())

    def remove(self, waiter: WaiterT, where: Placement) -> bool:
        """Removes a waiter; returns False if it was not in the queue."""
        backlog = self._backlogs.get(where)
        if backlog is None or waiter not in backlog.waiters:
            return False
        backlog.waiters.remove(waiter)
        self._note_removed(where, waiter)
        return True

    def drain(self) -> Iterator[WaiterT]:
        """Removes and yields all waiters."""
        while self._length:
            waiter = self.pop()
            if waiter is not None:
                yield waiter

    def _sort_key(self, where: Placement) -> tuple[int, float]:
        return -where.priority, self._backlogs[where].finish

    def _note_removed(self, where: Placement, waiter: WaiterT) -> WaiterT:
        self._length -= 1
        if not self._backlogs[where].waiters:
            self._backlogs.pop(where)
        return waiter
