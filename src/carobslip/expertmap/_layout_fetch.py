"""Fetches the layout in force from the ranks of a group."""

import asyncio
from collections.abc import Sequence
from typing import Final

from carobslip.expertmap import _coordinator_numbers, _group_map, _orders

#: Requests for the experts of a rank; a lost answer concerns that rank alone.
_ATTEMPTS: Final = 3


class LayoutFetch:
    """One fetch of the experts of every rank.

    Args:
        ranks: Reaches the ranks.
        own_rank: The coordinator's rank.
        epoch: The group's epoch.
        fence: Fencing number of the coordinator; raised if ranks know a higher
            one.
        may_be_armed: Whether the layout in use is wanted also if ranks are
            armed for another one, as a coordinator does that ends a switch.
    """

    def __init__(
        self,
        *,
        ranks: _orders.GroupRanks,
        own_rank: int,
        epoch: int,
        fence: int,
        may_be_armed: bool = False,
    ) -> None:
        self._may_be_armed = may_be_armed
        self._ranks = ranks
        self._own_rank = own_rank
        self._epoch = epoch
        self.fence = fence
        self.why = ''
        self.without_experts: list[int] = []

    async def run(self, size: int) -> _group_map.Layout | None:
        """Returns the layout; None if it is unknown, and sets ``why``."""
        told: dict[int, _orders.RankAnswer] = {}
        for _ in range(_ATTEMPTS):
            asked = [rank for rank in range(size) if rank not in told]
            answers = await self._ask(asked)
            told.update(
                (rank, answer)
                for rank, answer in zip(asked, answers, strict=True)
                if answer.experts
            )
            if len(told) == size:
                return self._join([told[rank] for rank in sorted(told)])
        self.why = 'not all ranks told their experts'
        self.without_experts = [
            rank for rank in range(size) if rank not in told
        ]
        return None

    async def _ask(self, asked: Sequence[int]) -> list[_orders.RankAnswer]:
        order = _orders.RankOrder(
            kind=_orders.OrderKind.REPORT,
            epoch=self._epoch,
            fence=self.fence,
            with_experts=True,
        )
        answers = await asyncio.gather(
            *(self._ranks.order(rank, order) for rank in asked),
        )
        highest = max(answer.fence for answer in answers)
        if highest > self.fence:
            self.fence = _coordinator_numbers.raise_fence(
                highest, self._own_rank
            )
        return answers

    def _join(
        self, answers: Sequence[_orders.RankAnswer]
    ) -> _group_map.Layout | None:
        if not _have_same_map(answers):
            self.why = 'ranks have different maps'
            return None
        is_armed = any(one.report and one.report.armed for one in answers)
        if is_armed and not self._may_be_armed:
            # The ranks will have another layout with the next passes.
            self.why = 'a switch is armed'
            return None
        return _group_map.join_ranks([answer.experts for answer in answers])


def _have_same_map(answers: Sequence[_orders.RankAnswer]) -> bool:
    versions = {
        answer.report.map_version
        for answer in answers
        if answer.report is not None
    }
    return len(versions) == 1
