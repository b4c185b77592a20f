"""Sends the orders of one run of a coordinator to the ranks of a group.

An order without an answer is outstanding until its engine can no longer accept
it. An engine that checks fencing numbers refuses it once it has answered an
order with a higher number, so that the number is raised wherever earlier orders
must have no effect. Other engines are told, with orders to hold and to release
the group, how many orders they must have accepted before; each accepted order
then makes those that were sent earlier impossible.
"""

import asyncio
from collections.abc import Callable, Sequence, Set

import msgspec

from carobslip.expertmap import _coordinator_numbers, _group_map, _orders

#: Orders whose content does not tell whether they are still wanted.
_REPEATABLE_KINDS = frozenset((_orders.OrderKind.HOLD, _orders.OrderKind.GO))


class Superseded(Exception):
    """Another coordinator or a new epoch has superseded this one."""


class OrderSender:
    """Sends orders and tracks what the ranks answer.

    Args:
        ranks: Reaches the ranks.
        size: Ranks in the group.
        own_rank: The coordinator's rank.
        epoch: The group's epoch.
        fence: Highest fencing number that this coordinator has used.
        engines_fence: Whether engines refuse orders with a lower fencing number
            than one that they have seen.
        version_min: Highest version that this coordinator has used.
        on_answer: Receives rank, order and answer.
    """

    def __init__(
        self,
        *,
        ranks: _orders.GroupRanks,
        size: int,
        own_rank: int,
        epoch: int,
        fence: int,
        engines_fence: bool,
        version_min: int,
        on_answer: Callable[[int, _orders.RankOrder, _orders.RankAnswer], None],
    ) -> None:
        self.size = size
        self.own_rank = own_rank
        self.engines_fence = engines_fence
        self.fence = fence
        self.highest_fence = fence
        self.version = version_min
        self.lost_orders = 0
        self._ranks = ranks
        self._epoch = epoch
        self._on_answer = on_answer
        #: Orders that each rank is known to have accepted.
        self._accepted: dict[int, int] = {}

    @property
    def all_ranks(self) -> frozenset[int]:
        """The ranks of the group."""
        return frozenset(range(self.size))

    def raise_fence(self) -> None:
        """Numbers the orders from now on above all earlier ones."""
        self.fence = _coordinator_numbers.next_fence(self.fence, self.own_rank)
        self.highest_fence = max(self.highest_fence, self.fence)

    def order(
        self,
        kind: _orders.OrderKind,
        *,
        version: int = 0,
        step: int = 0,
        layout: _group_map.Layout = (),
        is_undo: bool = False,
    ) -> _orders.RankOrder:
        """Returns an order of this coordinator."""
        return _orders.RankOrder(
            kind=kind,
            epoch=self._epoch,
            fence=self.fence,
            coordinator_rank=self.own_rank,
            version=version,
            step=step,
            layout=layout,
            is_undo=is_undo,
        )

    async def send(
        self,
        rank: int,
        order: _orders.RankOrder,
        *,
        through: int | None = None,
    ) -> _orders.RankAnswer:
        """Sends an order to a rank.

        Raises:
            Superseded: The order was fenced, or the group has a new epoch.
        """
        if not self.engines_fence and order.kind in _REPEATABLE_KINDS:
            order = msgspec.structs.replace(
                order, expected_seq=self._accepted.get(rank)
            )
        answer = await self._ranks.order(rank, order, through=through)
        self.highest_fence = max(self.highest_fence, answer.fence)
        if answer.end is _orders.OrderEnd.FENCED:
            raise Superseded
        if answer.end is _orders.OrderEnd.LOST:
            self.lost_orders += 1
        self._on_answer(rank, order, answer)
        self._note_report(rank, answer.report)
        return answer

    async def send_all(
        self, order: _orders.RankOrder, ranks: Set[int]
    ) -> dict[int, _orders.RankAnswer]:
        """Sends an order to several ranks at once; returns their answers."""
        asked = sorted(ranks)
        answers = await asyncio.gather(
            *(self.send(one, order) for one in asked)
        )
        return dict(zip(asked, answers, strict=True))

    async def report_of(self, rank: int) -> _group_map.RankReport | None:
        """Returns the report of a rank, if it answers."""
        answer = await self.send(rank, self.order(_orders.OrderKind.REPORT))
        return answer.report

    async def fetch_reports(self) -> dict[int, _orders.RankAnswer]:
        """Returns the answers of the ranks that report."""
        answers = await self.send_all(
            self.order(_orders.OrderKind.REPORT), self.all_ranks
        )
        return {
            rank: answer
            for rank, answer in answers.items()
            if answer.report is not None
        }

    def next_version(self, reports: Sequence[_group_map.RankReport]) -> int:
        """Returns a version that no coordinator has used for another map."""
        known = max(
            (max(one.map_version, one.prepared or 0) for one in reports),
            default=0,
        )
        self.version = _coordinator_numbers.next_version(
            max(known, self.version), self.own_rank
        )
        return self.version

    def _note_report(
        self, rank: int, report: _group_map.RankReport | None
    ) -> None:
        if report is None:
            return
        if report.epoch != self._epoch:
            raise Superseded
        if report.seq is not None:
            known = self._accepted.get(rank, 0)
            self._accepted[rank] = max(known, report.seq)


def reports_in(
    answers: dict[int, _orders.RankAnswer],
) -> list[_group_map.RankReport]:
    """Returns the reports that answers contain, by rank."""
    return [
        answer.report
        for _rank, answer in sorted(answers.items())
        if answer.report is not None
    ]
