"""The maps of all sets of layers of a lock-step group."""

from collections.abc import Sequence

import msgspec

from carobslip import identifiers

#: Experts by set and rank; shape (sets, ranks, experts held).
Layout = tuple[tuple[tuple[int, ...], ...], ...]


class ArmedMap(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A map that a rank switches to at the start of a pass."""

    version: int
    step: int


class RankReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of an engine as a rank of its group.

    Attributes:
        group: Its group.
        epoch: Number of times that the group has formed.
        rank: Index of the engine in its group.
        size: Ranks in the group.
        is_open: The group is complete; otherwise a rank is missing.
        step: Last pass that was begun.
        map_version: The map in use.
        prepared: The map that is fully loaded beside the one in use.
        armed: The switch that waits for its pass.
        held: The pass before which this rank holds the group.
        running: Requests in progress.
        waiting: Requests in its queue.
        pace: Duration of its work relative to the usual one.
        seq: Orders that it has accepted since its start; None if not known.
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
    seq: int | None = None


def join_ranks(by_rank: Sequence[Sequence[Sequence[int]]]) -> Layout:
    """Returns the layout of a group from the experts of each rank.

    Args:
        by_rank: Experts by rank and set.

    >>> join_ranks([[[0], [1]], [[2], [3]]])
    (((0,), (2,)), ((1,), (3,)))
    """
    sets = range(len(by_rank[0]))
    return tuple(tuple(tuple(rank[one]) for rank in by_rank) for one in sets)
