"""The expert map of one layer."""

from typing import NewType

import msgspec

#: Increases with every proposed map of a group.
MapVersion = NewType('MapVersion', int)


class ExpertMap(msgspec.Struct, frozen=True, kw_only=True):
    """Which experts each rank holds.

    Attributes:
        version: Number of the map within its group.
        experts_by_rank: Experts held by each rank, in rank order; shape
            (ranks, experts held). An expert may be held by several ranks.
    """

    version: MapVersion
    experts_by_rank: tuple[tuple[int, ...], ...]

    def __post_init__(self) -> None:
        for rank, experts in enumerate(self.experts_by_rank):
            if len(set(experts)) != len(experts):
                raise ValueError(f'rank {rank} holds an expert twice')

    def ranks_by_expert(self) -> dict[int, list[int]]:
        """Returns the ranks that hold each expert.

        >>> ExpertMap(version=1, experts_by_rank=((0, 1), (1,))
        ... ).ranks_by_expert()
        {0: [0], 1: [0, 1]}
        """
        ranks: dict[int, list[int]] = {}
        for rank, experts in enumerate(self.experts_by_rank):
            for expert in experts:
                ranks.setdefault(expert, []).append(rank)
        return ranks
