"""The scheduling order of the requests that wait for one service."""

import bisect
import collections
from collections.abc import Callable
from typing import Final

from carobslip.slotbroker import _returns, _shares, _types

#: Work, in multiples of the average cost, by which a team may exceed its share
#: before its returning callers lose their precedence over new requests of
#: other teams. Without the bound, a large team that is refused often would
#: keep the new requests of small teams waiting. The cost of the request itself
#: would favour large requests.
_RETURN_CREDIT: Final = 3.0
#: Weight of one request in the average cost.
_AVERAGE_SHARE: Final = 0.05
#: Distinct priorities; less urgent ones are treated as equal.
_PRIORITY_MAX: Final = 9

#: Band, priority, rank of returning callers, virtual start, arrival.
Key = tuple[int, int, int, float, int]

_RESENT: Final = 0
_ON_TIME: Final = 1
_LATE: Final = 2


class Waiter:
    """One request that asked for a slot.

    Attributes:
        demand: What it asked for.
        priority: Its class by the priorities of team and route; 0 is the most
            urgent.
        order: Its number in the order of arrival.
        cost: Its expected cost in tokens.
        how_returned: Whether it was refused before and returns as told.
        account: The account of its team.
        wait_ms: Expected wait, for its entry.
        is_on_time: It started, and was expected to be on time.
        key: Its place in the scheduling order.
    """

    def __init__(
        self,
        demand: _types.SlotDemand,
        *,
        now_ms: float,
        order: int,
        cost: float,
        how_returned: _returns.Return,
    ) -> None:
        self.demand = demand
        self.priority = _class_of(demand.priority, demand.route_priority)
        self.order = order
        self.cost = cost
        self.how_returned = how_returned
        self.arrived_ms = now_ms
        self.wait_until_ms = now_ms + demand.wait_left_ms
        self.patience_until_ms = now_ms + demand.patience_left_ms
        self.account = _shares.TeamAccount()
        self.wait_ms = 0.0
        self.is_on_time = False
        self.key: Key = (0, 0, 0, 0.0, order)

    @property
    def is_returning(self) -> bool:
        """Tells whether it was refused before and returns as told."""
        return self.how_returned is _returns.Return.AS_TOLD

    @property
    def on_time_until_ms(self) -> float:
        """When the objective of the caller ends."""
        return self.arrived_ms + self.demand.on_time_left_ms


class ServiceQueue:
    """Requests that wait for one service.

    Args:
        is_on_time: Tells whether a request that starts now can be on time, and
            its class is not to be held back in favour of a more urgent one.
    """

    def __init__(self, is_on_time: Callable[[Waiter], bool]) -> None:
        self._is_on_time = is_on_time
        self._waiters: dict[str, Waiter] = {}
        self._order: list[tuple[Key, Waiter]] = []
        self._shares: dict[int, _shares.TeamShares] = {}
        self._usual_cost = 0.0
        self._by_priority: collections.Counter[int] = collections.Counter()

    def __len__(self) -> int:
        return len(self._waiters)

    def count(self, priority: int) -> int:
        """Returns how many requests of a priority wait."""
        return self._by_priority[priority]

    def count_as_urgent(self, priority: int) -> int:
        """Returns how many requests of a priority or a more urgent one wait."""
        return sum(
            count for one, count in self._by_priority.items() if one <= priority
        )

    def priorities(self) -> list[int]:
        """Returns the priorities of waiting requests, most urgent first."""
        return sorted(+self._by_priority)

    def waiters(self) -> list[Waiter]:
        """Returns the requests in the order in which they are to start.

        The order is that of the last refresh, with later requests inserted.
        """
        return [waiter for _, waiter in self._order]

    def open_account(self, waiter: Waiter) -> None:
        """Assigns the account of its team to a request."""
        waiter.account = self._share(waiter).account(waiter.demand.team)

    def add(self, waiter: Waiter) -> int:
        """Adds a request; returns how many go before it."""
        shares = self._share(waiter)
        start = shares.start_of(waiter.account) + waiter.account.waiting_cost
        shares.note_waiting(waiter.account, waiter.cost)
        self._by_priority[waiter.priority] += 1
        share = _AVERAGE_SHARE if self._usual_cost else 1.0
        self._usual_cost += share * (waiter.cost - self._usual_cost)
        waiter.key = self._key(waiter, self._band(waiter), start)
        self._waiters[waiter.demand.ticket] = waiter
        position = self._position(waiter)
        self._order.insert(position, (waiter.key, waiter))
        return position

    def remove(self, ticket: str) -> Waiter | None:
        """Removes a request; returns None if it does not wait."""
        waiter = self._waiters.pop(ticket, None)
        if waiter is None:
            return None
        self._share(waiter).note_left(waiter.account, waiter.cost)
        self._by_priority[waiter.priority] -= 1
        self._order.pop(self._position(waiter))
        return waiter

    def find(self, ticket: str) -> Waiter | None:
        """Returns a waiting request."""
        return self._waiters.get(ticket)

    def charge(self, waiter: Waiter) -> None:
        """Adds the cost of a request that starts to its team's work."""
        self._share(waiter).charge(waiter.account, waiter.cost)

    def refresh(self) -> None:
        """Orders the requests by the present time and work of their teams."""
        banded = sorted(
            (self._band(one), not one.is_returning, one.order, one)
            for one in self._waiters.values()
        )
        starts: dict[int, float] = {}
        for band, _, _, waiter in banded:
            account = waiter.account
            start = starts.get(id(account))
            if start is None:
                start = self._share(waiter).start_of(account)
            waiter.key = self._key(waiter, band, start)
            starts[id(account)] = start + waiter.cost
        self._order = [(one.key, one) for one in self._waiters.values()]
        self._order.sort(key=_key_of)

    def _position(self, waiter: Waiter) -> int:
        return bisect.bisect_left(self._order, waiter.key, key=_key_of)

    def _band(self, waiter: Waiter) -> int:
        if waiter.demand.may_have_run:
            return _RESENT
        return _ON_TIME if self._is_on_time(waiter) else _LATE

    def _key(self, waiter: Waiter, band: int, start: float) -> Key:
        excess = start - self._share(waiter).virtual
        goes_first = (
            waiter.is_returning and excess <= _RETURN_CREDIT * self._usual_cost
        )
        return band, waiter.priority, int(not goes_first), start, waiter.order

    def _share(self, waiter: Waiter) -> _shares.TeamShares:
        share = self._shares.get(waiter.priority)
        if share is None:
            share = _shares.TeamShares()
            self._shares[waiter.priority] = share
        return share


def _key_of(placed: tuple[Key, Waiter]) -> Key:
    return placed[0]


def _class_of(priority: int, route_priority: int) -> int:
    """Returns the class of a request: by team first, then by route."""
    first = min(max(0, priority), _PRIORITY_MAX)
    second = min(max(0, route_priority), _PRIORITY_MAX)
    return (_PRIORITY_MAX + 1) * first + second
