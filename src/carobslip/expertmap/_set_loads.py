"""Loads of the ranks in one set of layers while a new map is planned."""

from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

#: A high power lets the most loaded rank dominate the imbalance, while a lower
#: load of any other rank still reduces it.
_IMBALANCE_POWER: Final = 8


class Edit(msgspec.Struct, frozen=True):
    """One expert leaves a rank, joins a rank, or moves between two.

    Attributes:
        expert: The expert.
        source: Rank that gives it up; None for a further replica.
        receiver: Rank that copies it; None for a dropped replica.
    """

    expert: int
    source: int | None
    receiver: int | None


#: Edits of different experts that only make sense together.
Change = tuple[Edit, ...]


class SetLoads:
    """Experts and loads of the ranks in one set.

    The load of a rank is the tokens of its experts times its pace. Experts
    without any token count as nearly unused, so that they have an order.

    Args:
        ranks: Experts by rank.
        tokens: Recent tokens by expert.
        paces: Duration of each rank's work relative to the usual one.
    """

    def __init__(
        self,
        ranks: Sequence[Iterable[int]],
        tokens: Sequence[float],
        paces: Sequence[float],
    ) -> None:
        self.ranks = [set(experts) for experts in ranks]
        self.paces = paces
        self.gained = [0] * len(self.ranks)
        self._tokens = tokens
        self.holders: list[set[int]] = [set() for _one in tokens]
        self.loads = [0.0] * len(self.ranks)
        for rank, experts in enumerate(self.ranks):
            for expert in experts:
                self.holders[expert].add(rank)
        for rank, experts in enumerate(self.ranks):
            self.loads[rank] = paces[rank] * sum(map(self.share, experts))
        speeds = sum(1 / pace for pace in paces)
        #: Load of every rank if the work could be divided at will.
        self.ideal = max(sum(tokens) / speeds, 1e-9)

    @property
    def highest(self) -> float:
        """Load of the most loaded rank, relative to the ideal one."""
        return max(self.loads) / self.ideal

    def share(self, expert: int) -> float:
        """Tokens of one replica of an expert."""
        return self._tokens[expert] / len(self.holders[expert])

    def spares(self, rank: int) -> list[int]:
        """Returns the experts of a rank that another rank holds, too."""
        return [one for one in self.ranks[rank] if len(self.holders[one]) > 1]

    def gain(self, change: Change) -> float:
        """Returns by how much a change lowers the imbalance."""
        moved: dict[int, float] = {}
        for edit in change:
            self._add_shifts(edit, moved)
        ideal = self.ideal
        gained = 0.0
        for rank, shift in moved.items():
            load = self.loads[rank]
            gained += (load / ideal) ** _IMBALANCE_POWER
            gained -= ((load + shift) / ideal) ** _IMBALANCE_POWER
        return gained

    def apply(self, change: Change) -> None:
        """Applies a change and updates the loads."""
        moved: dict[int, float] = {}
        for edit in change:
            self._add_shifts(edit, moved)
        for rank, shift in moved.items():
            self.loads[rank] += shift
        for edit in change:
            if edit.source is not None:
                self.ranks[edit.source].discard(edit.expert)
                self.holders[edit.expert].discard(edit.source)
            if edit.receiver is not None:
                self.ranks[edit.receiver].add(edit.expert)
                self.holders[edit.expert].add(edit.receiver)
                self.gained[edit.receiver] += 1

    def _add_shifts(self, edit: Edit, moved: dict[int, float]) -> None:
        """Adds to ``moved`` by how much an edit changes each rank's load."""
        holders = self.holders[edit.expert]
        tokens = self._tokens[edit.expert]
        before = tokens / len(holders)
        replicas = len(holders)
        replicas += (edit.receiver is not None) - (edit.source is not None)
        after = tokens / replicas
        if edit.receiver is not None:
            moved[edit.receiver] = moved.get(edit.receiver, 0.0) + (
                after * self.paces[edit.receiver]
            )
        if edit.source is not None:
            moved[edit.source] = moved.get(edit.source, 0.0) - (
                after * self.paces[edit.source]
            )
        if replicas == len(holders):
            return
        for rank in holders:
            moved[rank] = moved.get(rank, 0.0) + (
                (after - before) * self.paces[rank]
            )
