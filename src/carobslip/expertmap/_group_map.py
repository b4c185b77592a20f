"""The maps of all sets of layers of a lock-step group."""

from collections.abc import Sequence

import msgspec

from carobslip import identifiers

#: Experts by set and rank; shape (sets, ranks, experts held).
Layout = tuple[tuple[tuple[int, ...], ...], ...]


class ArmedMap(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A map that a rank switches to as a pass begins."""

    version: int
    step: int


class RankReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What an engine says about itself as a rank.

    Attributes:
        group: Its group.
        epoch: Counts the times that the group has formed.
        rank: Its place in the group.
        size: Ranks in the group.
        is_open: The group works; otherwise a rank is missing.
        step: Last pass that was begun.
        map_version: The map in use.
        prepared: The map that is complete in memory beside it.
        armed: The switch that waits for its pass.
        held: The pass that the group does not begin yet.
        running: Requests in progress.
        waiting: Requests in its queue.
        pace: How much longer than usual its work takes.
    """

    group: identifiers.GroupId
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    map_version: int
    prepared: int | None = None
    armed: ArmedMap | None = None
    held: int | None = None
    running: int = 0
    waiting: int = 0
    pace: float = 1.0


def join_ranks(by_rank: Sequence[Sequence[Sequence[int]]]) -> Layout:
    """Returns the layout of a group from the experts of each rank.

    Args:
        by_rank: Experts by rank and set.

    >>> join_ranks([[[0], [1]], [[2], [3]]])
    (((0,), (2,)), ((1,), (3,)))
    """
    sets = range(len(by_rank[0]))
    return tuple(tuple(tuple(rank[one]) for rank in by_rank) for one in sets)
